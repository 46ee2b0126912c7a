// Package placement assigns tasks to machines. It prefers machines that recently ran the task's image: a visit, which
// is the use of an image on a machine, gives the machine an image affinity that decays (equations 1 to 4 of the paper)
// and is divided by the machine's load. Successive auctions (the paper's Algorithm 1) match tasks with machines, one
// task per machine and auction.
//
// The package owns the visit history of images. It takes groups of tasks and machines with their free capacity,
// updates the free capacity, and returns matches. Placement is deterministic. The package performs no I/O and reads no
// clock. The caller offers the tasks and records their attempts.
package placement

import (
	"slices"

	"swiftledge/internal/clock"
	"swiftledge/internal/load"
)

// Params are the tunable parameters of the auctions.
type Params struct {
	// DecayRate is the parameter k: the decay rate of affinity per second, for each task that waits on the machine
	// or has run there since the visit.
	DecayRate float64
	// Eta is η: an affinity at or below η counts as zero. The bidding also compares the change of the total weight with
	// η.
	Eta float64
	// Epsilon is ε: the amount that each bid adds to a price beyond the difference of the two best profits.
	Epsilon float64
	// LoadOffset is a small number. An affinity is divided by the sum of the machine's number of unstarted tasks and
	// LoadOffset.
	LoadOffset float64
	// LoadBound limits the candidates by their load; nil: no limit.
	LoadBound *LoadBound
}

// Machine is a machine that tasks may be assigned to.
type Machine struct {
	Name, Type, Zone string
	Spot             bool
	Free             load.Resources
	Capacity         load.Resources
	Tasks, MaxTasks  int         // tasks on the machine and the maximum number of them; a maximum of 0 means no limit
	UnstartedTasks   int         // tasks assigned to the machine that do not run yet
	CachedImages     *ImageCache // the images known to be cached; nil: none
	FetchingImages   []string    // images that the unstarted tasks wait for
}

// Load returns the dominant share of the machine's capacity that is in use.
func (m *Machine) Load() float64 { return m.used().DominantShare(m.Capacity) }

// IsFull reports whether the machine accepts no further task, however small.
func (m *Machine) IsFull() bool { return m.MaxTasks > 0 && m.Tasks >= m.MaxTasks }

func (m *Machine) used() load.Resources { return m.Capacity.Minus(m.Free) }

// Group is a set of tasks of one job with the same resource request and the same placement constraints.
type Group struct {
	Job         string
	TaskIndexes []int // indexes of the tasks in the job
	Image       string
	ImageGB     float64
	Zone        string   // "": any
	Types       []string // machine types; nil: any
	Spot        bool     // spot machines are allowed, too
	Request     load.Resources
	// AvoidRank has, by name, the machines that get a task of the group only when no other machine is left. Machines
	// with a higher rank are used later. Machines that are not in the map have rank 0.
	AvoidRank map[string]int
}

// Fits reports whether a machine has free capacity for one task of the group and the group's constraints allow it.
func (g *Group) Fits(m *Machine) bool { return !m.IsFull() && g.Request.Fits(m.Free) && g.Allows(m) }

// Allows reports whether the group's constraints allow its tasks to run on a machine.
func (g *Group) Allows(m *Machine) bool {
	return (g.Spot || !m.Spot) && (g.Zone == "" || g.Zone == m.Zone) &&
		(g.Types == nil || slices.Contains(g.Types, m.Type))
}

// Match assigns a task to a machine.
type Match struct {
	Group     *Group
	TaskIndex int
	Machine   *Machine
}

// Cycle is the input of one scheduling cycle.
type Cycle struct {
	Groups   []*Group // their tasks are interleaved, ties in this order
	Machines []*Machine
	History  *VisitHistory
	Params   Params
	Now      clock.Micros
}

// Place runs auctions until all tasks are placed or no machine has free capacity for the remaining ones, and returns
// the matches in the order in which they were made. Place also subtracts the tasks' requests from the free capacity of
// the machines, and records the visits in the history.
func Place(cycle Cycle) []Match {
	if len(cycle.Machines) == 0 {
		return nil // all machines may be gone when the tasks arrive, and without machines the auctions would never end
	}
	p := newPlacer(cycle)
	matches, beyondBound := p.place(interleaveTasks(cycle.Groups))
	for len(beyondBound) > 0 {
		p.widenBound(beyondBound)
		var more []Match
		more, beyondBound = p.place(beyondBound)
		if len(more) == 0 {
			break // no bound admits these tasks: they stay unplaced like tasks that fit on no machine
		}
		matches = append(matches, more...)
	}
	return matches
}
