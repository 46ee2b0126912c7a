package rebalancer

import "swiftledge/internal/clock"

const (
	// fetchMemory is over about how many fetches the rate is averaged.
	fetchMemory = 20
	// leastFetch is the shortest time taken for a fetch: below it the image was there already.
	leastFetch = clock.Second / 2
	// unknownRate in GB a second is assumed of machine types of which nothing is known.
	unknownRate = 0.5
)

// FetchRates estimates how long machines take to fetch images, by machine type, from what was seen.
type FetchRates struct {
	byType map[string]*fetchRate
}

type fetchRate struct {
	gbPerS float64
	seen   int
}

// NewFetchRates makes an estimate that knows nothing.
func NewFetchRates() *FetchRates { return &FetchRates{byType: map[string]*fetchRate{}} }

// Published takes in the rate that the cloud's catalog names, until fetches are seen.
func (f *FetchRates) Published(machineType string, gbPerS float64) {
	if f.byType[machineType] == nil && gbPerS > 0 {
		f.byType[machineType] = &fetchRate{gbPerS: gbPerS}
	}
}

// Saw takes in that a machine which did not hold an image ran a task with it that long after its start.
// What is too short to be a fetch is left out.
func (f *FetchRates) Saw(machineType string, gb float64, took clock.Micros) {
	if took < leastFetch || gb <= 0 {
		return
	}
	r := f.byType[machineType]
	if r == nil {
		r = &fetchRate{}
		f.byType[machineType] = r
	}
	r.seen++
	rate := gb / took.Seconds()
	if r.seen == 1 {
		r.gbPerS = rate
		return
	}
	r.gbPerS += (rate - r.gbPerS) / float64(min(r.seen, fetchMemory))
}

// Seconds is how long a machine of the type takes to fetch an image.
func (f *FetchRates) Seconds(machineType string, gb float64) float64 {
	if r := f.byType[machineType]; r != nil {
		return gb / r.gbPerS
	}
	return gb / unknownRate
}
