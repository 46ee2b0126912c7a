package leader

import (
	"swiftledge/internal/clock"
	"swiftledge/internal/leader/jobs"
	"swiftledge/internal/peer"
)

// taskEvent handles an event of a task that its shard holder reports.
func (l *Leader) taskEvent(now clock.Micros, lease *shardLease, event peer.TaskEvent) {
	job := l.jobs.OfTask(event.Task)
	switch event.Kind {
	case peer.EventAssigned:
		if task := lease.tasks[event.Task]; task != nil {
			l.setMachine(task, event.Machine)
			l.attemptAssigned(now, event.Task, task)
		}
	case peer.EventRunning:
		if task := lease.tasks[event.Task]; task != nil && !task.running {
			task.machine = event.Machine
			task.markRunning(now)
			l.attemptRunning(now, event.Task, task)
			if job != nil && job.Spec.IsService() {
				l.replicaStarted(now, job, event.Task, task)
			}
		}
	case peer.EventAttemptRemains:
		if task := lease.tasks[event.Task]; task != nil {
			task.otherAttemptMayRun = true
		}
	case peer.EventUnplaced, peer.EventReleased, peer.EventFailed, peer.EventCompleted:
		if job != nil && job.Spec.IsService() {
			l.replicaEnded(now, lease, job, event)
		} else {
			l.taskEnded(now, lease, job, event)
		}
	}
}

// taskEnded handles the end of an attempt of a batch task, or of a task whose job is no longer known. The task leaves
// the shard's grant.
func (l *Leader) taskEnded(now clock.Micros, lease *shardLease, job *jobs.Job, event peer.TaskEvent) {
	task := l.releaseTask(lease, event.Task)
	l.attemptEnded(now, event, task)
	switch {
	case event.Kind == peer.EventCompleted:
		l.taskCompleted(now, lease, job, event)
		if task != nil && job != nil {
			job.ClearDispatched(event.Index)
		}
	case task != nil && job != nil:
		job.Requeue(event.Index)
	}
	if event.Kind == peer.EventFailed && job != nil {
		l.taskFailed(now, job, event, task)
	}
}

// replicaEnded handles the end of an attempt of a service task. A service task never completes for good, so the task
// waits to run again, but only once none of its attempts may still run.
func (l *Leader) replicaEnded(now clock.Micros, lease *shardLease, job *jobs.Job, event peer.TaskEvent) {
	if task := lease.tasks[event.Task]; task != nil && task.otherAttemptMayRun && event.Kind == peer.EventCompleted {
		task.otherAttemptMayRun = false
		task.markStopped()
		return
	}
	task := l.releaseTask(lease, event.Task)
	if event.Kind == peer.EventCompleted {
		// The agent keeps the attempt in its list until its machine has confirmed a higher fencing token, as a delayed
		// copy of the attempt's run command would otherwise start the attempt again.
		lease.orders.Stop = append(lease.orders.Stop, peer.StopTask{Task: event.Task})
		lease.orders.Persisted = append(lease.orders.Persisted, event.Task)
	}
	if task != nil {
		job.Requeue(event.Index)
		if event.Kind != peer.EventUnplaced {
			l.replicaStopped(now, job, event, task)
		}
	}
	if event.Kind == peer.EventFailed {
		l.taskFailed(now, job, event, task)
	}
}

// taskCompleted records the completion of a task, which is acknowledged to the holder once it is persisted.
func (l *Leader) taskCompleted(now clock.Micros, lease *shardLease, job *jobs.Job, event peer.TaskEvent) {
	if job != nil {
		l.creditCompletion(now, job, event)
	}
	if job == nil || job.IsCancelled() || job.IsPersisted(event.Index) {
		lease.orders.Persisted = append(lease.orders.Persisted, event.Task)
		return
	}
	lease.unpersisted = append(lease.unpersisted, event.Task)
	if job.MarkCompleted(event.Index) {
		l.jobs.ObserveRunTime(job, event.RunSeconds)
	}
	l.writeFinalState(job)
}
