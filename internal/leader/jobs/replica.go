package jobs

import (
	"swiftledge/internal/clock"
	"swiftledge/internal/failures"
)

// StableAfter is how long a replica runs before it is taken for sound.
const StableAfter = 10 * clock.Second

// exitCountResetAfter is how long a replica runs for its earlier ends to be forgotten.
const exitCountResetAfter = 6 * StableAfter

// avoidMachineFor is how long a service's replicas stay away from a machine where one failed.
const avoidMachineFor = 30 * clock.Second

// replica is what is remembered of a service's task between its attempts.
type replica struct {
	quickExits int          // how often it ended by itself soon after its start
	endedAt    clock.Micros // when it was last seen to end; 0: it runs
	cause      string
}

// ReplicaAttempt is an attempt of a replica that has ended.
type ReplicaAttempt struct {
	Task         int
	Running      bool         // it was seen to run
	RunningSince clock.Micros // since when, if it was
	Inherited    bool         // it is known from the attempt records of an earlier grant
	Released     bool         // it was stopped from outside, and did not end by itself
	Cause        string
}

// ReplicaEnded notes that a replica has ended and is to run again elsewhere; one that keeps ending by itself waits
// longer each time. It reports whether the replica was up until now.
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

// Outage is a time in which a replica did not run.
type Outage struct {
	Since clock.Micros
	Cause string
}

// ReplicaRunning notes that a replica runs, and returns the outage that ends with that, if there was one.
func (j *Job) ReplicaRunning(task int) (Outage, bool) {
	r := j.replicas[task]
	if r == nil || r.endedAt == 0 {
		return Outage{}, false
	}
	outage := Outage{Since: r.endedAt, Cause: r.cause}
	r.endedAt = 0
	return outage, true
}

// AvoidsMachine reports whether a service had better wait than try a machine again where one of its replicas failed.
func (j *Job) AvoidsMachine(now clock.Micros, machine string) bool {
	at, failed := j.Failures.FailedOn(machine)
	return failed && j.Spec.IsService() && now-at < avoidMachineFor
}
