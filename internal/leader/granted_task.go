package leader

import (
	"swiftledge/internal/clock"
	"swiftledge/internal/leader/fairshare"
	"swiftledge/internal/leader/jobs"
	"swiftledge/internal/peer"
)

// grantedTask is a task in a shard grant: the task was offered to the shard's holder, or an attempt record of the shard
// names it, so the holder may run the task. The task leaves the grant when the holder reports that it has completed,
// failed, found no machine, or is released, that is, on no machine of the shard. Until then the task counts fully
// towards the usage of its team.
type grantedTask struct {
	job                *jobs.Job // the job in whose counts the task is; nil if the job is unknown
	team               string
	cpus, gpus         float64
	zone               string
	running            bool
	otherAttemptMayRun bool         // one of several attempts has ended, and another may still run
	inherited          bool         // known from the attempt records of an earlier grant
	unconfirmed        bool         // known from records of an earlier term; the holder has not reported on it yet
	runningSince       clock.Micros // when the task was first reported as running
	machine            string
	assignedAt         clock.Micros // when the task was assigned to its machine; 0 if unknown
	imageCached        bool         // whether the machine had the task's image cached at that time, as far as known
	stopReason         string       // why the task was ordered to stop; "" if it was not
	stoppedAt          clock.Micros
}

// resources returns the resources that the task takes.
func (t *grantedTask) resources() fairshare.ResourceUsage {
	return fairshare.ResourceUsage{CPUs: t.cpus, GPUs: t.gpus}
}

// grantTask adds a task to a shard's grant, to the usage of its team and to the counts of its job.
func (l *Leader) grantTask(lease *shardLease, t peer.Task, task *grantedTask) {
	lease.tasks[t] = task
	l.usage.Charge(task.team, task.resources())
	if task.job == nil {
		return
	}
	task.job.AddToZone(task.zone)
	if task.unconfirmed {
		task.job.AddUnconfirmed()
	}
}

// setMachine records the machine to which a task in a grant is assigned, and the machine's zone.
func (l *Leader) setMachine(task *grantedTask, name string) {
	task.machine = name
	m := l.inventory.machines[name]
	if m == nil || m.option.Zone == task.zone {
		return
	}
	if task.job != nil {
		task.job.RemoveFromZone(task.zone)
		task.job.AddToZone(m.option.Zone)
	}
	task.zone = m.option.Zone
}

// markRunning records that the task runs, and counts it as running in its job.
func (t *grantedTask) markRunning(since clock.Micros) {
	t.running, t.runningSince = true, since
	if t.job == nil {
		return
	}
	t.job.MarkRunning()
	if t.unconfirmed {
		t.unconfirmed = false
		t.job.RemoveUnconfirmed()
	}
}

// markStopped records that the task no longer runs, though it is still in its grant.
func (t *grantedTask) markStopped() {
	if t.running && t.job != nil {
		t.job.MarkStopped()
	}
	t.running = false
}

// uncount takes a task that leaves a shard's grant out of the usage of its team and out of the counts of its job.
func (l *Leader) uncount(task *grantedTask) {
	l.usage.Release(task.team, task.resources())
	if task.job == nil {
		return
	}
	task.job.RemoveFromZone(task.zone)
	if task.running {
		task.job.MarkStopped()
	}
	if task.unconfirmed {
		task.job.RemoveUnconfirmed()
	}
}

// releaseTask removes a task from a shard's grant and returns the task, or nil if the grant does not contain it.
func (l *Leader) releaseTask(lease *shardLease, t peer.Task) *grantedTask {
	task := lease.tasks[t]
	if task != nil {
		delete(lease.tasks, t)
		l.uncount(task)
	}
	return task
}
