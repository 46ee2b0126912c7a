// Package failures attributes failures of tasks to jobs or to machines, by which tasks fail where.
//
// A job is sound once one of its tasks has completed, and suspect once its tasks have failed on several machines and
// none has completed. A suspect job is probed, one task at a time with growing backoff. A machine is faulty when sound
// jobs fail on it, or several jobs of which nothing is known; failures of suspect jobs say nothing about it. A sound
// job's task that fails on several machines is faulty itself.
//
// The package owns the evidence about each job and each machine. Failures, completions and the time go in; verdicts
// and backoffs come out. It performs no I/O, reads no clock, and neither stops tasks nor drains machines: the leader
// does.
package failures

import "swiftledge/internal/clock"

const (
	// suspectMachines is on how many machines a job's tasks have to fail for the job to be suspect, and a task of a
	// sound job for the task to be faulty.
	suspectMachines = 2
	// maxBackoff bounds the wait between two tries, so that a job that was suspected wrongly recovers soon.
	maxBackoff = 30 * clock.Second
	// firstBackoff is the first wait; each later one is twice as long.
	firstBackoff = 2 * clock.Second
)

// Backoff returns how long to wait after a number of failures before the next try.
func Backoff(failures int) clock.Micros {
	backoff := firstBackoff
	for ; failures > 1 && backoff < maxBackoff; failures-- {
		backoff *= 2
	}
	return min(backoff, maxBackoff)
}

// Failure is one failed run of a task.
type Failure struct {
	TaskIndex int
	Machine   string
	Runtime   clock.Micros // since it had its image; 0: unknown
}
