// Package load defines the load of machines, and which load a machine may reach: resources and the dominant share of
// a capacity, the mean over a set of machines, the bound on the load relative to this mean, and the estimate of how
// long machines fetch images, which the bound weighs against load.
//
// Placement, rebalancing and the leader's offers of tasks share these definitions. The package holds values and
// estimates that its callers own; it performs no I/O, reads no clock and decides nothing about tasks.
package load

import "math"

// tolerance absorbs what sums of resources lose in rounding.
const tolerance = 1e-9

// Resources are what a machine has, or what is taken of it.
type Resources struct{ CPUs, GPUs, Memory float64 }

// Plus returns the sum of both.
func (r Resources) Plus(other Resources) Resources {
	return Resources{r.CPUs + other.CPUs, r.GPUs + other.GPUs, r.Memory + other.Memory}
}

// Minus returns what is left of r without the other.
func (r Resources) Minus(other Resources) Resources {
	return Resources{r.CPUs - other.CPUs, r.GPUs - other.GPUs, r.Memory - other.Memory}
}

// Fits reports whether r can be taken of what is free.
func (r Resources) Fits(free Resources) bool {
	return r.CPUs <= free.CPUs+tolerance && r.GPUs <= free.GPUs+tolerance && r.Memory <= free.Memory+tolerance
}

// DominantShare returns the largest part that r takes of any one resource of a capacity. What is taken of a resource
// that the capacity lacks counts as all of it.
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

// Plausible reports whether a machine can have this capacity and this use of it. More than its capacity is plausible
// for a while: after a takeover attempt records are upper bounds, and count in full.
func Plausible(used, capacity Resources) bool {
	return capacity.CPUs > 0 && plausible(used.CPUs, capacity.CPUs) &&
		plausible(used.GPUs, capacity.GPUs) && plausible(used.Memory, capacity.Memory)
}

func plausible(used, capacity float64) bool {
	return isFinite(used) && isFinite(capacity) && used >= -tolerance
}

func isFinite(value float64) bool { return !math.IsNaN(value) && !math.IsInf(value, 0) }
