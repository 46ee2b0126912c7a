package placement

import (
	"fmt"
	"testing"

	"swiftledge/internal/clock"
	"swiftledge/internal/load"
)

// affinityOf returns the affinity of an image with a machine; 0 if it has not visited the machine lately.
func affinityOf(history *VisitHistory, image string, machine *Machine, decayRate float64, now clock.Micros) float64 {
	for _, v := range history.visits[image] {
		if v.machine == machine.Name {
			return history.affinity(v, machine, decayRate, now)
		}
	}
	return 0
}

func TestAffinityDrawsTasksToTheImageUntilItDecays(t *testing.T) {
	history := NewVisitHistory()
	history.RecordVisit("x", "m1", 0)
	group := &Group{Job: "a", TaskIndexes: []int{0}, Image: "x", Request: load.Resources{CPUs: 1}}
	matches := placeAll([]*Group{group}, emptyMachines(3), history, clock.Second)
	if len(matches) != 1 || matches[0].Machine.Name != "m1" {
		t.Errorf("placed %v, want m1", matches)
	}
	machine := &Machine{Name: "m1", UnstartedTasks: 10}
	early := affinityOf(history, "x", machine, testParams.DecayRate, clock.Second)
	late := affinityOf(history, "x", machine, testParams.DecayRate, 100*clock.Second)
	if !(early > late && late > 0) {
		t.Errorf("affinity %v, then %v: want decay", early, late)
	}
	if affinityOf(history, "x", &Machine{Name: "m2"}, testParams.DecayRate, 0) != 0 {
		t.Error("a machine that never had the image has affinity")
	}
}

func TestVisitHistoryKeepsTheLatestTen(t *testing.T) {
	history := NewVisitHistory()
	for i := range 15 {
		history.RecordVisit("x", fmt.Sprint("m", i), clock.Micros(i))
	}
	listed := 0
	for i := range 15 {
		if affinityOf(history, "x", &Machine{Name: fmt.Sprint("m", i)}, 0, 100) > 0 {
			listed++
		}
	}
	if listed != maxVisits || affinityOf(history, "x", &Machine{Name: "m4"}, 0, 100) != 0 {
		t.Errorf("%d machines listed, want the %d latest", listed, maxVisits)
	}
}
