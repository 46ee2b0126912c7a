// Package failures tells faulty jobs from faulty machines by which tasks fail where. It holds no I/O and no
// clock: the same failures and completions at the same times give the same verdicts.
//
// A job is sound once one of its tasks has completed, and suspect once its tasks have failed on several
// machines and none has completed. A suspect job is probed, one task at a time with growing pauses. A machine is
// faulty when sound jobs fail on it, or several jobs of which nothing is known; failures of suspect jobs say
// nothing about it. A sound job's task that fails on several machines is faulty itself.
package failures

import (
	"slices"

	"swiftledge/internal/clock"
)

const (
	// suspectMachines is on how many machines a job's tasks have to fail before the job is suspect, and a
	// task of a sound job before the task is.
	suspectMachines = 2
	// soundFailures is how many failures of sound jobs in a row make a machine faulty.
	soundFailures = 2
	// unknownJobs is how many different jobs of which nothing else is known have to fail on a machine in a
	// row, together with sound ones, for it to be faulty.
	unknownJobs = 3
	// mostRemembered is how many failures in a row a machine is remembered for.
	mostRemembered = 32
	// longestPause bounds the pauses between two tries, so that a job that was wronged recovers soon.
	longestPause = 30 * clock.Second
	// firstPause is the first pause; each later one is twice as long.
	firstPause = 2 * clock.Second
	// leastSurvival is how long a task has to run to show that its job does not fail at once.
	leastSurvival = 10 * clock.Second
	// survivalFactor is how many times as long as the longest failed run it has to run, too.
	survivalFactor = 3
)

// Pause is how long to wait after a number of failures before the next try.
func Pause(failures int) clock.Micros {
	pause := firstPause
	for ; failures > 1 && pause < longestPause; failures-- {
		pause *= 2
	}
	return min(pause, longestPause)
}

// verdict is what is known of a job.
type verdict int

const (
	unknown verdict = iota
	suspect
	sound
	withdrawn // it was cancelled before anything was known: its failures say nothing
)

// Job is the evidence about one job. The zero value is a job of which nothing is known.
type Job struct {
	verdict    verdict
	failedOn   map[string]clock.Micros // by machine: when a task last failed there
	tasks      map[int]*taskFailures   // those whose last tries failed
	probes     int                     // handed out since it became suspect, and one
	probeAt    clock.Micros            // when the next probe may start
	longestRun clock.Micros            // of the runs that failed
}

// taskFailures are the failures of one task of a job since it last completed.
type taskFailures struct {
	machines []string // the first few different ones
	count    int
}

// faulty says whether the task fails wherever it runs.
func (f *taskFailures) faulty() bool { return len(f.machines) >= suspectMachines }

// Failure is one failed run of a task.
type Failure struct {
	Index   int
	Machine string
	Ran     clock.Micros // from when it had its image; 0: not known
}

// machineFailure is a failure that a machine is remembered for.
type machineFailure struct {
	job   *Job
	index int
}

// Machine is the evidence about one machine: what failed there since a task last completed.
type Machine struct{ failures []machineFailure }

// Suspect says whether the job is suspect.
func (j *Job) Suspect() bool { return j.verdict == suspect }

// Sound says whether a task of the job has completed.
func (j *Job) Sound() bool { return j.verdict == sound }

// FailedOn says whether, and when, a task of the job last failed on a machine.
func (j *Job) FailedOn(machine string) (clock.Micros, bool) {
	at, ok := j.failedOn[machine]
	return at, ok
}

// Machines names the machines on which tasks of the job have failed.
func (j *Job) Machines() []string {
	names := make([]string, 0, len(j.failedOn))
	for name := range j.failedOn {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Waits says whether no task of the job may start now: it is suspect, and the pause before its next probe is not
// over.
func (j *Job) Waits(now clock.Micros) bool { return j.Suspect() && now < j.probeAt }

// ProbeAt is when the next probe of a suspect job may start.
func (j *Job) ProbeAt() clock.Micros { return j.probeAt }

// Probes is how many probes were handed out since the job became suspect.
func (j *Job) Probes() int { return max(0, j.probes-1) }

// Probed takes in that a task of a suspect job is handed out. The next one waits, longer each time.
func (j *Job) Probed(now clock.Micros) {
	j.probes++
	j.probeAt = now + Pause(j.probes)
}

// Failed takes in a failure, and says whether the job became suspect by it.
func (j *Job) Failed(now clock.Micros, m *Machine, f Failure) (becameSuspect bool) {
	if j.failedOn == nil {
		j.failedOn, j.tasks = map[string]clock.Micros{}, map[int]*taskFailures{}
	}
	j.longestRun = max(j.longestRun, f.Ran)
	task := j.tasks[f.Index]
	if task == nil {
		task = &taskFailures{}
		j.tasks[f.Index] = task
	}
	task.count++
	if len(task.machines) < suspectMachines && !slices.Contains(task.machines, f.Machine) {
		task.machines = append(task.machines, f.Machine)
	}
	j.failedOn[f.Machine] = now
	m.remember(j, f.Index)
	if j.verdict != unknown || len(j.failedOn) < suspectMachines {
		return false
	}
	j.verdict = suspect
	j.Probed(now)
	return true
}

// TaskPause is how long a task waits before its next try: one that fails wherever it runs, though its job does
// well, is tried at growing pauses.
func (j *Job) TaskPause(index int) clock.Micros {
	task := j.tasks[index]
	if j.verdict != sound || task == nil || !task.faulty() {
		return 0
	}
	return Pause(task.count - suspectMachines + 1)
}

// Completed takes in that a task has completed on a machine: the job is sound, and the machine does its work.
func (j *Job) Completed(index int, machine string, m *Machine) {
	j.verdict = sound
	j.probes, j.probeAt = 0, 0
	delete(j.tasks, index)
	delete(j.failedOn, machine)
	if m != nil {
		m.failures = nil
	}
}

// Survived takes in for how long a task of a suspect job has run by now. One that outlives the failed ones by far
// ends the suspicion, and says so.
func (j *Job) Survived(ran clock.Micros) bool {
	if j.verdict != suspect || ran < max(leastSurvival, survivalFactor*j.longestRun) {
		return false
	}
	j.verdict = unknown
	clear(j.failedOn)
	clear(j.tasks)
	return true
}

// MarkSound takes in that the job is known to be sound: a task of it completed before this evidence began, or one
// that has no end runs well.
func (j *Job) MarkSound() { j.verdict, j.probes, j.probeAt = sound, 0, 0 }

// Withdraw takes in that the job was cancelled. What failed of it before anything was known says nothing about
// the machines any more.
func (j *Job) Withdraw() {
	if j.verdict != sound {
		j.verdict = withdrawn
	}
}

// remember adds a failure; with more than it has room for the oldest are dropped.
func (m *Machine) remember(j *Job, index int) {
	if m == nil {
		return
	}
	m.failures = append(m.failures, machineFailure{j, index})
	if len(m.failures) > mostRemembered {
		m.failures = m.failures[1:]
	}
}

// Faulty says whether the machine is at fault for what failed on it since a task last completed there.
func (m *Machine) Faulty() bool {
	soundOnes := 0
	jobs := map[*Job]bool{}
	for _, f := range m.failures {
		switch f.job.verdict {
		case sound:
			// A task that fails wherever it runs says nothing.
			if task := f.job.tasks[f.index]; task == nil || !task.faulty() {
				soundOnes++
				jobs[f.job] = true
			}
		case unknown:
			jobs[f.job] = true
		}
	}
	return soundOnes >= soundFailures || len(jobs) >= unknownJobs
}
