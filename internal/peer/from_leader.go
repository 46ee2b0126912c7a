//lint:file-ignore U1000 msgpack finds the fields _msgpack by their name

package peer

import (
	"swiftledge/internal/cluster"
	"swiftledge/wire"
)

// FromLeader is a message of the leader to a holder.
type FromLeader struct {
	_msgpack      struct{} `msgpack:",as_array"`
	Term          cluster.Term
	RenewedSeq    uint64                    // RenewSeq of the message whose renewal of the shard leases is granted
	FencingTokens map[int]wire.FencingToken // by shard: those that are renewed
	Grants        []ShardGrant
	Orders        []ShardOrders
	Holders       []string // by shard: the controller that answers its machines
	TaskCounts    []TaskCount
	Types         []wire.MachineType
	StoreOK       bool // with RenewedSeq: the state service serves the leader
}

// ShardGrant hands a shard to a holder.
type ShardGrant struct {
	_msgpack     struct{} `msgpack:",as_array"`
	Shard        int
	FencingToken wire.FencingToken
	KeyVersion   uint64                 // version of the shard's key, a condition of every write of attempt records
	Pages        map[string]AttemptPage // by key: what earlier holders may have launched
	Machines     []InventoryMachine
}

// InventoryMachine is a machine of the durable inventory.
type InventoryMachine struct {
	_msgpack      struct{} `msgpack:",as_array"`
	Name, Address string   // Address is "" while it is unknown
}

// ShardOrders is what the leader asks of the holder of a shard.
type ShardOrders struct {
	_msgpack     struct{} `msgpack:",as_array"`
	Shard        int
	FencingToken wire.FencingToken
	Offers       []TaskOffer
	OfferSeq     uint64 // of the offers, if any; the holder returns it in SettledOfferSeq
	Stop         []StopTask
	Persisted    []Task   // completed and stored: the holder may forget them
	Added        []string // machines that are new in the inventory
	Drain        []string // machines to drain
	Terminated   []string // machines that are proven to be terminated
	Exclude      []string // machines to exclude from scheduling
	Include      []string // machines to include in scheduling again
}

// TaskOffer hands tasks of one job to the holder of a shard.
type TaskOffer struct {
	_msgpack    struct{} `msgpack:",as_array"`
	Job         wire.Job
	Zone        string // that these tasks are bound to; "" if to none
	TaskIndexes []int
}

// StopTask asks to stop a task.
type StopTask struct {
	_msgpack struct{} `msgpack:",as_array"`
	Task
	Checkpoint bool // it is given time to write a checkpoint
}

// TaskCount is how many of a job's tasks are completed and running, for display.
type TaskCount struct {
	_msgpack      struct{} `msgpack:",as_array"`
	Job           string
	Done, Running int
}
