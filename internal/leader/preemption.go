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
	// preemptionInterval is the pause between two preemption passes.
	preemptionInterval = 300 * clock.Millisecond
	// stoppingWindow is how long a task that was told to stop counts as free capacity to come.
	stoppingWindow = 3 * clock.Second
	// maxEvictions bounds what one look stops.
	maxEvictions = 64
	// minBootTimesLeft is how many usual boot times a task has to have left to run for it to be stopped for anything
	// but production work: else the free capacity, or a machine, comes about as soon without.
	minBootTimesLeft = 2
	// placementCostS is about what it costs a stopped task, in seconds, to be placed again and to have its image.
	placementCostS = 5
)

// victim is a task that may be stopped to free capacity.
type victim struct {
	task             peer.Task
	held             *grantedTask
	memory           float64
	rank             int
	ran              float64 // so far, in seconds
	endsSoon         bool
	savesCheckpoints bool    // its progress, at intervals
	cost             float64 // of the work that is lost; less for work of low priority
}

// preemptionCandidate is what a machine has for waiting work, and could have.
type preemptionCandidate struct {
	machine      *machine
	cpus, memory float64 // free, and soon free
	victims      []victim
}

// claim is why a job's next task may stop others (PROTOCOL, "Preemption").
type claim struct {
	team            string
	rank            int
	withinGuarantee bool // the team must be given it
	ownTasksOnly    bool // the team is at its limit: only its own tasks free capacity
}

// preemptionPass is one look for capacity to free.
type preemptionPass struct {
	l           *Leader
	now         clock.Micros
	urgent      bool               // production work waits
	longRunning map[string]float64 // by job that runs for long: the boot time of its machines
	candidates  []*preemptionCandidate
	leaving     *fairshare.Usage // what teams' tasks will give back, less what is to come
	evicted     int
}

// preempt frees capacity for work that waits and finds none, by stopping less important tasks, and tasks that
// other teams run beyond their guarantees for a team that is within its own.
func (l *Leader) preempt(now clock.Micros, queues []*fairshare.TeamQueue) {
	if now-l.preemption.ranAt < preemptionInterval {
		return
	}
	p := &preemptionPass{l: l, now: now}
	waiting := false
	for _, t := range queues {
		for _, j := range t.Preemptors() {
			if j.Waiting() > 0 {
				waiting = true
				p.urgent = p.urgent || j.Spec.Priority.Rank() == wire.PriorityProduction.Rank()
			}
		}
	}
	if !waiting {
		return
	}
	l.preemption.ranAt = now
	if p.findLongRunning(); !p.urgent && len(p.longRunning) == 0 {
		return
	}
	p.survey()
	for _, t := range queues {
		for _, j := range t.Preemptors() {
			if p.makeCapacityFor(t, j); p.evicted > maxEvictions {
				return
			}
		}
	}
}

// findLongRunning finds the jobs whose tasks have long to go after their start: only these are stopped for anything but
// production work.
func (p *preemptionPass) findLongRunning() {
	p.longRunning = map[string]float64{}
	for j := range p.l.jobs.All() {
		if j.Dispatched() == 0 || j.Spec.Priority.Rank() == wire.PriorityProduction.Rank() {
			continue
		}
		if boot := p.l.bootTime(&j.Spec); j.Spec.IsService() || p.l.jobs.RunSeconds(j) > minBootTimesLeft*boot {
			p.longRunning[j.Spec.Ref] = boot
		}
	}
}

// survey finds the machines that could take waiting work, by name, and what each team's tasks give back that
// were told to stop.
func (p *preemptionPass) survey() {
	l, on := p.l, map[string]*preemptionCandidate{}
	p.leaving = fairshare.NewUsage()
	for _, m := range l.inventory.machines {
		if m.schedulable() {
			on[m.name] = &preemptionCandidate{machine: m, cpus: m.state.CPUs, memory: m.state.MemoryGB}
		}
	}
	for _, b := range l.shards.all {
		for t, h := range b.tasks {
			p.surveyTask(on, t, h)
		}
	}
	p.candidates = make([]*preemptionCandidate, 0, len(on))
	for _, name := range slices.Sorted(maps.Keys(on)) {
		at := on[name]
		if len(at.victims) == 0 && !p.urgent {
			continue // what fits there needs nobody stopped
		}
		slices.SortFunc(at.victims, compareVictims)
		p.candidates = append(p.candidates, at)
	}
}

// surveyTask counts a task as capacity that comes free soon, or as a victim.
func (p *preemptionPass) surveyTask(on map[string]*preemptionCandidate, t peer.Task, h *grantedTask) {
	leaves := h.stopReason != "" && p.now-h.stoppedAt < stoppingWindow
	if leaves {
		p.leaving.Charge(h.team, h.resources())
	}
	boot, long := p.longRunning[t.Job]
	if !long && !p.urgent && !leaves {
		return
	}
	at, j := on[h.machine], p.l.jobs.Get(t.Job)
	if at == nil || j == nil {
		return
	}
	if leaves {
		at.cpus += h.cpus
		at.memory += j.Spec.MemoryGB
	}
	v := p.l.victim(p.now, t, h, j)
	v.endsSoon = !long || !j.Spec.IsService() && p.l.jobs.RunSeconds(j)-v.ran < minBootTimesLeft*boot
	if h.stopReason == "" && (p.urgent || !v.endsSoon) && v.rank > wire.PriorityProduction.Rank() {
		at.victims = append(at.victims, v)
	}
}

// compareVictims orders victims by what stopping them costs.
func compareVictims(a, b victim) int {
	return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.task.Job, b.task.Job),
		cmp.Compare(a.task.Index, b.task.Index))
}

// victim weighs a task that may be stopped. What it saved by itself at its last interval is not lost.
func (l *Leader) victim(now clock.Micros, t peer.Task, h *grantedTask, j *jobs.Job) victim {
	s := &j.Spec
	rank, ran := s.Priority.Rank(), 0.0
	if h.running {
		ran = (now - h.runningSince).Seconds()
	}
	lost := ran
	if s.CheckpointS > 0 {
		lost = math.Mod(ran, s.CheckpointS)
	}
	return victim{task: t, held: h, memory: s.MemoryGB, rank: rank, ran: ran, savesCheckpoints: s.CheckpointS > 0,
		cost: h.cpus * (lost + placementCostS) / float64(max(rank, 1))}
}

// makeCapacityFor frees capacity for the waiting tasks of one job, as far as it may run.
func (p *preemptionPass) makeCapacityFor(t *fairshare.TeamQueue, j *jobs.Job) {
	s := &j.Spec
	zones := p.l.zonesOf(j)
	serviceCPUs := t.ServiceCPUs()
	for n := min(j.Waiting(), maxEvictions); n > 0; n-- {
		if !t.ServiceFits(s, serviceCPUs) {
			return
		}
		c, ok := p.claim(t, s)
		if !ok {
			return
		}
		best, leave := p.cheapest(j, zones, c)
		if best == nil {
			return
		}
		p.evict(best, leave)
		best.cpus -= s.CPUs
		best.memory -= s.MemoryGB
		zones.add(best.machine.option.Zone)
		p.leaving.Release(s.Team, fairshare.ResourceUsage{CPUs: s.CPUs, GPUs: s.GPUs})
		serviceCPUs += s.CPUs
	}
}

// claim says why one more task of the team may stop others, if it may.
func (p *preemptionPass) claim(t *fairshare.TeamQueue, s *wire.Job) (claim, bool) {
	u := t.Usage().Minus(p.leaving.Of(s.Team))
	c := claim{team: s.Team, rank: s.Priority.Rank(),
		withinGuarantee: u.FitsGuarantee(s, t.Team()), ownTasksOnly: !u.FitsLimit(s, t.Team())}
	return c, c.withinGuarantee || c.rank <= wire.PriorityHigh.Rank()
}

// mayEvict reports whether a task may be stopped for a claim. Production work stops whatever is less important.
// Anything else only stops what runs for long on borrowed capacity and is less important, or for a guarantee as
// important and saves its progress: work that is as important is not done twice for it, though the protocol would allow
// it.
func (p *preemptionPass) mayEvict(c claim, v *victim) bool {
	switch {
	case c.ownTasksOnly && v.held.team != c.team:
		return false
	case c.rank == wire.PriorityProduction.Rank():
		return c.rank < v.rank
	case v.endsSoon || !p.isBorrowed(v.held):
		return false
	}
	return c.rank < v.rank || c.withinGuarantee && c.rank == v.rank && v.savesCheckpoints && v.held.team != c.team
}

// isBorrowed reports whether a task's team keeps its guarantee without it.
func (p *preemptionPass) isBorrowed(h *grantedTask) bool {
	u := p.l.usage.Of(h.team).Minus(p.leaving.Of(h.team))
	return u.CPUs-h.cpus >= p.l.teams[h.team].CPUs-1e-9
}

// cheapest finds the machine on which free capacity for one more task of the job costs least, and which of its
// victims have to leave.
func (p *preemptionPass) cheapest(j *jobs.Job, zones jobZones, c claim) (best *preemptionCandidate, leave []int) {
	s := &j.Spec
	least := 0.0
	for _, at := range p.candidates {
		m := at.machine
		if !m.allowed(p.now, j) || !zones.allow(m.option.Zone) || j.AvoidsMachine(p.now, m.name) ||
			m.state.GPUs+1e-9 < s.GPUs {
			continue
		}
		if who, cost, ok := p.victimsFor(at, s, c); ok && (best == nil || cost < least) {
			best, leave, least = at, who, cost
		}
	}
	return best, leave
}

// victimsFor says which victims must leave a machine for one more task to fit, and at what cost; of a team at its
// limit as much as the task takes.
func (p *preemptionPass) victimsFor(at *preemptionCandidate, s *wire.Job, c claim) (who []int, cost float64, ok bool) {
	cpus, memory, given := at.cpus, at.memory, 0.0
	for i := 0; ; i++ {
		if cpus+1e-9 >= s.CPUs && memory+1e-9 >= s.MemoryGB && (!c.ownTasksOnly || given+1e-9 >= s.CPUs) {
			return who, cost, true
		}
		if i == len(at.victims) {
			return nil, 0, false
		}
		v := &at.victims[i]
		if !p.mayEvict(c, v) {
			continue
		}
		cpus += v.held.cpus
		memory += v.memory
		given += v.held.cpus
		cost += v.cost
		who = append(who, i)
	}
}

// evict has the holder end victims on a machine.
func (p *preemptionPass) evict(at *preemptionCandidate, leave []int) {
	for _, i := range slices.Backward(leave) {
		v := at.victims[i]
		at.victims = slices.Delete(at.victims, i, i+1)
		at.cpus += v.held.cpus
		at.memory += v.memory
		p.leaving.Charge(v.held.team, v.held.resources())
		v.held.stopReason, v.held.stoppedAt = "evicted", p.now
		at.machine.shard.orders.Stop = append(at.machine.shard.orders.Stop, peer.StopTask{Task: v.task})
		p.evicted++
		p.l.outcomes.preempted++
	}
}
