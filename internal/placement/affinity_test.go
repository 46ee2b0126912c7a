package placement

import (
	"fmt"
	"testing"

	"swiftledge/internal/clock"
	"swiftledge/internal/load"
)

// affinityOf returns the affinity of an image with a machine, or 0 if the history has no visit to the machine.
func affinityOf(history *VisitHistory, image string, machine *Machine, decayRate float64, now clock.Micros) float64 {
	for _, v := range history.visits[image] {
		if v.machine == machine.Name {
			return history.affinity(v, machine, decayRate, now)
		}
	}
	return 0
}

func TestAffinityAttractsTasksUntilItDecays(t *testing.T) {
	history := NewVisitHistory()
	history.RecordVisit("x", "m1", 0)
	group := &Group{Job: "a", TaskIndexes: []int{0}, Image: "x", Request: load.Resources{CPUs: 1}}
	matches := placeAll([]*Group{group}, emptyMachines(3), history, clock.Second)
	if len(matches) != 1 || matches[0].Machine.Name != "m1" {
		t.Errorf("placed %v, want m1", matches)
	}
	machine := &Machine{Name: "m1", UnstartedTasks: 10}
	earlyAffinity := affinityOf(history, "x", machine, testParams.DecayRate, clock.Second)
	lateAffinity := affinityOf(history, "x", machine, testParams.DecayRate, 100*clock.Second)
	if !(earlyAffinity > lateAffinity && lateAffinity > 0) {
		t.Errorf("affinity is %v, then %v, want it to decay", earlyAffinity, lateAffinity)
	}
	if affinityOf(history, "x", &Machine{Name: "m2"}, testParams.DecayRate, 0) != 0 {
		t.Error("the image has affinity with a machine without visits, want 0")
	}
}

func TestVisitHistoryKeepsLatestVisits(t *testing.T) {
	history := NewVisitHistory()
	for i := range 15 {
		history.RecordVisit("x", fmt.Sprint("m", i), clock.Micros(i))
	}
	withAffinity := 0
	for i := range 15 {
		if affinityOf(history, "x", &Machine{Name: fmt.Sprint("m", i)}, 0, 100) > 0 {
			withAffinity++
		}
	}
	if withAffinity != maxVisits || affinityOf(history, "x", &Machine{Name: "m4"}, 0, 100) != 0 {
		t.Errorf("%d machines have affinity, want the %d latest", withAffinity, maxVisits)
	}
}
