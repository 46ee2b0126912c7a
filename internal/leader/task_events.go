package leader

import (
	"swiftledge/internal/clock"
	"swiftledge/internal/leader/jobs"
	"swiftledge/internal/peer"
)

// taskEvent handles an event of a task that its shard holder reports.
func (l *Leader) taskEvent(now clock.Micros, lease *shardLease, event peer.TaskEvent) {
	j := l.jobs.OfTask(event.Task)
	switch event.Kind {
	case peer.EventAssigned:
		if task := lease.tasks[event.Task]; task != nil {
			task.machine = event.Machine
			if m := l.inventory.machines[event.Machine]; m != nil {
				task.zone = m.option.Zone
			}
			l.attemptAssigned(now, event.Task, task)
		}
	case peer.EventRunning:
		if task := lease.tasks[event.Task]; task != nil && !task.running {
			task.running, task.runningSince, task.machine = true, now, event.Machine
			l.attemptRunning(now, event.Task, task)
			if j != nil {
				j.MarkRunning()
				if j.Spec.IsService() {
					l.replicaStarted(now, j, event.Task, task)
				}
			}
		}
	case peer.EventAttemptRemains:
		if task := lease.tasks[event.Task]; task != nil {
			task.otherAttemptMayRun = true
		}
	case peer.EventUnplaced, peer.EventReleased, peer.EventFailed, peer.EventCompleted:
		if j != nil && j.Spec.IsService() {
			l.replicaEnded(now, lease, j, event)
		} else {
			l.taskEnded(now, lease, j, event)
		}
	}
}

// taskEnded handles the end of an attempt of a batch task, or of a task whose job is no longer known.
func (l *Leader) taskEnded(now clock.Micros, lease *shardLease, j *jobs.Job, event peer.TaskEvent) {
	task := l.releaseTask(lease, event.Task)
	if task != nil && task.running && j != nil {
		j.MarkStopped()
	}
	l.attemptEnded(now, event, task)
	switch {
	case event.Kind == peer.EventCompleted:
		l.taskCompleted(now, lease, j, event)
		if task != nil && j != nil {
			j.ClearDispatched(event.Index)
		}
	case task != nil && j != nil:
		j.Requeue(event.Index)
	}
	if event.Kind == peer.EventFailed && j != nil {
		l.taskFailed(now, j, event, task)
	}
}

// replicaEnded handles the end of an attempt of a service task. A service task never completes for good, so it waits
// to run again, but only once none of its attempts may still run.
func (l *Leader) replicaEnded(now clock.Micros, lease *shardLease, j *jobs.Job, event peer.TaskEvent) {
	if task := lease.tasks[event.Task]; task != nil && task.otherAttemptMayRun && event.Kind == peer.EventCompleted {
		task.otherAttemptMayRun = false
		return
	}
	task := l.releaseTask(lease, event.Task)
	if task != nil && task.running {
		j.MarkStopped()
	}
	if event.Kind == peer.EventCompleted {
		// The attempt stays listed until its machine has confirmed a higher fencing token, as a delayed copy of its
		// run command would start it again.
		lease.orders.Stop = append(lease.orders.Stop, peer.StopTask{Task: event.Task})
		lease.orders.Persisted = append(lease.orders.Persisted, event.Task)
	}
	if task != nil {
		j.Requeue(event.Index)
		if event.Kind != peer.EventUnplaced {
			l.replicaStopped(now, j, event, task)
		}
	}
	if event.Kind == peer.EventFailed {
		l.taskFailed(now, j, event, task)
	}
}

// taskCompleted records the completion of a task, which is acknowledged to the holder once it is persisted.
func (l *Leader) taskCompleted(now clock.Micros, lease *shardLease, j *jobs.Job, event peer.TaskEvent) {
	if j != nil {
		l.creditCompletion(now, j, event)
	}
	if j == nil || j.IsCancelled() || j.IsPersisted(event.Index) {
		lease.orders.Persisted = append(lease.orders.Persisted, event.Task)
		return
	}
	lease.unpersisted = append(lease.unpersisted, event.Task)
	if j.MarkCompleted(event.Index) {
		l.jobs.ObserveRunTime(j, event.RunSeconds)
	}
	l.writeFinalState(j)
}
