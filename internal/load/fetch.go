package load

import "swiftledge/internal/clock"

const (
	// rateWindowFetches is the approximate number of fetches over which a rate is averaged.
	rateWindowFetches = 20
	// minFetchDuration is the shortest duration that counts as a fetch. After a shorter time, the image was cached
	// already.
	minFetchDuration = clock.Second / 2
	// defaultGBPerS is the fetch rate assumed for machine types without a published or observed rate.
	defaultGBPerS = 0.5
)

// FetchRates estimates how long machines of each type take to fetch images, from observed fetches.
type FetchRates struct {
	byType map[string]*fetchRate
}

type fetchRate struct {
	gbPerS       float64
	observations int // number of observed fetches
}

// NewFetchRates returns an estimator without observations.
func NewFetchRates() *FetchRates { return &FetchRates{byType: map[string]*fetchRate{}} }

// SetPublished sets the rate that the cloud's catalog publishes for a machine type, unless a rate is already known.
func (f *FetchRates) SetPublished(machineType string, gbPerS float64) {
	if f.byType[machineType] == nil && gbPerS > 0 {
		f.byType[machineType] = &fetchRate{gbPerS: gbPerS}
	}
}

// Observe updates the rate of a machine type by one fetch: the time from the start of a task, on a machine without its
// image, until the task ran. Durations too short for a fetch are ignored.
func (f *FetchRates) Observe(machineType string, sizeGB float64, duration clock.Micros) {
	if duration < minFetchDuration || sizeGB <= 0 {
		return
	}
	rate := f.byType[machineType]
	if rate == nil {
		rate = &fetchRate{}
		f.byType[machineType] = rate
	}
	rate.observations++
	observedGBPerS := sizeGB / duration.Seconds()
	if rate.observations == 1 {
		rate.gbPerS = observedGBPerS
		return
	}
	rate.gbPerS += (observedGBPerS - rate.gbPerS) / float64(min(rate.observations, rateWindowFetches))
}

// FetchSeconds returns the estimated time that a machine of the type takes to fetch an image.
func (f *FetchRates) FetchSeconds(machineType string, sizeGB float64) float64 {
	if rate := f.byType[machineType]; rate != nil {
		return sizeGB / rate.gbPerS
	}
	return sizeGB / defaultGBPerS
}
