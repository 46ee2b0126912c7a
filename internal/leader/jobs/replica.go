package jobs

import (
	"swiftledge/internal/clock"
	"swiftledge/internal/failures"
)

// StableAfter is how long a replica must run to count as stable.
const StableAfter = 10 * clock.Second

// exitCountResetAfter is how long a replica must run to reset the count of its earlier exits.
const exitCountResetAfter = 6 * StableAfter

// avoidMachineFor is how long a service avoids a machine on which one of its replicas failed.
const avoidMachineFor = 30 * clock.Second

// replica is the state of a service's task that is kept between its attempts.
type replica struct {
	quickExits int          // how often the replica has exited by itself since its last long run
	endedAt    clock.Micros // end of the last attempt; 0 while the replica runs
	cause      string       // why the last attempt ended
}

// ReplicaAttempt is an ended attempt of a replica.
type ReplicaAttempt struct {
	Task         int
	Running      bool         // the attempt was reported as running
	RunningSince clock.Micros // start of the run, if Running
	Inherited    bool         // known only from the attempt records of an earlier grant
	Released     bool         // the attempt was stopped and did not exit by itself
	Cause        string       // why the attempt ended
}

// ReplicaEnded records that an attempt of a replica has ended, so that the replica must run again. A replica that keeps
// exiting by itself waits longer each time. ReplicaEnded reports whether the replica was up until now.
func (j *Job) ReplicaEnded(now clock.Micros, attempt ReplicaAttempt) (wasUp bool) {
	r := j.replicas[attempt.Task]
	if r == nil {
		r = &replica{}
		j.replicas[attempt.Task] = r
	}
	wasUp = attempt.Running || attempt.Inherited && r.endedAt == 0
	if wasUp {
		r.endedAt, r.cause = now, attempt.Cause
	}
	if attempt.Released {
		return wasUp
	}
	if attempt.Running && now-attempt.RunningSince > exitCountResetAfter {
		r.quickExits = 0
	}
	if r.quickExits++; r.quickExits > 1 {
		j.Delay(attempt.Task, now+failures.Backoff(r.quickExits-1))
	}
	return wasUp
}

// Outage is a period in which a replica did not run.
type Outage struct {
	Since clock.Micros
	Cause string // why the attempt before the outage ended
}

// ReplicaRunning records that a replica runs, and returns the outage that ended with this run, if there was one.
func (j *Job) ReplicaRunning(task int) (Outage, bool) {
	r := j.replicas[task]
	if r == nil || r.endedAt == 0 {
		return Outage{}, false
	}
	outage := Outage{Since: r.endedAt, Cause: r.cause}
	r.endedAt = 0
	return outage, true
}

// StartStabilityCheck reports whether the last search for a stable replica was at least the interval ago, and if so
// records a new one.
func (j *Job) StartStabilityCheck(now, interval clock.Micros) bool {
	if j.stabilityCheckedAt > 0 && now-j.stabilityCheckedAt < interval {
		return false
	}
	j.stabilityCheckedAt = now
	return true
}

// AvoidsMachine reports whether a service avoids a machine because one of its replicas failed there recently.
func (j *Job) AvoidsMachine(now clock.Micros, machine string) bool {
	failedAt, failed := j.Failures.FailedOn(machine)
	return failed && j.Spec.IsService() && now-failedAt < avoidMachineFor
}
