package failures

import (
	"testing"

	"swiftledge/internal/clock"
)

// failTask records a failure of a task on a machine after a run of 1 s, and reports whether it made the job suspect.
func failTask(job *Job, now clock.Micros, machine *Machine, name string, index int) (becameSuspect bool) {
	return job.TaskFailed(now, machine, Failure{TaskIndex: index, Machine: name, Runtime: clock.Second})
}

// Failures of one job on one machine make neither the job suspect nor the machine faulty, however many there are. A job
// that fails on two machines is suspect, and its failures make neither machine faulty.
func TestSuspectJobIsNoEvidenceAgainstMachines(t *testing.T) {
	var job Job
	var a, b Machine
	for i := range 20 {
		failTask(&job, clock.Second, &a, "a", i)
	}
	if job.Suspect() || a.Faulty() {
		t.Error("the job became suspect or the machine faulty after failures of one job on one machine")
	}
	if !failTask(&job, clock.Second, &b, "b", 20) || !job.Suspect() {
		t.Error("the job did not become suspect after failures on two machines")
	}
	if a.Faulty() || b.Faulty() {
		t.Error("a machine became faulty after failures of a suspect job")
	}
}

// Failures of several suspect jobs do not make a machine faulty, because these jobs fail on other machines, too.
func TestSuspectJobsOnOneMachineAreNoEvidence(t *testing.T) {
	var a, b Machine
	for range 5 {
		job := &Job{}
		failTask(job, clock.Second, &a, "a", 0)
		failTask(job, clock.Second, &b, "b", 1)
	}
	if a.Faulty() || b.Faulty() {
		t.Error("a machine became faulty after failures of jobs that fail on all machines")
	}
}

// Two consecutive failures of sound jobs make a machine faulty, and so do consecutive failures of three jobs with an
// unknown verdict. A completion on the machine resets its failures.
func TestFaultyMachine(t *testing.T) {
	var faulty, busy, healthy Machine
	var soundJob Job
	soundJob.TaskCompleted(0, "h", &healthy)
	if failTask(&soundJob, clock.Second, &faulty, "f", 1); faulty.Faulty() {
		t.Error("the machine became faulty after a single failure")
	}
	if failTask(&soundJob, clock.Second, &faulty, "f", 2); !faulty.Faulty() {
		t.Error("the machine did not become faulty after two failures of a sound job")
	}
	jobs := make([]Job, 3)
	for i := range jobs {
		if busy.Faulty() {
			t.Errorf("the machine became faulty after failures of %d jobs with an unknown verdict, want 3 jobs", i)
		}
		failTask(&jobs[i], clock.Second, &busy, "u", 0)
	}
	if !busy.Faulty() {
		t.Error("the machine did not become faulty after failures of three jobs with an unknown verdict")
	}
	if soundJob.TaskCompleted(7, "u", &busy); busy.Faulty() {
		t.Error("the machine was still faulty after a completion")
	}
}

// A sound job first fails on faulty machines and becomes suspect. Once one of its tasks has completed elsewhere, the
// job's failures count against these machines, and the job's tasks no longer wait.
func TestWronglySuspectedJobRecovers(t *testing.T) {
	var job Job
	var a, b, c Machine
	failTask(&job, clock.Second, &a, "a", 0)
	failTask(&job, clock.Second, &b, "b", 1)
	failTask(&job, clock.Second, &a, "a", 2)
	if !job.InBackoff(clock.Second) || job.InBackoff(clock.Second+Backoff(1)) {
		t.Error("the suspect job was not in backoff, or still was when its first backoff had ended")
	}
	job.TaskCompleted(0, "c", &c)
	if job.Suspect() || job.InBackoff(clock.Second) {
		t.Error("the job was still suspect or in backoff after a completion")
	}
	if !a.Faulty() || b.Faulty() {
		t.Error("the machine with two failures was not faulty, or the one with a single failure was")
	}
}

// A task that runs much longer than the failed ones clears the suspicion without a completion.
func TestLongRunEndsSuspicion(t *testing.T) {
	var job Job
	var a, b Machine
	job.TaskFailed(0, &a, Failure{TaskIndex: 0, Machine: "a", Runtime: 8 * clock.Second})
	job.TaskFailed(0, &b, Failure{TaskIndex: 1, Machine: "b", Runtime: 2 * clock.Second})
	if job.TaskSurvived(23 * clock.Second) {
		t.Error("the suspicion was cleared by a run shorter than three times the longest failed run")
	}
	if !job.TaskSurvived(24*clock.Second) || job.Suspect() || job.Sound() {
		t.Error("the verdict was not reset to unknown by a long run")
	}
	if _, failed := job.FailedOn("a"); failed {
		t.Error("failures on a machine were kept after a long run")
	}
}

// The backoff between probes grows up to a maximum. Failures of tasks that started before the backoff do not extend it.
func TestBackoffIsBounded(t *testing.T) {
	var job Job
	var machine Machine
	now := clock.Micros(0)
	failTask(&job, now, &machine, "a", 0)
	failTask(&job, now, &machine, "b", 1)
	for i := range 8 {
		probeAt := job.NextProbeAt()
		if failTask(&job, now, &machine, "c", 100+i); job.NextProbeAt() != probeAt {
			t.Error("a failure during the backoff extended the backoff")
		}
		if backoff := probeAt - now; backoff != Backoff(i+1) || backoff > maxBackoff {
			t.Errorf("backoff %d was %.0f s, want the value of Backoff and at most maxBackoff", i+1, backoff.Seconds())
		}
		now = probeAt
		job.ProbeStarted(now)
	}
	if Backoff(5) != maxBackoff || Backoff(1) != firstBackoff {
		t.Errorf("backoffs range from %.0f to %.0f s, want firstBackoff to maxBackoff", Backoff(1).Seconds(), Backoff(5).Seconds())
	}
}

// A task of a sound job that fails on all machines is retried with exponential backoff. Its failures are no evidence
// against machines.
func TestFaultyTaskOfASoundJob(t *testing.T) {
	var job Job
	machines := make([]Machine, 4)
	job.TaskCompleted(0, "h", &Machine{})
	for i := range machines {
		failTask(&job, 0, &machines[i], string(rune('a'+i)), 9)
	}
	for i := range machines {
		failTask(&job, 0, &machines[i], string(rune('a'+i)), 9)
	}
	for i := range machines {
		if machines[i].Faulty() {
			t.Errorf("machine %d became faulty after failures of one faulty task", i)
		}
	}
	if job.TaskBackoff(9) == 0 || job.TaskBackoff(1) != 0 {
		t.Error("the faulty task had no backoff, or another task had one")
	}
	if job.TaskCompleted(9, "a", &machines[0]); job.TaskBackoff(9) != 0 {
		t.Error("the task was still in backoff after it completed")
	}
}

// Failures of a job that is cancelled with an unknown verdict are no evidence against machines.
func TestCancelledJobIsNoEvidence(t *testing.T) {
	var machine Machine
	jobs := make([]Job, 3)
	for i := range jobs {
		failTask(&jobs[i], 0, &machine, "a", 0)
	}
	if jobs[0].Cancel(); machine.Faulty() {
		t.Error("the machine was still faulty after one of the three failed jobs was cancelled")
	}
}

// The number of failures that are kept for a machine is bounded.
func TestRecordedFailuresAreBounded(t *testing.T) {
	var machine Machine
	var job Job
	for i := range 10 * maxFailures {
		failTask(&job, 0, &machine, "a", i)
	}
	if len(machine.failures) != maxFailures {
		t.Errorf("%d failures were kept, want maxFailures", len(machine.failures))
	}
}
