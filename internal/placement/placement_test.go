package placement

import (
	"fmt"
	"testing"

	"swiftledge/internal/clock"
	"swiftledge/internal/load"
)

var testParams = Params{DecayRate: 0.001, Eta: 0.05, Epsilon: 0.01, LoadOffset: 0.5}

// emptyMachines returns machines m0, m1, ..., each with 4 CPUs and 8 GB of memory.
func emptyMachines(count int) []*Machine {
	var machines []*Machine
	for i := range count {
		machines = append(machines, &Machine{Name: fmt.Sprint("m", i), Free: load.Resources{CPUs: 4, Memory: 8}})
	}
	return machines
}

// placeAll places the groups without a load bound.
func placeAll(groups []*Group, machines []*Machine, history *VisitHistory, now clock.Micros) []Match {
	return Place(Cycle{Groups: groups, Machines: machines, History: history, Params: testParams, Now: now})
}

func taskIndexes(count int) []int {
	var indexes []int
	for i := range count {
		indexes = append(indexes, i)
	}
	return indexes
}

func TestPlaceUsesAllFreeCapacityAndNoMore(t *testing.T) {
	group := &Group{Job: "a", TaskIndexes: taskIndexes(9), Image: "x", Request: load.Resources{CPUs: 2, Memory: 1}}
	tooLarge := &Group{Job: "b", TaskIndexes: []int{0}, Image: "y", Request: load.Resources{CPUs: 9}}
	matches := placeAll([]*Group{tooLarge, group}, emptyMachines(3), NewVisitHistory(), 0)
	if len(matches) != 6 {
		t.Fatalf("%d tasks placed, want 6", len(matches))
	}
	allocatedCPUs := map[string]float64{}
	for _, match := range matches {
		allocatedCPUs[match.Machine.Name] += match.Group.Request.CPUs
		if match.Group == tooLarge {
			t.Error("the task that fits on no machine was placed")
		}
	}
	for name, allocated := range allocatedCPUs {
		if allocated > 4 {
			t.Errorf("%v CPUs allocated on %s, want at most 4", allocated, name)
		}
	}
}

func TestPlaceWithoutMachinesReturns(t *testing.T) {
	group := &Group{Job: "a", TaskIndexes: []int{0}, Image: "x", Request: load.Resources{CPUs: 2}}
	if matches := placeAll([]*Group{group}, nil, NewVisitHistory(), 0); len(matches) != 0 {
		t.Errorf("%d tasks placed without machines, want 0", len(matches))
	}
}

// Without affinity, a task goes to the machine with the fewest unstarted tasks, and among these to one with the image.
func TestFallbackPrefersMachinesWithTheImage(t *testing.T) {
	machines := emptyMachines(4)
	machines[1].CachedImages, machines[3].CachedImages = &ImageCache{}, &ImageCache{}
	machines[1].CachedImages.Use("x", 1, 10)
	machines[3].CachedImages.Use("x", 1, 10)
	machines[1].UnstartedTasks = 1
	group := &Group{Job: "a", TaskIndexes: []int{0, 1}, Image: "x", Request: load.Resources{CPUs: 1}}
	matches := placeAll([]*Group{group}, machines, NewVisitHistory(), 0)
	if len(matches) != 2 || matches[0].Machine != machines[3] || matches[1].Machine == machines[1] {
		t.Errorf("placed %v, want m3 and then a machine without unstarted tasks", matches)
	}
}

// Tasks with different images that arrive at the same time go to different machines as far as possible, because
// concurrent fetches share a machine's fetch rate.
func TestPlaceKeepsTasksWithOneImageTogether(t *testing.T) {
	var groups []*Group
	for _, image := range []string{"x", "y", "z", "w"} {
		groups = append(groups, &Group{
			Job: image, TaskIndexes: taskIndexes(16), Image: image, Request: load.Resources{CPUs: 1, Memory: 1},
		})
	}
	matches := placeAll(groups, emptyMachines(16), NewVisitHistory(), 0)
	if len(matches) != 64 {
		t.Fatalf("%d tasks placed, want 64", len(matches))
	}
	type fetch struct{ machine, image string }
	fetches := map[fetch]bool{}
	for _, match := range matches {
		fetches[fetch{match.Machine.Name, match.Group.Image}] = true
	}
	if len(fetches) > 20 {
		t.Errorf("%d image fetches on 16 machines, want at most 20", len(fetches))
	}
}

func TestImageCacheEvictsLeastRecentlyUsed(t *testing.T) {
	cache := &ImageCache{}
	for _, image := range []string{"a", "b", "c", "a"} {
		cache.Use(image, 4, 10)
	}
	if !cache.Has("a") || !cache.Has("c") || cache.Has("b") {
		t.Errorf("the cache has %v, want a and c", cache.images)
	}
}
