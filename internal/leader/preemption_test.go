package leader

import (
	"testing"

	"swiftledge/internal/clock"
	"swiftledge/internal/config"
	"swiftledge/internal/peer"
	"swiftledge/internal/shard"
	"swiftledge/wire"
)

// leaderOfFullMachine makes a leader of one machine that guest's tasks fill: four that run for long, and have run for a
// while. change may alter the job before it is taken in.
func leaderOfFullMachine(t *testing.T, change func(*wire.Job)) *Leader {
	t.Helper()
	l := granting(t, nil)
	l.teams["guest"] = config.Team{Name: "guest"}
	l.teams["blue"] = config.Team{Name: "blue", CPUs: 3, CPUsMax: 16}
	l.autoscaler.types["small"] = wire.MachineType{Name: "small", CPUs: 4, MemoryGB: 8, BootS: 20, ZoneNames: []string{"a"}}
	l.autoscaler.catalog = []wire.MachineType{l.autoscaler.types["small"]}
	l.jobs.Remove(spec.Ref)
	long := wire.Job{Ref: "j-000100", Team: "guest", Priority: wire.PriorityBestEffort, Tasks: 4, CPUs: 1, MemoryGB: 1, EstimateS: 300, Spot: true}
	if change != nil {
		change(&long)
	}
	j := l.addJob(JobRecord{Spec: long}, 3)
	for _, m := range l.inventory.machines {
		m.state = peer.MachineState{}
	}
	m := l.inventory.machines[names[0]]
	m.state = peer.MachineState{Name: names[0], Type: "small", Zone: "a", Schedulable: true, MemoryGB: 4}
	for i := range 4 {
		task := peer.Task{Job: long.Ref, Index: i}
		held := &grantedTask{team: long.Team, cpus: 1, running: true, runningSince: began - clock.Micros(20+i)*clock.Second, machine: m.name}
		m.shard.tasks[task] = held
		l.usage.Charge(held.team, held.resources())
		j.MarkDispatched(i)
	}
	return l
}

// evictedTasks gives the indexes of the tasks that waiting work stops.
func evictedTasks(t *testing.T, l *Leader, waiting wire.Job) (out []int) {
	t.Helper()
	l.addJob(JobRecord{Spec: waiting}, 4).EnqueueAll()
	l.preemption.ranAt = 0
	l.preempt(began, l.queues(began))
	for _, b := range l.shards.all {
		for _, s := range b.orders.Stop {
			out = append(out, s.Task.Index)
		}
	}
	return out
}

// Which waiting work stops which tasks (PROTOCOL, "Preemption").
func TestPreemption(t *testing.T) {
	high := wire.Job{Ref: "j-000200", Team: "blue", Priority: wire.PriorityHigh, Tasks: 1, CPUs: 1, MemoryGB: 1, EstimateS: 10, Spot: true}
	with := func(change func(*wire.Job)) wire.Job {
		j := high
		change(&j)
		return j
	}
	for _, c := range []struct {
		name    string
		long    func(*wire.Job)
		waiting wire.Job
		want    int
	}{
		{"high priority stops long work on borrowed capacity", nil, high, 1},
		{"as much as it needs", nil, with(func(j *wire.Job) { j.Tasks = 3 }), 3},
		{"standard work within a guarantee does so, too", nil, with(func(j *wire.Job) { j.Priority = wire.PriorityStandard }), 1},
		{"work as important within a guarantee stops what saves", func(j *wire.Job) { j.CheckpointS = 30 },
			with(func(j *wire.Job) { j.Priority = wire.PriorityBestEffort }), 1},
		{"but not what would be done again", nil, with(func(j *wire.Job) { j.Priority = wire.PriorityBestEffort }), 0},
		{"nor what is more important", func(j *wire.Job) { j.Priority, j.CheckpointS = wire.PriorityHigh, 30 },
			with(func(j *wire.Job) { j.Priority = wire.PriorityStandard }), 0},
		{"no more than the guarantee", nil, with(func(j *wire.Job) { j.Priority, j.Tasks = wire.PriorityStandard, 4 }), 3},
		{"high priority does so beyond a guarantee, too", nil, with(func(j *wire.Job) { j.Team = "guest" }), 1},
		{"standard work beyond a guarantee stops nothing", nil, with(func(j *wire.Job) { j.Team, j.Priority = "guest", wire.PriorityStandard }), 0},
		{"another guest of the same priority stops nothing", nil, with(func(j *wire.Job) { j.Team, j.Priority = "guest", wire.PriorityBestEffort }), 0},
		{"a task that ends soon is left to end", func(j *wire.Job) { j.EstimateS = 55 }, high, 0},
		{"work within its own team's guarantee is left alone", func(j *wire.Job) { j.Team = "red" }, high, 0},
		{"production stops that all the same", func(j *wire.Job) { j.Team, j.EstimateS = "red", 55 },
			with(func(j *wire.Job) { j.Priority = wire.PriorityProduction }), 1},
		{"equal priority is not stopped without a guarantee", func(j *wire.Job) { j.Priority = wire.PriorityHigh },
			with(func(j *wire.Job) { j.CPUs, j.Tasks = 5, 1 }), 0},
	} {
		l := leaderOfFullMachine(t, c.long)
		if got := evictedTasks(t, l, c.waiting); len(got) != c.want {
			t.Errorf("%s: %d tasks are stopped (%v), want %d", c.name, len(got), got, c.want)
		}
	}
}

// The task that has just saved loses least.
func TestPreemptionCostsLittleWork(t *testing.T) {
	l := leaderOfFullMachine(t, func(j *wire.Job) { j.CheckpointS = 22 })
	high := wire.Job{Ref: "j-000200", Team: "blue", Priority: wire.PriorityHigh, Tasks: 1, CPUs: 1, MemoryGB: 1, EstimateS: 10, Spot: true}
	if got := evictedTasks(t, l, high); len(got) != 1 || got[0] != 2 {
		t.Errorf("stopped %v, want the one that ran for 22 s", got)
	}
}

// A suspect job stops nobody.
func TestSuspectJobStopsNobody(t *testing.T) {
	l := leaderOfFullMachine(t, nil)
	high := wire.Job{Ref: "j-000200", Team: "blue", Priority: wire.PriorityHigh, Tasks: 9, CPUs: 1, MemoryGB: 1, EstimateS: 10, Spot: true}
	j := l.addJob(JobRecord{Spec: high}, 4)
	for i := range 2 {
		l.taskFailed(began, j, peer.TaskEvent{Task: peer.Task{Job: high.Ref, Index: i}, Machine: names[1+i]}, &grantedTask{})
	}
	if !j.Failures.Suspect() {
		t.Fatal("not suspect")
	}
	j.EnqueueAll()
	l.preempt(began+clock.Minute, l.queues(began+clock.Minute))
	for _, b := range l.shards.all {
		if len(b.orders.Stop) > 0 {
			t.Errorf("stops %v", b.orders.Stop)
		}
	}
}

// An error of a task that is in no grant is no evidence.
func TestErrorOfNoGrantIsNoEvidence(t *testing.T) {
	l := granting(t, nil)
	j := l.jobs.Get(spec.Ref)
	for _, name := range names[:3] {
		b := l.shards.all[shard.ForMachine(name, 2)]
		l.taskEvent(began, b, peer.TaskEvent{Task: peer.Task{Job: spec.Ref, Index: 0}, Kind: peer.EventFailed, Machine: name})
	}
	if j.Failures.Suspect() || len(j.Failures.FailedMachines()) > 0 {
		t.Error("counted")
	}
}
