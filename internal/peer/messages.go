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

	"swiftledge/wire"
)

// Hello opens a link.
type Hello struct {
	_msgpack struct{} `msgpack:",as_array"`
	Node     string
	Run      uint64 // differs with each start of the process
	Epoch    uint64 // of the leader that is meant
}

// Task names one task.
type Task struct {
	_msgpack struct{} `msgpack:",as_array"`
	Job      string
	Index    int
}

// Record says that an attempt of a task may run on a machine.
type Record struct {
	Index   int
	Attempt uint64
	Machine string
}

// AttemptBits is how many low bits of an attempt count within a grant; the rest is its token.
const AttemptBits = 20

// RecordGroup holds a job's records with what each of its tasks takes, so that
// they count in full also when the job is no longer known.
type RecordGroup struct {
	_msgpack struct{} `msgpack:",as_array"`
	Job      string   `json:"j"`
	Team     string   `json:"o"`
	CPUs     float64  `json:"c,omitempty"`
	GPUs     float64  `json:"g,omitempty"`
	Memory   float64  `json:"r,omitempty"`
	SaveS    float64  `json:"s,omitempty"`
	Ckpt     float64  `json:"k,omitempty"`
	Image    string   `json:"img,omitempty"`
	ImageGB  float64  `json:"b,omitempty"`
	// Starts has three numbers for each record: the task's index, the attempt's
	// count within the grant, and its machine's place in the page's list.
	Starts []int `json:"t"`
}

// RecordPage is the value of one key of start records, all of one grant. Hundreds
// of records go into a few kilobytes: machines are named once, less what their
// names begin with alike.
type RecordPage struct {
	_msgpack struct{}      `msgpack:",as_array"`
	Token    uint64        `json:"n"`
	Prefix   string        `json:"p,omitempty"`
	Machines []string      `json:"m"`
	Groups   []RecordGroup `json:"g"`
}

// Records are the records of one of the page's groups.
func (p *RecordPage) Records(g *RecordGroup) ([]Record, error) {
	if len(g.Starts)%3 != 0 {
		return nil, fmt.Errorf("start records of %s are cut short", g.Job)
	}
	out := make([]Record, 0, len(g.Starts)/3)
	for i := 0; i < len(g.Starts); i += 3 {
		m := g.Starts[i+2]
		if m < 0 || m >= len(p.Machines) {
			return nil, fmt.Errorf("start records of %s name no machine", g.Job)
		}
		out = append(out, Record{Index: g.Starts[i], Attempt: p.Token<<AttemptBits | uint64(g.Starts[i+1]), Machine: p.Prefix + p.Machines[m]})
	}
	return out, nil
}

// Check says whether all records of the page can be read.
func (p *RecordPage) Check() error {
	for i := range p.Groups {
		if _, err := p.Records(&p.Groups[i]); err != nil {
			return err
		}
	}
	return nil
}

// Pager gathers records into pages of a bounded size.
type Pager struct {
	token  uint64
	most   int
	size   int
	page   RecordPage
	groups map[string]int
	places map[string]int
}

// NewPager makes pages for a grant's token whose JSON takes at most the given number of bytes.
func NewPager(token uint64, bytes int) *Pager {
	return &Pager{token: token, most: bytes, size: 64, groups: map[string]int{}, places: map[string]int{}}
}

// Add takes one record in if it fits.
func (p *Pager) Add(g *RecordGroup, index int, attempt uint64, machine string) bool {
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
		c.Starts = nil
		p.page.Groups = append(p.page.Groups, c)
	}
	if !named {
		at = len(p.page.Machines)
		p.places[machine] = at
		p.page.Machines = append(p.page.Machines, machine)
	}
	p.page.Groups[gi].Starts = append(p.page.Groups[gi].Starts, index, count, at)
	return true
}

// Count is how many records were gathered.
func (p *Pager) Count() (n int) {
	for i := range p.page.Groups {
		n += len(p.page.Groups[i].Starts) / 3
	}
	return n
}

// Page is what was gathered.
func (p *Pager) Page() RecordPage {
	out := p.page
	out.Token = p.token
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

// RosterMachine is a machine of the durable roster; Address is "" while unknown.
type RosterMachine struct {
	_msgpack      struct{} `msgpack:",as_array"`
	Name, Address string
}

// Grant hands a block of machines to a controller.
type Grant struct {
	_msgpack struct{} `msgpack:",as_array"`
	Block    int
	Token    uint64
	Stamp    uint64 // version of the block's key, which guards start records
	Pages    map[string]RecordPage
	Machines []RosterMachine
}

// Offer hands tasks of one job to a block.
type Offer struct {
	_msgpack struct{} `msgpack:",as_array"`
	Job      wire.Job
	Zone     string // "" or the zone that these tasks are bound to
	Indexes  []int
}

// BlockOrders is what the leader tells the holder of a block.
type BlockOrders struct {
	_msgpack struct{} `msgpack:",as_array"`
	Block    int
	Token    uint64
	Offers   []Offer
	Seq      uint64 // of the offers, if any; the holder names it back
	Stop     []StopTask
	Stored   []Task   // proven done and stored: may be forgotten
	Use      []string // machines now in the roster
	Drain    []string // machines to empty
	Gone     []string // machines whose end is proven
	Rest     []string // machines that new tasks are to leave out
	Wake     []string // and no longer
}

// StopTask tells to end a task, with time to save or without.
type StopTask struct {
	_msgpack struct{} `msgpack:",as_array"`
	Task
	Save bool
}

// TaskCount is a job's counts for display.
type TaskCount struct {
	_msgpack      struct{} `msgpack:",as_array"`
	Job           string
	Done, Running int
}

// Down is what the leader says.
type Down struct {
	_msgpack struct{} `msgpack:",as_array"`
	Epoch    uint64
	Renewed  uint64 // the Renew that is granted
	Tokens   map[int]uint64
	Grants   []Grant
	Orders   []BlockOrders
	Holders  []string // by block: who answers its machines
	Counts   []TaskCount
	Types    []wire.MachineType
	StoreOK  bool // with Renewed: the state service serves the leader
}

// Event kinds.
const (
	Done     = "done"     // the task completed
	Back     = "back"     // it is not on any machine of the block
	Started  = "started"  // it has been given to a machine
	Running  = "running"  // it has its image
	Errored  = "errored"  // it failed and is gone from the machine
	Unplaced = "unplaced" // no room was found
	// Remains comes before a Done that is not the end of the task's last attempt: another may run in
	// the block, and its end will be told. The version in production neither sends nor knows it.
	Remains = "remains"
)

// Event is a change of a task in a block.
type Event struct {
	_msgpack struct{} `msgpack:",as_array"`
	Task
	Kind    string
	Machine string
	Secs    float64 // of run time, with Done
}

// MachineState is a machine as its holder sees it.
type MachineState struct {
	_msgpack                  struct{} `msgpack:",as_array"`
	Name, Type, Zone, Address string
	Spot, Fit                 bool // Fit: it can be given tasks
	Silent                    bool // not heard for long, or does not hear, while its lease may hold
	Notice                    bool
	Gone                      bool    // a leader, maybe a former one, had the cloud's word that it is deleted
	Shown                     bool    // it has shown the holder's token: no late copy tells of it
	CPUs, GPUs, Memory        float64 // free
	Tasks                     int
	Images                    []string
}

// BlockUpdate is what a holder tells the leader of its block.
type BlockUpdate struct {
	_msgpack struct{} `msgpack:",as_array"`
	Block    int
	Token    uint64
	Seq      uint64 // the last offers that are settled
	Events   []Event
	Machines []MachineState
	Lost     bool // the grant is void: a newer token has been seen
}

// Up is what a holder says.
type Up struct {
	_msgpack struct{} `msgpack:",as_array"`
	Epoch    uint64
	Renew    uint64
	StoreOK  bool
	Blind    bool // with Renew: none of its workers has been heard for long
	Updates  []BlockUpdate
}
