package placement

import (
	"flag"
	"fmt"
	"os"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"swiftledge/internal/clock"
	"swiftledge/internal/load"
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

// fixture is a drawn cycle that can be placed any number of times.
type fixture struct {
	machines []Machine
	groups   []Group
	visits   []drawnVisit
}

type drawnVisit struct{ image, machine string }

func drawFixture(t *rapid.T) (f fixture) {
	images := []string{"a", "b", "c"}
	for i := range rapid.IntRange(1, 25).Draw(t, "machines") {
		cpus := rapid.SampledFrom([]float64{4, 4, 16}).Draw(t, "cpus")
		capacity := load.Resources{CPUs: cpus, Memory: 2 * cpus}
		machine := Machine{Name: fmt.Sprintf("m%02d", i), Type: "t",
			Zone: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "zone"), Capacity: capacity}
		used := float64(rapid.IntRange(0, int(cpus)).Draw(t, "used"))
		machine.Free = capacity.Minus(load.Resources{CPUs: used, Memory: used})
		f.machines = append(f.machines, machine)
		if rapid.Bool().Draw(t, "visited") {
			f.visits = append(f.visits, drawnVisit{rapid.SampledFrom(images).Draw(t, "image"), machine.Name})
		}
	}
	for i := range rapid.IntRange(1, 5).Draw(t, "groups") {
		group := Group{Job: fmt.Sprint("j", i), Image: rapid.SampledFrom(images).Draw(t, "image"), Spot: true,
			Zone: rapid.SampledFrom([]string{"", "", "x"}).Draw(t, "bound to")}
		cpus := rapid.SampledFrom([]float64{0.5, 1, 2}).Draw(t, "takes")
		group.Request = load.Resources{CPUs: cpus, Memory: cpus}
		group.TaskIndexes = taskIndexes(rapid.IntRange(1, 30).Draw(t, "tasks"))
		f.groups = append(f.groups, group)
	}
	return f
}

// place places the drawn groups, and returns the machines as they are then with the matches.
func (f *fixture) place(loadBound *LoadBound) ([]*Machine, []Match) {
	history := NewVisitHistory()
	for _, visit := range f.visits {
		history.RecordVisit(visit.image, visit.machine, 0)
	}
	var machines []*Machine
	for _, machine := range f.machines {
		machines = append(machines, &machine)
		if loadBound != nil {
			loadBound.Mean.Add(machine.Load())
		}
	}
	var groups []*Group
	for _, group := range f.groups {
		groups = append(groups, &group)
	}
	params := testParams
	params.LoadBound = loadBound
	cycle := Cycle{Groups: groups, Machines: machines, History: history, Params: params, Now: clock.Second}
	return machines, Place(cycle)
}

// describe says which task was placed where.
func describe(matches []Match) (lines []string) {
	for _, match := range matches {
		lines = append(lines, fmt.Sprintf("%s/%d on %s", match.Group.Job, match.TaskIndex, match.Machine.Name))
	}
	return lines
}

// A bound that is never reached changes nothing: tasks are placed as without it.
func TestUnreachedBoundChangesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := drawFixture(t)
		_, without := f.place(nil)
		_, with := f.place(&LoadBound{
			Bound:      load.Bound{MaxRelativeLoad: 1e9, ImbalanceCostS: 1},
			FetchRates: load.NewFetchRates(),
			FleetMean:  1,
		})
		if !reflect.DeepEqual(describe(without), describe(with)) {
			t.Fatalf("without a bound %v, with one that is never reached %v", describe(without), describe(with))
		}
	})
}

// The bound is kept wherever a placement within it exists: a machine ends beyond it only by a task for which every
// machine that had free capacity would have been as full. And it keeps no task from a machine with free capacity.
func TestBoundIsKeptWhereItCanBe(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := drawFixture(t)
		loadBound := &LoadBound{
			Bound: load.Bound{
				MaxRelativeLoad: rapid.SampledFrom([]float64{1.05, 1.5, 3}).Draw(t, "bound"),
				ImbalanceCostS:  1e9,
			},
			FetchRates: load.NewFetchRates(),
		}
		machines, matches := f.place(loadBound)
		last := map[*Machine]Match{} // the last task that each machine was given
		for _, match := range matches {
			last[match.Machine] = match
		}
		for _, match := range last {
			checkBound(t, loadBound, match, machines)
		}
		checkNoneWaitsBesideFreeCapacity(t, f.groups, machines, matches)
	})
}

// checkBound checks that a machine's last task left it within the bound, or that no other machine would have been
// less full.
func checkBound(t *rapid.T, loadBound *LoadBound, last Match, machines []*Machine) {
	t.Helper()
	const widening = 1.06 // the bound is widened by 5% at least
	request, mean := last.Group.Request, loadBound.mean()
	reached := last.Machine.Load()
	limit := max(loadBound.Bound.MaxRelativeLoad*mean, request.DominantShare(last.Machine.Capacity))
	if reached <= limit*widening+1e-9 {
		return
	}
	for _, other := range machines {
		if other == last.Machine || !last.Group.Fits(other) {
			continue
		}
		alternative := other.used().Plus(request).DominantShare(other.Capacity)
		if alternative*widening+1e-9 < reached {
			t.Fatalf("%s has %.2f, over %.1f times the mean %.2f, while %s with another task would have %.2f",
				last.Machine.Name, reached, loadBound.Bound.MaxRelativeLoad, mean, other.Name, alternative)
		}
	}
}

func checkNoneWaitsBesideFreeCapacity(t *rapid.T, groups []Group, machines []*Machine, matches []Match) {
	t.Helper()
	type task struct {
		job   string
		index int
	}
	placed := map[task]bool{}
	for _, match := range matches {
		placed[task{match.Group.Job, match.TaskIndex}] = true
	}
	for _, group := range groups {
		for _, index := range group.TaskIndexes {
			for _, machine := range machines {
				if !placed[task{group.Job, index}] && group.Fits(machine) {
					t.Fatalf("%s/%d waits beside free capacity on %s", group.Job, index, machine.Name)
				}
			}
		}
	}
}

// The holder of a few machines is told the mean of the fleet: their own would let it fill those that it has.
func TestFleetMeanBoundsAFullShard(t *testing.T) {
	place := func(fleetMean float64) string {
		history := NewVisitHistory()
		history.RecordVisit("a", "m0", 0)
		params := testParams
		params.LoadBound = &LoadBound{
			Bound:      load.Bound{MaxRelativeLoad: 3, ImbalanceCostS: 1e9},
			FetchRates: load.NewFetchRates(),
			FleetMean:  fleetMean,
		}
		var machines []*Machine
		for i, free := range []float64{2, 4} {
			machine := &Machine{Name: fmt.Sprint("m", i), Free: load.Resources{CPUs: free, Memory: free},
				Capacity: load.Resources{CPUs: 4, Memory: 4}}
			machines = append(machines, machine)
			params.LoadBound.Mean.Add(machine.Load())
		}
		group := &Group{Job: "j", TaskIndexes: []int{0}, Image: "a", Spot: true,
			Request: load.Resources{CPUs: 1, Memory: 1}}
		cycle := Cycle{Groups: []*Group{group}, Machines: machines, History: history, Params: params, Now: clock.Second}
		return Place(cycle)[0].Machine.Name
	}
	if machine := place(0); machine != "m0" {
		t.Errorf("on %s by the shard's own mean, want the machine with the image", machine)
	}
	if machine := place(0.1); machine != "m1" {
		t.Errorf("on %s by the fleet's mean, want the machine within the bound", machine)
	}
}

// A bound that admits nothing, however wide, ends the cycle all the same.
func TestBoundThatAdmitsNothingEndsTheCycle(t *testing.T) {
	machine := &Machine{Name: "m0", Free: load.Resources{CPUs: 2, Memory: 2},
		Capacity: load.Resources{CPUs: 4, Memory: 4}}
	group := &Group{Job: "j", TaskIndexes: []int{0, 1}, Image: "a", Spot: true,
		Request: load.Resources{CPUs: 1, Memory: 1}}
	matches := Place(Cycle{
		Groups:   []*Group{group},
		Machines: []*Machine{machine},
		History:  NewVisitHistory(),
		Params: Params{Epsilon: 0.01, LoadOffset: 0.5, LoadBound: &LoadBound{
			Bound:      load.Bound{MaxRelativeLoad: 1.5}, // no cost of imbalance: 0/0
			FetchRates: load.NewFetchRates(),
			FleetMean:  0.1,
		}},
		Now: clock.Second,
	})
	if len(matches) != 0 {
		t.Errorf("placed %v", describe(matches))
	}
}
