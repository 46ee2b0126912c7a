package placement

import (
	"flag"
	"fmt"
	"os"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"swiftledge/internal/clock"
	"swiftledge/internal/rebalancer"
)

// TestMain fixes what the property tests draw: the same on every run.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "400", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// drawn is a fleet with some load, and offers, that can be made any number of times.
type drawn struct {
	machines []Machine
	groups   []Group
	visits   [][2]string // image, machine
}

func draw(t *rapid.T) (d drawn) {
	images := []string{"a", "b", "c"}
	for i := range rapid.IntRange(1, 25).Draw(t, "machines") {
		cpus := rapid.SampledFrom([]float64{4, 4, 16}).Draw(t, "cpus")
		m := Machine{Name: fmt.Sprintf("m%02d", i), Type: "t", Zone: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "zone"),
			CPUs: cpus, Memory: 2 * cpus, Capacity: rebalancer.Resources{CPUs: cpus, Memory: 2 * cpus}}
		used := float64(rapid.IntRange(0, int(cpus)).Draw(t, "used"))
		m.CPUs -= used
		m.Memory -= used
		d.machines = append(d.machines, m)
		if rapid.Bool().Draw(t, "visited") {
			d.visits = append(d.visits, [2]string{rapid.SampledFrom(images).Draw(t, "image"), m.Name})
		}
	}
	for i := range rapid.IntRange(1, 5).Draw(t, "groups") {
		g := Group{Key: fmt.Sprint("j", i), Image: rapid.SampledFrom(images).Draw(t, "image"), Spot: true,
			Zone: rapid.SampledFrom([]string{"", "", "x"}).Draw(t, "bound to"), CPUs: rapid.SampledFrom([]float64{0.5, 1, 2}).Draw(t, "takes")}
		g.Memory = g.CPUs
		for k := range rapid.IntRange(1, 30).Draw(t, "tasks") {
			g.Indexes = append(g.Indexes, k)
		}
		d.groups = append(d.groups, g)
	}
	return d
}

// cycle plays the offers; it gives the machines as they are then, with the matches.
func (d *drawn) cycle(spread *Spread) ([]*Machine, []Match) {
	book := NewBook()
	for _, v := range d.visits {
		book.Visit(v[0], v[1], 0)
	}
	var machines []*Machine
	for _, m := range d.machines {
		machines = append(machines, &m)
		if spread != nil {
			spread.Mean.Add(m.Load())
		}
	}
	var groups []*Group
	for _, g := range d.groups {
		groups = append(groups, &g)
	}
	return machines, Cycle(groups, machines, book, Params{K: 0.001, Eta: 0.05, Epsilon: 0.01, Small: 0.5, Spread: spread}, clock.Second)
}

// names says which task went where.
func names(matches []Match) (out []string) {
	for _, m := range matches {
		out = append(out, fmt.Sprintf("%s/%d on %s", m.Group.Key, m.Index, m.Machine.Name))
	}
	return out
}

// A bound that is never reached changes nothing: without spreading all decisions are those of before it.
func TestUnreachedBoundChangesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := draw(t)
		_, off := d.cycle(nil)
		_, on := d.cycle(&Spread{Bound: rebalancer.Bound{Relative: 1e9, ImbalanceS: 1}, Fetch: rebalancer.NewFetchRates(), Fleet: 1})
		if !reflect.DeepEqual(names(off), names(on)) {
			t.Fatalf("without a bound %v, with one that is never reached %v", names(off), names(on))
		}
	})
}

// The bound is kept wherever a placement within it exists: a machine ends over it only by a task for which
// every machine that had room would have been as full. And it keeps no task from a machine with room.
func TestBoundIsKeptWhereItCanBe(t *testing.T) {
	const slack = 1.06 // the bound is widened by 5% at least
	rapid.Check(t, func(t *rapid.T) {
		d := draw(t)
		s := &Spread{Bound: rebalancer.Bound{Relative: rapid.SampledFrom([]float64{1.05, 1.5, 3}).Draw(t, "bound"), ImbalanceS: 1e9}, Fetch: rebalancer.NewFetchRates()}
		machines, matches := d.cycle(s)
		mean := s.mean()
		placed := map[string]map[int]bool{}
		last := map[*Machine]Match{} // what each machine was given last
		for _, m := range matches {
			if placed[m.Group.Key] == nil {
				placed[m.Group.Key] = map[int]bool{}
			}
			placed[m.Group.Key][m.Index] = true
			last[m.Machine] = m
		}
		for _, m := range last {
			load := m.Machine.Load()
			alone := rebalancer.Resources{CPUs: m.Group.CPUs, Memory: m.Group.Memory}.DominantShare(m.Machine.Capacity)
			if load <= max(s.Bound.Relative*mean, alone)*slack+1e-9 {
				continue
			}
			for _, o := range machines {
				if o == m.Machine || !m.Group.Fits(o) {
					continue
				}
				with := o.used().Plus(rebalancer.Resources{CPUs: m.Group.CPUs, Memory: m.Group.Memory}).DominantShare(o.Capacity)
				if with*slack+1e-9 < load {
					t.Fatalf("%s has %.2f, over %.1f times the mean %.2f, while %s with another task would have %.2f", m.Machine.Name, load, s.Bound.Relative, mean, o.Name, with)
				}
			}
		}
		for _, g := range d.groups {
			for _, i := range g.Indexes {
				for _, m := range machines {
					if !placed[g.Key][i] && g.Fits(m) {
						t.Fatalf("%s/%d waits beside room on %s", g.Key, i, m.Name)
					}
				}
			}
		}
	})
}

// A holder of a few machines is told the mean of the fleet: its own would let it fill those that it has.
func TestFleetMeanBoundsAFullBlock(t *testing.T) {
	group := func() []*Group {
		return []*Group{{Key: "j", Indexes: []int{0}, Image: "a", Spot: true, CPUs: 1, Memory: 1}}
	}
	block := func() []*Machine {
		book := []*Machine{}
		for i, free := range []float64{2, 4} {
			book = append(book, &Machine{Name: fmt.Sprint("m", i), CPUs: free, Memory: free, Capacity: rebalancer.Resources{CPUs: 4, Memory: 4}})
		}
		return book
	}
	on := func(fleet float64) string {
		book := NewBook()
		book.Visit("a", "m0", 0)
		ms := block()
		s := &Spread{Bound: rebalancer.Bound{Relative: 3, ImbalanceS: 1e9}, Fetch: rebalancer.NewFetchRates(), Fleet: fleet}
		for _, m := range ms {
			s.Mean.Add(m.Load())
		}
		return Cycle(group(), ms, book, Params{K: 0.001, Eta: 0.05, Epsilon: 0.01, Small: 0.5, Spread: s}, clock.Second)[0].Machine.Name
	}
	if m := on(0); m != "m0" {
		t.Errorf("on %s by the block's own mean, want the one with the image", m)
	}
	if m := on(0.1); m != "m1" {
		t.Errorf("on %s by the fleet's mean, want the one within the bound", m)
	}
}

// A bound that lets nothing in, however wide, ends the cycle all the same.
func TestBoundThatLetsNothingInEndsTheCycle(t *testing.T) {
	m := &Machine{Name: "m0", CPUs: 2, Memory: 2, Capacity: rebalancer.Resources{CPUs: 4, Memory: 4}}
	s := &Spread{Bound: rebalancer.Bound{Relative: 1.5}, Fetch: rebalancer.NewFetchRates(), Fleet: 0.1} // no worth of a fetch: 0/0
	g := &Group{Key: "j", Indexes: []int{0, 1}, Image: "a", Spot: true, CPUs: 1, Memory: 1}
	if got := Cycle([]*Group{g}, []*Machine{m}, NewBook(), Params{Epsilon: 0.01, Small: 0.5, Spread: s}, clock.Second); len(got) != 0 {
		t.Errorf("placed %v", names(got))
	}
}
