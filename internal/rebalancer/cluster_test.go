package rebalancer

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"

	"swiftledge/internal/clock"
	"swiftledge/internal/load"
)

const (
	second = clock.Second
	// afterLeaderCooldown is a time at which neither the start of the term nor the start of a task prevents migrations.
	afterLeaderCooldown = 100 * second
)

// TestMain fixes the seed of the property tests, so that every run draws the same cases.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "300", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func testParams() Params {
	return Params{
		Bound:        load.Bound{MaxRelativeLoad: 1.5, ImbalanceCostS: 20},
		MigrateAbove: 1.75, MinLoad: 0.1, MinRuntime: 30 * second, TaskCooldown: 120 * second,
		LeaderCooldown: 20 * second, MigrationBudget: 0.02, TeamShare: 0.5, Timeout: 90 * second,
	}
}

// testCluster simulates a cluster whose machines and tasks a test can change.
type testCluster struct {
	machines []*Machine
	tasks    map[string][]Task // by machine
	view     View
}

func newTestCluster() *testCluster {
	c := &testCluster{tasks: map[string][]Task{}}
	c.view = View{
		FetchRates: load.NewFetchRates(),
		Tasks:      func(machine *Machine) []Task { return c.tasks[machine.Name] },
	}
	return c
}

func (c *testCluster) addMachine(name string, cpus float64) *Machine {
	capacity := load.Resources{CPUs: cpus, Memory: 2 * cpus}
	machine := &Machine{Name: name, Type: "small", Capacity: capacity, Schedulable: true}
	c.machines = append(c.machines, machine)
	c.view.Machines = c.machines
	return machine
}

func (c *testCluster) startTask(machine *Machine, task Task) {
	machine.Used = machine.Used.Plus(task.Request)
	c.tasks[machine.Name] = append(c.tasks[machine.Name], task)
}

func (c *testCluster) stopTask(machine *Machine, id TaskID) Task {
	tasks := c.tasks[machine.Name]
	i := slices.IndexFunc(tasks, func(task Task) bool { return task.ID == id })
	task := tasks[i]
	c.tasks[machine.Name] = slices.Delete(tasks, i, i+1)
	machine.Used = machine.Used.Minus(task.Request)
	return task
}

func (c *testCluster) machine(name string) *Machine {
	return c.machines[slices.IndexFunc(c.machines, func(m *Machine) bool { return m.Name == name })]
}

func (c *testCluster) countSchedulable() (count int) {
	for _, machine := range c.machines {
		if machine.Schedulable {
			count++
		}
	}
	return count
}

// migratableTask returns a task that meets all conditions for a migration.
func migratableTask(index int, cpus float64) Task {
	return Task{
		ID: TaskID{"j-000001", index}, Team: "red", Request: load.Resources{CPUs: cpus, Memory: cpus},
		Image: "img", CheckpointS: 1, Checkpoints: true, RunningSince: second, RemainingS: 1000,
		Allows: func(*Machine) bool { return true },
	}
}

// imbalancedCluster returns a cluster of four machines, one of which runs all tasks.
func imbalancedCluster() *testCluster {
	c := newTestCluster()
	loaded := c.addMachine("m0", 4)
	for i := 1; i < 4; i++ {
		c.addMachine(fmt.Sprint("m", i), 4)
	}
	for i := range 4 {
		c.startTask(loaded, migratableTask(i, 1))
	}
	return c
}
