package leader

import (
	"slices"

	"swiftledge/internal/clock"
	"swiftledge/internal/leader/fairshare"
	"swiftledge/internal/peer"
	"swiftledge/internal/shard"
)

// batchDelay is how long room that comes free is collected before it is offered, so
// that one start record serves several tasks. New jobs do not wait for it.
const batchDelay = 120 * clock.Millisecond

// tasksPerTurn is how many tasks of a job go at once before another's turn is looked at.
const tasksPerTurn = 8

type offerKey struct {
	block int
	job   string
	zone  string
}

// schedule hands waiting tasks to blocks with room: teams in turn by their
// shares, guarantees first.
func (l *Leader) schedule(now clock.Micros) {
	if !l.scheduling.requested || !l.scheduling.urgent && now-l.scheduling.ranAt < batchDelay || !l.viewIsFresh(now) {
		return
	}
	// Until every block's start records are read, a task that waits here may run
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

// offerInTurns hands out tasks until nobody who is served next finds room.
func (l *Leader) offerInTurns(now clock.Micros, queues []*fairshare.TeamQueue, capacity *freeCapacity) {
	offers := map[offerKey]int{}
	for {
		turn, ok := fairshare.Next(queues)
		if !ok {
			break
		}
		n := tasksPerTurn
		if turn.Single {
			n = 1
		}
		turn.Done(l.offerTasks(now, turn, capacity, offers, n))
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

// offerTasks hands up to n tasks of a job to one machine's block and says how many.
func (l *Leader) offerTasks(now clock.Micros, turn fairshare.Turn, capacity *freeCapacity, offers map[offerKey]int, n int) int {
	j := turn.Job
	s := &j.Spec
	m, zone := l.preferred(j, capacity), ""
	if m != nil {
		n = 1
	} else if m, zone = l.machineFor(j, capacity); m == nil {
		return 0
	}
	if s.IsService() {
		capacity.avoidedMachines(l, j)[m.name] = replicaThere
	}
	if s.OneZone || s.Spread || s.IsService() {
		n = 1 // each task changes where the next may be
	}
	if j.Failures.Suspect() {
		n = 1
		j.Failures.Probed(capacity.now)
	}
	if !j.WasDispatched() {
		l.traceQueued(now, j)
	}
	b := m.shard
	if m.excluded {
		m.deprioritized, m.excluded = false, false
		b.orders.Include = append(b.orders.Include, m.name)
	}
	given := 0
	for given < n && m.fits(s) && turn.Queue.Fits(s) && (given == 0 || m.reserveRank() > 0 || capacity.bound.allows(m, s)) {
		i := j.DispatchFirst()
		if i < 0 {
			break
		}
		capacity.bound.take(m, s)
		h := &grantedTask{team: s.Team, cpus: s.CPUs, gpus: s.GPUs, zone: zone}
		b.tasks[peer.Task{Job: s.Ref, Index: i}] = h
		l.usage.Charge(h.team, h.resources())
		k := offerKey{b.ID, s.Ref, zone}
		at, ok := offers[k]
		if !ok {
			at = len(b.orders.Offers)
			offers[k] = at
			b.orders.Offers = append(b.orders.Offers, peer.TaskOffer{Job: *s, Zone: zone})
		}
		b.orders.Offers[at].TaskIndexes = append(b.orders.Offers[at].TaskIndexes, i)
		given++
		j.SetUnservedSince(now)
	}
	return given
}

// queues returns the teams' waiting jobs in the order of their turns.
func (l *Leader) queues(now clock.Micros) []*fairshare.TeamQueue {
	policy := fairshare.Policy{Teams: l.teams, CompletionSLO: l.completionSLO,
		StartWithinS: l.cfg.Tuning.Queues.StartTargetS, LeastShare: l.cfg.Tuning.Queues.MinShare}
	return policy.Queues(fairshare.Clock{Now: now, TimeOfDay: now + l.wallOffset}, l.jobs, l.usage)
}

func (l *Leader) shardOfMachine(machine string) *shardLease {
	return l.shards.all[shard.ForMachine(machine, len(l.shards.all))]
}
