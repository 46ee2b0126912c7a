package failures

import (
	"maps"
	"slices"

	"swiftledge/internal/clock"
)

const (
	// minSurvival is how long a task has to run to show that its job does not fail at once.
	minSurvival = 10 * clock.Second
	// survivalFactor is how many times as long as the longest failed run it has to run, too.
	survivalFactor = 3
)

// verdict is what is known of a job.
type verdict int

const (
	unknown verdict = iota
	suspect
	sound
	cancelled // before anything was known: its failures say nothing
)

// Job is the evidence about one job. The zero value is a job of which nothing is known.
type Job struct {
	verdict     verdict
	failedOn    map[string]clock.Micros // by machine: when a task last failed there
	tasks       map[int]*taskFailures   // by index: tasks whose latest tries failed
	backoffs    int                     // of a suspect job: one when it became suspect, and one for each probe
	nextProbeAt clock.Micros
	longestRun  clock.Micros // of the runs that failed
}

// taskFailures are the failures of one task of a job since it last completed.
type taskFailures struct {
	machines []string // the first different ones, up to suspectMachines
	count    int
}

func (f *taskFailures) add(machine string) {
	f.count++
	if len(f.machines) < suspectMachines && !slices.Contains(f.machines, machine) {
		f.machines = append(f.machines, machine)
	}
}

// faulty reports whether the task fails wherever it runs.
func (f *taskFailures) faulty() bool { return f != nil && len(f.machines) >= suspectMachines }

// Suspect reports whether the job is suspect.
func (j *Job) Suspect() bool { return j.verdict == suspect }

// Sound reports whether the job is known to be sound.
func (j *Job) Sound() bool { return j.verdict == sound }

// FailedOn returns when a task of the job last failed on a machine, and whether any did.
func (j *Job) FailedOn(machine string) (at clock.Micros, failed bool) {
	at, failed = j.failedOn[machine]
	return at, failed
}

// FailedMachines returns the names of the machines on which tasks of the job have failed, sorted.
func (j *Job) FailedMachines() []string {
	names := slices.AppendSeq(make([]string, 0, len(j.failedOn)), maps.Keys(j.failedOn))
	slices.Sort(names)
	return names
}

// InBackoff reports whether no task of the job may start now: it is suspect, and its next probe is not due.
func (j *Job) InBackoff(now clock.Micros) bool { return j.Suspect() && now < j.nextProbeAt }

// NextProbeAt returns when the next probe of a suspect job may start.
func (j *Job) NextProbeAt() clock.Micros { return j.nextProbeAt }

// Probes returns how many probes were started since the job became suspect.
func (j *Job) Probes() int { return max(0, j.backoffs-1) }

// ProbeStarted records that a task of a suspect job is handed out. The next one waits, longer each time.
func (j *Job) ProbeStarted(now clock.Micros) { j.extendBackoff(now) }

func (j *Job) extendBackoff(now clock.Micros) {
	j.backoffs++
	j.nextProbeAt = now + Backoff(j.backoffs)
}

// TaskFailed records a failure, and reports whether it made the job suspect. The machine is nil if it is not known
// any more.
func (j *Job) TaskFailed(now clock.Micros, machine *Machine, failure Failure) (becameSuspect bool) {
	if j.failedOn == nil {
		j.failedOn, j.tasks = map[string]clock.Micros{}, map[int]*taskFailures{}
	}
	j.longestRun = max(j.longestRun, failure.Runtime)
	task := j.tasks[failure.TaskIndex]
	if task == nil {
		task = &taskFailures{}
		j.tasks[failure.TaskIndex] = task
	}
	task.add(failure.Machine)
	j.failedOn[failure.Machine] = now
	if machine != nil {
		machine.add(j, failure.TaskIndex)
	}
	if j.verdict != unknown || len(j.failedOn) < suspectMachines {
		return false
	}
	j.verdict = suspect
	j.extendBackoff(now)
	return true
}

// TaskBackoff returns how long a task waits before its next try. One that fails wherever it runs, though its job is
// sound, waits longer each time; others do not wait.
func (j *Job) TaskBackoff(index int) clock.Micros {
	task := j.tasks[index]
	if j.verdict != sound || !task.faulty() {
		return 0
	}
	return Backoff(task.count - suspectMachines + 1)
}

// TaskCompleted records that a task has completed on a machine: the job is sound, and the machine does its work. The
// machine is nil if it is not known any more.
func (j *Job) TaskCompleted(index int, name string, machine *Machine) {
	j.MarkSound()
	delete(j.tasks, index)
	delete(j.failedOn, name)
	if machine != nil {
		machine.failures = nil
	}
}

// TaskSurvived records for how long a task of a suspect job has run by now. One that outlives the failed ones by far
// ends the suspicion; TaskSurvived then reports true.
func (j *Job) TaskSurvived(runtime clock.Micros) bool {
	if j.verdict != suspect || runtime < max(minSurvival, survivalFactor*j.longestRun) {
		return false
	}
	j.verdict = unknown
	clear(j.failedOn)
	clear(j.tasks)
	return true
}

// MarkSound records that the job is known to be sound: a task of it completed, or one that has no end runs well.
func (j *Job) MarkSound() { j.verdict, j.backoffs, j.nextProbeAt = sound, 0, 0 }

// Cancel records that the job was cancelled. What failed of it before anything was known says nothing about the
// machines any more.
func (j *Job) Cancel() {
	if j.verdict != sound {
		j.verdict = cancelled
	}
}
