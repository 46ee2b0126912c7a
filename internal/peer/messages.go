// Package peer is what controllers say to each other: msgpack over plain TCP,
// followers dial the leader. A link that breaks is never resumed: the leader
// grants the blocks anew, under new tokens.
package peer

import "swiftledge/wire"

// Hello opens a link.
type Hello struct {
	Node  string
	Run   uint64 // differs with each start of the process
	Epoch uint64 // of the leader that is meant
}

// Task names one task.
type Task struct {
	Job   string
	Index int
}

// Record says that an attempt of a task may run on a machine.
type Record struct {
	Index   int    `json:"i"`
	Attempt uint64 `json:"a"`
	Machine string `json:"m"`
}

// RecordGroup holds a job's records with what each of its tasks takes, so that
// they count in full also when the job is no longer known.
type RecordGroup struct {
	Job     string   `json:"j"`
	Team    string   `json:"o"`
	CPUs    float64  `json:"c"`
	GPUs    float64  `json:"g"`
	Memory  float64  `json:"r"`
	SaveS   float64  `json:"s"`
	Ckpt    float64  `json:"k"`
	Image   string   `json:"img"`
	Records []Record `json:"t"`
}

// RecordPage is the value of one key of start records.
type RecordPage struct {
	Groups []RecordGroup `json:"g"`
}

// RosterMachine is a machine of the durable roster; Address is "" while unknown.
type RosterMachine struct{ Name, Address string }

// Grant hands a block of machines to a controller.
type Grant struct {
	Block    int
	Token    uint64
	Stamp    uint64 // version of the block's key, which guards start records
	Pages    map[string]RecordPage
	Machines []RosterMachine
}

// Offer hands tasks of one job to a block.
type Offer struct {
	Job     wire.Job
	Zone    string // "" or the zone that these tasks are bound to
	Indexes []int
}

// BlockOrders is what the leader tells the holder of a block.
type BlockOrders struct {
	Block  int
	Token  uint64
	Offers []Offer
	Seq    uint64 // of the offers, if any; the holder names it back
	Stop   []StopTask
	Stored []Task   // proven done and stored: may be forgotten
	Use    []string // machines now in the roster
	Drain  []string // machines to empty
	Gone   []string // machines whose end is proven
}

// StopTask tells to end a task, with time to save or without.
type StopTask struct {
	Task
	Save bool
}

// TaskCount is a job's counts for display.
type TaskCount struct {
	Job           string
	Done, Running int
}

// Down is what the leader says.
type Down struct {
	Epoch   uint64
	Renewed uint64 // the Renew that is granted
	Tokens  map[int]uint64
	Grants  []Grant
	Orders  []BlockOrders
	Holders []string // by block: who answers its machines
	Counts  []TaskCount
	Types   []wire.MachineType
	StoreOK bool // with Renewed: the state service serves the leader
}

// Event kinds.
const (
	Done     = "done"     // the task completed
	Back     = "back"     // it is not on any machine of the block
	Started  = "started"  // it has been given to a machine
	Running  = "running"  // it has its image
	Errored  = "errored"  // it failed and is gone from the machine
	Unplaced = "unplaced" // no room was found
)

// Event is a change of a task in a block.
type Event struct {
	Task
	Kind    string
	Machine string
	Secs    float64 // of run time, with Done
}

// MachineState is a machine as its holder sees it.
type MachineState struct {
	Name, Type, Zone, Address string
	Spot, Fit, Draining       bool // Fit: it can be given tasks
	Lost                      bool // silent beyond its lease
	Silent                    bool // not heard for long, while its lease may hold
	Notice                    bool
	CPUs, GPUs, Memory        float64 // free
	Tasks                     int
	Images                    []string
}

// BlockUpdate is what a holder tells the leader of its block.
type BlockUpdate struct {
	Block    int
	Token    uint64
	Seq      uint64 // the last offers that are settled
	Events   []Event
	Machines []MachineState
	Lost     bool // the grant is void: a newer token has been seen
}

// Up is what a holder says.
type Up struct {
	Epoch   uint64
	Renew   uint64
	StoreOK bool
	Updates []BlockUpdate
}
