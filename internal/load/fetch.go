package load

import "swiftledge/internal/clock"

const (
	// averagedFetches is over about how many fetches a rate is averaged.
	averagedFetches = 20
	// minFetch is the shortest duration taken for a fetch: below it the image was cached already.
	minFetch = clock.Second / 2
	// defaultGBPerS is assumed of machine types of which nothing is known.
	defaultGBPerS = 0.5
)

// FetchRates estimates how long machines take to fetch images, by machine type, from the fetches observed.
type FetchRates struct {
	byType map[string]*fetchRate
}

type fetchRate struct {
	gbPerS   float64
	observed int // fetches
}

// NewFetchRates returns an estimate without observations.
func NewFetchRates() *FetchRates { return &FetchRates{byType: map[string]*fetchRate{}} }

// SetPublished sets the rate that the cloud's catalog has for a machine type, unless one is known already.
func (f *FetchRates) SetPublished(machineType string, gbPerS float64) {
	if f.byType[machineType] == nil && gbPerS > 0 {
		f.byType[machineType] = &fetchRate{gbPerS: gbPerS}
	}
}

// Observe takes in how long after its start on a machine without its image a task began to run. What is too short
// for a fetch is ignored.
func (f *FetchRates) Observe(machineType string, sizeGB float64, duration clock.Micros) {
	if duration < minFetch || sizeGB <= 0 {
		return
	}
	rate := f.byType[machineType]
	if rate == nil {
		rate = &fetchRate{}
		f.byType[machineType] = rate
	}
	rate.observed++
	observed := sizeGB / duration.Seconds()
	if rate.observed == 1 {
		rate.gbPerS = observed
		return
	}
	rate.gbPerS += (observed - rate.gbPerS) / float64(min(rate.observed, averagedFetches))
}

// FetchSeconds returns how long a machine of the type takes to fetch an image.
func (f *FetchRates) FetchSeconds(machineType string, sizeGB float64) float64 {
	if rate := f.byType[machineType]; rate != nil {
		return sizeGB / rate.gbPerS
	}
	return sizeGB / defaultGBPerS
}
