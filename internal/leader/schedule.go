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

// batchDelay is how long freed capacity is collected before it is offered, so that one attempt record covers several
// tasks. New jobs bypass the delay.
const batchDelay = 120 * clock.Millisecond

// tasksPerTurn is the maximum number of tasks of one job that are offered before the next turn is chosen.
const tasksPerTurn = 8

// offerKey identifies a task offer within a scheduling pass: the tasks of one job for one shard and zone.
type offerKey struct {
	shard int
	job   string
	zone  string
}

// schedule runs a scheduling pass if one is due. It offers waiting tasks to shards with free capacity, guarantees
// first and then by fair share, and preempts tasks for work that still finds no capacity.
func (l *Leader) schedule(now clock.Micros) {
	if !l.scheduling.requested || !l.scheduling.urgent && now-l.scheduling.ranAt < batchDelay || !l.viewIsFresh(now) {
		return
	}
	// Until the attempt records of every shard are read, an unread record may name a running attempt of a task that
	// counts as waiting, and the teams' usage is unknown.
	if slices.ContainsFunc(l.shards.all, func(lease *shardLease) bool { return !lease.AttemptsRead }) {
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

// offerRound is the part of a scheduling pass that offers tasks to shards. An offer is a set of tasks of one job that a
// shard's holder is to place on the shard's machines.
type offerRound struct {
	*Leader
	now       clock.Micros
	capacity  *freeCapacity
	positions map[offerKey]int // position of each offer among the offers to its shard
}

// offerInTurns offers tasks, one turn after the other, until no team has a waiting job whose tasks find free capacity.
func (l *Leader) offerInTurns(now clock.Micros, queues []*fairshare.TeamQueue, capacity *freeCapacity) {
	round := &offerRound{Leader: l, now: now, capacity: capacity, positions: map[offerKey]int{}}
	for {
		turn, ok := fairshare.Next(queues)
		if !ok {
			break
		}
		turn.Done(round.offerTurn(turn))
	}
	for _, lease := range l.shards.all {
		if len(lease.orders.Offers) > 0 {
			capacity.bound.annotate(lease.orders.Offers)
			lease.offerSeq++
			lease.orders.OfferSeq = lease.offerSeq
			lease.offerPending = true
		}
	}
}

// offerTurn offers tasks of the job whose turn it is on one machine and returns how many it offered.
func (o *offerRound) offerTurn(turn fairshare.Turn) (offered int) {
	job := turn.Job
	spec := &job.Spec
	target, zone := o.migrationTarget(job, o.capacity), ""
	isMigration := target != nil
	if !isMigration {
		if target, zone = o.machineFor(job, o.capacity); target == nil {
			return 0
		}
	}
	limit := tasksPerTurn
	if isMigration || turn.OneTaskOnly || o.isPlacedOneByOne(job) {
		limit = 1
	}
	if spec.IsService() {
		o.capacity.avoidedMachines(o.Leader, job)[target.name] = avoidReplica
	}
	if job.Failures.Suspect() {
		job.Failures.ProbeStarted(o.capacity.now)
	}
	if !job.WasDispatched() {
		o.traceQueued(o.now, job)
	}
	target.includeInScheduling()
	for offered < limit && target.fits(spec) && turn.Queue.Fits(spec) && (offered == 0 || o.mayOfferMore(target, spec)) {
		task := job.DispatchFirst()
		if task < 0 {
			break
		}
		o.offer(job, task, target, zone)
		offered++
	}
	return offered
}

// includeInScheduling orders the shard holder to include the machine in its auctions again if it is excluded from them.
func (m *machine) includeInScheduling() {
	if m.excluded {
		m.deprioritized, m.excluded = false, false
		m.shard.orders.Include = append(m.shard.orders.Include, m.name)
	}
}

// isPlacedOneByOne reports whether a turn offers only one task of the job, because each of the job's tasks changes
// where the next task may run, or because the job is suspect and the task is a probe.
func (o *offerRound) isPlacedOneByOne(job *jobs.Job) bool {
	return job.Spec.OneZone || job.Spec.Spread || job.Spec.IsService() || job.Failures.Suspect()
}

// mayOfferMore reports whether another task may be offered on a machine after the first task of a turn.
func (o *offerRound) mayOfferMore(m *machine, spec *wire.Job) bool {
	return m.placementRank() > 0 || o.capacity.bound.allows(m, spec)
}

// offer adds a task to the offers to the shard of a machine. Unless zone is "", the task is bound to that zone.
func (o *offerRound) offer(job *jobs.Job, index int, m *machine, zone string) {
	spec, lease := &job.Spec, m.shard
	o.capacity.bound.reserve(m, spec)
	task := &grantedTask{job: job, team: spec.Team, cpus: spec.CPUs, gpus: spec.GPUs, zone: zone}
	o.grantTask(lease, peer.Task{Job: spec.Ref, Index: index}, task)
	key := offerKey{lease.ID, spec.Ref, zone}
	position, ok := o.positions[key]
	if !ok {
		position = len(lease.orders.Offers)
		o.positions[key] = position
		offered := peer.TaskOffer{Job: *spec, Zone: zone}
		offered.Job.KeyVersion = job.KeyVersion
		lease.orders.Offers = append(lease.orders.Offers, offered)
	}
	lease.orders.Offers[position].TaskIndexes = append(lease.orders.Offers[position].TaskIndexes, index)
	job.SetUnservedSince(o.now)
}

// queues returns the teams' waiting jobs in the order of their turns.
func (l *Leader) queues(now clock.Micros) []*fairshare.TeamQueue {
	policy := fairshare.Policy{Teams: l.teams, CompletionSLO: l.completionSLO,
		StartWithinS: l.cfg.Tuning.Queues.StartTargetS, MinShare: l.cfg.Tuning.Queues.MinShare}
	return policy.Queues(fairshare.PassTime{Now: now, TimeOfDay: now + l.wallOffset}, l.jobs, l.usage)
}

// shardOfMachine returns the lease of the shard that a machine belongs to.
func (l *Leader) shardOfMachine(machine string) *shardLease {
	return l.shards.all[shard.ForMachine(machine, len(l.shards.all))]
}
