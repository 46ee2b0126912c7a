// Package jobs holds the leader's view of the unfinished jobs: which tasks of a job have completed, which wait for a
// machine and which are dispatched to shards, what is known of a service's replicas between their attempts, how long
// tasks of a class run compared with their estimates, and the progress pages, on which completed tasks are stored. The
// package owns only this state and makes no decisions about machines. The leader reports task events to it, and turns
// the returned writes of progress pages into transactions. The package does no I/O and reads no clock.
//
// A waiting task is queued for dispatch. A dispatched task is in the grant of at least one shard.
package jobs

import (
	"fmt"
	"iter"
	"maps"

	"swiftledge/internal/clock"
	"swiftledge/internal/failures"
	"swiftledge/wire"
)

// Job is a job whose final state is not stored yet.
type Job struct {
	Spec       wire.Job
	AcceptedAt clock.Micros  // wall clock time
	KeyVersion uint64        // version of the job's key in the store
	TaskShape  TaskShape     // resources and placement that the job's tasks need
	Failures   *failures.Job // task failures by machine

	progress  []chunk
	completed int
	running   int
	// unconfirmed counts the tasks in shard grants that are known from records of an earlier term alone, so that it is
	// unknown whether they run.
	unconfirmed int
	waiting     waitingTasks
	dispatched  map[int]int          // tasks in shard grants, with the number of grants
	delayed     map[int]clock.Micros // tasks in backoff, with the time of the next try
	zoneCounts  map[string]int       // tasks in shard grants by zone, with "" for an unknown zone
	replicas    map[int]*replica     // replicas of a service that have ended at least once

	stabilityCheckedAt clock.Micros // see StartStabilityCheck

	unservedSince clock.Micros // see SetUnservedSince
	cancelled     bool
	finishing     bool // the write of the job's final state is in flight
}

// TaskShape is the resources and the placement that a job's tasks need. Jobs of the same shape compare equal.
type TaskShape struct {
	cpus, gpus, memory float64
	types, zone        string
	spot               bool
}

// New returns a job without waiting tasks. The caller then queues the job's tasks with EnqueueAll, or with
// FinishLoading once the stored completions are loaded.
func New(spec wire.Job, acceptedAt clock.Micros, keyVersion uint64) *Job {
	return &Job{
		Spec: spec, AcceptedAt: acceptedAt, KeyVersion: keyVersion,
		TaskShape:  TaskShape{spec.CPUs, spec.GPUs, spec.MemoryGB, typesKey(spec.Types), spec.Zone, spec.Spot},
		Failures:   &failures.Job{},
		progress:   newChunks(spec.Tasks),
		waiting:    newWaitingTasks(spec.Tasks),
		dispatched: map[int]int{},
		delayed:    map[int]clock.Micros{},
		zoneCounts: map[string]int{},
		replicas:   map[int]*replica{},
	}
}

// typesKey returns a text that differs for different lists of machine types. Without a list a job allows any type.
func typesKey(types []string) string {
	if types == nil {
		return "any"
	}
	return fmt.Sprint(types)
}

// IsCompleted reports whether a task has completed.
func (j *Job) IsCompleted(task int) bool {
	return j.progress[task/TasksPerChunk].completed.has(task % TasksPerChunk)
}

// IsPersisted reports whether a task's completion is stored.
func (j *Job) IsPersisted(task int) bool {
	return j.progress[task/TasksPerChunk].persisted.has(task % TasksPerChunk)
}

// Completed returns how many tasks have completed.
func (j *Job) Completed() int { return j.completed }

// MarkCompleted records that a task has completed, and reports whether this was not recorded before.
func (j *Job) MarkCompleted(task int) bool {
	if j.IsCompleted(task) {
		return false
	}
	chunk := &j.progress[task/TasksPerChunk]
	chunk.completed.set(task % TasksPerChunk)
	chunk.dirty = true
	j.completed++
	j.waiting.remove(task)
	return true
}

// FinishLoading counts the completed tasks that were read from the store, and queues all other tasks.
func (j *Job) FinishLoading() {
	for task := range j.Spec.Tasks {
		if j.IsCompleted(task) {
			j.completed++
			j.Failures.MarkSound()
		}
	}
	j.EnqueueAll()
}

// EnqueueAll queues all tasks that are neither completed nor dispatched.
func (j *Job) EnqueueAll() {
	for task := range j.Spec.Tasks {
		j.enqueueIfDue(task)
	}
}

func (j *Job) enqueueIfDue(task int) bool {
	due := !j.IsCompleted(task) && j.dispatched[task] == 0
	if due {
		j.waiting.add(task)
	}
	return due
}

// Waiting returns how many tasks wait for dispatch to a shard.
func (j *Job) Waiting() int { return j.waiting.count }

// IsWaiting reports whether a task waits for dispatch to a shard.
func (j *Job) IsWaiting(task int) bool { return j.waiting.has(task) }

// FirstWaiting returns the first waiting task, or -1 if none waits.
func (j *Job) FirstWaiting() int { return j.waiting.first() }

// DispatchFirst dispatches the first waiting task and returns it, or -1 if none waits.
func (j *Job) DispatchFirst() int {
	task := j.waiting.popFirst()
	if task >= 0 {
		j.dispatched[task]++
	}
	return task
}

// MarkDispatched records that one more shard grant contains a task.
func (j *Job) MarkDispatched(task int) {
	j.dispatched[task]++
	j.waiting.remove(task)
}

// ClearDispatched records that a shard grant no longer contains a task.
func (j *Job) ClearDispatched(task int) {
	if j.dispatched[task]--; j.dispatched[task] <= 0 {
		delete(j.dispatched, task)
	}
}

// Requeue records that a shard grant no longer contains a task, and queues the task again if no other grant contains
// the task.
func (j *Job) Requeue(task int) {
	j.ClearDispatched(task)
	j.enqueueIfDue(task)
}

// Dispatched returns how many tasks are in shard grants.
func (j *Job) Dispatched() int { return len(j.dispatched) }

// GrantCount returns how many shard grants contain a task.
func (j *Job) GrantCount(task int) int { return j.dispatched[task] }

// DispatchedTasks returns the tasks in shard grants, in no particular order.
func (j *Job) DispatchedTasks() iter.Seq[int] { return maps.Keys(j.dispatched) }

// WasDispatched reports whether a task of the job is dispatched or has completed.
func (j *Job) WasDispatched() bool { return j.completed > 0 || len(j.dispatched) > 0 }

// Running returns how many tasks are running.
func (j *Job) Running() int { return j.running }

// MarkRunning records that one more task is running.
func (j *Job) MarkRunning() { j.running++ }

// MarkStopped records that a running task has stopped.
func (j *Job) MarkStopped() { j.running-- }

// AddToZone records that one more task in a shard grant is in a zone, which is "" while the zone is unknown.
func (j *Job) AddToZone(zone string) { j.zoneCounts[zone]++ }

// RemoveFromZone records that a task in a shard grant is no longer in a zone.
func (j *Job) RemoveFromZone(zone string) {
	if j.zoneCounts[zone]--; j.zoneCounts[zone] <= 0 {
		delete(j.zoneCounts, zone)
	}
}

// TasksByZone returns a copy of the numbers of tasks in shard grants by zone.
func (j *Job) TasksByZone() map[string]int { return maps.Clone(j.zoneCounts) }

// AddUnconfirmed records that one more task in a shard grant is known from records of an earlier term alone.
func (j *Job) AddUnconfirmed() { j.unconfirmed++ }

// RemoveUnconfirmed records that it is known of one such task whether it runs.
func (j *Job) RemoveUnconfirmed() { j.unconfirmed-- }

// Delay takes a task out of the queue until the given time.
func (j *Job) Delay(task int, until clock.Micros) {
	j.delayed[task] = until
	j.waiting.remove(task)
}

// RetryDelayed queues the tasks whose delay has passed, and reports whether it queued any.
func (j *Job) RetryDelayed(now clock.Micros) (retried bool) {
	for task, until := range j.delayed {
		if now < until {
			continue
		}
		delete(j.delayed, task)
		retried = j.enqueueIfDue(task) || retried
	}
	return retried
}

// unservedLimit is how long a job may wait without a dispatched task before its tasks may also go to machines that
// are not worth their price. No job may wait 90 s while there is free capacity.
const unservedLimit = 45 * clock.Second

// SetUnservedSince records since when the job waits for free capacity without having a task dispatched. 0 means that
// the job does not wait.
func (j *Job) SetUnservedSince(since clock.Micros) { j.unservedSince = since }

// UnservedSince returns the time set by SetUnservedSince.
func (j *Job) UnservedSince() clock.Micros { return j.unservedSince }

// IsUnserved reports whether the job has waited so long that it may use machines that are not worth their price.
func (j *Job) IsUnserved(now clock.Micros) bool {
	return j.unservedSince > 0 && now-j.unservedSince > unservedLimit
}

// Cancel marks the job as cancelled. Unless the job is known to be sound, its failures no longer count against
// machines.
func (j *Job) Cancel() {
	j.cancelled = true
	j.Failures.Cancel()
}

// IsCancelled reports whether the job was cancelled.
func (j *Job) IsCancelled() bool { return j.cancelled }

// StartFinishing marks the job as finishing and returns true. The caller then writes the job's final state. If a task
// has not completed, the job is cancelled, or a write of its final state is in flight, StartFinishing changes nothing
// and returns false.
func (j *Job) StartFinishing() bool {
	if j.finishing || j.cancelled || j.completed < j.Spec.Tasks {
		return false
	}
	j.finishing = true
	return true
}

// StopFinishing records that the write of the job's final state is no longer in flight.
func (j *Job) StopFinishing() { j.finishing = false }

// IsFinishing reports whether the write of the job's final state is in flight.
func (j *Job) IsFinishing() bool { return j.finishing }
