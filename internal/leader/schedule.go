package leader

import (
	"slices"

	"swiftledge/internal/clock"
	"swiftledge/internal/leader/jobs"
	"swiftledge/internal/peer"
	"swiftledge/internal/shard"
)

// batchDelay is how long room that comes free is collected before it is offered, so
// that one start record serves several tasks. New jobs do not wait for it.
const batchDelay = 120 * clock.Millisecond

// batch is how many tasks of a job go at once before another's turn is looked at.
const batch = 8

type offerKey struct {
	block int
	job   string
	zone  string
}

// schedule hands waiting tasks to blocks with room: teams in turn by their
// shares, guarantees first.
func (l *Leader) schedule(now clock.Micros) {
	if !l.scheduling.requested || !l.scheduling.urgent && now-l.scheduling.ranAt < batchDelay || !l.current(now) {
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
	if room := l.freeRoom(now); len(room.ms) > 0 {
		l.offer(now, queues, room)
	}
	l.preempt(now, queues)
}

// offer hands out tasks until nobody who is served next finds room.
func (l *Leader) offer(now clock.Micros, queues []*teamQueue, room *freeRoom) {
	offers := map[offerKey]int{}
	floor := l.cfg.Tuning.Queues.MinShare
	for {
		var best *teamQueue
		for _, t := range queues {
			if t.settle(floor); t.pick != nil && (best == nil || t.order.compare(best.order) < 0) {
				best = t
			}
		}
		if best == nil {
			break
		}
		job, n := best.pick, batch
		if best.first {
			n = 1
		}
		best.known = false
		given := l.give(now, best, job.j, room, offers, n)
		if job.exhausted = given == 0 || job.j.Failures.Suspect(); given == 0 {
			continue
		}
		cpus := float64(given) * job.j.Spec.CPUs
		if job.j.Spec.IsService() {
			best.standing += cpus
		}
		best.use[job.j.Spec.Class] += cpus
		if job.waitedLong {
			best.use[longWaiting] += cpus
		}
	}
	for _, b := range l.shards.all {
		if len(b.orders.Offers) > 0 {
			room.even.tell(b.orders.Offers)
			b.offerSeq++
			b.orders.OfferSeq = b.offerSeq
			b.offerPending = true
		}
	}
}

// give hands up to n tasks of a job to one machine's block and says how many.
func (l *Leader) give(now clock.Micros, t *teamQueue, j *jobs.Job, room *freeRoom, offers map[offerKey]int, n int) int {
	s := &j.Spec
	m, zone := l.preferred(j, room), ""
	if m != nil {
		n = 1
	} else if m, zone = l.roomFor(j, room); m == nil {
		return 0
	}
	if s.IsService() {
		room.taken(l, j)[m.name] = sibling
	}
	if s.OneZone || s.Spread || s.IsService() {
		n = 1 // each task changes where the next may be
	}
	if j.Failures.Suspect() {
		n = 1
		j.Failures.Probed(room.now)
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
	for given < n && m.holds(s) && t.takes(s, l.cfg.Tuning.Queues.MinShare) && (given == 0 || m.reserve() > 0 || room.even.within(m, s)) {
		i := j.DispatchFirst()
		if i < 0 {
			break
		}
		room.even.take(m, s)
		h := &grantedTask{team: s.Team, cpus: s.CPUs, gpus: s.GPUs, zone: zone}
		b.tasks[peer.Task{Job: s.Ref, Index: i}] = h
		l.quota.charge(h, 1)
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

func (l *Leader) shardOfMachine(machine string) *shardLease {
	return l.shards.all[shard.ForMachine(machine, len(l.shards.all))]
}
