package leader

import (
	"swiftledge/internal/leader/jobs"
	"swiftledge/internal/peer"
	"swiftledge/wire"
)

// jobZones is the number of tasks that a job has in each zone, which decides in which zones further tasks may run.
type jobZones struct {
	job        *wire.Job
	taskCounts map[string]int
}

// zonesOf counts the tasks of a job that are in shard grants, by zone. The count stays empty for a job whose tasks do
// not restrict each other's zones, one without OneZone and Spread.
func zonesOf(job *jobs.Job) jobZones {
	if !job.Spec.OneZone && !job.Spec.Spread {
		return jobZones{&job.Spec, map[string]int{}}
	}
	return jobZones{&job.Spec, job.TasksByZone()}
}

// eachDispatchedTask calls f for each task of the job in each shard grant that contains the task.
func (l *Leader) eachDispatchedTask(job *jobs.Job, f func(peer.Task, *grantedTask)) {
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
