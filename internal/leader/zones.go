package leader

import (
	"swiftledge/internal/leader/jobs"
	"swiftledge/internal/peer"
	"swiftledge/wire"
)

// jobZones is where the tasks of a job are, and so where more of them may be.
type jobZones struct {
	job *wire.Job
	n   map[string]int
}

func (l *Leader) zonesOf(j *jobs.Job) jobZones {
	z := jobZones{&j.Spec, map[string]int{}}
	if !z.job.OneZone && !z.job.Spread {
		return z
	}
	l.eachDispatched(j, func(_ peer.Task, h *grantedTask) { z.n[h.zone]++ })
	return z
}

// eachDispatched calls f for the job's tasks that are in grants.
func (l *Leader) eachDispatched(j *jobs.Job, f func(peer.Task, *grantedTask)) {
	for i := range j.DispatchedTasks() {
		for _, b := range l.shards.all {
			t := peer.Task{Job: j.Spec.Ref, Index: i}
			if h := b.tasks[t]; h != nil {
				f(t, h)
			}
		}
	}
}

func (z jobZones) allow(zone string) bool {
	switch {
	case z.n[""] > 0 && (z.job.OneZone || z.job.Spread):
		return false // a task that may be anywhere leaves no zone that is surely allowed
	case z.job.OneZone && len(z.n) > 0 && z.n[zone] == 0:
		return false
	}
	return !z.job.Spread || z.n[zone] < (z.job.Tasks+1)/2
}

func (z jobZones) add(zone string) { z.n[zone]++ }
