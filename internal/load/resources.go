// Package load defines the load of machines and the limit on it: resources, the dominant share of a capacity, the mean
// load of a set of machines, the bound on load relative to this mean, and the estimate of image fetch times, which the
// bound weighs against load.
//
// Placement, rebalancing and the leader's task offers share these definitions. The callers own the values and
// estimates. The package performs no I/O, reads no clock and makes no decisions about tasks.
package load

import "math"

// tolerance absorbs rounding errors in sums of resources.
const tolerance = 1e-9

// Resources are amounts of resources, such as the capacity of a machine or the request of a task. Memory is in GB.
type Resources struct{ CPUs, GPUs, Memory float64 }

// Plus returns r + other.
func (r Resources) Plus(other Resources) Resources {
	return Resources{r.CPUs + other.CPUs, r.GPUs + other.GPUs, r.Memory + other.Memory}
}

// Minus returns r - other.
func (r Resources) Minus(other Resources) Resources {
	return Resources{r.CPUs - other.CPUs, r.GPUs - other.GPUs, r.Memory - other.Memory}
}

// Fits reports whether r fits into the free resources.
func (r Resources) Fits(free Resources) bool {
	return r.CPUs <= free.CPUs+tolerance && r.GPUs <= free.GPUs+tolerance && r.Memory <= free.Memory+tolerance
}

// DominantShare returns the largest share of any single resource of the capacity that r uses. Use of a resource that
// the capacity lacks counts as a share of 1.
func (r Resources) DominantShare(capacity Resources) float64 {
	return max(share(r.CPUs, capacity.CPUs), share(r.GPUs, capacity.GPUs), share(r.Memory, capacity.Memory))
}

func share(used, capacity float64) float64 {
	switch {
	case used <= tolerance:
		return 0
	case capacity <= 0:
		return 1
	}
	return used / capacity
}

// Plausible reports whether a machine can have this capacity and this usage. It rejects amounts that are not finite, a
// capacity without CPUs, and negative usage. It accepts usage above the capacity, because such usage is counted for a
// while after a takeover, when attempt records are upper bounds and count in full.
func Plausible(used, capacity Resources) bool {
	return capacity.CPUs > 0 && plausible(used.CPUs, capacity.CPUs) &&
		plausible(used.GPUs, capacity.GPUs) && plausible(used.Memory, capacity.Memory)
}

func plausible(used, capacity float64) bool {
	return isFinite(used) && isFinite(capacity) && used >= -tolerance
}

func isFinite(value float64) bool { return !math.IsNaN(value) && !math.IsInf(value, 0) }
