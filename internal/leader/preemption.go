package leader

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"swiftledge/internal/clock"
	"swiftledge/internal/leader/fairshare"
	"swiftledge/internal/leader/jobs"
	"swiftledge/internal/peer"
	"swiftledge/wire"
)

const (
	// preemptionInterval is the minimum time between two preemption passes.
	preemptionInterval = 300 * clock.Millisecond
	// stoppingWindow is how long the resources of a task that was ordered to stop count as about to be free.
	stoppingWindow = 3 * clock.Second
	// maxPreemptions bounds how many tasks one preemption pass stops.
	maxPreemptions = 64
	// minBootTimesLeft is the run time, in usual boot times, that a task must have left to be preempted for anything
	// but production work. With less time left, the task's capacity or a new machine is available about as soon anyway.
	minBootTimesLeft = 2
	// placementCostS is the approximate cost, in seconds, of placing a stopped task again and fetching its image.
	placementCostS = 5
)

// victim is a task that may be preempted to free capacity.
type victim struct {
	task             peer.Task
	granted          *grantedTask
	memory           float64
	rank             int
	runtimeS         float64 // seconds run so far
	endsSoon         bool    // has too little run time left to be preempted for anything but production work
	savesCheckpoints bool    // saves its progress at intervals
	cost             float64 // CPU seconds of work lost, weighted down for low priorities
}

// preemptionCandidate is a machine on which capacity may be freed for waiting tasks.
type preemptionCandidate struct {
	machine      *machine
	cpus, memory float64 // free now or once the tasks that are already stopping have ended
	victims      []victim
}

// claim describes why a job's next task may preempt other tasks (PROTOCOL, "Preemption").
type claim struct {
	team            string
	rank            int  // rank of the job's priority, 0 for the most important
	withinGuarantee bool // the team stays within its guarantee with the task
	ownTasksOnly    bool // the team is at its limit: only its own tasks may be preempted
}

// preemptionPass is the state of one pass that frees capacity by preemption.
type preemptionPass struct {
	leader        *Leader
	now           clock.Micros
	urgent        bool               // production work waits
	longRunning   map[string]float64 // usual boot time of a job's machines, in seconds, for jobs with long-running tasks
	candidates    []*preemptionCandidate
	stoppingUsage *fairshare.Usage // resources that stopping tasks give back, less those that this pass has assigned
	preempted     int
}

// preempt frees capacity for waiting tasks that find no free capacity. It stops tasks of lower priority and, for a team
// that is within its guarantee, also tasks of equal priority that other teams run beyond their own guarantees.
func (l *Leader) preempt(now clock.Micros, queues []*fairshare.TeamQueue) {
	if now-l.preemption.ranAt < preemptionInterval {
		return
	}
	pass := &preemptionPass{leader: l, now: now}
	waiting := false
	for _, queue := range queues {
		for _, job := range queue.Preemptors() {
			if job.Waiting() > 0 {
				waiting = true
				pass.urgent = pass.urgent || job.Spec.Priority.Rank() == wire.PriorityProduction.Rank()
			}
		}
	}
	if !waiting {
		return
	}
	l.preemption.ranAt = now
	if pass.findLongRunning(); !pass.urgent && len(pass.longRunning) == 0 {
		return
	}
	pass.collectCandidates()
	for _, queue := range queues {
		for _, job := range queue.Preemptors() {
			if pass.makeCapacityFor(queue, job); pass.preempted > maxPreemptions {
				return
			}
		}
	}
}

// findLongRunning finds the jobs with long-running tasks: services, and jobs whose tasks run longer than
// minBootTimesLeft usual boot times. Only their tasks are preempted for anything but production work.
func (p *preemptionPass) findLongRunning() {
	p.longRunning = map[string]float64{}
	for job := range p.leader.jobs.All() {
		if job.Dispatched() == 0 || job.Spec.Priority.Rank() == wire.PriorityProduction.Rank() {
			continue
		}
		if bootS := p.leader.bootTimeS(&job.Spec); job.Spec.IsService() ||
			p.leader.jobs.RunSeconds(job) > minBootTimesLeft*bootS {
			p.longRunning[job.Spec.Ref] = bootS
		}
	}
}

// collectCandidates collects the machines that may take waiting tasks, sorted by name, and the usage of stopping tasks.
func (p *preemptionPass) collectCandidates() {
	l, byMachine := p.leader, map[string]*preemptionCandidate{}
	p.stoppingUsage = fairshare.NewUsage()
	for _, m := range l.inventory.machines {
		if m.schedulable() {
			byMachine[m.name] = &preemptionCandidate{machine: m, cpus: m.state.CPUs, memory: m.state.MemoryGB}
		}
	}
	for _, lease := range l.shards.all {
		for t, task := range lease.tasks {
			p.collectTask(byMachine, t, task)
		}
	}
	p.candidates = make([]*preemptionCandidate, 0, len(byMachine))
	for _, name := range slices.Sorted(maps.Keys(byMachine)) {
		candidate := byMachine[name]
		if len(candidate.victims) == 0 && !p.urgent {
			continue // a task that fits here needs no preemption
		}
		slices.SortFunc(candidate.victims, compareVictims)
		p.candidates = append(p.candidates, candidate)
	}
}

// collectTask counts a stopping task as capacity that is about to become free, or adds a victim to the task's machine.
func (p *preemptionPass) collectTask(byMachine map[string]*preemptionCandidate, t peer.Task, task *grantedTask) {
	stopping := task.stopReason != "" && p.now-task.stoppedAt < stoppingWindow
	if stopping {
		p.stoppingUsage.Charge(task.team, task.resources())
	}
	bootS, long := p.longRunning[t.Job]
	if !long && !p.urgent && !stopping {
		return
	}
	candidate, job := byMachine[task.machine], p.leader.jobs.Get(t.Job)
	if candidate == nil || job == nil {
		return
	}
	if stopping {
		candidate.cpus += task.cpus
		candidate.memory += job.Spec.MemoryGB
	}
	v := p.leader.victim(p.now, t, task, job)
	v.endsSoon = !long || !job.Spec.IsService() && p.leader.jobs.RunSeconds(job)-v.runtimeS < minBootTimesLeft*bootS
	if task.stopReason == "" && (p.urgent || !v.endsSoon) && v.rank > wire.PriorityProduction.Rank() {
		candidate.victims = append(candidate.victims, v)
	}
}

// compareVictims orders victims by the cost of preempting them.
func compareVictims(a, b victim) int {
	return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.task.Job, b.task.Job),
		cmp.Compare(a.task.Index, b.task.Index))
}

// victim describes a task that may be preempted. Its cost leaves out the work that its last checkpoint saved.
func (l *Leader) victim(now clock.Micros, t peer.Task, task *grantedTask, job *jobs.Job) victim {
	spec := &job.Spec
	rank, runtimeS := spec.Priority.Rank(), 0.0
	if task.running {
		runtimeS = (now - task.runningSince).Seconds()
	}
	lostS := runtimeS
	if spec.CheckpointS > 0 {
		lostS = math.Mod(runtimeS, spec.CheckpointS)
	}
	return victim{task: t, granted: task, memory: spec.MemoryGB, rank: rank, runtimeS: runtimeS,
		savesCheckpoints: spec.CheckpointS > 0, cost: task.cpus * (lostS + placementCostS) / float64(max(rank, 1))}
}

// makeCapacityFor frees capacity for the waiting tasks of one job, for as many tasks as the job's team may run.
func (p *preemptionPass) makeCapacityFor(queue *fairshare.TeamQueue, job *jobs.Job) {
	spec := &job.Spec
	zones := zonesOf(job)
	serviceCPUs := queue.ServiceCPUs()
	for n := min(job.Waiting(), maxPreemptions); n > 0; n-- {
		if !queue.ServiceFits(spec, serviceCPUs) {
			return
		}
		c, ok := p.claim(queue, spec)
		if !ok {
			return
		}
		candidate, victims := p.cheapestCandidate(job, zones, c)
		if candidate == nil {
			return
		}
		p.preemptTasks(candidate, victims)
		candidate.cpus -= spec.CPUs
		candidate.memory -= spec.MemoryGB
		zones.add(candidate.machine.option.Zone)
		p.stoppingUsage.Release(spec.Team, fairshare.ResourceUsage{CPUs: spec.CPUs, GPUs: spec.GPUs})
		serviceCPUs += spec.CPUs
	}
}

// claim returns the claim of one more task of the team, and whether that task may preempt other tasks at all.
func (p *preemptionPass) claim(queue *fairshare.TeamQueue, spec *wire.Job) (claim, bool) {
	usage := queue.Usage().Minus(p.stoppingUsage.Of(spec.Team))
	c := claim{team: spec.Team, rank: spec.Priority.Rank(),
		withinGuarantee: usage.FitsGuarantee(spec, queue.Team()), ownTasksOnly: !usage.FitsLimit(spec, queue.Team())}
	return c, c.withinGuarantee || c.rank <= wire.PriorityHigh.Rank()
}

// mayPreempt reports whether a claim allows a task to be preempted. Production work preempts any task of lower
// priority. Other work only preempts long-running tasks on borrowed capacity: tasks of lower priority and, for a team
// within its guarantee, tasks of other teams that have equal priority and save checkpoints. Tasks of equal priority
// without checkpoints are not made to repeat their work, although the protocol would allow that.
func (p *preemptionPass) mayPreempt(c claim, v *victim) bool {
	switch {
	case c.ownTasksOnly && v.granted.team != c.team:
		return false
	case c.rank == wire.PriorityProduction.Rank():
		return c.rank < v.rank
	case v.endsSoon || !p.isBorrowed(v.granted):
		return false
	}
	return c.rank < v.rank || c.withinGuarantee && c.rank == v.rank && v.savesCheckpoints && v.granted.team != c.team
}

// isBorrowed reports whether a task runs on borrowed capacity: without it, the team still uses at least its guarantee.
func (p *preemptionPass) isBorrowed(task *grantedTask) bool {
	usage := p.leader.usage.Of(task.team).Minus(p.stoppingUsage.Of(task.team))
	return usage.CPUs-task.cpus >= p.leader.teams[task.team].CPUs-1e-9
}

// cheapestCandidate returns the machine on which one more task costs least to fit, and the victims' indexes there.
func (p *preemptionPass) cheapestCandidate(
	job *jobs.Job, zones jobZones, c claim,
) (best *preemptionCandidate, victims []int) {
	spec := &job.Spec
	leastCost := 0.0
	for _, candidate := range p.candidates {
		m := candidate.machine
		if !m.allowed(p.now, job) || !zones.allows(m.option.Zone) || job.AvoidsMachine(p.now, m.name) ||
			m.state.GPUs+1e-9 < spec.GPUs {
			continue
		}
		if indexes, cost, ok := p.victimsFor(candidate, spec, c); ok && (best == nil || cost < leastCost) {
			best, victims, leastCost = candidate, indexes, cost
		}
	}
	return best, victims
}

// victimsFor returns the indexes of the victims to preempt on a machine for one more task to fit, and their cost. For
// a team at its limit, the victims, all of that team, must also free at least the CPUs that the task takes.
func (p *preemptionPass) victimsFor(
	candidate *preemptionCandidate, spec *wire.Job, c claim,
) (indexes []int, cost float64, ok bool) {
	cpus, memory, freedCPUs := candidate.cpus, candidate.memory, 0.0
	for i := 0; ; i++ {
		if cpus+1e-9 >= spec.CPUs && memory+1e-9 >= spec.MemoryGB && (!c.ownTasksOnly || freedCPUs+1e-9 >= spec.CPUs) {
			return indexes, cost, true
		}
		if i == len(candidate.victims) {
			return nil, 0, false
		}
		v := &candidate.victims[i]
		if !p.mayPreempt(c, v) {
			continue
		}
		cpus += v.granted.cpus
		memory += v.memory
		freedCPUs += v.granted.cpus
		cost += v.cost
		indexes = append(indexes, i)
	}
}

// preemptTasks orders the shard holder to stop victims on a machine.
func (p *preemptionPass) preemptTasks(candidate *preemptionCandidate, indexes []int) {
	for _, i := range slices.Backward(indexes) {
		v := candidate.victims[i]
		candidate.victims = slices.Delete(candidate.victims, i, i+1)
		candidate.cpus += v.granted.cpus
		candidate.memory += v.memory
		p.stoppingUsage.Charge(v.granted.team, v.granted.resources())
		v.granted.stopReason, v.granted.stoppedAt = "evicted", p.now
		candidate.machine.shard.orders.Stop = append(candidate.machine.shard.orders.Stop, peer.StopTask{Task: v.task})
		p.preempted++
		p.leader.outcomes.preempted++
	}
}
