package leader

import (
	"maps"
	"slices"

	"swiftledge/internal/clock"
)

const (
	// quietTime is how long a controller may say nothing before it counts as gone, and
	// quietTimeSlow the same for one that is linked through the state service.
	quietTime     = 4 * clock.Second
	quietTimeSlow = 12 * clock.Second
	// linkTime is how long a new leader waits for the other controllers, so that blocks stay
	// where they are.
	linkTime = 1200 * clock.Millisecond
	// settleTime is how long a controller must have been linked before blocks move to it.
	settleTime = clock.Second
)

// assignment is one round of finding holders for blocks.
type assignment struct {
	l       *Leader
	now     clock.Micros
	names   []string       // the controllers that may hold blocks
	count   map[string]int // how many blocks each has, with those it gets in this round
	changed []*shardLease  // blocks whose keys are to be written
}

// assign finds holders for blocks that have none, and evens out.
func (l *Leader) assign(now clock.Micros) {
	l.dropQuietNodes(now)
	if len(l.shards.controllers) == 0 || len(l.shards.controllers) < l.cfg.Facts.InitialSize && now-l.startedAt < linkTime {
		return
	}
	a := &assignment{l: l, now: now, names: l.ableNodes(now), count: map[string]int{}}
	homeless := a.giveBack(a.homeless())
	a.spread(homeless)
	if len(a.changed) == 0 {
		a.even()
	}
	for part := range slices.Chunk(a.changed, max(l.txnOps, 1)) {
		l.writeBlocks(part)
	}
}

// dropQuietNodes forgets controllers that have not been heard for too long.
func (l *Leader) dropQuietNodes(now clock.Micros) {
	for _, n := range l.shards.controllers {
		limit := quietTime
		if n.viaStore {
			limit = quietTimeSlow
		}
		if now-l.pauses.ExcludePause(n.lastHeartbeat) > limit {
			delete(l.shards.controllers, n.name)
		}
	}
}

// ableNodes names the controllers that may hold blocks. One that the state service alone refuses
// cannot record starts, one that hears no worker cannot keep their leases; if there are no others,
// these have to do.
func (l *Leader) ableNodes(now clock.Micros) []string {
	names := slices.Sorted(maps.Keys(l.shards.controllers))
	unable := func(n string) bool { return l.refusedByStore(n, now) || l.blind(n, now) }
	if able := slices.DeleteFunc(slices.Clone(names), unable); len(able) > 0 {
		return able
	}
	return names
}

// homeless gives the blocks without a holder that may have them, and counts the others.
func (a *assignment) homeless() []*shardLease {
	var homeless []*shardLease
	for _, b := range a.l.shards.all {
		n := a.l.shards.controllers[b.holder]
		moving := b.state == writing || b.state == reading
		held := b.state == granted && n != nil && n.link == b.link && slices.Contains(a.names, n.name)
		switch {
		case held || moving && n != nil:
			a.count[b.holder]++
		case !moving:
			homeless = append(homeless, b)
		}
	}
	return homeless
}

// giveBack returns blocks to their last holders, which still know the machines, and gives the
// blocks that are left.
func (a *assignment) giveBack(homeless []*shardLease) []*shardLease {
	fair := (len(a.l.shards.all) + len(a.names) - 1) / len(a.names)
	var left []*shardLease
	for _, b := range homeless {
		if b.unassignedSince == 0 {
			b.unassignedSince = a.now
		}
		if slices.Contains(a.names, b.holder) && a.count[b.holder] < fair {
			a.give(b, b.holder)
		} else {
			left = append(left, b)
		}
	}
	return left
}

func (a *assignment) give(b *shardLease, to string) {
	b.holder = to
	a.count[to]++
	a.changed = append(a.changed, b)
}

// least names the controller that has the fewest blocks.
func (a *assignment) least() string {
	return slices.MinFunc(a.names, func(x, y string) int {
		return 2*a.count[x] + a.l.bias(x) - 2*a.count[y] - a.l.bias(y)
	})
}

// spread gives blocks to the controllers that have the fewest, as many as these can take over now.
func (a *assignment) spread(blocks []*shardLease) {
	most := a.l.mostBlocks()
	for _, b := range blocks {
		to := a.least()
		n := a.l.shards.controllers[to]
		tooMany := a.count[to] >= most && a.now-b.unassignedSince < a.l.patience()
		if a.now >= n.busyUntil && !tooMany {
			n.busyUntil = a.now + a.l.takeoverTime()
			a.give(b, to)
			continue
		}
		// All that is needed now is what may run there, as it counts.
		if !b.attemptsRead {
			b.holder = ""
			a.changed = append(a.changed, b)
		}
	}
}

// even moves blocks to the controller that has the fewest, from those that have at least two
// more. They move together, as whoever has many is often overloaded by them.
func (a *assignment) even() {
	to := a.least()
	n := a.l.shards.controllers[to]
	careful := n.noAgentContactAt > 0
	if a.now-n.joinedAt <= settleTime || careful && a.now-n.triedAt < blindFor/2 {
		return
	}
	for _, b := range a.l.shards.all {
		// Through the state service a grant may take longer than its workers' leases last.
		if n.viaStore && a.count[b.holder] <= a.l.answerable() {
			continue
		}
		if b.state != granted || a.count[b.holder] < a.count[to]+2 {
			continue
		}
		a.count[b.holder]--
		a.give(b, to)
		n.triedAt = a.now
		// One that heard no worker for a while is tried with a single block first.
		if careful || n.viaStore {
			return
		}
	}
}
