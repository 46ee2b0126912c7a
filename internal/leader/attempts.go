package leader

import (
	"slices"

	"swiftledge/internal/clock"
	"swiftledge/internal/leader/jobs"
	"swiftledge/internal/peer"
	"swiftledge/internal/shard"
	"swiftledge/wire"
)

// attemptAssigned takes in that a task was given to a machine, and that it runs there.
func (l *Leader) attemptAssigned(now clock.Micros, t peer.Task, h *grantedTask) {
	h.assignedAt = now
	if l.rebalancing == nil {
		return
	}
	if m, j := l.inventory.machines[h.machine], l.jobs.Get(t.Job); m != nil && j != nil {
		h.imageCached = slices.Contains(m.state.Images, j.Spec.Image)
	}
	l.rebalancing.TaskAssigned(taskID(t), h.machine)
}

// attemptRunning takes in that a task runs.
func (l *Leader) attemptRunning(now clock.Micros, t peer.Task, h *grantedTask) {
	l.traceStarted(now, t, h)
	if l.rebalancing == nil {
		return
	}
	m, j := l.inventory.machines[h.machine], l.jobs.Get(t.Job)
	if m != nil && j != nil && h.assignedAt > 0 && !h.imageCached {
		l.rebalancing.fetches.Observe(m.option.Type.Name, j.Spec.ImageGB, now-h.assignedAt)
	}
	if m, ok := l.rebalancing.TaskRunning(taskID(t), h.machine); ok {
		l.debug("task migrated", "task", shard.TaskName(t), "from", m.From, "to", h.machine, "target", m.To,
			"took_s", (now - m.StartedAt).Seconds())
		l.traceMigration(now, m, "done")
	}
}

// attemptEnded takes in that an attempt has ended: one that was moved may start elsewhere now.
func (l *Leader) attemptEnded(now clock.Micros, e peer.TaskEvent, h *grantedTask) {
	if l.rebalancing == nil {
		return
	}
	switch {
	case e.Kind == peer.EventCompleted:
		if m, ok := l.rebalancing.TaskEnded(taskID(e.Task)); ok {
			l.traceMigration(now, m, "its task completed")
		}
	case h != nil && h.stopReason == stoppedForMigration:
		l.rebalancing.AttemptTerminated(now, taskID(e.Task))
		l.scheduling.urgent = true
	}
}

// jobEnded takes in that a job is done or cancelled.
func (l *Leader) jobEnded(now clock.Micros, j *jobs.Job, state wire.JobState) {
	l.traceJob(now, j, state)
	if l.rebalancing == nil {
		return
	}
	for _, m := range l.rebalancing.JobEnded(j.Spec.Ref) {
		l.traceMigration(now, m, "its job is "+string(state))
	}
}
