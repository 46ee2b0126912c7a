// Package leader is the leading controller's part: jobs, team queues, limits,
// block grants and the fleet. It holds no I/O: a message and the time give effects.
package leader

import (
	"swiftledge/internal/clock"
	"swiftledge/internal/election"
	"swiftledge/internal/peer"
	"swiftledge/internal/standstill"
	"swiftledge/internal/store"
	"swiftledge/internal/trace"
	"swiftledge/wire"
)

// Store keys of the leader.
const (
	Key         = election.Key
	LayoutKey   = "layout"
	CatalogKey  = "catalog"
	JobPrefix   = "job/"
	EndPrefix   = "over/"
	ProgPrefix  = "prog/"
	FleetPrefix = "fleet/"
)

// JobRecord is the value of job/<ref>.
type JobRecord struct {
	Spec wire.Job     `json:"spec"`
	At   clock.Micros `json:"at"` // time of day of the acceptance
}

// EndRecord is the value of over/<ref>: a final state, kept for ever.
type EndRecord struct {
	State string `json:"state"`
	Tasks int    `json:"tasks"`
}

// ProgRecord is the value of a prog/ key: completed tasks of several jobs.
type ProgRecord struct {
	Units []ProgUnit `json:"u"`
}

// ProgUnit has a bit for each completed task of a range of a job's tasks.
type ProgUnit struct {
	Job   string `json:"j"`
	Chunk int    `json:"c,omitempty"`
	Bits  []byte `json:"b"`
}

// ChunkTasks is how many tasks' bits are stored as one.
const ChunkTasks = 8192

// BlockRecord is the value of block/<n>.
type BlockRecord struct {
	Token  uint64 `json:"token"`
	Holder string `json:"holder"`
	Run    uint64 `json:"run"`
}

// LayoutRecord fixes how machines are split into blocks.
type LayoutRecord struct {
	Blocks int `json:"blocks"`
}

// FleetRecord is a rental, or machines that were found: the durable roster.
type FleetRecord struct {
	Rental   wire.ProvisionRequest `json:"rental"`
	Machines []string              `json:"machines"`
	Asked    bool                  `json:"asked"` // the answer is known
}

// Messages to a Leader.
type (
	// Elected begins an epoch; every write guards on Epoch, the leader key's version.
	Elected struct {
		Epoch uint64
		Run   uint64
	}
	// Authority says until when the leader may act without a further renewal.
	Authority struct{ Until clock.Micros }
	// Deposed ends the epoch.
	Deposed struct{}
	// Loaded is the store's content at the start of an epoch.
	Loaded struct {
		Epoch    uint64
		Items    []wire.Item
		Revision uint64
		Wall     clock.Micros // time of day
		Asked    clock.Micros // when the jobs were asked for
	}
	// Joined is a new link to a controller, maybe to ourselves.
	Joined struct {
		Node string
		Run  uint64
		Link any
		Slow bool // through the state service: messages take seconds
	}
	// Left is its end.
	Left struct {
		Node string
		Link any
	}
	// Said is what a holder says.
	Said struct {
		Node string
		Link any
		Up   *peer.ToLeader
	}
	// Watched are changes of jobs, maybe none: all that there were until Asked, when they
	// were asked for.
	Watched struct {
		Epoch  uint64
		Events []wire.Event
		Asked  clock.Micros
	}
	// Committed is the end of a transaction.
	Committed struct {
		Epoch   uint64
		Tag     any
		Outcome store.TxnResult
		Err     error
	}
	// Records are a block's start records, read after its key was written.
	Records struct {
		Epoch uint64
		Block int
		Token uint64
		Pages map[string]peer.AttemptPage
	}
	// Read is one key that was asked for.
	Read struct {
		Epoch uint64
		Tag   any
		Item  wire.Item
		Found bool
	}
	// CatalogRead is the cloud's catalog.
	CatalogRead struct{ Types []wire.MachineType }
	// Listed is the cloud's full machine list.
	Listed struct{ Machines []wire.Machine }
	// Rented is a rental's end.
	Rented struct {
		Epoch      uint64
		Request    string
		Machines   []string
		NoCapacity bool
		Err        error
	}
	// Deleted is a deletion's end; when Err is nil the machines are gone.
	Deleted struct {
		Epoch    uint64
		Machines []string
		Err      error
	}
	// StatusAsked is an operator's question; the answer goes to Tag.
	StatusAsked struct{ Tag any }
	// Tick lets time pass.
	Tick struct{}
)

// Effects of a Leader.
type (
	// Tell goes to a holder.
	Tell struct {
		Link any
		Down peer.FromLeader
	}
	// Load asks for all that the store holds of ours, and a watch of the jobs from there on.
	Load struct{ Epoch uint64 }
	// LoadRecords asks for a block's start records.
	LoadRecords struct {
		Epoch uint64
		Block int
		Token uint64
	}
	// Commit is a transaction; Guards on the epoch are part of it.
	Commit struct {
		Epoch uint64
		Prio  int
		Txn   wire.Txn
		Tag   any
	}
	// ReadKey asks for one key.
	ReadKey struct {
		Epoch uint64
		Key   string
		Tag   any
	}
	// Rent asks the cloud for machines.
	Rent struct {
		Epoch  uint64
		Rental wire.ProvisionRequest
	}
	// Delete returns machines.
	Delete struct {
		Epoch    uint64
		Machines []string
	}
	// List asks for the machine list.
	List struct{}
	// ReadCatalog asks for the catalog.
	ReadCatalog struct{}
	// Paused tells that the controller stood still.
	Paused struct{ Pause standstill.Pause }
	// AnswerStatus answers an operator's question.
	AnswerStatus struct {
		Tag    any
		Status peer.Status
	}
	// Resign gives up the epoch.
	Resign struct{ Why string }
	// Trace is a span to be written.
	Trace struct{ Span trace.Span }
	// Log is a line for the log.
	Log struct {
		Debug bool
		Text  string
		Args  []any
	}
)
