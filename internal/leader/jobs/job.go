// Package jobs holds the leader's view of the jobs that are not over: which of a job's tasks have completed, which
// wait for a machine and which are dispatched to shards, what is remembered of a service's replicas between their
// attempts, how long tasks of a class really run, and the pages on which completed tasks are stored. It owns that state
// alone and decides nothing about machines: the leader tells it what happens to tasks, and turns the writes of progress
// pages that it returns into transactions. It does no I/O and reads no clock.
package jobs

import (
	"fmt"
	"iter"
	"maps"

	"swiftledge/internal/clock"
	"swiftledge/internal/failures"
	"swiftledge/wire"
)

// Job is a job that is not over.
type Job struct {
	Spec       wire.Job
	AcceptedAt clock.Micros  // time of day
	KeyVersion uint64        // of the job's key in the store
	Shape      Shape         // of its tasks
	Failures   *failures.Job // which of its tasks failed where

	progress   []chunk
	completed  int
	running    int
	waiting    waitingTasks
	dispatched map[int]int          // tasks in shards' grants, and in how many
	delayed    map[int]clock.Micros // tasks that wait until then to be tried again
	replicas   map[int]*replica     // of a service, those that have ended before

	unservedSince clock.Micros // see SetUnservedSince
	cancelled     bool
	finishing     bool // the write of its final state is under way
}

// Shape is what a job's tasks take and where they may be; jobs of the same shape compare equal.
type Shape struct {
	cpus, gpus, memory float64
	types, zone        string
	spot               bool
}

// New returns a job none of whose tasks waits yet: what of it has completed, or may run, is to be taken in first.
func New(spec wire.Job, acceptedAt clock.Micros, keyVersion uint64) *Job {
	return &Job{
		Spec: spec, AcceptedAt: acceptedAt, KeyVersion: keyVersion,
		Shape:      Shape{spec.CPUs, spec.GPUs, spec.MemoryGB, fmt.Sprint(spec.Types), spec.Zone, spec.Spot},
		Failures:   &failures.Job{},
		progress:   newChunks(spec.Tasks),
		waiting:    newWaitingTasks(spec.Tasks),
		dispatched: map[int]int{},
		delayed:    map[int]clock.Micros{},
		replicas:   map[int]*replica{},
	}
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

// MarkCompleted notes that a task has completed, and reports whether that is new.
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

// FinishLoading counts the completed tasks that were read from the store, and lets all others wait.
func (j *Job) FinishLoading() {
	for task := range j.Spec.Tasks {
		if j.IsCompleted(task) {
			j.completed++
			j.Failures.MarkSound()
		}
	}
	j.EnqueueAll()
}

// EnqueueAll lets all tasks wait that have neither completed nor are dispatched.
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

// Waiting returns how many tasks wait to be offered to a shard.
func (j *Job) Waiting() int { return j.waiting.count }

// IsWaiting reports whether a task waits to be offered to a shard.
func (j *Job) IsWaiting(task int) bool { return j.waiting.has(task) }

// FirstWaiting returns the first task that waits, or -1.
func (j *Job) FirstWaiting() int { return j.waiting.first() }

// DispatchFirst dispatches the first task that waits and returns it, or -1.
func (j *Job) DispatchFirst() int {
	task := j.waiting.popFirst()
	if task >= 0 {
		j.dispatched[task]++
	}
	return task
}

// MarkDispatched notes that a task is in one more shard's grant.
func (j *Job) MarkDispatched(task int) {
	j.dispatched[task]++
	j.waiting.remove(task)
}

// ClearDispatched notes that a task has left a shard's grant.
func (j *Job) ClearDispatched(task int) {
	if j.dispatched[task]--; j.dispatched[task] <= 0 {
		delete(j.dispatched, task)
	}
}

// Requeue notes that a task has left a shard's grant and lets it wait again if that was the last one.
func (j *Job) Requeue(task int) {
	j.ClearDispatched(task)
	j.enqueueIfDue(task)
}

// Dispatched returns how many tasks are in shards' grants.
func (j *Job) Dispatched() int { return len(j.dispatched) }

// GrantCount returns in how many shards' grants a task is.
func (j *Job) GrantCount(task int) int { return j.dispatched[task] }

// DispatchedTasks returns the tasks that are in shards' grants, in no order.
func (j *Job) DispatchedTasks() iter.Seq[int] { return maps.Keys(j.dispatched) }

// WasDispatched reports whether a task of the job was ever dispatched.
func (j *Job) WasDispatched() bool { return j.completed > 0 || len(j.dispatched) > 0 }

// Running returns how many tasks run.
func (j *Job) Running() int { return j.running }

// MarkRunning notes that one more task runs.
func (j *Job) MarkRunning() { j.running++ }

// MarkStopped notes that a task that ran runs no more.
func (j *Job) MarkStopped() { j.running-- }

// Delay has a task wait until then before it is offered again.
func (j *Job) Delay(task int, until clock.Micros) {
	j.delayed[task] = until
	j.waiting.remove(task)
}

// RetryDelayed ends the delays that are over, and reports whether a task waits to be offered that did not before.
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

// unservedLimit is how long a job's tasks may wait, and none be dispatched, before they go to machines not worth their
// price as well: nothing is to be left waiting for 90 s beside free capacity.
const unservedLimit = 45 * clock.Second

// SetUnservedSince notes since when the job's tasks wait for free capacity and none was dispatched; 0: none waits.
func (j *Job) SetUnservedSince(at clock.Micros) { j.unservedSince = at }

// UnservedSince returns what SetUnservedSince noted.
func (j *Job) UnservedSince() clock.Micros { return j.unservedSince }

// IsUnserved reports whether the job has waited so long that it goes to machines not worth their price.
func (j *Job) IsUnserved(now clock.Micros) bool {
	return j.unservedSince > 0 && now-j.unservedSince > unservedLimit
}

// Cancel notes that the job was cancelled. What failed of it is no evidence against machines any more.
func (j *Job) Cancel() {
	j.cancelled = true
	j.Failures.Cancel()
}

// IsCancelled reports whether the job was cancelled.
func (j *Job) IsCancelled() bool { return j.cancelled }

// StartFinishing reports whether all tasks have completed and the job's final state is to be written now.
func (j *Job) StartFinishing() bool {
	if j.finishing || j.cancelled || j.completed < j.Spec.Tasks {
		return false
	}
	j.finishing = true
	return true
}

// StopFinishing notes that the write of the job's final state is under way no more.
func (j *Job) StopFinishing() { j.finishing = false }

// IsFinishing reports whether the write of the job's final state is under way.
func (j *Job) IsFinishing() bool { return j.finishing }
