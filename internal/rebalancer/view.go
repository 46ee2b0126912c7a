package rebalancer

import (
	"cmp"
	"strings"

	"swiftledge/internal/clock"
	"swiftledge/internal/load"
)

// View is what a plan is made from.
type View struct {
	Machines    []*Machine
	Tasks       func(*Machine) []Task // asked only of machines that are to lose tasks
	Stale       bool                  // the view of the jobs may be out of date
	WorkWaiting bool                  // tasks wait that would take the place of a stopped one
	FetchRates  *load.FetchRates
}

// Machine is a machine as the leader knows it.
type Machine struct {
	Name, Type   string
	Capacity     load.Resources
	Used         load.Resources // by assigned and running tasks
	Schedulable  bool           // it takes new tasks
	OfferPending bool           // its shard has not answered an offer of tasks yet
	Images       []string       // known to be cached or being fetched there
}

// Load returns the dominant share of the machine's capacity that is in use.
func (m *Machine) Load() float64 { return m.Used.DominantShare(m.Capacity) }

// compareLoad orders machines by their load, the least loaded first, then by name.
func (m *Machine) compareLoad(other *Machine) int {
	return cmp.Or(cmp.Compare(m.Load(), other.Load()), strings.Compare(m.Name, other.Name))
}

// compareLoadDescending orders machines by their load, the fullest first, then by name.
func (m *Machine) compareLoadDescending(other *Machine) int {
	return cmp.Or(cmp.Compare(other.Load(), m.Load()), strings.Compare(m.Name, other.Name))
}

// Task is a task on a machine, with what matters for a migration.
type Task struct {
	ID             TaskID
	Team           string
	Request        load.Resources
	Image          string
	ImageGB        float64
	Checkpoints    bool         // it saves a checkpoint when it is stopped
	CheckpointS    float64      // how long that takes
	RunningSince   clock.Micros // 0: it does not run yet
	RemainingS     float64      // estimated run time that is left
	PlacementBound bool         // its placement depends on that of other tasks of its job
	Service        bool         // it is a replica of a service
	Stopping       bool         // it was told to stop
	TeamAtLimit    bool         // work of its team waits at the team's limit, and would take its place
	Allows         func(*Machine) bool
}

// Compare orders tasks by their names.
func (t Task) Compare(other Task) int { return t.ID.compare(other.ID) }
