// Package placement assigns tasks to machines, as the design's scheduling core does: images draw tasks to the
// machines that used them lately, by an affinity that decays (equations 1 to 4 of the paper) and is divided by the
// machine's load, and successive auctions (the paper's Algorithm 1) match tasks with machines, one task per machine
// and auction.
//
// It owns the visit history of images. Groups of tasks and machines with their free capacity go in, matches come
// out; the free capacity of the machines is updated on the way. The same input gives the same matches. It performs
// no I/O, reads no clock, and neither offers tasks nor records their attempts: that is its caller's part.
package placement

import (
	"slices"

	"swiftledge/internal/clock"
	"swiftledge/internal/load"
)

// Params are the values that the design leaves open.
type Params struct {
	// DecayRate is the design's k: affinity decays by this a second, for each task that the machine has waiting
	// or has run since the visit.
	DecayRate float64
	// Eta is η: affinity at or below it counts as none, and bidding ends when the total weight changes by less.
	Eta float64
	// Epsilon is ε: what each bid adds to a price beyond the difference of the two best profits.
	Epsilon float64
	// LoadOffset is the small number that is added to a machine's unstarted tasks before affinity is divided by
	// them.
	LoadOffset float64
	// LoadBound limits the candidates by their load; nil: machines are candidates whatever their load.
	LoadBound *LoadBound
}

// Machine is a machine that may be given tasks.
type Machine struct {
	Name, Type, Zone string
	Spot             bool
	Free             load.Resources
	Capacity         load.Resources
	UnstartedTasks   int
	CachedImages     *ImageCache // what it is known to hold; nil: nothing
	FetchingImages   []string    // images that its unstarted tasks wait for
}

// Load returns the dominant share of the machine's capacity that is in use.
func (m *Machine) Load() float64 { return m.used().DominantShare(m.Capacity) }

func (m *Machine) used() load.Resources { return m.Capacity.Minus(m.Free) }

// Group is a set of tasks of one job that request the same resources and may run in the same places.
type Group struct {
	Job         string
	TaskIndexes []int // of its tasks, within the job
	Image       string
	ImageGB     float64
	Zone        string   // "": any
	Types       []string // machine types; none: any
	Spot        bool     // it may run on spot machines, too
	Request     load.Resources
	// AvoidRank names machines that are taken only when no other is left, those with a higher rank last.
	AvoidRank map[string]int
}

// Fits reports whether a machine has free capacity for one task of the group, and is allowed for it.
func (g *Group) Fits(m *Machine) bool { return g.Request.Fits(m.Free) && g.Allows(m) }

// Allows reports whether the group's constraints let its tasks run on a machine.
func (g *Group) Allows(m *Machine) bool {
	return (g.Spot || !m.Spot) && (g.Zone == "" || g.Zone == m.Zone) &&
		(len(g.Types) == 0 || slices.Contains(g.Types, m.Type))
}

// Match assigns a task to a machine.
type Match struct {
	Group     *Group
	TaskIndex int
	Machine   *Machine
}

// Cycle is the input of one scheduling cycle.
type Cycle struct {
	Groups   []*Group // their tasks are interleaved in this order
	Machines []*Machine
	History  *VisitHistory
	Params   Params
	Now      clock.Micros
}

// Place runs auctions until all tasks are placed or no machine has free capacity for those that are left, and
// returns the matches in the order in which they were made. It takes the tasks' resources off the machines and
// records the visits in the history.
func Place(cycle Cycle) []Match {
	if len(cycle.Machines) == 0 {
		return nil // offered capacity may be gone by now, and an auction without machines never ends
	}
	p := newPlacer(cycle)
	matches, beyondBound := p.place(interleaved(cycle.Groups))
	for len(beyondBound) > 0 {
		p.widenBound(beyondBound)
		var more []Match
		more, beyondBound = p.place(beyondBound)
		if len(more) == 0 {
			break // no bound admits them: they stay unplaced like those that fit nowhere
		}
		matches = append(matches, more...)
	}
	return matches
}
