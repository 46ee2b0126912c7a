//lint:file-ignore U1000 msgpack looks up the fields _msgpack by name

package peer

import (
	"swiftledge/internal/cluster"
	"swiftledge/wire"
)

// FromLeader is a message from the leader to a shard holder.
type FromLeader struct {
	_msgpack      struct{} `msgpack:",as_array"`
	Term          cluster.Term
	RenewedSeq    uint64                    // RenewSeq of the ToLeader message whose lease renewal is granted
	FencingTokens map[int]wire.FencingToken // of the renewed shard leases, by shard
	Grants        []ShardGrant
	Orders        []ShardOrders
	Holders       []string // by shard: the controller that answers the heartbeats of the shard's machines
	TaskCounts    []TaskCount
	Types         []wire.MachineType
	StoreOK       bool // with RenewedSeq: the store is available to the leader
}

// ShardGrant assigns a shard to a holder.
type ShardGrant struct {
	_msgpack     struct{} `msgpack:",as_array"`
	Shard        int
	FencingToken wire.FencingToken
	KeyVersion   uint64                 // version of the shard's key: a condition of every write of attempt records
	Pages        map[string]AttemptPage // by key: attempts that earlier holders may have launched
	Machines     []InventoryMachine
}

// InventoryMachine is a machine of the persisted inventory.
type InventoryMachine struct {
	_msgpack      struct{} `msgpack:",as_array"`
	Name, Address string   // Address is "" while the address is unknown
}

// ShardOrders holds the leader's requests to the holder of a shard.
type ShardOrders struct {
	_msgpack     struct{} `msgpack:",as_array"`
	Shard        int
	FencingToken wire.FencingToken
	Offers       []TaskOffer
	OfferSeq     uint64 // sequence number of the offers, if any; see ShardUpdate.SettledOfferSeq
	Stop         []StopTask
	Persisted    []Task   // tasks whose completion is stored: the holder may forget their attempts
	Added        []string // machines that were added to the inventory
	Drain        []string // machines to drain: no more tasks are placed on them
	Terminated   []string // machines that are proven to be terminated
	Exclude      []string // machines to exclude from scheduling: no tasks are placed on them until they are included
	Include      []string // excluded machines that are included in scheduling again: tasks may be placed on them
}

// TaskOffer offers tasks of one job to the holder of a shard.
type TaskOffer struct {
	_msgpack    struct{} `msgpack:",as_array"`
	Job         wire.Job
	Zone        string // zone that the tasks must run in; "" for any
	TaskIndexes []int
}

// StopTask is a request to stop a task.
type StopTask struct {
	_msgpack struct{} `msgpack:",as_array"`
	Task
	Checkpoint bool // the task gets time to write a checkpoint
}

// TaskCount holds the numbers of completed and running tasks of a job, for display.
type TaskCount struct {
	_msgpack      struct{} `msgpack:",as_array"`
	Job           string
	Done, Running int
}
