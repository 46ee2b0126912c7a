// Package rebalancer keeps work even over the machines of a fleet. It defines load, bounds which machines may
// take new work, and decides which running tasks are worth moving. It holds no I/O and no authority: what
// machines hold, what waits, and the time go in; advice with its reasons comes out, which the leader and
// the holders of blocks carry out by the orders that they have anyway.
package rebalancer

import "math"

// tolerance absorbs what sums of shares lose in rounding.
const tolerance = 1e-9

// Resources are what a machine has, or what is taken of it.
type Resources struct{ CPUs, GPUs, Memory float64 }

// Plus is the sum of both.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.CPUs + o.CPUs, r.GPUs + o.GPUs, r.Memory + o.Memory}
}

// Minus is what is left of r without o.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.CPUs - o.CPUs, r.GPUs - o.GPUs, r.Memory - o.Memory}
}

// Fits says whether r can be taken of what is free.
func (r Resources) Fits(free Resources) bool {
	return r.CPUs <= free.CPUs+tolerance && r.GPUs <= free.GPUs+tolerance && r.Memory <= free.Memory+tolerance
}

// DominantShare is the largest part that r takes of any one resource of a capacity. What is taken of a
// resource that the capacity lacks counts as all of it.
func (r Resources) DominantShare(capacity Resources) float64 {
	return max(share(r.CPUs, capacity.CPUs), share(r.GPUs, capacity.GPUs), share(r.Memory, capacity.Memory))
}

func share(taken, capacity float64) float64 {
	switch {
	case taken <= tolerance:
		return 0
	case capacity <= 0:
		return 1
	}
	return taken / capacity
}

// possible says whether a machine can be of this capacity and be used like this. More than its capacity is
// possible for a while: after a takeover start records are upper bounds, and count in full.
func possible(used, capacity Resources) bool {
	fine := func(used, capacity float64) bool {
		return !math.IsNaN(used) && !math.IsInf(used, 0) && !math.IsNaN(capacity) && !math.IsInf(capacity, 0) && used >= -tolerance
	}
	return capacity.CPUs > 0 && fine(used.CPUs, capacity.CPUs) && fine(used.GPUs, capacity.GPUs) && fine(used.Memory, capacity.Memory)
}

// Mean is the mean load over a set of machines; it follows what is placed.
type Mean struct {
	sum float64
	n   int
}

// Add takes in one machine.
func (m *Mean) Add(load float64) {
	m.sum += load
	m.n++
}

// Change takes in that a machine's load has changed.
func (m *Mean) Change(before, after float64) { m.sum += after - before }

// Value is the mean; 0 of no machines.
func (m *Mean) Value() float64 {
	if m.n == 0 {
		return 0
	}
	return m.sum / float64(m.n)
}
