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

// TestMain fixes the seed of the property tests, so that every run draws the same cases.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "400", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// drawnCycle is a randomly drawn cycle that can be placed repeatedly.
type drawnCycle struct {
	machines []Machine
	groups   []Group
	visits   []drawnVisit
}

type drawnVisit struct{ image, machine string }

func drawCycle(t *rapid.T) (cycle drawnCycle) {
	images := []string{"a", "b", "c"}
	for i := range rapid.IntRange(1, 25).Draw(t, "machines") {
		cpus := rapid.SampledFrom([]float64{4, 4, 16}).Draw(t, "cpus")
		capacity := load.Resources{CPUs: cpus, Memory: 2 * cpus}
		machine := Machine{Name: fmt.Sprintf("m%02d", i), Type: "t",
			Zone: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "zone"), Capacity: capacity}
		used := float64(rapid.IntRange(0, int(cpus)).Draw(t, "used cpus"))
		machine.Free = capacity.Minus(load.Resources{CPUs: used, Memory: used})
		cycle.machines = append(cycle.machines, machine)
		if rapid.Bool().Draw(t, "visited") {
			cycle.visits = append(cycle.visits, drawnVisit{rapid.SampledFrom(images).Draw(t, "image"), machine.Name})
		}
	}
	for i := range rapid.IntRange(1, 5).Draw(t, "groups") {
		group := Group{Job: fmt.Sprint("j", i), Image: rapid.SampledFrom(images).Draw(t, "image"), Spot: true,
			Zone: rapid.SampledFrom([]string{"", "", "x"}).Draw(t, "zone constraint")}
		cpus := rapid.SampledFrom([]float64{0.5, 1, 2}).Draw(t, "requested cpus")
		group.Request = load.Resources{CPUs: cpus, Memory: cpus}
		group.TaskIndexes = taskIndexes(rapid.IntRange(1, 30).Draw(t, "tasks"))
		cycle.groups = append(cycle.groups, group)
	}
	return cycle
}

// place places the drawn groups, and returns the machines in their state afterwards and the matches.
func (c *drawnCycle) place(loadBound *LoadBound) ([]*Machine, []Match) {
	history := NewVisitHistory()
	for _, visit := range c.visits {
		history.RecordVisit(visit.image, visit.machine, 0)
	}
	var machines []*Machine
	for _, machine := range c.machines {
		machines = append(machines, &machine)
		if loadBound != nil {
			loadBound.Mean.Add(machine.Load())
		}
	}
	var groups []*Group
	for _, group := range c.groups {
		groups = append(groups, &group)
	}
	params := testParams
	params.LoadBound = loadBound
	cycle := Cycle{Groups: groups, Machines: machines, History: history, Params: params, Now: clock.Second}
	return machines, Place(cycle)
}

// formatMatches returns a line for each match, with the task and its machine.
func formatMatches(matches []Match) (lines []string) {
	for _, match := range matches {
		lines = append(lines, fmt.Sprintf("%s/%d on %s", match.Group.Job, match.TaskIndex, match.Machine.Name))
	}
	return lines
}

// With a bound that is never reached, tasks are placed as without a bound.
func TestUnreachedBoundChangesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cycle := drawCycle(t)
		_, unbounded := cycle.place(nil)
		_, bounded := cycle.place(&LoadBound{
			Bound:      load.Bound{MaxRelativeLoad: 1e9, ImbalanceCostS: 1},
			FetchRates: load.NewFetchRates(),
			FleetMean:  1,
		})
		if !reflect.DeepEqual(formatMatches(unbounded), formatMatches(bounded)) {
			t.Fatalf("placed %v without a bound, and %v with an unreached bound, want no difference", formatMatches(unbounded), formatMatches(bounded))
		}
	})
}

// The bound is kept wherever a placement within it exists: a machine exceeds it only by a task that would have led to
// a load at least as high on every other machine with free capacity. The bound leaves no task waiting while a machine
// has free capacity for it.
func TestBoundIsKeptWherePossible(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cycle := drawCycle(t)
		loadBound := &LoadBound{
			Bound: load.Bound{
				MaxRelativeLoad: rapid.SampledFrom([]float64{1.05, 1.5, 3}).Draw(t, "bound"),
				ImbalanceCostS:  1e9,
			},
			FetchRates: load.NewFetchRates(),
		}
		machines, matches := cycle.place(loadBound)
		lastMatches := map[*Machine]Match{} // the last match of each machine
		for _, match := range matches {
			lastMatches[match.Machine] = match
		}
		for _, match := range lastMatches {
			checkLastTaskWithinBound(t, loadBound, match, machines)
		}
		checkFreeCapacityIsUsed(t, cycle.groups, machines, matches)
	})
}

// checkLastTaskWithinBound checks that a machine is within the bound with its last task, or that the task would not
// have led to a lower load on any other machine.
func checkLastTaskWithinBound(t *rapid.T, loadBound *LoadBound, lastMatch Match, machines []*Machine) {
	t.Helper()
	const widening = 1.06 // the bound is widened by at least 5%
	request, mean := lastMatch.Group.Request, loadBound.mean()
	actualLoad := lastMatch.Machine.Load()
	limit := max(loadBound.Bound.MaxRelativeLoad*mean, request.DominantShare(lastMatch.Machine.Capacity))
	if actualLoad <= limit*widening+1e-9 {
		return
	}
	for _, other := range machines {
		if other == lastMatch.Machine || !lastMatch.Group.Fits(other) {
			continue
		}
		otherLoad := other.used().Plus(request).DominantShare(other.Capacity)
		if otherLoad*widening+1e-9 < actualLoad {
			t.Fatalf("%s got load %.2f by its last task, over %.1f times the mean %.2f, although %s would have got load %.2f",
				lastMatch.Machine.Name, actualLoad, loadBound.Bound.MaxRelativeLoad, mean, other.Name, otherLoad)
		}
	}
}

func checkFreeCapacityIsUsed(t *rapid.T, groups []Group, machines []*Machine, matches []Match) {
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
					t.Fatalf("task %s/%d was not placed although it fits on %s", group.Job, index, machine.Name)
				}
			}
		}
	}
}

// The bound is relative to the mean load of the fleet if that is known. If it were relative to the mean load of the
// shard's own few machines, it would let the shard holder fill these machines.
func TestBoundIsRelativeToFleetMean(t *testing.T) {
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
		t.Errorf("task placed on %s with the mean of the shard, want m0, which has the image", machine)
	}
	if machine := place(0.1); machine != "m1" {
		t.Errorf("task placed on %s with the mean of the fleet, want m1, which is within the bound", machine)
	}
}

// The cycle ends even if the bound admits no task however far it is widened.
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
			Bound:      load.Bound{MaxRelativeLoad: 1.5}, // an imbalance cost of 0 makes the limit 0/0
			FetchRates: load.NewFetchRates(),
			FleetMean:  0.1,
		}},
		Now: clock.Second,
	})
	if len(matches) != 0 {
		t.Errorf("placed %v, want nothing", formatMatches(matches))
	}
}
