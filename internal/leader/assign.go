package leader

import (
	"maps"
	"slices"

	"swiftledge/internal/clock"
)

const (
	// controllerTimeout is how long a controller may say nothing before it counts as gone, and
	// controllerTimeoutViaStore the same for one that is linked through the state service.
	controllerTimeout         = 4 * clock.Second
	controllerTimeoutViaStore = 12 * clock.Second
	// connectGrace is how long a new leader waits for the other controllers, so that blocks stay
	// where they are.
	connectGrace = 1200 * clock.Millisecond
	// minConnectedTime is how long a controller must have been linked before blocks move to it.
	minConnectedTime = clock.Second
)

// assignment is one round of finding holders for blocks.
type assignment struct {
	leader   *Leader
	now      clock.Micros
	eligible []string       // the controllers that may hold blocks
	owned    map[string]int // how many blocks each has, with those it gets in this round
	changed  []*shardLease  // blocks whose keys are to be written
}

// assignShards finds holders for blocks that have none, and evens out.
func (l *Leader) assignShards(now clock.Micros) {
	l.dropSilentControllers(now)
	if len(l.shards.controllers) == 0 || len(l.shards.controllers) < l.cfg.Facts.InitialSize && now-l.startedAt < connectGrace {
		return
	}
	a := &assignment{leader: l, now: now, eligible: l.eligibleControllers(now), owned: map[string]int{}}
	homeless := a.returnToFormerHolders(a.unassignedShards())
	a.distribute(homeless)
	if len(a.changed) == 0 {
		a.rebalance()
	}
	for part := range slices.Chunk(a.changed, max(l.txnOps, 1)) {
		l.writeShardKeys(part)
	}
}

// dropSilentControllers forgets controllers that have not been heard for too long.
func (l *Leader) dropSilentControllers(now clock.Micros) {
	for _, n := range l.shards.controllers {
		limit := controllerTimeout
		if n.viaStore {
			limit = controllerTimeoutViaStore
		}
		if now-l.pauses.ExcludePause(n.lastHeartbeat) > limit {
			delete(l.shards.controllers, n.name)
		}
	}
}

// eligibleControllers names the controllers that may hold blocks. One that the state service alone refuses
// cannot record starts, one that hears no worker cannot keep their leases; if there are no others,
// these have to do.
func (l *Leader) eligibleControllers(now clock.Micros) []string {
	names := slices.Sorted(maps.Keys(l.shards.controllers))
	unable := func(n string) bool { return l.refusedByStore(n, now) || l.hasNoAgentContact(n, now) }
	if able := slices.DeleteFunc(slices.Clone(names), unable); len(able) > 0 {
		return able
	}
	return names
}

// unassignedShards gives the blocks without a holder that may have them, and counts the others.
func (a *assignment) unassignedShards() []*shardLease {
	var homeless []*shardLease
	for _, b := range a.leader.shards.all {
		n := a.leader.shards.controllers[b.holder]
		moving := b.state == writing || b.state == reading
		held := b.state == granted && n != nil && n.link == b.link && slices.Contains(a.eligible, n.name)
		switch {
		case held || moving && n != nil:
			a.owned[b.holder]++
		case !moving:
			homeless = append(homeless, b)
		}
	}
	return homeless
}

// returnToFormerHolders returns blocks to their last holders, which still know the machines, and gives the
// blocks that are left.
func (a *assignment) returnToFormerHolders(homeless []*shardLease) []*shardLease {
	fair := (len(a.leader.shards.all) + len(a.eligible) - 1) / len(a.eligible)
	var left []*shardLease
	for _, b := range homeless {
		if b.unassignedSince == 0 {
			b.unassignedSince = a.now
		}
		if slices.Contains(a.eligible, b.holder) && a.owned[b.holder] < fair {
			a.assignTo(b, b.holder)
		} else {
			left = append(left, b)
		}
	}
	return left
}

func (a *assignment) assignTo(b *shardLease, to string) {
	b.holder = to
	a.owned[to]++
	a.changed = append(a.changed, b)
}

// leastLoaded names the controller that has the fewest blocks.
func (a *assignment) leastLoaded() string {
	return slices.MinFunc(a.eligible, func(x, y string) int {
		return 2*a.owned[x] + a.leader.ownShardPenalty(x) - 2*a.owned[y] - a.leader.ownShardPenalty(y)
	})
}

// distribute gives blocks to the controllers that have the fewest, as many as these can take over now.
func (a *assignment) distribute(blocks []*shardLease) {
	most := a.leader.maxShards()
	for _, b := range blocks {
		to := a.leastLoaded()
		n := a.leader.shards.controllers[to]
		tooMany := a.owned[to] >= most && a.now-b.unassignedSince < a.leader.reassignDelay()
		if a.now >= n.busyUntil && !tooMany {
			n.busyUntil = a.now + a.leader.takeoverTime()
			a.assignTo(b, to)
			continue
		}
		// All that is needed now is what may run there, as it counts.
		if !b.attemptsRead {
			b.holder = ""
			a.changed = append(a.changed, b)
		}
	}
}

// rebalance moves blocks to the controller that has the fewest, from those that have at least two
// more. They move together, as whoever has many is often overloaded by them.
func (a *assignment) rebalance() {
	to := a.leastLoaded()
	n := a.leader.shards.controllers[to]
	careful := n.noAgentContactAt > 0
	if a.now-n.joinedAt <= minConnectedTime || careful && a.now-n.triedAt < noAgentContactTime/2 {
		return
	}
	for _, b := range a.leader.shards.all {
		// Through the state service a grant may take longer than its workers' leases last.
		if n.viaStore && a.owned[b.holder] <= a.leader.answerableShards() {
			continue
		}
		if b.state != granted || a.owned[b.holder] < a.owned[to]+2 {
			continue
		}
		a.owned[b.holder]--
		a.assignTo(b, to)
		n.triedAt = a.now
		// One that heard no worker for a while is tried with a single block first.
		if careful || n.viaStore {
			return
		}
	}
}
