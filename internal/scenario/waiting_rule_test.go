package scenario

import (
	"strings"

	"swiftledge/internal/clock"
	"swiftledge/internal/leader"
	"swiftledge/wire"
)

const (
	// maxJobWait is how long a job may wait although there is free capacity for it, once all faults are over.
	maxJobWait = 90 * clock.Second
	// maxBackoffWait is how long a job with tasks that fail on every machine may wait after the last start of one of its
	// tasks, in addition to maxJobWait: the longest backoff and the time to place a task.
	maxBackoffWait = 40 * clock.Second
)

// freeCapacity is the free capacity of a machine.
type freeCapacity struct {
	cpus, memoryGB float64
}

// occupancy holds the free capacity of each machine, and the totals of the tasks that have not exited.
type occupancy struct {
	free       map[*simAgent]freeCapacity
	cpusByTeam map[string]float64 // CPUs that these tasks use
	tasksByJob map[string]int     // number of these tasks
}

// checkWaitingJobs checks, once a second, that no job waits longer than maxJobWait while an allowed machine has
// free capacity for it and its team is under its limit.
func (w *world) checkWaitingJobs() {
	if w.now%clock.Second >= tickInterval {
		return
	}
	if w.hasFaults() {
		clear(w.rules.waitingSince)
		return
	}
	occupied := w.occupancy()
	completed := map[string]int{}
	for task := range w.rules.completions {
		ref, _, _ := strings.Cut(task, "/")
		completed[ref]++
	}
	for ref, job := range w.users.jobs {
		tasksLeft := job.Tasks - completed[ref] - occupied.tasksByJob[ref]
		if tasksLeft <= 0 || !w.mayStartTask(&job, &occupied) || !occupied.fitsTask(&job) {
			delete(w.rules.waitingSince, ref)
			continue
		}
		if _, ok := w.rules.waitingSince[ref]; !ok {
			w.rules.waitingSince[ref] = w.now
		}
		if w.now-w.rules.waitingSince[ref] > maxJobWait {
			w.reportViolation("waits: job %s waited for longer than maxJobWait although there was free capacity for it", ref)
		}
	}
}

// occupancy computes the occupancy of the machines that may run new tasks.
func (w *world) occupancy() occupancy {
	o := occupancy{
		free:       map[*simAgent]freeCapacity{},
		cpusByTeam: map[string]float64{},
		tasksByJob: map[string]int{},
	}
	for _, s := range w.machines.agents {
		if s.terminated || s.PreemptionNoticeS != nil {
			continue
		}
		free := freeCapacity{s.CPUs, s.MemoryGB}
		for _, t := range s.Tasks {
			if t.State != wire.TaskExited {
				free.cpus -= t.Job.CPUs
				free.memoryGB -= t.Job.MemoryGB
				o.cpusByTeam[t.Job.Team] += t.Job.CPUs
				o.tasksByJob[t.Job.Ref]++
			}
		}
		o.free[s] = free
	}
	return o
}

// fitsTask reports whether any allowed machine has free capacity for a task of a job.
func (o *occupancy) fitsTask(job *wire.Job) bool {
	for s, free := range o.free {
		if s.allowsJob(job) && free.cpus >= job.CPUs && free.memoryGB >= job.MemoryGB {
			return true
		}
	}
	return false
}

// mayStartTask reports whether the limit of a job's team and the backoff after failures allow another task of the job to
// start now. It returns false for a job with a final state, and for services and jobs with zone constraints, whose
// waiting is not checked.
func (w *world) mayStartTask(job *wire.Job, occupied *occupancy) bool {
	if _, ended := w.store.Get(leader.FinalStatePrefix + job.Ref); ended {
		return false
	}
	if job.IsService() || job.OneZone || job.Spread {
		return false
	}
	// Tasks that fail on every machine wait for the backoff after the last start of a task of their job.
	if w.users.failEveryNth[job.Ref] > 0 && w.now-w.rules.lastStartAt[job.Ref] < maxBackoffWait {
		return false
	}
	team, _ := w.cfg.Team(job.Team)
	return occupied.cpusByTeam[job.Team]+job.CPUs <= team.CPULimit()
}
