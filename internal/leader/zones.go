package leader

import (
	"swiftledge/internal/leader/jobs"
	"swiftledge/internal/peer"
	"swiftledge/wire"
)

// jobZones is the number of tasks that a job has in each zone, which decides where more of them may run.
type jobZones struct {
	job        *wire.Job
	taskCounts map[string]int
}

// zonesOf counts the granted tasks of a job by zone, if they restrict where its other tasks may run.
func (l *Leader) zonesOf(job *jobs.Job) jobZones {
	zones := jobZones{&job.Spec, map[string]int{}}
	if !zones.job.OneZone && !zones.job.Spread {
		return zones
	}
	l.eachDispatched(job, func(_ peer.Task, task *grantedTask) { zones.taskCounts[task.zone]++ })
	return zones
}

// eachDispatched calls f for each of the job's tasks that is in a shard grant.
func (l *Leader) eachDispatched(job *jobs.Job, f func(peer.Task, *grantedTask)) {
	for index := range job.DispatchedTasks() {
		for _, lease := range l.shards.all {
			t := peer.Task{Job: job.Spec.Ref, Index: index}
			if task := lease.tasks[t]; task != nil {
				f(t, task)
			}
		}
	}
}

// allows reports whether one more task of the job may run in the zone.
func (z jobZones) allows(zone string) bool {
	switch {
	case z.taskCounts[""] > 0 && (z.job.OneZone || z.job.Spread):
		return false // no zone is sure to be allowed while the zone of a task is unknown
	case z.job.OneZone && len(z.taskCounts) > 0 && z.taskCounts[zone] == 0:
		return false
	}
	return !z.job.Spread || z.taskCounts[zone] < (z.job.Tasks+1)/2
}

// add counts one more task in a zone.
func (z jobZones) add(zone string) { z.taskCounts[zone]++ }
