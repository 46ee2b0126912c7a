//lint:file-ignore U1000 msgpack finds the fields _msgpack by their name

package peer

import (
	"swiftledge/internal/cluster"
	"swiftledge/wire"
)

// Task identifies one task.
type Task struct {
	_msgpack struct{} `msgpack:",as_array"`
	Job      string
	Index    int
}

// ToLeader is a message of a holder to the leader.
type ToLeader struct {
	_msgpack       struct{} `msgpack:",as_array"`
	Term           cluster.Term
	RenewSeq       uint64 // asks to renew the holder's shard leases; 0 if it doesn't
	StoreOK        bool   // the state service serves the holder
	NoAgentContact bool   // with RenewSeq: no agent of the holder's machines has sent a heartbeat for long
	Updates        []ShardUpdate
}

// ShardUpdate is what changed in a shard.
type ShardUpdate struct {
	_msgpack        struct{} `msgpack:",as_array"`
	Shard           int
	FencingToken    wire.FencingToken
	SettledOfferSeq uint64 // OfferSeq of the last offers that are settled
	Events          []TaskEvent
	Machines        []MachineState
	NeedsRegrant    bool // the grant is void, as a machine has shown a newer fencing token
}

// EventKind is what happened to a task in a shard.
type EventKind string

// Kinds of task events.
const (
	EventCompleted EventKind = "done"     // it completed
	EventReleased  EventKind = "back"     // it is on no machine of the shard
	EventAssigned  EventKind = "started"  // it has been launched on a machine, and fetches its image
	EventRunning   EventKind = "running"  // it has its image and runs
	EventFailed    EventKind = "errored"  // it failed and is gone from the machine
	EventUnplaced  EventKind = "unplaced" // no machine has enough free capacity
	// EventAttemptRemains comes before an EventCompleted that is not the end of the task's last attempt: another may
	// run in the shard, and its end will be reported. The version in production neither sends nor knows it.
	EventAttemptRemains EventKind = "remains"
)

// TaskEvent is a change of a task in a shard.
type TaskEvent struct {
	_msgpack struct{} `msgpack:",as_array"`
	Task
	Kind       EventKind
	Machine    string
	RunSeconds float64 // with EventCompleted: for how long it ran
}

// MachineState is a machine as its holder sees it.
type MachineState struct {
	_msgpack                  struct{} `msgpack:",as_array"`
	Name, Type, Zone, Address string
	Spot                      bool
	Schedulable               bool // it can be given tasks
	// Silent: no heartbeat for long, or it is unreachable for commands, while its lease may hold.
	Silent           bool
	PreemptionNotice bool
	// Terminated: a leader, maybe a former one, had the cloud's answer that it is deleted.
	Terminated bool
	// TokenConfirmed: it has shown the holder's fencing token, so no late copy of a message tells of it.
	TokenConfirmed       bool
	CPUs, GPUs, MemoryGB float64 // free capacity
	Tasks                int
	Images               []string
}
