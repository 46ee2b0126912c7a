package failures

import (
	"maps"
	"slices"

	"swiftledge/internal/clock"
)

const (
	// minSurvivalTime is the minimum run time of a task that shows that the tasks of its job do not fail immediately.
	minSurvivalTime = 10 * clock.Second
	// survivalFactor is the minimum ratio of this task's run time to the longest failed run of the job.
	survivalFactor = 3
)

// verdict is the conclusion from the evidence about a job.
type verdict int

const (
	unknown verdict = iota
	suspect
	sound
	cancelled // before the job was known to be sound: its failures are no evidence against machines
)

// Job is the evidence about one job. The zero value is a job without evidence.
type Job struct {
	verdict          verdict
	failedOn         map[string]clock.Micros // by machine: time of the last failure on the machine
	failedTasks      map[int]*taskFailures   // by index: tasks that failed since they last completed
	backoffCount     int                     // of a suspect job: 1 for becoming suspect, and 1 for each probe
	nextProbeAt      clock.Micros
	longestFailedRun clock.Micros // duration of the longest failed run
}

// taskFailures are the failures of one task of a job since the task last completed.
type taskFailures struct {
	machines []string // the first distinct ones, up to failedMachinesThreshold
	count    int
}

func (f *taskFailures) add(machine string) {
	f.count++
	if len(f.machines) < failedMachinesThreshold && !slices.Contains(f.machines, machine) {
		f.machines = append(f.machines, machine)
	}
}

// isFaulty reports whether the task has failed on several machines.
func (f *taskFailures) isFaulty() bool { return f != nil && len(f.machines) >= failedMachinesThreshold }

// Suspect reports whether the job is suspect.
func (j *Job) Suspect() bool { return j.verdict == suspect }

// Sound reports whether the job is known to be sound.
func (j *Job) Sound() bool { return j.verdict == sound }

// FailedOn returns the time at which a task of the job last failed on the machine, and whether any did.
func (j *Job) FailedOn(machine string) (failedAt clock.Micros, failed bool) {
	failedAt, failed = j.failedOn[machine]
	return failedAt, failed
}

// FailedMachines returns the names of the machines on which tasks of the job have failed, sorted.
func (j *Job) FailedMachines() []string {
	names := slices.AppendSeq(make([]string, 0, len(j.failedOn)), maps.Keys(j.failedOn))
	slices.Sort(names)
	return names
}

// InBackoff reports whether no task of the job may start now, because the job is suspect and its next probe is not due.
func (j *Job) InBackoff(now clock.Micros) bool { return j.Suspect() && now < j.nextProbeAt }

// NextProbeAt returns the earliest time for the next probe of a suspect job.
func (j *Job) NextProbeAt() clock.Micros { return j.nextProbeAt }

// Probes returns the number of probes dispatched since the job became suspect. The first backoff is not due to a probe:
// it began when the job became suspect.
func (j *Job) Probes() int { return max(0, j.backoffCount-1) }

// ProbeStarted records that a task of a suspect job is dispatched as a probe, and extends the backoff before the next
// probe.
func (j *Job) ProbeStarted(now clock.Micros) { j.extendBackoff(now) }

func (j *Job) extendBackoff(now clock.Micros) {
	j.backoffCount++
	j.nextProbeAt = now + Backoff(j.backoffCount)
}

// TaskFailed records a failure, and reports whether the failure made the job suspect. machine is nil if the machine is
// no longer known.
func (j *Job) TaskFailed(now clock.Micros, machine *Machine, failure Failure) (becameSuspect bool) {
	if j.failedOn == nil {
		j.failedOn, j.failedTasks = map[string]clock.Micros{}, map[int]*taskFailures{}
	}
	j.longestFailedRun = max(j.longestFailedRun, failure.Runtime)
	task := j.failedTasks[failure.TaskIndex]
	if task == nil {
		task = &taskFailures{}
		j.failedTasks[failure.TaskIndex] = task
	}
	task.add(failure.Machine)
	j.failedOn[failure.Machine] = now
	if machine != nil {
		machine.add(j, failure.TaskIndex)
	}
	if j.verdict != unknown || len(j.failedOn) < failedMachinesThreshold {
		return false
	}
	j.verdict = suspect
	j.extendBackoff(now)
	return true
}

// TaskBackoff returns how long a task waits before its next attempt. A faulty task of a sound job waits longer after
// each failure. Other tasks do not wait.
func (j *Job) TaskBackoff(index int) clock.Micros {
	task := j.failedTasks[index]
	if j.verdict != sound || !task.isFaulty() {
		return 0
	}
	return Backoff(task.count - failedMachinesThreshold + 1)
}

// TaskCompleted records that a task has completed on a machine. The job is sound from now on, and the machine's earlier
// failures are dropped. machine is nil if the machine is no longer known.
func (j *Job) TaskCompleted(index int, name string, machine *Machine) {
	j.MarkSound()
	delete(j.failedTasks, index)
	delete(j.failedOn, name)
	if machine != nil {
		machine.failures = nil
	}
}

// TaskSurvived records how long a task of a suspect job has been running. If the task has run much longer than the
// failed tasks, the job is no longer suspect, its recorded failures are dropped, and TaskSurvived returns true.
func (j *Job) TaskSurvived(runtime clock.Micros) bool {
	if j.verdict != suspect || runtime < max(minSurvivalTime, survivalFactor*j.longestFailedRun) {
		return false
	}
	j.verdict = unknown
	clear(j.failedOn)
	clear(j.failedTasks)
	return true
}

// MarkSound records that the job is known to be sound, because one of its tasks completed or a service replica runs
// well.
func (j *Job) MarkSound() { j.verdict, j.backoffCount, j.nextProbeAt = sound, 0, 0 }

// Cancel records that the job was cancelled. Unless the job was known to be sound, its failures are no longer evidence
// against machines.
func (j *Job) Cancel() {
	if j.verdict != sound {
		j.verdict = cancelled
	}
}
