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

// A job that becomes suspect has those of its tasks stopped that have not begun to run; those that run go on, and
// one that runs for long ends the suspicion.
func TestSuspectJobsUnstartedTasksAreStopped(t *testing.T) {
	l := granting(t, nil)
	s := spec
	s.Ref, s.Tasks = "j-000300", 8
	j := l.addJob(JobRecord{Spec: s}, 5)
	b := l.shards.all[shard.ForMachine(names[0], 2)]
	for i := range 4 {
		task := peer.Task{Job: s.Ref, Index: i}
		b.tasks[task] = &grantedTask{team: s.Team, cpus: 1, running: i == 3, runningSince: began, machine: names[0]}
		j.MarkDispatched(i)
	}
	for i, name := range names[:2] {
		l.taskFailed(began, j, peer.TaskEvent{Task: peer.Task{Job: s.Ref, Index: 4 + i}, Machine: name}, &grantedTask{})
	}
	if want := (taskOutcomes{failed: 1, failedSuspect: 1}); l.outcomes != want {
		t.Errorf("counted %+v, want %+v", l.outcomes, want)
	}
	var stopped []int
	for _, stop := range b.orders.Stop {
		stopped = append(stopped, stop.Task.Index)
	}
	if !slices.Equal(stopped, []int{0, 1, 2}) {
		t.Errorf("stopped %v, want the three that do not run", stopped)
	}
	if l.clearSuspicion(began+jobs.StableAfter-1, j); !j.Failures.Suspect() {
		t.Error("cleared by a short run")
	}
	if l.clearSuspicion(began+jobs.StableAfter, j); j.Failures.Suspect() {
		t.Error("not cleared by a long run")
	}
}

// A job that completes a task after others of it failed makes those failures count against their machines.
func TestCompletionJudgesTheMachinesWhereItsJobFailed(t *testing.T) {
	l := granting(t, nil)
	j := l.jobs.Get(spec.Ref)
	fail := func() {
		l.taskFailed(began, j, peer.TaskEvent{Task: peer.Task{Job: spec.Ref, Index: 0}, Machine: names[1]}, &grantedTask{})
	}
	if fail(); l.inventory.machines[names[1]].draining {
		t.Error("drained for a job of which nothing is known")
	}
	if fail(); l.inventory.machines[names[1]].draining {
		t.Error("drained for a job of which nothing is known")
	}
	if l.creditCompletion(began, j, peer.TaskEvent{Task: peer.Task{Job: spec.Ref, Index: 1}, Machine: names[2]}); !l.inventory.machines[names[1]].draining {
		t.Error("not drained when its job has completed elsewhere")
	}
}

// What failed of a job that was cancelled before anything was known of it is no evidence against a machine.
func TestCancelledJobTaintsNoMachine(t *testing.T) {
	l := granting(t, nil)
	for i := range 3 {
		s := spec
		s.Ref = []string{"j-000401", "j-000402", "j-000403"}[i]
		j := l.addJob(JobRecord{Spec: s}, 5)
		l.taskFailed(began, j, peer.TaskEvent{Task: peer.Task{Job: s.Ref}, Machine: names[1]}, &grantedTask{})
		if i == 0 {
			l.cancelJob(began, j)
		}
	}
	if l.inventory.machines[names[1]].draining {
		t.Error("drained")
	}
}

// A machine that the list calls running and whose worker never reports is given up, and machines that do not come
// up make their option's boot time count for more, until one does.
func TestMachinesThatNeverWork(t *testing.T) {
	l := granting(t, nil)
	silent, booting, healthy := l.inventory.machines[names[0]], l.inventory.machines[names[1]], l.inventory.machines[names[2]]
	for _, m := range []*machine{silent, booting, healthy} {
		m.up, m.option.Type.BootS = false, 20
	}
	list := func(at clock.Micros) {
		l.machinesListed(at, []wire.Machine{{Name: silent.name, State: wire.MachineRunning}, {Name: booting.name,
			State: wire.MachineStarting}, {Name: healthy.name, State: wire.MachineRunning}})
	}
	list(began)
	l.machineReported(began+clock.Second, peer.MachineState{Name: healthy.name, Type: "small", Schedulable: true})
	late := clock.FromSeconds(20 * l.cfg.Tuning.Fleet.BootTimeoutFactor)
	for _, c := range []struct {
		at   clock.Micros
		m    *machine
		want removalReason
	}{
		{began + late, silent, removalNone},
		{began + l.silentBootTimeout(late) + clock.Second, silent, removalNeverReported},
		{began + late + clock.Second, booting, removalNeverCameUp},
		{began + 10*late, healthy, removalNone},
	} {
		if reason := l.removalReason(c.at, c.m, shardSilence{up: 3, silent: 1}); reason != c.want {
			t.Errorf("%s after %.0f s: %q, want %q", c.m.name, (c.at - began).Seconds(), reason, c.want)
		}
	}
	l.machinesToRemove(began + late + clock.Second)
	if late := l.withExpectedDelay(booting.option).DelayS; late != 20 {
		t.Errorf("expected %g s late after one that did not come up", late)
	}
	l.machineReported(began+late+2*clock.Second, peer.MachineState{Name: booting.name, Type: "small", Schedulable: true})
	if late := l.withExpectedDelay(booting.option).DelayS; late != 0 {
		t.Errorf("expected %g s late after one came up", late)
	}
}
