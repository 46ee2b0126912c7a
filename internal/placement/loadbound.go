package placement

import (
	"math"

	"swiftledge/internal/load"
)

// LoadBound limits the candidates of a cycle's auctions by their load relative to the mean load.
type LoadBound struct {
	Bound      load.Bound
	FetchRates *load.FetchRates
	// Mean is the mean load of the shard's schedulable machines, including those without free capacity.
	Mean load.Mean
	// FleetMean is the mean load of the whole fleet after all offered tasks are placed; 0: unknown.
	FleetMean float64
}

// mean returns the mean load that the bound is relative to.
func (b *LoadBound) mean() float64 {
	if b.FleetMean > 0 {
		return b.FleetMean
	}
	return b.Mean.Value()
}

// candidate returns the load of a machine with one more task of the group. The task must fit on the machine.
func (p *placer) candidate(group *Group, machineIndex int) load.Candidate {
	machine := p.Machines[machineIndex]
	candidate := load.Candidate{
		Load:     machine.used().Plus(group.Request).DominantShare(machine.Capacity),
		TaskLoad: group.Request.DominantShare(machine.Capacity),
	}
	if p.machinesWithImage(group.Image)[machineIndex] {
		candidate.SavedFetchS = p.Params.LoadBound.FetchRates.FetchSeconds(machine.Type, group.ImageGB)
	}
	return candidate
}

// admits reports whether a machine is a candidate for a task of the group: the task fits on it, and the machine's load
// with the task stays within the bound.
func (p *placer) admits(group *Group, machineIndex int) bool {
	if !group.Fits(p.Machines[machineIndex]) {
		return false
	}
	loadBound := p.Params.LoadBound
	return loadBound == nil || p.bound.Allows(p.candidate(group, machineIndex), loadBound.mean())
}

// widenBound widens the bound so that the least loaded machine admits one of the tasks. All of these tasks fit only on
// machines beyond the bound.
func (p *placer) widenBound(tasks []auctionTask) {
	leastLoaded := load.Candidate{Load: math.Inf(1)}
	seen := map[*Group]bool{}
	for _, task := range tasks {
		if seen[task.group] {
			continue
		}
		seen[task.group] = true
		for i, machine := range p.Machines {
			if !task.group.Fits(machine) {
				continue
			}
			if candidate := p.candidate(task.group, i); candidate.Load < leastLoaded.Load {
				leastLoaded = candidate
			}
		}
	}
	p.bound = p.bound.Widened(leastLoaded, p.Params.LoadBound.mean())
}
