package leader

import (
	"swiftledge/internal/clock"
	"swiftledge/internal/leader/jobs"
	"swiftledge/internal/peer"
)

func (l *Leader) taskEvent(now clock.Micros, lease *shardLease, e peer.TaskEvent) {
	j := l.jobs.OfTask(e.Task)
	switch e.Kind {
	case peer.EventAssigned:
		if h := lease.tasks[e.Task]; h != nil {
			h.machine = e.Machine
			if m := l.inventory.machines[e.Machine]; m != nil {
				h.zone = m.option.Zone
			}
			l.attemptAssigned(now, e.Task, h)
		}
	case peer.EventRunning:
		if h := lease.tasks[e.Task]; h != nil && !h.running {
			h.running, h.runningSince, h.machine = true, now, e.Machine
			l.attemptRunning(now, e.Task, h)
			if j != nil {
				j.MarkRunning()
				if j.Spec.IsService() {
					l.replicaStarted(now, j, e.Task, h)
				}
			}
		}
	case peer.EventAttemptRemains:
		if h := lease.tasks[e.Task]; h != nil {
			h.otherAttemptLeft = true
		}
	case peer.EventUnplaced, peer.EventReleased, peer.EventFailed, peer.EventCompleted:
		if j != nil && j.Spec.IsService() {
			l.replicaEnded(now, lease, j, e)
		} else {
			l.taskEnded(now, lease, j, e)
		}
	}
}

// taskEnded takes in the end of a batch's task, or of one whose job is not known any more.
func (l *Leader) taskEnded(now clock.Micros, lease *shardLease, j *jobs.Job, e peer.TaskEvent) {
	h := l.release(lease, e.Task)
	if h != nil && h.running && j != nil {
		j.MarkStopped()
	}
	l.attemptEnded(now, e, h)
	switch {
	case e.Kind == peer.EventCompleted:
		l.taskCompleted(now, lease, j, e)
		if h != nil && j != nil {
			j.ClearDispatched(e.Index)
		}
	case h != nil && j != nil:
		j.Requeue(e.Index)
	}
	if e.Kind == peer.EventFailed && j != nil {
		l.taskFailed(now, j, e, h)
	}
}

// replicaEnded takes in the end of a service's task. None is its last, so the task waits again, but
// only when none of its attempts may run.
func (l *Leader) replicaEnded(now clock.Micros, lease *shardLease, j *jobs.Job, e peer.TaskEvent) {
	if h := lease.tasks[e.Task]; h != nil && h.otherAttemptLeft && e.Kind == peer.EventCompleted {
		h.otherAttemptLeft = false
		return
	}
	h := l.release(lease, e.Task)
	if h != nil && h.running {
		j.MarkStopped()
	}
	if e.Kind == peer.EventCompleted {
		// It stays listed until its machine has shown a higher token: a late copy of its order would
		// start it anew.
		lease.orders.Stop = append(lease.orders.Stop, peer.StopTask{Task: e.Task})
		lease.orders.Persisted = append(lease.orders.Persisted, e.Task)
	}
	if h != nil {
		j.Requeue(e.Index)
		if e.Kind != peer.EventUnplaced {
			l.replicaStopped(now, j, e, h)
		}
	}
	if e.Kind == peer.EventFailed {
		l.taskFailed(now, j, e, h)
	}
}

func (l *Leader) taskCompleted(now clock.Micros, lease *shardLease, j *jobs.Job, e peer.TaskEvent) {
	if j != nil {
		l.creditCompletion(now, j, e)
	}
	if j == nil || j.IsCancelled() || j.IsPersisted(e.Index) {
		lease.orders.Persisted = append(lease.orders.Persisted, e.Task)
		return
	}
	lease.unpersisted = append(lease.unpersisted, e.Task)
	if j.MarkCompleted(e.Index) {
		l.jobs.ObserveRunTime(j, e.RunSeconds)
	}
	l.writeFinalState(j)
}
