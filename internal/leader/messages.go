// Package leader is the leading controller's part: jobs, team queues, limits,
// shard grants and the fleet. It holds no I/O: a message and the time give effects.
package leader

import (
	"swiftledge/internal/clock"
	"swiftledge/internal/cluster"
	"swiftledge/internal/election"
	"swiftledge/internal/pausedetect"
	"swiftledge/internal/peer"
	"swiftledge/internal/store"
	"swiftledge/internal/trace"
	"swiftledge/wire"
)

// Store keys of the leader.
const (
	Key                 = election.Key
	LayoutKey           = "layout"
	CatalogKey          = "catalog"
	JobPrefix           = "job/"
	FinalStatePrefix    = "over/"
	InstanceGroupPrefix = "fleet/"
)

// JobRecord is the value of job/<ref>.
type JobRecord struct {
	Spec       wire.Job     `json:"spec"`
	AcceptedAt clock.Micros `json:"at"` // time of day of the acceptance
}

// FinalStateRecord is the value of over/<ref>: a final state, kept for ever.
type FinalStateRecord struct {
	State wire.JobState `json:"state"`
	Tasks int           `json:"tasks"`
}

// ShardRecord is the value of block/<n>.
type ShardRecord struct {
	FencingToken wire.FencingToken   `json:"token"`
	Holder       string              `json:"holder"`
	Incarnation  cluster.Incarnation `json:"run"`
}

// LayoutRecord fixes how machines are split into shards.
type LayoutRecord struct {
	Shards int `json:"blocks"`
}

// InstanceGroupRecord is a provision request, or machines that were found: the durable inventory.
type InstanceGroupRecord struct {
	Request  wire.ProvisionRequest `json:"rental"`
	Machines []string              `json:"machines"`
	Answered bool                  `json:"asked"` // the answer is known
}

// Link is a connection to a controller, maybe to this one. Links are compared: the holder of a shard is told of it
// over the link that it was granted over.
type Link interface {
	// Send hands a message over for delivery and does not wait for it.
	Send(message *peer.FromLeader)
}

// TxnTag says what a transaction or a read was for; it comes back with the outcome.
//
//sumtype:decl
type TxnTag interface{ txnTag() }

// Message is a message to a Leader.
//
//sumtype:decl
type Message interface{ leaderMessage() }

// Messages to a Leader.
type (
	// LeadershipAcquired begins an term; every write guards on Epoch, the leader key's version.
	LeadershipAcquired struct {
		Term        cluster.Term
		Incarnation cluster.Incarnation
	}
	// LeadershipExtended says until when the leader may act without a further renewal.
	LeadershipExtended struct{ Until clock.Micros }
	// LeadershipLost ends the term.
	LeadershipLost struct{}
	// StateLoaded is the store's content at the start of an term.
	StateLoaded struct {
		Term        cluster.Term
		Items       []wire.Item
		Revision    uint64
		TimeOfDay   clock.Micros // time of day
		RequestedAt clock.Micros // when the jobs were asked for
	}
	// PeerConnected is a new link to a controller, maybe to ourselves.
	PeerConnected struct {
		Controller  string
		Incarnation cluster.Incarnation
		Link        Link
		ViaStore    bool // through the store: messages take seconds
	}
	// PeerDisconnected is its end.
	PeerDisconnected struct {
		Controller string
		Link       Link
	}
	// HolderMessage is what a holder says.
	HolderMessage struct {
		Controller string
		Link       Link
		Message    *peer.ToLeader
	}
	// JobsChanged are changes of jobs, maybe none: all that there were until Asked, when they
	// were asked for.
	JobsChanged struct {
		Term        cluster.Term
		Events      []wire.Event
		RequestedAt clock.Micros
	}
	// TxnCompleted is the end of a transaction.
	TxnCompleted struct {
		Term   cluster.Term
		Tag    TxnTag
		Result store.TxnResult
		Err    error
	}
	// AttemptsLoaded are a shard's attempt records, read after its key was written.
	AttemptsLoaded struct {
		Term         cluster.Term
		Shard        int
		FencingToken wire.FencingToken
		Pages        map[string]peer.AttemptPage
	}
	// KeyRead is one key that was asked for.
	KeyRead struct {
		Term  cluster.Term
		Tag   TxnTag
		Item  wire.Item
		Found bool
	}
	// CatalogLoaded is the cloud's catalog.
	CatalogLoaded struct{ Types []wire.MachineType }
	// MachinesListed is the cloud's full machine list.
	MachinesListed struct{ Machines []wire.Machine }
	// MachinesProvisioned is a provision request's end.
	MachinesProvisioned struct {
		Term       cluster.Term
		RequestID  string
		Machines   []string
		NoCapacity bool
		Err        error
	}
	// MachinesDeleted is a deletion's end; when Err is nil the machines are gone.
	MachinesDeleted struct {
		Term     cluster.Term
		Machines []string
		Err      error
	}
	// StatusRequested is an operator's question; the answer goes to Tag.
	StatusRequested struct{ ReplyTo chan<- peer.Status }
	// Tick lets time pass.
	Tick struct{}
)

func (LeadershipAcquired) leaderMessage()  {}
func (LeadershipExtended) leaderMessage()  {}
func (LeadershipLost) leaderMessage()      {}
func (StatusRequested) leaderMessage()     {}
func (PeerConnected) leaderMessage()       {}
func (PeerDisconnected) leaderMessage()    {}
func (HolderMessage) leaderMessage()       {}
func (CatalogLoaded) leaderMessage()       {}
func (MachinesListed) leaderMessage()      {}
func (Tick) leaderMessage()                {}
func (StateLoaded) leaderMessage()         {}
func (JobsChanged) leaderMessage()         {}
func (TxnCompleted) leaderMessage()        {}
func (AttemptsLoaded) leaderMessage()      {}
func (KeyRead) leaderMessage()             {}
func (MachinesProvisioned) leaderMessage() {}
func (MachinesDeleted) leaderMessage()     {}

// EndsTerm reports whether a message ends the term under way, and with it all that the term has asked for.
func EndsTerm(message Message) bool {
	switch message.(type) {
	case LeadershipAcquired, LeadershipLost:
		return true
	case LeadershipExtended, StatusRequested, event, answer:
		return false
	}
	return false
}

// event is a message that counts only while the controller leads.
//
//sumtype:decl
type event interface {
	Message
	leaderEvent()
}

func (PeerConnected) leaderEvent()    {}
func (PeerDisconnected) leaderEvent() {}
func (HolderMessage) leaderEvent()    {}
func (CatalogLoaded) leaderEvent()    {}
func (MachinesListed) leaderEvent()   {}
func (Tick) leaderEvent()             {}

// answer is the answer to an effect. Its term is that of the effect: an answer of an earlier term is not waited for
// any more.
//
//sumtype:decl
type answer interface {
	Message
	answeredTerm() cluster.Term
}

func (m StateLoaded) answeredTerm() cluster.Term         { return m.Term }
func (m JobsChanged) answeredTerm() cluster.Term         { return m.Term }
func (m TxnCompleted) answeredTerm() cluster.Term        { return m.Term }
func (m AttemptsLoaded) answeredTerm() cluster.Term      { return m.Term }
func (m KeyRead) answeredTerm() cluster.Term             { return m.Term }
func (m MachinesProvisioned) answeredTerm() cluster.Term { return m.Term }
func (m MachinesDeleted) answeredTerm() cluster.Term     { return m.Term }

// Effect is what a Leader wants done.
//
//sumtype:decl
type Effect interface{ leaderEffect() }

// Effects of a Leader.
type (
	// SendToHolder goes to a holder.
	SendToHolder struct {
		Link    Link
		Message peer.FromLeader
	}
	// LoadState asks for all that the store holds of ours, and a watch of the jobs from there on.
	LoadState struct{ Term cluster.Term }
	// LoadAttempts asks for a shard's attempt records.
	LoadAttempts struct {
		Term         cluster.Term
		Shard        int
		FencingToken wire.FencingToken
	}
	// CommitTxn is a transaction; Guards on the term are part of it.
	CommitTxn struct {
		Term     cluster.Term
		Priority store.Priority
		Txn      wire.Txn
		Tag      TxnTag
	}
	// ReadKey asks for one key.
	ReadKey struct {
		Term cluster.Term
		Key  string
		Tag  TxnTag
	}
	// ProvisionMachines asks the cloud for machines.
	ProvisionMachines struct {
		Term    cluster.Term
		Request wire.ProvisionRequest
	}
	// DeleteMachines returns machines.
	DeleteMachines struct {
		Term     cluster.Term
		Machines []string
	}
	// ListMachines asks for the machine list.
	ListMachines struct{}
	// LoadCatalog asks for the catalog.
	LoadCatalog struct{}
	// PauseDetected tells that the controller stood still.
	PauseDetected struct{ Pause pausedetect.Pause }
	// ReplyStatus answers an operator's question.
	ReplyStatus struct {
		ReplyTo chan<- peer.Status
		Status  peer.Status
	}
	// Resign gives up the term.
	Resign struct{ Reason string }
	// RecordSpan is a span to be written.
	RecordSpan struct{ Span trace.Span }
	// Log is a line for the log.
	Log struct {
		Debug      bool
		Message    string
		Attributes []any
	}
)

func (SendToHolder) leaderEffect()      {}
func (LoadState) leaderEffect()         {}
func (LoadAttempts) leaderEffect()      {}
func (CommitTxn) leaderEffect()         {}
func (ReadKey) leaderEffect()           {}
func (ProvisionMachines) leaderEffect() {}
func (DeleteMachines) leaderEffect()    {}
func (ListMachines) leaderEffect()      {}
func (LoadCatalog) leaderEffect()       {}
func (PauseDetected) leaderEffect()     {}
func (ReplyStatus) leaderEffect()       {}
func (Resign) leaderEffect()            {}
func (RecordSpan) leaderEffect()        {}
func (Log) leaderEffect()               {}

func (shardsTag) txnTag()        {}
func (instanceGroupTag) txnTag() {}
