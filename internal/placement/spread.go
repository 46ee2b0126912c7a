package placement

import (
	"math"

	"swiftledge/internal/rebalancer"
)

// Spread bounds which machines are candidates of a cycle's auctions, by their load over the mean.
type Spread struct {
	Bound rebalancer.Bound
	Fetch *rebalancer.FetchRates
	// Mean is the load of the block's machines that take work, also of those without room for any.
	Mean rebalancer.Mean
	// Fleet is the mean load of the whole fleet once all that is offered is placed; 0: not known.
	Fleet float64
}

// mean is what machines are held against.
func (s *Spread) mean() float64 {
	if s.Fleet > 0 {
		return s.Fleet
	}
	return s.Mean.Value()
}

// Load is the dominant share of the machine that is held.
func (m *Machine) Load() float64 { return m.used().DominantShare(m.Capacity) }

func (m *Machine) used() rebalancer.Resources {
	return m.Capacity.Minus(rebalancer.Resources{CPUs: m.CPUs, GPUs: m.GPUs, Memory: m.Memory})
}

// candidate is what a machine's load would be with a task of the group, which fits there.
func (c *cycle) candidate(g *Group, at int) rebalancer.Candidate {
	m := c.machines[at]
	takes := rebalancer.Resources{CPUs: g.CPUs, GPUs: g.GPUs, Memory: g.Memory}
	candidate := rebalancer.Candidate{Load: m.used().Plus(takes).DominantShare(m.Capacity), Alone: takes.DominantShare(m.Capacity)}
	if c.holders(g.Image)[at] {
		candidate.SavedS = c.p.Spread.Fetch.Seconds(m.Type, g.ImageGB)
	}
	return candidate
}

// admits says whether a machine is a candidate for a task of the group: it has room for it, within the
// bound.
func (c *cycle) admits(g *Group, at int) bool {
	return g.Fits(c.machines[at]) && (c.p.Spread == nil || c.bound.Allows(c.candidate(g, at), c.p.Spread.mean()))
}

// widen widens the bound as far as the least loaded machine takes one of the tasks, which have room beyond
// it only.
func (c *cycle) widen(tasks []bidder) {
	least := rebalancer.Candidate{Load: math.Inf(1)}
	seen := map[*Group]bool{}
	for _, t := range tasks {
		if seen[t.g] {
			continue
		}
		seen[t.g] = true
		for j, m := range c.machines {
			if !t.g.Fits(m) {
				continue
			}
			if candidate := c.candidate(t.g, j); candidate.Load < least.Load {
				least = candidate
			}
		}
	}
	c.bound = c.bound.Widened(least, c.p.Spread.mean())
}
