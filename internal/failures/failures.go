// Package failures attributes task failures to jobs or to machines, depending on which tasks fail on which machines.
//
// The verdict on a job is unknown at first. The job is sound once one of its tasks has completed. It is suspect once
// its tasks have failed on several machines and none has completed. A suspect job is probed: single tasks of the job,
// called probes, are started with exponential backoff to see whether they still fail. A machine is faulty when, since
// a task last completed on it, sound jobs have failed on it twice, or three different jobs, each sound or with an
// unknown verdict, have failed on it. Failures of suspect jobs are no evidence against machines. A task of a sound job
// that fails on several machines is faulty itself.
//
// The package owns the evidence about each job and each machine. It turns failures, completions and the time into
// verdicts and backoffs. It performs no I/O and reads no clock. The leader stops tasks and drains machines.
package failures

import "swiftledge/internal/clock"

const (
	// failedMachinesThreshold is the number of machines on which the tasks of a job must fail for the job to be
	// suspect. It is also the number of machines on which a task of a sound job must fail for the task to be faulty.
	failedMachinesThreshold = 2
	// maxBackoff limits the wait between two attempts, so that a wrongly suspected job recovers soon.
	maxBackoff = 30 * clock.Second
	// firstBackoff is the first wait. Each later wait is twice as long.
	firstBackoff = 2 * clock.Second
)

// Backoff returns how long to wait before the next attempt after the given number of failures.
func Backoff(failures int) clock.Micros {
	backoff := firstBackoff
	for ; failures > 1 && backoff < maxBackoff; failures-- {
		backoff *= 2
	}
	return min(backoff, maxBackoff)
}

// Failure is one failed attempt of a task.
type Failure struct {
	TaskIndex int
	Machine   string
	Runtime   clock.Micros // since its image was fetched; 0: unknown
}
