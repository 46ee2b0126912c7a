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
	// preemptEvery is the pause between two looks for room to make.
	preemptEvery = 300 * clock.Millisecond
	// leavingFor is how long a task that was told to stop counts as room to come.
	leavingFor = 3 * clock.Second
	// mostPreempted bounds what one look stops.
	mostPreempted = 64
	// bootsWaited is how many usual boot times a task has to have left to run for it to be stopped for anything
	// but production work: else the room, or a machine, comes about as soon without.
	bootsWaited = 2
	// placementS is about what it costs a stopped task, in seconds, to be placed again and to have its image.
	placementS = 5
)

// victim is a task that may be stopped to make room.
type victim struct {
	task     peer.Task
	held     *grantedTask
	memory   float64
	rank     int
	ran      float64 // so far, in seconds
	endsSoon bool
	saves    bool    // its progress, at intervals
	cost     float64 // of the work that is lost; less for work of low priority
}

// space is what a machine has for waiting work, and could have.
type space struct {
	machine      *machine
	cpus, memory float64 // free, and soon free
	victims      []victim
}

// claim is why a job's next task may stop others (PROTOCOL, "Preemption").
type claim struct {
	team      string
	rank      int
	guarantee bool // the team must be given it
	own       bool // the team is at its limit: only its own tasks make room
}

// preemption is one look for room to make.
type preemption struct {
	l       *Leader
	now     clock.Micros
	urgent  bool               // production work waits
	long    map[string]float64 // by job that runs for long: the boot time of its machines
	spaces  []*space
	leaving *fairshare.Usage // what teams' tasks will give back, less what is to come
	stopped int
}

// preempt makes room for work that waits and finds none, by stopping less important tasks, and tasks that
// other teams run beyond their guarantees for a team that is within its own.
func (l *Leader) preempt(now clock.Micros, teams []*fairshare.TeamQueue) {
	if now-l.preemption.ranAt < preemptEvery {
		return
	}
	p := &preemption{l: l, now: now}
	waiting := false
	for _, t := range teams {
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
	if p.findLong(); !p.urgent && len(p.long) == 0 {
		return
	}
	p.survey()
	for _, t := range teams {
		for _, j := range t.Preemptors() {
			if p.makeRoom(t, j); p.stopped > mostPreempted {
				return
			}
		}
	}
}

// findLong finds the jobs whose tasks have long to go after their start: only these are stopped for anything but
// production work.
func (p *preemption) findLong() {
	p.long = map[string]float64{}
	for j := range p.l.jobs.All() {
		if j.Dispatched() == 0 || j.Spec.Priority.Rank() == wire.PriorityProduction.Rank() {
			continue
		}
		if boot := p.l.bootTime(&j.Spec); j.Spec.IsService() || p.l.jobs.RunSeconds(j) > bootsWaited*boot {
			p.long[j.Spec.Ref] = boot
		}
	}
}

// survey finds the machines that could take waiting work, by name, and what each team's tasks give back that
// were told to stop.
func (p *preemption) survey() {
	l, on := p.l, map[string]*space{}
	p.leaving = fairshare.NewUsage()
	for _, m := range l.inventory.machines {
		if m.schedulable() {
			on[m.name] = &space{machine: m, cpus: m.state.CPUs, memory: m.state.MemoryGB}
		}
	}
	for _, b := range l.shards.all {
		for t, h := range b.tasks {
			p.surveyTask(on, t, h)
		}
	}
	p.spaces = make([]*space, 0, len(on))
	for _, name := range slices.Sorted(maps.Keys(on)) {
		at := on[name]
		if len(at.victims) == 0 && !p.urgent {
			continue // what fits there needs nobody stopped
		}
		slices.SortFunc(at.victims, compareVictims)
		p.spaces = append(p.spaces, at)
	}
}

// surveyTask counts a task as capacity that comes free soon, or as a victim.
func (p *preemption) surveyTask(on map[string]*space, t peer.Task, h *grantedTask) {
	leaves := h.stopped != "" && p.now-h.stoppedAt < leavingFor
	if leaves {
		p.leaving.Charge(h.team, h.resources())
	}
	boot, long := p.long[t.Job]
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
	v.endsSoon = !long || !j.Spec.IsService() && p.l.jobs.RunSeconds(j)-v.ran < bootsWaited*boot
	if h.stopped == "" && (p.urgent || !v.endsSoon) && v.rank > wire.PriorityProduction.Rank() {
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
		ran = (now - h.since).Seconds()
	}
	lost := ran
	if s.CheckpointS > 0 {
		lost = math.Mod(ran, s.CheckpointS)
	}
	return victim{task: t, held: h, memory: s.MemoryGB, rank: rank, ran: ran, saves: s.CheckpointS > 0,
		cost: h.cpus * (lost + placementS) / float64(max(rank, 1))}
}

// makeRoom makes room for the waiting tasks of one job, as far as it may run.
func (p *preemption) makeRoom(t *fairshare.TeamQueue, j *jobs.Job) {
	s := &j.Spec
	zones := p.l.zones(j)
	serviceCPUs := t.ServiceCPUs()
	for n := min(j.Waiting(), mostPreempted); n > 0; n-- {
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
		p.stop(best, leave)
		best.cpus -= s.CPUs
		best.memory -= s.MemoryGB
		zones.add(best.machine.option.Zone)
		p.leaving.Release(s.Team, fairshare.ResourceUsage{CPUs: s.CPUs, GPUs: s.GPUs})
		serviceCPUs += s.CPUs
	}
}

// claim says why one more task of the team may stop others, if it may.
func (p *preemption) claim(t *fairshare.TeamQueue, s *wire.Job) (claim, bool) {
	u := t.Usage().Minus(p.leaving.Of(s.Team))
	c := claim{team: s.Team, rank: s.Priority.Rank(),
		guarantee: u.FitsGuarantee(s, t.Team()), own: !u.FitsLimit(s, t.Team())}
	return c, c.guarantee || c.rank <= wire.PriorityHigh.Rank()
}

// mayStop says whether a task may be stopped for a claim. Production work stops whatever is less important. Anything
// else only stops what runs for long on borrowed capacity and is less important, or for a guarantee as important and
// saves its progress: work that is as important is not done twice for it, though the protocol would allow it.
func (p *preemption) mayStop(c claim, v *victim) bool {
	switch {
	case c.own && v.held.team != c.team:
		return false
	case c.rank == wire.PriorityProduction.Rank():
		return c.rank < v.rank
	case v.endsSoon || !p.borrowed(v.held):
		return false
	}
	return c.rank < v.rank || c.guarantee && c.rank == v.rank && v.saves && v.held.team != c.team
}

// borrowed says whether a task's team keeps its guarantee without it.
func (p *preemption) borrowed(h *grantedTask) bool {
	u := p.l.usage.Of(h.team).Minus(p.leaving.Of(h.team))
	return u.CPUs-h.cpus >= p.l.teams[h.team].CPUs-1e-9
}

// cheapest finds the machine on which room for one more task of the job costs least, and which of its
// victims have to leave.
func (p *preemption) cheapest(j *jobs.Job, zones zones, c claim) (best *space, leave []int) {
	s := &j.Spec
	least := 0.0
	for _, at := range p.spaces {
		m := at.machine
		if !m.allowed(p.now, j) || !zones.allow(m.option.Zone) || j.AvoidsMachine(p.now, m.name) ||
			m.state.GPUs+1e-9 < s.GPUs {
			continue
		}
		if who, cost, ok := p.makes(at, s, c); ok && (best == nil || cost < least) {
			best, leave, least = at, who, cost
		}
	}
	return best, leave
}

// makes says which victims must leave a machine for one more task to fit, and at what cost; of a team at its
// limit as much as the task takes.
func (p *preemption) makes(at *space, s *wire.Job, c claim) (who []int, cost float64, ok bool) {
	cpus, memory, given := at.cpus, at.memory, 0.0
	for i := 0; ; i++ {
		if cpus+1e-9 >= s.CPUs && memory+1e-9 >= s.MemoryGB && (!c.own || given+1e-9 >= s.CPUs) {
			return who, cost, true
		}
		if i == len(at.victims) {
			return nil, 0, false
		}
		v := &at.victims[i]
		if !p.mayStop(c, v) {
			continue
		}
		cpus += v.held.cpus
		memory += v.memory
		given += v.held.cpus
		cost += v.cost
		who = append(who, i)
	}
}

// stop has the holder end victims on a machine.
func (p *preemption) stop(at *space, leave []int) {
	for _, i := range slices.Backward(leave) {
		v := at.victims[i]
		at.victims = slices.Delete(at.victims, i, i+1)
		at.cpus += v.held.cpus
		at.memory += v.memory
		p.leaving.Charge(v.held.team, v.held.resources())
		v.held.stopped, v.held.stoppedAt = "evicted", p.now
		at.machine.shard.orders.Stop = append(at.machine.shard.orders.Stop, peer.StopTask{Task: v.task})
		p.stopped++
		p.l.outcomes.preempted++
	}
}
