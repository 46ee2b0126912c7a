package rebalancer

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

// The bound is a multiple of the mean; a fetch that is saved widens it by what it is worth; a machine that
// holds nothing is within it whatever the task takes.
func TestBound(t *testing.T) {
	b := Bound{Relative: 1.5, ImbalanceS: 20}
	for _, c := range []struct {
		name string
		c    Candidate
		mean float64
		want bool
	}{
		{"at the bound", Candidate{Load: 0.6, Alone: 0.1}, 0.4, true},
		{"over it", Candidate{Load: 0.61, Alone: 0.1}, 0.4, false},
		{"over it, with a fetch of 10 s saved", Candidate{Load: 0.8, Alone: 0.1, SavedS: 10}, 0.4, true},
		{"over what the fetch is worth", Candidate{Load: 0.81, Alone: 0.1, SavedS: 10}, 0.4, false},
		{"alone", Candidate{Load: 0.9, Alone: 0.9}, 0.01, true},
		{"in an empty fleet", Candidate{Load: 0.2, Alone: 0.1}, 0, false},
	} {
		if got := b.Allows(c.c, c.mean); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
	over := Candidate{Load: 0.9, Alone: 0.1}
	if w := b.Widened(over, 0.4); !w.Allows(over, 0.4) || w.Allows(Candidate{Load: 0.95, Alone: 0.1}, 0.4) {
		t.Errorf("widened to %+v", w)
	}
}

// Fetch times follow what is seen, from what the catalog says on; what was too short was no fetch.
func TestFetchRates(t *testing.T) {
	f := NewFetchRates()
	if s := f.Seconds("small", 1); s != 1/unknownRate {
		t.Errorf("%g s when nothing is known", s)
	}
	f.Published("small", 0.25)
	f.Published("small", 100) // known already
	if s := f.Seconds("small", 1); s != 4 {
		t.Errorf("%g s by the catalog, want 4", s)
	}
	f.Saw("small", 3, clock.Second/4)
	f.Saw("small", 0, clock.Second)
	if s := f.Seconds("small", 1); s != 4 {
		t.Errorf("%g s after what was no fetch", s)
	}
	f.Saw("small", 3, 6*clock.Second)
	if s := f.Seconds("small", 1); s != 2 {
		t.Errorf("%g s after a fetch at 0.5 GB a second", s)
	}
	for range 200 {
		f.Saw("small", 1, clock.Second)
	}
	if s := f.Seconds("small", 1); math.Abs(s-1) > 0.01 {
		t.Errorf("%g s after many at 1 GB a second", s)
	}
}
