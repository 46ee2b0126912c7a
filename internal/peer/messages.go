//lint:file-ignore U1000 msgpack finds the fields _msgpack by their name

// Package peer is what controllers say to each other: msgpack over plain TCP,
// followers dial the leader. A link that breaks is never resumed: the leader
// grants the blocks anew, under new tokens. Messages are arrays of their fields, and
// their reader refuses an array with a field more or less. While an upgrade goes on two
// versions speak to each other, so these arrays stay as they are; wire.Job and
// wire.MachineType travel as maps and may grow.
package peer

import (
	"fmt"
	"slices"

	"swiftledge/internal/cluster"
	"swiftledge/wire"
)

// Hello opens a link.
type Hello struct {
	_msgpack    struct{} `msgpack:",as_array"`
	Controller  string
	Incarnation cluster.Incarnation // differs with each start of the process
	Term        cluster.Term        // of the leader that is meant
}

// Task names one task.
type Task struct {
	_msgpack struct{} `msgpack:",as_array"`
	Job      string
	Index    int
}

// AttemptRecord says that an attempt of a task may run on a machine.
type AttemptRecord struct {
	Index   int
	Attempt wire.AttemptID
	Machine string
}

// AttemptBits is how many low bits of an attempt count within a grant; the rest is its token.
const AttemptBits = 20

// NewAttemptID is the attempt that has the given count within a grant.
func NewAttemptID(token wire.FencingToken, count uint64) wire.AttemptID {
	return wire.AttemptID(token)<<AttemptBits | wire.AttemptID(count)
}

// AttemptGroup holds a job's records with what each of its tasks takes, so that
// they count in full also when the job is no longer known.
type AttemptGroup struct {
	_msgpack    struct{} `msgpack:",as_array"`
	Job         string   `json:"j"`
	Team        string   `json:"o"`
	CPUs        float64  `json:"c,omitempty"`
	GPUs        float64  `json:"g,omitempty"`
	MemoryGB    float64  `json:"r,omitempty"`
	SaveS       float64  `json:"s,omitempty"`
	CheckpointS float64  `json:"k,omitempty"`
	Image       string   `json:"img,omitempty"`
	ImageGB     float64  `json:"b,omitempty"`
	// Attempts has three numbers for each record: the task's index, the attempt's
	// count within the grant, and its machine's place in the page's list.
	Attempts []int `json:"t"`
}

// AttemptPage is the value of one key of start records, all of one grant. Hundreds
// of records go into a few kilobytes: machines are named once, less what their
// names begin with alike.
type AttemptPage struct {
	_msgpack     struct{}          `msgpack:",as_array"`
	FencingToken wire.FencingToken `json:"n"`
	Prefix       string            `json:"p,omitempty"`
	Machines     []string          `json:"m"`
	Groups       []AttemptGroup    `json:"g"`
}

// Records are the records of one of the page's groups.
func (p *AttemptPage) Records(g *AttemptGroup) ([]AttemptRecord, error) {
	if len(g.Attempts)%3 != 0 {
		return nil, fmt.Errorf("start records of %s are cut short", g.Job)
	}
	out := make([]AttemptRecord, 0, len(g.Attempts)/3)
	for i := 0; i < len(g.Attempts); i += 3 {
		m := g.Attempts[i+2]
		if m < 0 || m >= len(p.Machines) {
			return nil, fmt.Errorf("start records of %s name no machine", g.Job)
		}
		out = append(out, AttemptRecord{Index: g.Attempts[i], Attempt: NewAttemptID(p.FencingToken, uint64(g.Attempts[i+1])), Machine: p.Prefix + p.Machines[m]})
	}
	return out, nil
}

// Validate says whether all records of the page can be read.
func (p *AttemptPage) Validate() error {
	for i := range p.Groups {
		if _, err := p.Records(&p.Groups[i]); err != nil {
			return err
		}
	}
	return nil
}

// AttemptPager gathers records into pages of a bounded size.
type AttemptPager struct {
	token  wire.FencingToken
	most   int
	size   int
	page   AttemptPage
	groups map[string]int
	places map[string]int
}

// NewAttemptPager makes pages for a grant's token whose JSON takes at most the given number of bytes.
func NewAttemptPager(token wire.FencingToken, bytes int) *AttemptPager {
	return &AttemptPager{token: token, most: bytes, size: 64, groups: map[string]int{}, places: map[string]int{}}
}

// Add takes one record in if it fits.
func (p *AttemptPager) Add(g *AttemptGroup, index int, attempt wire.AttemptID, machine string) bool {
	count := int(attempt & (1<<AttemptBits - 1))
	more := 3 + digits(index) + digits(count) + 4
	gi, known := p.groups[g.Job]
	if !known {
		more += 120 + len(g.Job) + len(g.Team) + len(g.Image)
	}
	at, named := p.places[machine]
	if !named {
		more += len(machine) + 3
	}
	if p.size+more > p.most {
		return false
	}
	p.size += more
	if !known {
		gi = len(p.page.Groups)
		p.groups[g.Job] = gi
		c := *g
		c.Attempts = nil
		p.page.Groups = append(p.page.Groups, c)
	}
	if !named {
		at = len(p.page.Machines)
		p.places[machine] = at
		p.page.Machines = append(p.page.Machines, machine)
	}
	p.page.Groups[gi].Attempts = append(p.page.Groups[gi].Attempts, index, count, at)
	return true
}

// Len is how many records were gathered.
func (p *AttemptPager) Len() (n int) {
	for i := range p.page.Groups {
		n += len(p.page.Groups[i].Attempts) / 3
	}
	return n
}

// Page is what was gathered.
func (p *AttemptPager) Page() AttemptPage {
	out := p.page
	out.FencingToken = p.token
	out.Machines = slices.Clone(p.page.Machines)
	if len(out.Machines) > 1 {
		first := out.Machines[0]
		k := len(first)
		for _, m := range out.Machines[1:] {
			k = min(k, len(m))
			for k > 0 && m[:k] != first[:k] {
				k--
			}
		}
		out.Prefix = first[:k]
		for i, m := range out.Machines {
			out.Machines[i] = m[k:]
		}
	}
	return out
}

func digits(n int) int {
	d := 1
	for ; n > 9; n /= 10 {
		d++
	}
	return d
}

// InventoryMachine is a machine of the durable roster; Address is "" while unknown.
type InventoryMachine struct {
	_msgpack      struct{} `msgpack:",as_array"`
	Name, Address string
}

// ShardGrant hands a block of machines to a controller.
type ShardGrant struct {
	_msgpack     struct{} `msgpack:",as_array"`
	Shard        int
	FencingToken wire.FencingToken
	KeyVersion   uint64 // version of the block's key, which guards start records
	Pages        map[string]AttemptPage
	Machines     []InventoryMachine
}

// TaskOffer hands tasks of one job to a block.
type TaskOffer struct {
	_msgpack    struct{} `msgpack:",as_array"`
	Job         wire.Job
	Zone        string // "" or the zone that these tasks are bound to
	TaskIndexes []int
}

// ShardOrders is what the leader tells the holder of a block.
type ShardOrders struct {
	_msgpack     struct{} `msgpack:",as_array"`
	Shard        int
	FencingToken wire.FencingToken
	Offers       []TaskOffer
	OfferSeq     uint64 // of the offers, if any; the holder names it back
	Stop         []StopTask
	Persisted    []Task   // proven done and stored: may be forgotten
	Added        []string // machines now in the roster
	Drain        []string // machines to empty
	Terminated   []string // machines whose end is proven
	Exclude      []string // machines that new tasks are to leave out
	Include      []string // and no longer
}

// StopTask tells to end a task, with time to save or without.
type StopTask struct {
	_msgpack struct{} `msgpack:",as_array"`
	Task
	Checkpoint bool
}

// TaskCount is a job's counts for display.
type TaskCount struct {
	_msgpack      struct{} `msgpack:",as_array"`
	Job           string
	Done, Running int
}

// FromLeader is what the leader says.
type FromLeader struct {
	_msgpack      struct{} `msgpack:",as_array"`
	Term          cluster.Term
	RenewedSeq    uint64 // the Renew that is granted
	FencingTokens map[int]wire.FencingToken
	Grants        []ShardGrant
	Orders        []ShardOrders
	Holders       []string // by block: who answers its machines
	TaskCounts    []TaskCount
	Types         []wire.MachineType
	StoreOK       bool // with Renewed: the state service serves the leader
}

// EventKind says what became of a task in a shard.
type EventKind string

// Kinds of task events.
const (
	EventCompleted EventKind = "done"     // the task completed
	EventReleased  EventKind = "back"     // it is not on any machine of the block
	EventAssigned  EventKind = "started"  // it has been given to a machine
	EventRunning   EventKind = "running"  // it has its image
	EventFailed    EventKind = "errored"  // it failed and is gone from the machine
	EventUnplaced  EventKind = "unplaced" // no room was found
	// EventAttemptRemains comes before a Done that is not the end of the task's last attempt: another may run in
	// the block, and its end will be told. The version in production neither sends nor knows it.
	EventAttemptRemains EventKind = "remains"
)

// TaskEvent is a change of a task in a block.
type TaskEvent struct {
	_msgpack struct{} `msgpack:",as_array"`
	Task
	Kind       EventKind
	Machine    string
	RunSeconds float64 // of run time, with Done
}

// MachineState is a machine as its holder sees it.
type MachineState struct {
	_msgpack                  struct{} `msgpack:",as_array"`
	Name, Type, Zone, Address string
	Spot, Schedulable         bool // Fit: it can be given tasks
	Silent                    bool // not heard for long, or does not hear, while its lease may hold
	PreemptionNotice          bool
	Terminated                bool    // a leader, maybe a former one, had the cloud's word that it is deleted
	TokenConfirmed            bool    // it has shown the holder's token: no late copy tells of it
	CPUs, GPUs, MemoryGB      float64 // free
	Tasks                     int
	Images                    []string
}

// ShardUpdate is what a holder tells the leader of its block.
type ShardUpdate struct {
	_msgpack        struct{} `msgpack:",as_array"`
	Shard           int
	FencingToken    wire.FencingToken
	SettledOfferSeq uint64 // the last offers that are settled
	Events          []TaskEvent
	Machines        []MachineState
	NeedsRegrant    bool // the grant is void: a newer token has been seen
}

// ToLeader is what a holder says.
type ToLeader struct {
	_msgpack       struct{} `msgpack:",as_array"`
	Term           cluster.Term
	RenewSeq       uint64
	StoreOK        bool
	NoAgentContact bool // with Renew: none of its workers has been heard for long
	Updates        []ShardUpdate
}
