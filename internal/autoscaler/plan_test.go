package autoscaler

import (
	"testing"

	"swiftledge/wire"
)

var (
	smallType = wire.MachineType{
		Name: "small", CPUs: 4, MemoryGB: 8, Price: 0.4, SpotPrice: 0.1, ZoneNames: []string{"a"},
	}
	spot       = Option{Type: smallType, Zone: "a", Spot: true}
	onDemand   = Option{Type: smallType, Zone: "a"}
	testParams = Params{SpotBacklogS: 20, OnDemandBacklogS: 100}
)

func allowEveryOption(*Option) bool { return true }

// countMachines returns the number of spot machines and of on-demand machines in the launches.
func countMachines(launches []Launch) (spot, onDemand int) {
	for _, launch := range launches {
		if launch.Spot {
			spot += launch.Count
		} else {
			onDemand += launch.Count
		}
	}
	return spot, onDemand
}

func TestPlanPrefersTheCheapestOption(t *testing.T) {
	flexible := Demand{CPUs: 2, MemoryGB: 1, Spot: true, Tasks: 40, TaskSeconds: 400}
	onDemandOnly := flexible
	onDemandOnly.Spot = false
	for _, c := range []struct {
		name                   string
		demand                 Demand
		allowed                func(*Option) bool
		wantSpot, wantOnDemand int
	}{
		{"20 slots on spot machines", flexible, allowEveryOption, 10, 0},
		{"4 slots on on-demand machines", flexible, func(o *Option) bool { return !o.Spot }, 0, 2},
		{"tasks that do not allow spot machines", onDemandOnly, allowEveryOption, 0, 10},
	} {
		t.Run(c.name, func(t *testing.T) {
			launches := Plan(Input{
				Demands: []Demand{c.demand}, Options: []Option{onDemand, spot}, Params: testParams, Allowed: c.allowed,
			}).ScaleOut
			if gotSpot, gotOnDemand := countMachines(launches); gotSpot != c.wantSpot || gotOnDemand != c.wantOnDemand {
				t.Errorf("launches %v, want %d spot and %d on-demand machines", launches, c.wantSpot, c.wantOnDemand)
			}
		})
	}
}

func TestPlanScalesInSurplus(t *testing.T) {
	machines := []Machine{
		{Option: onDemand, Name: "idle on demand", Up: true, Idle: true},
		{Option: spot, Name: "idle spot", Up: true, Idle: true},
		{Option: spot, Name: "retained spot", Up: true, Idle: true, Retain: true},
		{Option: onDemand, Name: "busy on demand", Up: true},
	}
	demand := Demand{CPUs: 4, Spot: true, Tasks: 2, TaskSeconds: 1000}
	decision := Plan(Input{Demands: []Demand{demand}, Machines: machines, Params: testParams, Allowed: allowEveryOption})
	if len(decision.Cordon) != 1 || decision.Cordon[0] != "busy on demand" {
		t.Errorf("plan cordons %v, want the busy on-demand machine", decision.Cordon)
	}
	if len(decision.ScaleIn) != 1 || decision.ScaleIn[0] != "idle on demand" {
		t.Errorf("plan scales in %v, want only the idle on-demand machine", decision.ScaleIn)
	}
}

// The plan launches no on-demand machines if it only postpones spot machines to the next plan.
func TestPlanPostponesSpotMachinesBeyondItsLimit(t *testing.T) {
	demand := Demand{CPUs: 2, MemoryGB: 1, Spot: true, Tasks: 1000, TaskSeconds: 90000}
	launches := Plan(Input{
		Demands: []Demand{demand}, Options: []Option{onDemand, spot}, Params: testParams, Allowed: allowEveryOption,
	}).ScaleOut
	if gotSpot, gotOnDemand := countMachines(launches); gotSpot != maxMachinesPerPlan || gotOnDemand != 0 {
		t.Errorf("launches %v, want %d spot machines and no on-demand machines", launches, maxMachinesPerPlan)
	}
	for _, launch := range launches {
		if launch.Count > MaxMachinesPerRequest {
			t.Errorf("plan launches %d machines in one request, want at most MaxMachinesPerRequest", launch.Count)
		}
	}
}

// The running tasks fit on fewer machines. The least loaded machine gets no new tasks, so that it can be deleted.
func TestPlanDeprioritizesLeastLoadedMachine(t *testing.T) {
	params := Params{SpotBacklogS: 20, OnDemandBacklogS: 100, ReserveRatio: 0.5}
	var machines []Machine
	for i, load := range []float64{0.25, 1, 0.5, 0.25} {
		machines = append(machines, Machine{Option: spot, Name: string(rune('a' + i)), Up: true, Load: load})
	}
	demand := Demand{CPUs: 1, Spot: true, Tasks: 8, TaskSeconds: 80}
	decision := Plan(Input{Demands: []Demand{demand}, Machines: machines, Params: params, Allowed: allowEveryOption})
	if len(decision.Deprioritize) != 1 || decision.Deprioritize[0] != "d" {
		t.Errorf("plan deprioritizes %v, want only d, because 12 slots are kept for 8 tasks", decision.Deprioritize)
	}
}

// The plan launches no machine if the existing machines complete all tasks before a new machine has booted.
func TestPlanCountsWorkDoneWhileMachinesBoot(t *testing.T) {
	slow := spot
	slow.Type.BootS = 30
	plan := func(taskSeconds float64) []Launch {
		return Plan(Input{
			Demands:  []Demand{{CPUs: 1, Spot: true, Tasks: 100, TaskSeconds: taskSeconds}},
			Machines: []Machine{{Option: slow, Name: "a", Up: true}},
			Options:  []Option{slow},
			Params:   Params{SpotBacklogS: 10, OnDemandBacklogS: 100},
			Allowed:  allowEveryOption,
		}).ScaleOut
	}
	if launches := plan(120); len(launches) != 0 {
		t.Errorf("launches %v for tasks that complete before new machines have booted, want none", launches)
	}
	launches := plan(400)
	if gotSpot, _ := countMachines(launches); gotSpot != 6 {
		t.Errorf("launches %v, want 6 machines for the remaining tasks", launches)
	}
}

// Of two options that serve the demand, the plan prefers the one without an expected boot delay. The number of machines
// does not depend on the delay.
func TestPlanPrefersOptionsThatBootInTime(t *testing.T) {
	machineType := wire.MachineType{
		Name: "small", CPUs: 4, MemoryGB: 8, Price: 0.3, SpotPrice: 0.1, BootS: 30, ZoneNames: []string{"a", "b"},
	}
	delayed := Option{Type: machineType, Zone: "a", Spot: true, DelayS: 60}
	prompt := Option{Type: machineType, Zone: "b", Spot: true}
	plan := func(options ...Option) []Launch {
		return Plan(Input{
			Demands: []Demand{{CPUs: 1, MemoryGB: 1, Spot: true, Tasks: 40, TaskSeconds: 4000}},
			Options: options,
			Params:  Params{SpotBacklogS: 25, OnDemandBacklogS: 200, ReserveRatio: 0.4},
			Allowed: allowEveryOption,
		}).ScaleOut
	}
	if launches := plan(delayed, prompt); len(launches) != 1 || launches[0].Zone != "b" || launches[0].Count != 10 {
		t.Errorf("launches %+v, want 10 machines in zone b", launches)
	}
	if launches := plan(delayed); len(launches) != 1 || launches[0].Count != 10 {
		t.Errorf("launches %+v, want 10 machines despite the delay", launches)
	}
}

// A machine has no more slots than tasks that its agent can list in a heartbeat, however small the tasks are.
func TestSlotsOfSmallTasks(t *testing.T) {
	option := onDemand
	for _, c := range []struct {
		demand Demand
		want   int
	}{
		{Demand{CPUs: option.Type.CPUs / 2}, 2},
		{Demand{CPUs: option.Type.CPUs / 100_000}, wire.MaxTasksPerHeartbeat},
		{Demand{}, wire.MaxTasksPerHeartbeat},
	} {
		if got := c.demand.Slots(&option); got != c.want {
			t.Errorf("%d slots for tasks of %g processors, want %d", got, c.demand.CPUs, c.want)
		}
	}
}
