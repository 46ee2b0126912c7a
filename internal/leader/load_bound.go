package leader

import (
	"slices"

	"swiftledge/internal/load"
	"swiftledge/internal/peer"
	"swiftledge/internal/rebalancer"
	"swiftledge/wire"
)

func taskID(t peer.Task) rebalancer.TaskID { return rebalancer.TaskID{Job: t.Job, Index: t.Index} }

func resourcesOf(s *wire.Job) load.Resources {
	return load.Resources{CPUs: s.CPUs, GPUs: s.GPUs, Memory: s.MemoryGB}
}

func (m *machine) capacity() load.Resources {
	t := &m.option.Type
	return load.Resources{CPUs: t.CPUs, GPUs: t.GPUs, Memory: t.MemoryGB}
}

// used is what the holder says is taken of the machine, by what is ordered and runs.
func (m *machine) used() load.Resources {
	return m.capacity().Minus(load.Resources{CPUs: m.state.CPUs, GPUs: m.state.GPUs, Memory: m.state.MemoryGB})
}

// takesWork reports whether new tasks are to go to the machine: it serves, and the autoscaler does not empty
// it. Rebalancing neither counts nor fills a machine that the autoscaler wants empty, so the two do not work
// against each other.
func (m *machine) takesWork() bool { return m.schedulable() && m.reserveRank() == 0 }

// loadBound bounds the free capacity of one round of offers by the load of machines.
type loadBound struct {
	bound   load.Bound
	fetches *load.FetchRates
	mean    load.Mean
}

// newLoadBound of the machines that take work, as a round of offers begins; nil while rebalancing is off.
func (l *Leader) newLoadBound() *loadBound {
	if l.rebalancing == nil {
		return nil
	}
	e := &loadBound{bound: l.rebalancing.bound, fetches: l.rebalancing.fetches}
	for _, m := range l.inventory.machines {
		if m.takesWork() {
			e.mean.Add(m.load())
		}
	}
	return e
}

// usedWithOffers is what is taken of the machine with what was offered in this round.
func (m *machine) usedWithOffers() load.Resources {
	return m.capacity().Minus(load.Resources{CPUs: m.freeCPUs, GPUs: m.freeGPUs, Memory: m.freeMemory})
}

// loadWith is the machine's load with what was offered in this round and one more task.
func (m *machine) loadWith(s *wire.Job) float64 {
	return m.usedWithOffers().Plus(resourcesOf(s)).DominantShare(m.capacity())
}

// allows reports whether one more task keeps the machine within the bound. One that the autoscaler wants empty never
// is: it is for what finds no free capacity elsewhere, not for what is to be spread.
func (e *loadBound) allows(m *machine, s *wire.Job) bool {
	if e == nil {
		return true
	}
	if m.reserveRank() > 0 {
		return false
	}
	c := load.Candidate{Load: m.loadWith(s), TaskLoad: resourcesOf(s).DominantShare(m.capacity())}
	if slices.Contains(m.state.Images, s.Image) {
		c.SavedFetchS = e.fetches.FetchSeconds(m.option.Type.Name, s.ImageGB)
	}
	return e.bound.Allows(c, e.mean.Value())
}

// take takes a task's free capacity off the machine, for the rest of the round.
func (e *loadBound) take(m *machine, s *wire.Job) {
	before := m.usedWithOffers()
	m.freeCPUs -= s.CPUs
	m.freeGPUs -= s.GPUs
	m.freeMemory -= s.MemoryGB
	if e != nil && m.reserveRank() == 0 {
		e.mean.Update(before.DominantShare(m.capacity()), m.usedWithOffers().DominantShare(m.capacity()))
	}
}

// annotate adds to offers the mean load that they lead to, which a holder of a few machines cannot know.
func (e *loadBound) annotate(offers []peer.TaskOffer) {
	if e == nil {
		return
	}
	for i := range offers {
		offers[i].Job.FleetLoad = e.mean.Value()
	}
}
