package failures

import (
	"testing"

	"swiftledge/internal/clock"
)

// fail has a task fail on a machine after a second, and reports whether that made its job suspect.
func fail(job *Job, now clock.Micros, machine *Machine, name string, index int) (becameSuspect bool) {
	return job.TaskFailed(now, machine, Failure{TaskIndex: index, Machine: name, Runtime: clock.Second})
}

// A job that fails on two machines is suspect, and neither machine is faulty for it, however often it fails.
func TestSuspectJobIsNoEvidenceAgainstMachines(t *testing.T) {
	var j Job
	var a, b Machine
	for i := range 20 {
		fail(&j, clock.Second, &a, "a", i)
	}
	if j.Suspect() || a.Faulty() {
		t.Error("judged by failures on one machine, which are no evidence of either")
	}
	if !fail(&j, clock.Second, &b, "b", 20) || !j.Suspect() {
		t.Error("not suspect after failures on two machines")
	}
	if a.Faulty() || b.Faulty() {
		t.Error("a machine is faulty for a suspect job's failures")
	}
}

// Several suspect jobs on one machine do not make it faulty once they are known to fail elsewhere.
func TestSeveralSuspectJobsOnOneMachine(t *testing.T) {
	var a, b Machine
	for range 5 {
		j := &Job{}
		fail(j, clock.Second, &a, "a", 0)
		fail(j, clock.Second, &b, "b", 1)
	}
	if a.Faulty() || b.Faulty() {
		t.Error("a machine is faulty for jobs that fail everywhere")
	}
}

// A machine is faulty that fails sound jobs twice in a row, or three jobs of which nothing else is known; a
// completion there ends the row.
func TestFaultyMachine(t *testing.T) {
	var faulty, busy, healthy Machine
	var good Job
	good.TaskCompleted(0, "h", &healthy)
	if fail(&good, clock.Second, &faulty, "f", 1); faulty.Faulty() {
		t.Error("faulty after a single failure")
	}
	if fail(&good, clock.Second, &faulty, "f", 2); !faulty.Faulty() {
		t.Error("not faulty after two failures of a sound job")
	}
	jobs := make([]Job, 3)
	for i := range jobs {
		if busy.Faulty() {
			t.Errorf("faulty after %d unknown jobs", i)
		}
		fail(&jobs[i], clock.Second, &busy, "u", 0)
	}
	if !busy.Faulty() {
		t.Error("not faulty after three unknown jobs")
	}
	if good.TaskCompleted(7, "u", &busy); busy.Faulty() {
		t.Error("faulty after a completion")
	}
}

// A sound job whose first failures were on faulty machines: what failed counts against them once it has completed
// elsewhere, and no task waits any more.
func TestWronglySuspectedJobRecovers(t *testing.T) {
	var j Job
	var a, b, c Machine
	fail(&j, clock.Second, &a, "a", 0)
	fail(&j, clock.Second, &b, "b", 1)
	fail(&j, clock.Second, &a, "a", 2)
	if !j.InBackoff(clock.Second) || j.InBackoff(clock.Second+Backoff(1)) {
		t.Error("a suspect job is probed after its backoff")
	}
	j.TaskCompleted(0, "c", &c)
	if j.Suspect() || j.InBackoff(clock.Second) {
		t.Error("still suspect after a completion")
	}
	if !a.Faulty() || b.Faulty() {
		t.Error("want the machine with two failures faulty, and the other not")
	}
}

// A task that runs for much longer than those that failed ends the suspicion without a completion.
func TestLongRunEndsTheSuspicion(t *testing.T) {
	var j Job
	var a, b Machine
	j.TaskFailed(0, &a, Failure{TaskIndex: 0, Machine: "a", Runtime: 8 * clock.Second})
	j.TaskFailed(0, &b, Failure{TaskIndex: 1, Machine: "b", Runtime: 2 * clock.Second})
	if j.TaskSurvived(23 * clock.Second) {
		t.Error("ended by a run little longer than the failed ones")
	}
	if !j.TaskSurvived(24*clock.Second) || j.Suspect() || j.Sound() {
		t.Error("want nothing known again after a long run")
	}
	if _, failed := j.FailedOn("a"); failed {
		t.Error("still kept from a machine")
	}
}

// The backoff between probes grows up to a bound; failures of tasks that were out before do not extend it.
func TestBackoffIsBounded(t *testing.T) {
	var j Job
	var m Machine
	now := clock.Micros(0)
	fail(&j, now, &m, "a", 0)
	fail(&j, now, &m, "b", 1)
	for i := range 8 {
		at := j.NextProbeAt()
		if fail(&j, now, &m, "c", 100+i); j.NextProbeAt() != at {
			t.Error("a failure during the backoff extended it")
		}
		if backoff := at - now; backoff != Backoff(i+1) || backoff > maxBackoff {
			t.Errorf("backoff %d is %.0f s", i+1, backoff.Seconds())
		}
		now = at
		j.ProbeStarted(now)
	}
	if Backoff(5) != maxBackoff || Backoff(1) != firstBackoff {
		t.Errorf("backoffs from %.0f to %.0f s", Backoff(1).Seconds(), Backoff(5).Seconds())
	}
}

// One task of a sound job that fails everywhere is tried with growing backoff, and is no evidence against machines.
func TestFaultyTaskOfASoundJob(t *testing.T) {
	var j Job
	machines := make([]Machine, 4)
	j.TaskCompleted(0, "h", &Machine{})
	for i := range machines {
		fail(&j, 0, &machines[i], string(rune('a'+i)), 9)
	}
	for i := range machines {
		fail(&j, 0, &machines[i], string(rune('a'+i)), 9)
	}
	for i := range machines {
		if machines[i].Faulty() {
			t.Errorf("machine %d is faulty for one task", i)
		}
	}
	if j.TaskBackoff(9) == 0 || j.TaskBackoff(1) != 0 {
		t.Error("want backoff for the task that fails alone")
	}
	if j.TaskCompleted(9, "a", &machines[0]); j.TaskBackoff(9) != 0 {
		t.Error("still in backoff after it completed")
	}
}

// A job that is cancelled before anything was known says nothing about machines.
func TestCancelledJobIsNoEvidence(t *testing.T) {
	var m Machine
	jobs := make([]Job, 3)
	for i := range jobs {
		fail(&jobs[i], 0, &m, "a", 0)
	}
	if jobs[0].Cancel(); m.Faulty() {
		t.Error("a cancelled job's failures count")
	}
}

// A machine remembers a bounded number of failures.
func TestRememberedFailuresAreBounded(t *testing.T) {
	var m Machine
	var j Job
	for i := range 10 * maxFailures {
		fail(&j, 0, &m, "a", i)
	}
	if len(m.failures) != maxFailures {
		t.Errorf("%d failures remembered", len(m.failures))
	}
}
