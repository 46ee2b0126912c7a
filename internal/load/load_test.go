package load

import (
	"math"
	"testing"

	"swiftledge/internal/clock"
)

func TestDominantShare(t *testing.T) {
	capacity := Resources{CPUs: 8, GPUs: 0, Memory: 32}
	for _, c := range []struct {
		taken Resources
		want  float64
	}{
		{Resources{}, 0},
		{Resources{CPUs: 2, Memory: 4}, 0.25},
		{Resources{CPUs: 2, Memory: 24}, 0.75},
		{Resources{CPUs: 1, GPUs: 1}, 1}, // of what the machine lacks
	} {
		if got := c.taken.DominantShare(capacity); math.Abs(got-c.want) > tolerance {
			t.Errorf("%+v is %g of %+v, want %g", c.taken, got, capacity, c.want)
		}
	}
}

// The bound is a multiple of the mean; a saved fetch widens it by what it is worth; a machine that holds nothing is
// within it whatever the task takes.
func TestBound(t *testing.T) {
	bound := Bound{MaxRelativeLoad: 1.5, ImbalanceCostS: 20}
	for _, c := range []struct {
		name      string
		candidate Candidate
		mean      float64
		want      bool
	}{
		{"at the bound", Candidate{Load: 0.6, TaskLoad: 0.1}, 0.4, true},
		{"over it", Candidate{Load: 0.61, TaskLoad: 0.1}, 0.4, false},
		{"over it, with a fetch of 10 s saved", Candidate{Load: 0.8, TaskLoad: 0.1, SavedFetchS: 10}, 0.4, true},
		{"over what the fetch is worth", Candidate{Load: 0.81, TaskLoad: 0.1, SavedFetchS: 10}, 0.4, false},
		{"alone", Candidate{Load: 0.9, TaskLoad: 0.9}, 0.01, true},
		{"in an empty cluster", Candidate{Load: 0.2, TaskLoad: 0.1}, 0, false},
	} {
		if got := bound.Allows(c.candidate, c.mean); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
	beyond := Candidate{Load: 0.9, TaskLoad: 0.1}
	widened := bound.Widened(beyond, 0.4)
	if !widened.Allows(beyond, 0.4) || widened.Allows(Candidate{Load: 0.95, TaskLoad: 0.1}, 0.4) {
		t.Errorf("widened to %+v", widened)
	}
}

// Fetch times follow the fetches observed, beginning with the published rate; what was too short was no fetch.
func TestFetchRates(t *testing.T) {
	rates := NewFetchRates()
	if seconds := rates.FetchSeconds("small", 1); seconds != 1/defaultGBPerS {
		t.Errorf("%g s when nothing is known", seconds)
	}
	rates.SetPublished("small", 0.25)
	rates.SetPublished("small", 100) // known already
	if seconds := rates.FetchSeconds("small", 1); seconds != 4 {
		t.Errorf("%g s by the catalog, want 4", seconds)
	}
	rates.Observe("small", 3, clock.Second/4)
	rates.Observe("small", 0, clock.Second)
	if seconds := rates.FetchSeconds("small", 1); seconds != 4 {
		t.Errorf("%g s after what was no fetch", seconds)
	}
	rates.Observe("small", 3, 6*clock.Second)
	if seconds := rates.FetchSeconds("small", 1); seconds != 2 {
		t.Errorf("%g s after a fetch at 0.5 GB a second", seconds)
	}
	for range 200 {
		rates.Observe("small", 1, clock.Second)
	}
	if seconds := rates.FetchSeconds("small", 1); math.Abs(seconds-1) > 0.01 {
		t.Errorf("%g s after many at 1 GB a second", seconds)
	}
}
