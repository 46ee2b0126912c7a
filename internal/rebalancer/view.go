package rebalancer

import (
	"cmp"
	"strings"

	"swiftledge/internal/clock"
	"swiftledge/internal/load"
)

// View is the input of a plan.
type View struct {
	Machines    []*Machine
	Tasks       func(*Machine) []Task // the tasks on a machine; called only for overloaded machines
	Stale       bool                  // the leader's view of the jobs may be out of date
	WorkWaiting bool                  // waiting tasks would take the capacity that a stopped task frees
	FetchRates  *load.FetchRates
}

// Machine is the leader's view of a machine.
type Machine struct {
	Name, Type   string
	Capacity     load.Resources
	Used         load.Resources // by assigned and running tasks
	Schedulable  bool           // new tasks may be placed on the machine
	OfferPending bool           // the holder of its shard has not yet answered an offer of tasks
	Images       []string       // images known to be cached or being fetched
}

// Load returns the dominant share of the machine's capacity that is in use.
func (m *Machine) Load() float64 { return m.Used.DominantShare(m.Capacity) }

// compareLoad orders machines by their load, the lowest load first, then by name.
func (m *Machine) compareLoad(other *Machine) int {
	return cmp.Or(cmp.Compare(m.Load(), other.Load()), strings.Compare(m.Name, other.Name))
}

// compareLoadDescending orders machines by their load, the highest load first, then by name.
func (m *Machine) compareLoadDescending(other *Machine) int {
	return cmp.Or(cmp.Compare(other.Load(), m.Load()), strings.Compare(m.Name, other.Name))
}

// Task is a task on a machine, with the properties that matter for a migration.
type Task struct {
	ID             TaskID
	Team           string
	Request        load.Resources
	Image          string
	ImageGB        float64
	Checkpoints    bool         // whether it saves a checkpoint when it is stopped
	CheckpointS    float64      // time to save a checkpoint
	RunningSince   clock.Micros // 0: not running yet
	RemainingS     float64      // estimated remaining run time
	PlacementBound bool         // its placement depends on the placement of other tasks of its job
	Service        bool         // whether it is a replica of a service
	Stopping       bool         // whether it is being stopped
	TeamAtLimit    bool         // whether its team's tasks wait at the team's limit and would take the freed capacity
	Allows         func(*Machine) bool
}

// Compare orders tasks by their IDs.
func (t Task) Compare(other Task) int { return t.ID.compare(other.ID) }
