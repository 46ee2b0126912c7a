package leader

import (
	"slices"

	"swiftledge/internal/clock"
	"swiftledge/internal/leader/jobs"
	"swiftledge/internal/peer"
	"swiftledge/internal/shard"
	"swiftledge/wire"
)

// attemptAssigned records that a task was assigned to a machine.
func (l *Leader) attemptAssigned(now clock.Micros, t peer.Task, task *grantedTask) {
	task.assignedAt = now
	if l.rebalancing == nil {
		return
	}
	if m, job := l.inventory.machines[task.machine], l.jobs.Get(t.Job); m != nil && job != nil {
		task.imageCached = slices.Contains(m.state.Images, job.Spec.Image)
	}
	l.rebalancing.TaskAssigned(taskID(t), task.machine)
}

// attemptRunning records that a task runs on its machine, which ends its migration, if any.
func (l *Leader) attemptRunning(now clock.Micros, t peer.Task, task *grantedTask) {
	l.traceStarted(now, t, task)
	if l.rebalancing == nil {
		return
	}
	m, job := l.inventory.machines[task.machine], l.jobs.Get(t.Job)
	if m != nil && job != nil && task.assignedAt > 0 && !task.imageCached {
		l.rebalancing.fetches.Observe(m.option.Type.Name, job.Spec.ImageGB, now-task.assignedAt)
	}
	if m, ok := l.rebalancing.TaskRunning(taskID(t), task.machine); ok {
		l.debug("task migrated", "task", shard.TaskName(t), "from", m.From, "to", task.machine, "target", m.To,
			"took_s", (now - m.StartedAt).Seconds())
		l.traceMigration(now, m, "done")
	}
}

// attemptEnded records that an attempt has ended. If its task is being migrated, the task may now start on another
// machine.
func (l *Leader) attemptEnded(now clock.Micros, event peer.TaskEvent, task *grantedTask) {
	if l.rebalancing == nil {
		return
	}
	switch {
	case event.Kind == peer.EventCompleted:
		if m, ok := l.rebalancing.TaskEnded(taskID(event.Task)); ok {
			l.traceMigration(now, m, "its task completed")
		}
	case task != nil && task.stopReason == stoppedForMigration:
		l.rebalancing.AttemptTerminated(now, taskID(event.Task))
		l.scheduling.urgent = true
	}
}

// jobEnded records that a job is done or cancelled, which ends the migrations of its tasks.
func (l *Leader) jobEnded(now clock.Micros, job *jobs.Job, state wire.JobState) {
	l.traceJob(now, job, state)
	if l.rebalancing == nil {
		return
	}
	for _, m := range l.rebalancing.JobEnded(job.Spec.Ref) {
		l.traceMigration(now, m, "its job is "+string(state))
	}
}
