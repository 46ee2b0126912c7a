package leader

import (
	"testing"

	"swiftledge/internal/clock"
	"swiftledge/internal/config"
	"swiftledge/internal/peer"
	"swiftledge/internal/shard"
	"swiftledge/wire"
)

// newLeaderWithFullMachine returns a leader with one usable machine, which is full with four long tasks of team guest
// that have run for a while. change, if not nil, alters the specification of their job before the job is added.
func newLeaderWithFullMachine(t *testing.T, change func(*wire.Job)) *Leader {
	t.Helper()
	l := newGrantedLeader(t, nil)
	l.teams["guest"] = config.Team{Name: "guest"}
	l.teams["blue"] = config.Team{Name: "blue", CPUs: 3, CPUsMax: 16}
	l.autoscaler.types["small"] = wire.MachineType{Name: "small", CPUs: 4, MemoryGB: 8, BootS: 20, ZoneNames: []string{"a"}}
	l.autoscaler.catalog = []wire.MachineType{l.autoscaler.types["small"]}
	l.jobs.Remove(testJob.Ref)
	guestJob := wire.Job{Ref: "j-000100", Team: "guest", Priority: wire.PriorityBestEffort, Tasks: 4, CPUs: 1, MemoryGB: 1, EstimateS: 300, Spot: true}
	if change != nil {
		change(&guestJob)
	}
	j := l.addJob(JobRecord{Spec: guestJob}, 3)
	for _, m := range l.inventory.machines {
		m.state = peer.MachineState{}
	}
	m := l.inventory.machines[machineNames[0]]
	m.state = peer.MachineState{Name: machineNames[0], Type: "small", Zone: "a", Schedulable: true, MemoryGB: 4}
	for i := range 4 {
		task := peer.Task{Job: guestJob.Ref, Index: i}
		grant := &grantedTask{team: guestJob.Team, cpus: 1, running: true, runningSince: startTime - clock.Micros(20+i)*clock.Second, machine: m.name}
		m.shard.tasks[task] = grant
		l.usage.Charge(grant.team, grant.resources())
		j.MarkDispatched(i)
	}
	return l
}

// preemptedTasks returns the indexes of the tasks that are stopped for a waiting job.
func preemptedTasks(t *testing.T, l *Leader, waiting wire.Job) (indexes []int) {
	t.Helper()
	l.addJob(JobRecord{Spec: waiting}, 4).EnqueueAll()
	l.preemption.ranAt = 0
	l.preempt(startTime, l.queues(startTime))
	for _, lease := range l.shards.all {
		for _, stop := range lease.orders.Stop {
			indexes = append(indexes, stop.Task.Index)
		}
	}
	return indexes
}

// A waiting job preempts tasks according to both priorities and to the guarantees of the teams (PROTOCOL,
// "Preemption").
func TestPreemption(t *testing.T) {
	high := wire.Job{Ref: "j-000200", Team: "blue", Priority: wire.PriorityHigh, Tasks: 1, CPUs: 1, MemoryGB: 1, EstimateS: 10, Spot: true}
	highWith := func(change func(*wire.Job)) wire.Job {
		j := high
		change(&j)
		return j
	}
	for _, c := range []struct {
		name        string
		changeGuest func(*wire.Job)
		waiting     wire.Job
		want        int
	}{
		{"high priority preempts a long task beyond its team's guarantee", nil, high, 1},
		{"a job preempts one task for each of its own", nil, highWith(func(j *wire.Job) { j.Tasks = 3 }), 3},
		{"standard priority within the guarantee preempts, too", nil, highWith(func(j *wire.Job) { j.Priority = wire.PriorityStandard }), 1},
		{"equal priority within the guarantee preempts a task with checkpoints", func(j *wire.Job) { j.CheckpointS = 30 },
			highWith(func(j *wire.Job) { j.Priority = wire.PriorityBestEffort }), 1},
		{"equal priority within the guarantee preempts no task without checkpoints", nil, highWith(func(j *wire.Job) { j.Priority = wire.PriorityBestEffort }), 0},
		{"lower priority within the guarantee preempts nothing", func(j *wire.Job) { j.Priority, j.CheckpointS = wire.PriorityHigh, 30 },
			highWith(func(j *wire.Job) { j.Priority = wire.PriorityStandard }), 0},
		{"standard priority preempts up to the guarantee", nil, highWith(func(j *wire.Job) { j.Priority, j.Tasks = wire.PriorityStandard, 4 }), 3},
		{"high priority beyond the guarantee preempts, too", nil, highWith(func(j *wire.Job) { j.Team = "guest" }), 1},
		{"standard priority beyond the guarantee preempts nothing", nil, highWith(func(j *wire.Job) { j.Team, j.Priority = "guest", wire.PriorityStandard }), 0},
		{"equal priority without a guarantee preempts nothing", nil, highWith(func(j *wire.Job) { j.Team, j.Priority = "guest", wire.PriorityBestEffort }), 0},
		{"task that ends soon is not preempted", func(j *wire.Job) { j.EstimateS = 55 }, high, 0},
		{"task within its own team's guarantee is not preempted", func(j *wire.Job) { j.Team = "red" }, high, 0},
		{"production preempts a task within its team's guarantee", func(j *wire.Job) { j.Team, j.EstimateS = "red", 55 },
			highWith(func(j *wire.Job) { j.Priority = wire.PriorityProduction }), 1},
		{"equal priority beyond the guarantee preempts nothing", func(j *wire.Job) { j.Priority = wire.PriorityHigh },
			highWith(func(j *wire.Job) { j.CPUs, j.Tasks = 5, 1 }), 0},
	} {
		l := newLeaderWithFullMachine(t, c.changeGuest)
		if got := preemptedTasks(t, l, c.waiting); len(got) != c.want {
			t.Errorf("%s: %d tasks preempted (%v), want %d", c.name, len(got), got, c.want)
		}
	}
}

// The task with the most recent checkpoint is preempted, because it loses the least work.
func TestPreemptionCostsLittleWork(t *testing.T) {
	l := newLeaderWithFullMachine(t, func(j *wire.Job) { j.CheckpointS = 22 })
	high := wire.Job{Ref: "j-000200", Team: "blue", Priority: wire.PriorityHigh, Tasks: 1, CPUs: 1, MemoryGB: 1, EstimateS: 10, Spot: true}
	if got := preemptedTasks(t, l, high); len(got) != 1 || got[0] != 2 {
		t.Errorf("preempted tasks %v, want only task 2, which has run for 22 s", got)
	}
}

// A suspect job preempts no task.
func TestSuspectJobPreemptsNoTask(t *testing.T) {
	l := newLeaderWithFullMachine(t, nil)
	high := wire.Job{Ref: "j-000200", Team: "blue", Priority: wire.PriorityHigh, Tasks: 9, CPUs: 1, MemoryGB: 1, EstimateS: 10, Spot: true}
	j := l.addJob(JobRecord{Spec: high}, 4)
	for i := range 2 {
		l.taskFailed(startTime, j, peer.TaskEvent{Task: peer.Task{Job: high.Ref, Index: i}, Machine: machineNames[1+i]}, &grantedTask{})
	}
	if !j.Failures.Suspect() {
		t.Fatal("job not suspect after failures on two machines")
	}
	j.EnqueueAll()
	l.preempt(startTime+clock.Minute, l.queues(startTime+clock.Minute))
	for _, lease := range l.shards.all {
		if len(lease.orders.Stop) > 0 {
			t.Errorf("stop orders %v for a waiting suspect job, want none", lease.orders.Stop)
		}
	}
}

// A failure of a task that is in no shard grant does not count.
func TestFailureOutsideGrantIsIgnored(t *testing.T) {
	l := newGrantedLeader(t, nil)
	j := l.jobs.Get(testJob.Ref)
	for _, name := range machineNames[:3] {
		lease := l.shards.all[shard.ForMachine(name, 2)]
		l.taskEvent(startTime, lease, peer.TaskEvent{Task: peer.Task{Job: testJob.Ref, Index: 0}, Kind: peer.EventFailed, Machine: name})
	}
	if j.Failures.Suspect() || len(j.Failures.FailedMachines()) > 0 {
		t.Error("failure of a task that was in no shard grant counted against the job")
	}
}
