package failures

import (
	"testing"

	"swiftledge/internal/clock"
)

// fails has a task fail on a machine after a second.
func fails(j *Job, now clock.Micros, m *Machine, name string, index int) bool {
	return j.Failed(now, m, Failure{Index: index, Machine: name, Ran: clock.Second})
}

// A job that fails on two machines is suspect, and neither machine is faulty for it, however often it fails.
func TestMistakenJobTaintsNoMachine(t *testing.T) {
	var j Job
	var a, b Machine
	for i := range 20 {
		fails(&j, clock.Second, &a, "a", i)
	}
	if j.Suspect() || a.Faulty() {
		t.Error("judged by failures on one machine, which are no evidence of either")
	}
	if !fails(&j, clock.Second, &b, "b", 20) || !j.Suspect() {
		t.Error("not suspect after failures on two machines")
	}
	if a.Faulty() || b.Faulty() {
		t.Error("a machine is faulty for a suspect job's failures")
	}
}

// Several mistaken jobs on one machine do not make it faulty once they are known to fail elsewhere.
func TestSeveralMistakenJobsOnOneMachine(t *testing.T) {
	var a, b Machine
	for range 5 {
		j := &Job{}
		fails(j, clock.Second, &a, "a", 0)
		fails(j, clock.Second, &b, "b", 1)
	}
	if a.Faulty() || b.Faulty() {
		t.Error("a machine is faulty for jobs that fail everywhere")
	}
}

// A machine is faulty that fails sound jobs twice in a row, or three jobs of which nothing else is known; a
// completion there ends the row.
func TestFaultyMachine(t *testing.T) {
	var sick, busy, healthy Machine
	var good Job
	good.Completed(0, "h", &healthy)
	if fails(&good, clock.Second, &sick, "s", 1); sick.Faulty() {
		t.Error("faulty after a single failure")
	}
	if fails(&good, clock.Second, &sick, "s", 2); !sick.Faulty() {
		t.Error("not faulty after two failures of a sound job")
	}
	jobs := make([]Job, 3)
	for i := range jobs {
		if busy.Faulty() {
			t.Errorf("faulty after %d unknown jobs", i)
		}
		fails(&jobs[i], clock.Second, &busy, "u", 0)
	}
	if !busy.Faulty() {
		t.Error("not faulty after three unknown jobs")
	}
	if good.Completed(7, "u", &busy); busy.Faulty() {
		t.Error("faulty after a completion")
	}
}

// A sound job whose first failures were on sick machines: what failed counts against them once it has completed
// elsewhere, and no task waits any more.
func TestWrongedJobRecovers(t *testing.T) {
	var j Job
	var a, b, c Machine
	fails(&j, clock.Second, &a, "a", 0)
	fails(&j, clock.Second, &b, "b", 1)
	fails(&j, clock.Second, &a, "a", 2)
	if !j.Waits(clock.Second) || j.Waits(clock.Second+Pause(1)) {
		t.Error("a suspect job is probed after a pause")
	}
	j.Completed(0, "c", &c)
	if j.Suspect() || j.Waits(clock.Second) {
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
	j.Failed(0, &a, Failure{Index: 0, Machine: "a", Ran: 8 * clock.Second})
	j.Failed(0, &b, Failure{Index: 1, Machine: "b", Ran: 2 * clock.Second})
	if j.Survived(23 * clock.Second) {
		t.Error("ended by a run little longer than the failed ones")
	}
	if !j.Survived(24*clock.Second) || j.Suspect() || j.Sound() {
		t.Error("want nothing known again after a long run")
	}
	if _, failed := j.FailedOn("a"); failed {
		t.Error("still kept from a machine")
	}
}

// Pauses between probes grow up to a bound; failures of tasks that were out before make them no longer.
func TestPausesAreBounded(t *testing.T) {
	var j Job
	var m Machine
	now := clock.Micros(0)
	fails(&j, now, &m, "a", 0)
	fails(&j, now, &m, "b", 1)
	for i := range 8 {
		at := j.ProbeAt()
		if fails(&j, now, &m, "c", 100+i); j.ProbeAt() != at {
			t.Error("a failure within the pause made it longer")
		}
		if pause := at - now; pause != Pause(i+1) || pause > longestPause {
			t.Errorf("pause %d is %.0f s", i+1, pause.Seconds())
		}
		now = at
		j.Probed(now)
	}
	if Pause(5) != longestPause || Pause(1) != firstPause {
		t.Errorf("pauses from %.0f to %.0f s", Pause(1).Seconds(), Pause(5).Seconds())
	}
}

// One task of a sound job that fails everywhere is tried at growing pauses, and taints no machine.
func TestFaultyTaskOfASoundJob(t *testing.T) {
	var j Job
	machines := make([]Machine, 4)
	j.Completed(0, "h", &Machine{})
	for i := range machines {
		fails(&j, 0, &machines[i], string(rune('a'+i)), 9)
	}
	for i := range machines {
		fails(&j, 0, &machines[i], string(rune('a'+i)), 9)
	}
	for i := range machines {
		if machines[i].Faulty() {
			t.Errorf("machine %d is faulty for one task", i)
		}
	}
	if j.TaskPause(9) == 0 || j.TaskPause(1) != 0 {
		t.Error("want a pause for the task that fails alone")
	}
	if j.Completed(9, "a", &machines[0]); j.TaskPause(9) != 0 {
		t.Error("still paused after it completed")
	}
}

// A job that is cancelled before anything was known says nothing about machines.
func TestCancelledJobIsNoEvidence(t *testing.T) {
	var m Machine
	jobs := make([]Job, 3)
	for i := range jobs {
		fails(&jobs[i], 0, &m, "a", 0)
	}
	if jobs[0].Withdraw(); m.Faulty() {
		t.Error("a cancelled job's failures count")
	}
}

// A machine remembers a bounded number of failures.
func TestMemoryIsBounded(t *testing.T) {
	var m Machine
	var j Job
	for i := range 10 * mostRemembered {
		fails(&j, 0, &m, "a", i)
	}
	if len(m.failures) != mostRemembered {
		t.Errorf("%d failures remembered", len(m.failures))
	}
}
