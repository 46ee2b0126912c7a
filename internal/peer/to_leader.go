//lint:file-ignore U1000 msgpack looks up the fields _msgpack by name

package peer

import (
	"swiftledge/internal/cluster"
	"swiftledge/wire"
)

// Task identifies a task.
type Task struct {
	_msgpack struct{} `msgpack:",as_array"`
	Job      string
	Index    int
}

// ToLeader is a message from a shard holder to the leader.
type ToLeader struct {
	_msgpack       struct{} `msgpack:",as_array"`
	Term           cluster.Term
	RenewSeq       uint64 // sequence number of a request to renew the holder's shard leases; 0 for none
	StoreOK        bool   // the store is available to the holder
	NoAgentContact bool   // with RenewSeq: no agent of the holder's machines has sent a heartbeat recently
	Updates        []ShardUpdate
}

// ShardUpdate holds the changes in a shard.
type ShardUpdate struct {
	_msgpack     struct{} `msgpack:",as_array"`
	Shard        int
	FencingToken wire.FencingToken
	// SettledOfferSeq is the OfferSeq of the latest settled offers. An offer is settled once no attempt record of its
	// tasks is being written any more.
	SettledOfferSeq uint64
	Events          []TaskEvent
	Machines        []MachineState
	NeedsRegrant    bool // a new grant is needed, for example because a machine has reported a newer fencing token
}

// EventKind is the kind of a task event.
type EventKind string

// Kinds of task events.
const (
	EventCompleted EventKind = "done"     // the task completed
	EventReleased  EventKind = "back"     // returned to the leader: the task is on no machine of the shard
	EventAssigned  EventKind = "started"  // the task was assigned to a machine and is to be launched there
	EventRunning   EventKind = "running"  // the task has its image and runs
	EventFailed    EventKind = "errored"  // the task failed and is no longer on the machine
	EventUnplaced  EventKind = "unplaced" // not placed, for example because no machine has enough free capacity
	// EventAttemptRemains precedes an EventCompleted that does not end the last attempt of the task: another attempt
	// may be running in the shard, and its end will be reported. The version in production neither sends nor recognizes
	// this event.
	EventAttemptRemains EventKind = "remains"
)

// TaskEvent reports a state change of a task in a shard.
type TaskEvent struct {
	_msgpack struct{} `msgpack:",as_array"`
	Task
	Kind       EventKind
	Machine    string
	RunSeconds float64 // with EventCompleted: how long the task ran
}

// MachineState is the state of a machine as its shard holder knows it.
type MachineState struct {
	_msgpack                  struct{} `msgpack:",as_array"`
	Name, Type, Zone, Address string
	Spot                      bool
	Schedulable               bool // the machine accepts new tasks
	// Silent: no status of the agent has arrived for a long time, or commands cannot reach it, but its lease may still
	// be valid.
	Silent           bool
	PreemptionNotice bool
	// Terminated: the cloud has confirmed to a leader, possibly a former one, that the machine is deleted.
	Terminated bool
	// TokenConfirmed: the machine has reported the holder's fencing token, so its state does not come from a delayed
	// duplicate of an older message.
	TokenConfirmed       bool
	CPUs, GPUs, MemoryGB float64 // free capacity
	Tasks                int
	Images               []string
}
