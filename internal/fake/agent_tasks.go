package fake

import (
	"math"

	"swiftledge/internal/clock"
	"swiftledge/wire"
)

// failingTaskRunTime is the run time of a task that fails.
const failingTaskRunTime = clock.Second

// exitLost is the exit cause of a task that was dropped on a reboot or at the end of the lease. The agent
// removes such a task from its list at once, so this cause appears in no heartbeat.
const exitLost wire.ExitCause = "lost"

// Task is one attempt of a task on an agent.
type Task struct {
	wire.TaskStatus
	Job   wire.Job
	Index int

	stateEndsAt clock.Micros // end of the current state; 0: only a command ends it
	startedAt   clock.Micros // start of the running state
}

// IsActive reports whether the task is active on the machine: it has its image and has not exited.
func (t *Task) IsActive() bool { return t.State == wire.TaskRunning || t.State == wire.TaskSaving }

// advanceTask moves a task to its next state when the current state has ended.
func (a *Agent) advanceTask(now clock.Micros, task *Task) {
	switch task.State {
	case wire.TaskFetching:
		a.finishFetch(now, task)
	case wire.TaskRunning:
		a.finishRun(now, task)
	case wire.TaskSaving:
		task.Checkpointed = true
		a.Outputs.checkpointSeconds[task.Task] += (task.stateEndsAt - task.startedAt).Seconds() - task.Job.SaveS
		a.endTask(now, task, wire.ExitStopped)
	case wire.TaskExited:
	}
}

// finishFetch starts a task whose image has been fetched. If an earlier attempt has stored the task's result, the task
// exits as done instead.
func (a *Agent) finishFetch(now clock.Micros, task *Task) {
	if !a.images[task.Job.Image] {
		a.images[task.Job.Image] = true
		a.ImagesFetched++
	}
	if a.Outputs.results[a.resultKey(task)] {
		a.Observer.TaskAlreadyDone(a, task)
		a.endTask(now, task, wire.ExitDone)
		return
	}
	remainingS := a.Workload.RunSeconds(&task.Job, task.Index) - a.Outputs.checkpointSeconds[task.Task]
	task.State, task.startedAt = wire.TaskRunning, now
	task.stateEndsAt = now + clock.FromSeconds(max(0, remainingS))
	if task.Job.IsService() && task.stateEndsAt == now {
		task.stateEndsAt = 0 // a replica without a run time runs until it is stopped
	}
	if a.taskFails(task) {
		task.stateEndsAt = now + failingTaskRunTime
	}
	a.Observer.TaskStarted(a, task)
}

// finishRun ends a task whose run time has elapsed.
func (a *Agent) finishRun(now clock.Micros, task *Task) {
	if a.taskFails(task) {
		a.endTask(now, task, wire.ExitError)
		return
	}
	a.Outputs.results[a.resultKey(task)] = true
	a.endTask(now, task, wire.ExitDone)
}

// taskFails reports whether a task fails because its machine or the task itself is faulty.
func (a *Agent) taskFails(task *Task) bool {
	return a.FailsTasks || a.Workload.Fails(&task.Job, task.Index)
}

// resultKey returns the key of a task's stored result. For a replica of a service the key includes the machine, because
// the replica may run again on another machine.
func (a *Agent) resultKey(task *Task) string {
	if task.Job.IsService() {
		return task.Task + " on " + a.Name
	}
	return task.Task
}

// endTask ends a task. If the task neither completed nor saved on request, its periodic checkpoints are kept. The run
// time since the last checkpoint is counted as lost, because the task must repeat it.
func (a *Agent) endTask(now clock.Micros, task *Task, cause wire.ExitCause) {
	if task.State == wire.TaskExited {
		return
	}
	wasActive := task.IsActive()
	if wasActive && cause != wire.ExitDone && !task.Checkpointed {
		ranS, savedS := (now - task.startedAt).Seconds(), 0.0
		if task.Job.CheckpointS > 0 {
			savedS = math.Floor(ranS/task.Job.CheckpointS) * task.Job.CheckpointS
			a.Outputs.checkpointSeconds[task.Task] += savedS
		}
		a.LostSeconds += ranS - savedS
	}
	task.State, task.Cause, task.stateEndsAt = wire.TaskExited, cause, 0
	if wasActive {
		a.Observer.TaskEnded(a, task)
	}
}

// dropTasks ends all tasks and removes them from the agent's list.
func (a *Agent) dropTasks(now clock.Micros) {
	for _, task := range a.Tasks {
		a.endTask(now, task, exitLost)
	}
	a.Tasks = nil
}
