package scenario

import (
	"strings"

	"swiftledge/internal/clock"
	"swiftledge/internal/leader"
	"swiftledge/wire"
)

const (
	// maxWait is how long a job may wait beside free capacity for it once all faults are over.
	maxWait = 90 * clock.Second
	// maxRetryPause is how long after its last try a task that fails wherever it runs may wait for the next: the
	// longest pause, and the time to place it.
	maxRetryPause = 40 * clock.Second
)

// freeCapacity is what is free on a machine.
type freeCapacity struct {
	cpus, memory float64
}

// occupancy is what the tasks on all machines take.
type occupancy struct {
	free       map[*simWorker]freeCapacity
	cpusByTeam map[string]float64
	tasksByJob map[string]int // that have not exited
}

// checkWaitingJobs judges, once a second, that no job is left waiting while a machine that fits
// has free capacity and its team is under its limit.
func (w *world) checkWaitingJobs() {
	if w.now%clock.Second >= step {
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
		if tasksLeft <= 0 || !w.mayStart(&job, &occupied) || !occupied.fits(&job) {
			delete(w.rules.waitingSince, ref)
			continue
		}
		if _, ok := w.rules.waitingSince[ref]; !ok {
			w.rules.waitingSince[ref] = w.now
		}
		if w.now-w.rules.waitingSince[ref] > maxWait {
			w.violates("waits: %s beside free capacity for it", ref)
		}
	}
}

// occupancy sums up the machines that may take tasks.
func (w *world) occupancy() occupancy {
	o := occupancy{
		free:       map[*simWorker]freeCapacity{},
		cpusByTeam: map[string]float64{},
		tasksByJob: map[string]int{},
	}
	for _, s := range w.machines.workers {
		if s.ended || s.PreemptionNoticeS != nil {
			continue
		}
		free := freeCapacity{s.CPUs, s.MemoryGB}
		for _, t := range s.Tasks {
			if t.State != wire.TaskExited {
				free.cpus -= t.Job.CPUs
				free.memory -= t.Job.MemoryGB
				o.cpusByTeam[t.Job.Team] += t.Job.CPUs
				o.tasksByJob[t.Job.Ref]++
			}
		}
		o.free[s] = free
	}
	return o
}

// fits says whether any machine has free capacity for a task of a job.
func (o *occupancy) fits(job *wire.Job) bool {
	for s, free := range o.free {
		if s.allows(job) && free.cpus >= job.CPUs && free.memory >= job.MemoryGB {
			return true
		}
	}
	return false
}

// mayStart says whether a task of a batch may start now, as far as its team and its other tasks go.
func (w *world) mayStart(job *wire.Job, occupied *occupancy) bool {
	if _, ended := w.store.Get(leader.FinalStatePrefix + job.Ref); ended {
		return false
	}
	if job.IsService() || job.OneZone || job.Spread {
		return false
	}
	// What fails wherever it runs waits as long as it is not tried.
	if w.users.failsEach[job.Ref] > 0 && w.now-w.rules.lastStartAt[job.Ref] < maxRetryPause {
		return false
	}
	team, _ := w.cfg.Team(job.Team)
	return occupied.cpusByTeam[job.Team]+job.CPUs <= team.CPULimit()
}
