package load

import (
	"math"
	"testing"

	"swiftledge/internal/clock"
)

func TestDominantShare(t *testing.T) {
	capacity := Resources{CPUs: 8, GPUs: 0, Memory: 32}
	for _, c := range []struct {
		used Resources
		want float64
	}{
		{Resources{}, 0},
		{Resources{CPUs: 2, Memory: 4}, 0.25},
		{Resources{CPUs: 2, Memory: 24}, 0.75},
		{Resources{CPUs: 1, GPUs: 1}, 1}, // the machine has no GPU
	} {
		if got := c.used.DominantShare(capacity); math.Abs(got-c.want) > tolerance {
			t.Errorf("%+v has a dominant share of %g in %+v, want %g", c.used, got, capacity, c.want)
		}
	}
}

// The bound is a multiple of the mean. A saved fetch raises it by the imbalance that the fetch is worth. A machine
// without other tasks is within the bound, whatever the task requests.
func TestBound(t *testing.T) {
	bound := Bound{MaxRelativeLoad: 1.5, ImbalanceCostS: 20}
	for _, c := range []struct {
		name      string
		candidate Candidate
		mean      float64
		want      bool
	}{
		{"at the bound", Candidate{Load: 0.6, TaskLoad: 0.1}, 0.4, true},
		{"over the bound", Candidate{Load: 0.61, TaskLoad: 0.1}, 0.4, false},
		{"over the bound, saves a fetch of 10 s", Candidate{Load: 0.8, TaskLoad: 0.1, SavedFetchS: 10}, 0.4, true},
		{"over the bound raised by the saved fetch", Candidate{Load: 0.81, TaskLoad: 0.1, SavedFetchS: 10}, 0.4, false},
		{"the only task", Candidate{Load: 0.9, TaskLoad: 0.9}, 0.01, true},
		{"in an empty cluster", Candidate{Load: 0.2, TaskLoad: 0.1}, 0, false},
	} {
		if got := bound.Allows(c.candidate, c.mean); got != c.want {
			t.Errorf("%s: candidate allowed by the bound: %v, want the opposite", c.name, got)
		}
	}
	exceeding := Candidate{Load: 0.9, TaskLoad: 0.1}
	widened := bound.Widened(exceeding, 0.4)
	if !widened.Allows(exceeding, 0.4) || widened.Allows(Candidate{Load: 0.95, TaskLoad: 0.1}, 0.4) {
		t.Errorf("the bound was widened to %+v, want it to allow a load of 0.9 and not 0.95", widened)
	}
}

// Fetch times start from the published rate and follow the observed fetches. Durations too short for a fetch are
// ignored.
func TestFetchRates(t *testing.T) {
	rates := NewFetchRates()
	if seconds := rates.FetchSeconds("small", 1); seconds != 1/defaultGBPerS {
		t.Errorf("fetch takes %g s without a known rate, want 1/defaultGBPerS", seconds)
	}
	rates.SetPublished("small", 0.25)
	rates.SetPublished("small", 100) // ignored: a rate is already known
	if seconds := rates.FetchSeconds("small", 1); seconds != 4 {
		t.Errorf("fetch takes %g s at the published rate, want 4", seconds)
	}
	rates.Observe("small", 3, clock.Second/4)
	rates.Observe("small", 0, clock.Second)
	if seconds := rates.FetchSeconds("small", 1); seconds != 4 {
		t.Errorf("fetch takes %g s after ignored observations, want 4", seconds)
	}
	rates.Observe("small", 3, 6*clock.Second)
	if seconds := rates.FetchSeconds("small", 1); seconds != 2 {
		t.Errorf("fetch takes %g s after one fetch at 0.5 GB/s, want 2", seconds)
	}
	for range 200 {
		rates.Observe("small", 1, clock.Second)
	}
	if seconds := rates.FetchSeconds("small", 1); math.Abs(seconds-1) > 0.01 {
		t.Errorf("fetch takes %g s after many fetches at 1 GB/s, want about 1", seconds)
	}
}
