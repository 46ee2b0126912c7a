package leader

import (
	"slices"

	"swiftledge/internal/load"
	"swiftledge/internal/peer"
	"swiftledge/internal/rebalancer"
	"swiftledge/wire"
)

// taskID converts the ID of a task for the rebalancer.
func taskID(t peer.Task) rebalancer.TaskID { return rebalancer.TaskID{Job: t.Job, Index: t.Index} }

// resourcesOf returns the resources that a task of the job takes.
func resourcesOf(spec *wire.Job) load.Resources {
	return load.Resources{CPUs: spec.CPUs, GPUs: spec.GPUs, Memory: spec.MemoryGB}
}

// capacity returns the resources of the machine according to its type.
func (m *machine) capacity() load.Resources {
	t := &m.option.Type
	return load.Resources{CPUs: t.CPUs, GPUs: t.GPUs, Memory: t.MemoryGB}
}

// used returns the resources of the machine that are taken, by tasks ordered to start and by running tasks, according
// to its shard holder.
func (m *machine) used() load.Resources {
	return m.capacity().Minus(load.Resources{CPUs: m.state.CPUs, GPUs: m.state.GPUs, Memory: m.state.MemoryGB})
}

// acceptsNewTasks reports whether new tasks should be placed on the machine, that is, whether it is schedulable and the
// autoscaler is not emptying it. Rebalancing neither counts nor fills a machine that the autoscaler wants to be empty,
// so that the two do not work against each other.
func (m *machine) acceptsNewTasks() bool { return m.schedulable() && m.placementRank() == 0 }

// loadBound bounds the free capacity that one scheduling pass offers by the load of the machines.
type loadBound struct {
	bound   load.Bound
	fetches *load.FetchRates
	mean    load.Mean
}

// newLoadBound returns the load bound of a new scheduling pass, over the machines that accept new tasks, or nil while
// rebalancing is off.
func (l *Leader) newLoadBound() *loadBound {
	if l.rebalancing == nil {
		return nil
	}
	bound := &loadBound{bound: l.rebalancing.bound, fetches: l.rebalancing.fetches}
	for _, m := range l.inventory.machines {
		if m.acceptsNewTasks() {
			bound.mean.Add(m.load())
		}
	}
	return bound
}

// usedWithOffers returns the resources of the machine that are taken, including the offers of this pass.
func (m *machine) usedWithOffers() load.Resources {
	return m.capacity().Minus(load.Resources{CPUs: m.freeCPUs, GPUs: m.freeGPUs, Memory: m.freeMemory})
}

// loadWith returns the machine's load with the offers of this pass and one more task.
func (m *machine) loadWith(spec *wire.Job) float64 {
	return m.usedWithOffers().Plus(resourcesOf(spec)).DominantShare(m.capacity())
}

// allows reports whether one more task keeps the machine within the load bound. A machine that the autoscaler wants to
// be empty never counts as within the bound: such a machine is for tasks that find no free capacity on other machines,
// not for spreading load.
func (b *loadBound) allows(m *machine, spec *wire.Job) bool {
	if b == nil {
		return true
	}
	if m.placementRank() > 0 {
		return false
	}
	candidate := load.Candidate{Load: m.loadWith(spec), TaskLoad: resourcesOf(spec).DominantShare(m.capacity())}
	if slices.Contains(m.state.Images, spec.Image) {
		candidate.SavedFetchS = b.fetches.FetchSeconds(m.option.Type.Name, spec.ImageGB)
	}
	return b.bound.Allows(candidate, b.mean.Value())
}

// reserve takes the resources of a task off the machine's free capacity for the rest of the pass.
func (b *loadBound) reserve(m *machine, spec *wire.Job) {
	before := m.usedWithOffers()
	m.freeCPUs -= spec.CPUs
	m.freeGPUs -= spec.GPUs
	m.freeMemory -= spec.MemoryGB
	m.freeTasks--
	if b != nil && m.placementRank() == 0 {
		b.mean.Update(before.DominantShare(m.capacity()), m.usedWithOffers().DominantShare(m.capacity()))
	}
}

// annotate adds the mean load after all offers of the pass to each offer. A holder, which knows only the machines of
// its shards, cannot compute this mean.
func (b *loadBound) annotate(offers []peer.TaskOffer) {
	if b == nil {
		return
	}
	for i := range offers {
		offers[i].Job.FleetLoad = b.mean.Value()
	}
}
