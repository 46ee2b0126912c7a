package leader

import (
	"slices"

	"swiftledge/internal/clock"
	"swiftledge/internal/leader/fairshare"
	"swiftledge/internal/leader/jobs"
	"swiftledge/internal/peer"
	"swiftledge/internal/shard"
	"swiftledge/wire"
)

// batchDelay is how long capacity that comes free is collected before it is offered, so
// that one attempt record serves several tasks. New jobs do not wait for it.
const batchDelay = 120 * clock.Millisecond

// tasksPerTurn is how many tasks of a job go at once before another's turn is looked at.
const tasksPerTurn = 8

type offerKey struct {
	block int
	job   string
	zone  string
}

// schedule hands waiting tasks to shards with free capacity: teams in turn by their
// shares, guarantees first.
func (l *Leader) schedule(now clock.Micros) {
	if !l.scheduling.requested || !l.scheduling.urgent && now-l.scheduling.ranAt < batchDelay || !l.viewIsFresh(now) {
		return
	}
	// Until every shard's attempt records are read, a task that waits here may run
	// in one of them, and the teams' use is not known.
	if slices.ContainsFunc(l.shards.all, func(b *shardLease) bool { return !b.AttemptsRead }) {
		return
	}
	l.scheduling.requested, l.scheduling.urgent = false, false
	l.scheduling.ranAt = now
	queues := l.queues(now)
	if len(queues) == 0 {
		return
	}
	if capacity := l.freeCapacity(now); len(capacity.machines) > 0 {
		l.offerInTurns(now, queues, capacity)
	}
	l.preempt(now, queues)
}

// offering is the part of a scheduling pass that hands tasks out.
type offering struct {
	*Leader
	now      clock.Micros
	capacity *freeCapacity
	index    map[offerKey]int // where the offers of a kind stand among those to their shard
}

// offerInTurns hands out tasks until nobody who is served next finds free capacity.
func (l *Leader) offerInTurns(now clock.Micros, queues []*fairshare.TeamQueue, capacity *freeCapacity) {
	o := &offering{Leader: l, now: now, capacity: capacity, index: map[offerKey]int{}}
	for {
		turn, ok := fairshare.Next(queues)
		if !ok {
			break
		}
		turn.Done(o.serve(turn))
	}
	for _, b := range l.shards.all {
		if len(b.orders.Offers) > 0 {
			capacity.bound.annotate(b.orders.Offers)
			b.offerSeq++
			b.orders.OfferSeq = b.offerSeq
			b.offerPending = true
		}
	}
}

// serve offers tasks of the job whose turn it is for one machine, and returns how many.
func (o *offering) serve(turn fairshare.Turn) (offered int) {
	j := turn.Job
	s := &j.Spec
	m, zone := o.migrationTarget(j, o.capacity), ""
	isMigration := m != nil
	if !isMigration {
		if m, zone = o.machineFor(j, o.capacity); m == nil {
			return 0
		}
	}
	limit := tasksPerTurn
	if isMigration || turn.OneTaskOnly || o.isPlacedOneByOne(j) {
		limit = 1
	}
	if s.IsService() {
		o.capacity.avoidedMachines(o.Leader, j)[m.name] = replicaThere
	}
	if j.Failures.Suspect() {
		j.Failures.ProbeStarted(o.capacity.now)
	}
	if !j.WasDispatched() {
		o.traceQueued(o.now, j)
	}
	m.include()
	for offered < limit && m.fits(s) && turn.Queue.Fits(s) && (offered == 0 || o.mayTakeMore(m, s)) {
		task := j.DispatchFirst()
		if task < 0 {
			break
		}
		o.offer(j, task, m, zone)
		offered++
	}
	return offered
}

// include has the holder offer the machine to tasks again, if it was told to leave it out.
func (m *machine) include() {
	if m.excluded {
		m.deprioritized, m.excluded = false, false
		m.shard.orders.Include = append(m.shard.orders.Include, m.name)
	}
}

// isPlacedOneByOne reports whether each task of the job changes where the next may be, or is a probe.
func (o *offering) isPlacedOneByOne(j *jobs.Job) bool {
	return j.Spec.OneZone || j.Spec.Spread || j.Spec.IsService() || j.Failures.Suspect()
}

// mayTakeMore reports whether a machine may take more than the first task of a turn.
func (o *offering) mayTakeMore(m *machine, s *wire.Job) bool {
	return m.reserveRank() > 0 || o.capacity.bound.allows(m, s)
}

// offer offers a task to a machine's shard, bound to a zone if one is given.
func (o *offering) offer(j *jobs.Job, task int, m *machine, zone string) {
	s, b := &j.Spec, m.shard
	o.capacity.bound.take(m, s)
	h := &grantedTask{team: s.Team, cpus: s.CPUs, gpus: s.GPUs, zone: zone}
	b.tasks[peer.Task{Job: s.Ref, Index: task}] = h
	o.usage.Charge(h.team, h.resources())
	key := offerKey{b.ID, s.Ref, zone}
	at, ok := o.index[key]
	if !ok {
		at = len(b.orders.Offers)
		o.index[key] = at
		b.orders.Offers = append(b.orders.Offers, peer.TaskOffer{Job: *s, Zone: zone})
	}
	b.orders.Offers[at].TaskIndexes = append(b.orders.Offers[at].TaskIndexes, task)
	j.SetUnservedSince(o.now)
}

// queues returns the teams' waiting jobs in the order of their turns.
func (l *Leader) queues(now clock.Micros) []*fairshare.TeamQueue {
	policy := fairshare.Policy{Teams: l.teams, CompletionSLO: l.completionSLO,
		StartWithinS: l.cfg.Tuning.Queues.StartTargetS, LeastShare: l.cfg.Tuning.Queues.MinShare}
	return policy.Queues(fairshare.PassTime{Now: now, TimeOfDay: now + l.wallOffset}, l.jobs, l.usage)
}

func (l *Leader) shardOfMachine(machine string) *shardLease {
	return l.shards.all[shard.ForMachine(machine, len(l.shards.all))]
}
