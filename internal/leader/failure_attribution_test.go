package leader

import (
	"slices"
	"testing"

	"swiftledge/internal/clock"
	"swiftledge/internal/leader/jobs"
	"swiftledge/internal/peer"
	"swiftledge/internal/shard"
	"swiftledge/wire"
)

// When a job becomes suspect, its tasks that are not running yet are stopped. Its running tasks continue, and a task
// that runs for long enough clears the suspicion.
func TestUnstartedTasksOfSuspectJobAreStopped(t *testing.T) {
	l := newGrantedLeader(t, nil)
	jobSpec := testJob
	jobSpec.Ref, jobSpec.Tasks = "j-000300", 8
	j := l.addJob(JobRecord{Spec: jobSpec}, 5)
	lease := l.shards.all[shard.ForMachine(machineNames[0], 2)]
	for i := range 4 {
		task := peer.Task{Job: jobSpec.Ref, Index: i}
		lease.tasks[task] = &grantedTask{team: jobSpec.Team, cpus: 1, running: i == 3, runningSince: startTime, machine: machineNames[0]}
		j.MarkDispatched(i)
	}
	for i, name := range machineNames[:2] {
		l.taskFailed(startTime, j, peer.TaskEvent{Task: peer.Task{Job: jobSpec.Ref, Index: 4 + i}, Machine: name}, &grantedTask{})
	}
	if want := (taskOutcomes{failed: 1, failedSuspect: 1}); l.outcomes != want {
		t.Errorf("task outcomes %+v, want %+v", l.outcomes, want)
	}
	var stopped []int
	for _, stop := range lease.orders.Stop {
		stopped = append(stopped, stop.Task.Index)
	}
	if !slices.Equal(stopped, []int{0, 1, 2}) {
		t.Errorf("stopped tasks %v, want 0, 1 and 2, which were not running", stopped)
	}
	if l.clearSuspicion(startTime+jobs.StableAfter-1, j); !j.Failures.Suspect() {
		t.Error("suspicion of the job was cleared by a run shorter than StableAfter")
	}
	if l.clearSuspicion(startTime+jobs.StableAfter, j); j.Failures.Suspect() {
		t.Error("suspicion of the job was not cleared by a run of StableAfter")
	}
}

// When a job completes a task, earlier failures of its other tasks count against the machines on which they failed.
func TestCompletionCountsEarlierFailuresAgainstMachines(t *testing.T) {
	l := newGrantedLeader(t, nil)
	j := l.jobs.Get(testJob.Ref)
	failTask := func() {
		l.taskFailed(startTime, j, peer.TaskEvent{Task: peer.Task{Job: testJob.Ref, Index: 0}, Machine: machineNames[1]}, &grantedTask{})
	}
	if failTask(); l.inventory.machines[machineNames[1]].draining {
		t.Error("machine drained after the first failure, before a task of the job had completed")
	}
	if failTask(); l.inventory.machines[machineNames[1]].draining {
		t.Error("machine drained after the second failure, before a task of the job had completed")
	}
	if l.creditCompletion(startTime, j, peer.TaskEvent{
		Task: peer.Task{Job: testJob.Ref, Index: 1}, Machine: machineNames[2],
	}); !l.inventory.machines[machineNames[1]].draining {
		t.Error("machine not drained after the job completed a task on another machine")
	}
}

// Failures of a job that is cancelled before it completes a task do not count against a machine.
func TestFailuresOfCancelledJobDoNotCountAgainstMachine(t *testing.T) {
	l := newGrantedLeader(t, nil)
	for i := range 3 {
		jobSpec := testJob
		jobSpec.Ref = []string{"j-000401", "j-000402", "j-000403"}[i]
		j := l.addJob(JobRecord{Spec: jobSpec}, 5)
		l.taskFailed(startTime, j, peer.TaskEvent{Task: peer.Task{Job: jobSpec.Ref}, Machine: machineNames[1]}, &grantedTask{})
		if i == 0 {
			l.cancelJob(startTime, j)
		}
	}
	if l.inventory.machines[machineNames[1]].draining {
		t.Error("machine drained although one of the three jobs that failed on it was cancelled")
	}
}

// A machine that the cloud lists as running but whose agent never sends a heartbeat is removed, and so is a machine
// that stays listed as starting. Machines that do not come up increase the expected boot delay of their option until a
// machine of the option comes up.
func TestMachinesThatDoNotBootAreRemoved(t *testing.T) {
	l := newGrantedLeader(t, nil)
	silent, booting, healthy := l.inventory.machines[machineNames[0]], l.inventory.machines[machineNames[1]], l.inventory.machines[machineNames[2]]
	for _, m := range []*machine{silent, booting, healthy} {
		m.up, m.option.Type.BootS = false, 20
	}
	listMachines := func(at clock.Micros) {
		l.machinesListed(at, []wire.Machine{{Name: silent.name, State: wire.MachineRunning}, {Name: booting.name,
			State: wire.MachineStarting}, {Name: healthy.name, State: wire.MachineRunning}})
	}
	listMachines(startTime)
	l.machineReported(startTime+clock.Second, peer.MachineState{Name: healthy.name, Type: "small", Schedulable: true})
	bootTimeout := clock.FromSeconds(20 * l.cfg.Tuning.Fleet.BootTimeoutFactor)
	for _, c := range []struct {
		at   clock.Micros
		m    *machine
		want removalReason
	}{
		{startTime + bootTimeout, silent, removalNone},
		{startTime + l.silentBootTimeout(bootTimeout) + clock.Second, silent, removalNeverReported},
		{startTime + bootTimeout + clock.Second, booting, removalNeverCameUp},
		{startTime + 10*bootTimeout, healthy, removalNone},
	} {
		if reason := l.removalReason(c.at, c.m, shardSilence{up: 3, silent: 1}); reason != c.want {
			t.Errorf("%s after %.0f s: removal reason %q, want %q", c.m.name, (c.at - startTime).Seconds(), reason, c.want)
		}
	}
	l.machinesToRemove(startTime + bootTimeout + clock.Second)
	if delayS := l.withExpectedBootDelay(booting.option).DelayS; delayS != 20 {
		t.Errorf("expected boot delay of %g s after a machine did not come up, want 20 s", delayS)
	}
	l.machineReported(startTime+bootTimeout+2*clock.Second, peer.MachineState{Name: booting.name, Type: "small", Schedulable: true})
	if delayS := l.withExpectedBootDelay(booting.option).DelayS; delayS != 0 {
		t.Errorf("expected boot delay of %g s after a machine came up, want 0 s", delayS)
	}
}
