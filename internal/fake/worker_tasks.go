package fake

import (
	"math"

	"swiftledge/internal/clock"
	"swiftledge/wire"
)

// failingTaskRunTime is how long a task that fails runs.
const failingTaskRunTime = clock.Second

// exitLost is the cause of a task that ended with its session. No heartbeat tells of it.
const exitLost wire.ExitCause = "lost"

// Task is one attempt on a worker.
type Task struct {
	wire.TaskStatus
	Job   wire.Job
	Index int

	stateEndsAt clock.Micros // when fetching, running or saving ends; 0: not by itself
	startedAt   clock.Micros // when it began to run
}

// IsActive says whether the task counts as on the machine: it has its image and has not exited.
func (t *Task) IsActive() bool { return t.State == wire.TaskRunning || t.State == wire.TaskSaving }

// advanceTask goes on with a task whose present state is over.
func (w *Agent) advanceTask(now clock.Micros, t *Task) {
	switch t.State {
	case wire.TaskFetching:
		w.finishFetch(now, t)
	case wire.TaskRunning:
		w.finishRun(now, t)
	case wire.TaskSaving:
		t.Checkpointed = true
		w.Outputs.checkpointSeconds[t.Task] += (t.stateEndsAt - t.startedAt).Seconds() - t.Job.SaveS
		w.endTask(now, t, wire.ExitStopped)
	case wire.TaskExited:
	}
}

// finishFetch starts a task that has its image now, unless its result is stored already.
func (w *Agent) finishFetch(now clock.Micros, t *Task) {
	if !w.images[t.Job.Image] {
		w.images[t.Job.Image] = true
		w.ImagesFetched++
	}
	if w.Outputs.results[w.resultKey(t)] {
		w.Observer.TaskAlreadyDone(w, t)
		w.endTask(now, t, wire.ExitDone)
		return
	}
	left := w.Workload.RunSeconds(&t.Job, t.Index) - w.Outputs.checkpointSeconds[t.Task]
	t.State, t.startedAt = wire.TaskRunning, now
	t.stateEndsAt = now + clock.FromSeconds(max(0, left))
	if t.Job.IsService() && t.stateEndsAt == now {
		t.stateEndsAt = 0 // until it is stopped
	}
	if w.taskFails(t) {
		t.stateEndsAt = now + failingTaskRunTime
	}
	w.Observer.TaskStarted(w, t)
}

// finishRun ends a task that has run its time.
func (w *Agent) finishRun(now clock.Micros, t *Task) {
	if w.taskFails(t) {
		w.endTask(now, t, wire.ExitError)
		return
	}
	w.Outputs.results[w.resultKey(t)] = true
	w.endTask(now, t, wire.ExitDone)
}

// taskFails says whether a task taskFails: its machine is faulty, or it is.
func (w *Agent) taskFails(t *Task) bool { return w.FailsTasks || w.Workload.Fails(&t.Job, t.Index) }

// resultKey is where a task's result is stored. A replica of a service may run again elsewhere.
func (w *Agent) resultKey(t *Task) string {
	if t.Job.IsService() {
		return t.Task + " on " + w.Name
	}
	return t.Task
}

// endTask ends a task. Of one that neither completed nor saved, what it saved by itself every interval is kept,
// and the rest has to be repeated.
func (w *Agent) endTask(now clock.Micros, t *Task, cause wire.ExitCause) {
	if t.State == wire.TaskExited {
		return
	}
	wasActive := t.IsActive()
	if wasActive && cause != wire.ExitDone && !t.Checkpointed {
		ran, saved := (now - t.startedAt).Seconds(), 0.0
		if t.Job.CheckpointS > 0 {
			saved = math.Floor(ran/t.Job.CheckpointS) * t.Job.CheckpointS
			w.Outputs.checkpointSeconds[t.Task] += saved
		}
		w.LostSeconds += ran - saved
	}
	t.State, t.Cause, t.stateEndsAt = wire.TaskExited, cause, 0
	if wasActive {
		w.Observer.TaskEnded(w, t)
	}
}

// dropTasks ends and forgets all tasks.
func (w *Agent) dropTasks(now clock.Micros) {
	for _, t := range w.Tasks {
		w.endTask(now, t, exitLost)
	}
	w.Tasks = nil
}
