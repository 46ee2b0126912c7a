// Package assignment decides which controller holds the lease of which shard. It owns the leader's knowledge of the
// shard holders and of which controllers are fit to hold shards. Its input is the shards, the controllers and the time,
// its output the shards whose holder has changed. The package does no I/O, writes no keys and grants no shards: the
// leader does.
package assignment

import (
	"maps"
	"slices"

	"swiftledge/internal/clock"
)

// MinConnectedTime is how long a controller must be connected before rebalancing moves shards to it.
const MinConnectedTime = clock.Second

const (
	// storeRefusalTolerance is how long the store may refuse a controller before the controller loses its shards and
	// gets no others.
	storeRefusalTolerance = 3 * clock.Second
	// noAgentContactBackoff is how long a controller holds no shards after it reported that no agent contacted it.
	noAgentContactBackoff = 30 * clock.Second
)

// Phase is the state of a shard's lease.
type Phase int

// Phases of a shard's lease.
const (
	Unassigned Phase = iota // no controller holds the shard
	Moving                  // the shard's key is being written, or its attempt records are being read
	Granted                 // the shard is granted to its holder
)

// Shard is a shard and its holder.
type Shard struct {
	ID              int
	Holder          string // current or last holder; "" if none
	UnassignedSince clock.Micros
	AttemptsRead    bool // its attempt records are read: the tasks that may run in the shard are known
	// Phase and HolderConnected describe the current round. The holder counts as connected while the link over which
	// the shard was granted is up.
	Phase           Phase
	HolderConnected bool
}

// Controller is a connected controller, which may hold shards.
type Controller struct {
	Name string
	// ViaStore is set for a controller that the leader reaches only through the store: no direct connection can be
	// made, so messages are exchanged as frames in the store, which takes seconds.
	ViaStore          bool
	ConnectedAt       clock.Micros
	NoAgentContactAt  clock.Micros // last report that no agent contacts the controller; 0 if never
	StoreRefusedSince clock.Micros // since when the store has refused the controller; 0 if it does not
	lastShardMovedAt  clock.Micros // when rebalancing last moved a shard to the controller
	takeoverUntil     clock.Micros // when the controller's work for the last shard that it took over ends
}

// unfit reports whether the controller should hold no shards. A controller that is connected to the leader but
// refused by the store cannot record attempts. A controller without contact to any agent cannot renew the agents'
// leases.
func (c *Controller) unfit(now clock.Micros) bool {
	refused := c.StoreRefusedSince > 0 && now-c.StoreRefusedSince > storeRefusalTolerance
	noContact := c.NoAgentContactAt > 0 && now-c.NoAgentContactAt < noAgentContactBackoff
	return refused || noContact
}

// Round is the input of one round of assignment.
type Round struct {
	Now         clock.Micros
	Leader      string // name of the leading controller
	Shards      []*Shard
	Controllers map[string]*Controller // connected controllers by name, at least one
	Capacity    Capacity
}

// Assign finds holders for the shards without one. If no holder changes, it rebalances the shards. It returns the
// shards whose holder has changed, and the shards whose attempt records must be read although no controller can take
// the shards over now.
func Assign(r Round) []*Shard {
	a := &assigner{Round: r, eligible: eligible(r), shardCounts: map[string]int{}}
	a.distribute(a.returnToFormerHolders(a.unassigned()))
	if len(a.changed) == 0 {
		a.rebalance()
	}
	return a.changed
}

// eligible returns the names of the controllers that may hold shards: the fit ones or, if no controller is fit, all.
func eligible(r Round) []string {
	names := slices.Sorted(maps.Keys(r.Controllers))
	fit := slices.DeleteFunc(slices.Clone(names), func(name string) bool { return r.Controllers[name].unfit(r.Now) })
	if len(fit) > 0 {
		return fit
	}
	return names
}

// assigner is the state of a round in progress.
type assigner struct {
	Round
	eligible    []string
	shardCounts map[string]int // shards by controller, including those assigned in this round
	changed     []*Shard
}

// unassigned returns the shards that need a holder, and counts the other shards for their holders.
func (a *assigner) unassigned() []*Shard {
	var unassigned []*Shard
	for _, s := range a.Shards {
		_, connected := a.Controllers[s.Holder]
		moving := s.Phase == Moving
		keepsHolder := s.Phase == Granted && s.HolderConnected && slices.Contains(a.eligible, s.Holder)
		switch {
		case keepsHolder || moving && connected:
			a.shardCounts[s.Holder]++
		case !moving:
			unassigned = append(unassigned, s)
		}
	}
	return unassigned
}

// returnToFormerHolders assigns shards to their last holders, which still know the shards' machines, and returns the
// remaining shards.
func (a *assigner) returnToFormerHolders(shards []*Shard) []*Shard {
	evenShare := (len(a.Shards) + len(a.eligible) - 1) / len(a.eligible)
	var remaining []*Shard
	for _, s := range shards {
		if s.UnassignedSince == 0 {
			s.UnassignedSince = a.Now
		}
		if slices.Contains(a.eligible, s.Holder) && a.shardCounts[s.Holder] < evenShare {
			a.assign(s, s.Holder)
		} else {
			remaining = append(remaining, s)
		}
	}
	return remaining
}

func (a *assigner) assign(s *Shard, holder string) {
	s.Holder = holder
	a.shardCounts[holder]++
	a.changed = append(a.changed, s)
}

// leastLoaded returns the name of the controller with the fewest shards. Between equal controllers the leader comes
// last, because it has more other work.
func (a *assigner) leastLoaded() string {
	weight := func(name string) int {
		if name == a.Leader {
			return 2*a.shardCounts[name] + 1
		}
		return 2 * a.shardCounts[name]
	}
	return slices.MinFunc(a.eligible, func(x, y string) int { return weight(x) - weight(y) })
}

// distribute assigns shards to the controllers with the fewest shards, as many as these controllers can take over now.
func (a *assigner) distribute(shards []*Shard) {
	maxShards := a.Capacity.MaxShards(len(a.Shards))
	for _, s := range shards {
		holder := a.leastLoaded()
		c := a.Controllers[holder]
		full := a.shardCounts[holder] >= maxShards && a.Now-s.UnassignedSince < a.Capacity.reassignDelay()
		if a.Now >= c.takeoverUntil && !full {
			c.takeoverUntil = a.Now + a.Capacity.takeoverTime(len(a.Shards))
			a.assign(s, holder)
			continue
		}
		// The attempt records of a shard without a holder must be read, too: the tasks that they name may run, and
		// count against quotas.
		if !s.AttemptsRead {
			s.Holder = ""
			a.changed = append(a.changed, s)
		}
	}
}

// rebalance moves shards to the controller with the fewest shards, from controllers that hold at least two shards more.
// All these shards move in one round, because a controller with many shards is often overloaded by them.
//
// A controller that has reported no agent contact is on trial once it may hold shards again: it gets one shard at a
// time, to show whether agents contact it now.
func (a *assigner) rebalance() {
	holder := a.leastLoaded()
	c := a.Controllers[holder]
	onTrial := c.NoAgentContactAt > 0
	if a.Now-c.ConnectedAt <= MinConnectedTime || onTrial && a.Now-c.lastShardMovedAt < noAgentContactBackoff/2 {
		return
	}
	for _, s := range a.Shards {
		// A grant through the store may take longer than the leases of the shard's agents last. A holder therefore
		// hands shards over to a controller that is reached only through the store only while the holder has more
		// shards than it can serve.
		if c.ViaStore && a.shardCounts[s.Holder] <= a.Capacity.maxServableShards(len(a.Shards)) {
			continue
		}
		if s.Phase != Granted || a.shardCounts[s.Holder] < a.shardCounts[holder]+2 {
			continue
		}
		a.shardCounts[s.Holder]--
		a.assign(s, holder)
		c.lastShardMovedAt = a.Now
		// A controller that is on trial, or that is reached only through the store, gets a single shard at a time.
		if onTrial || c.ViaStore {
			return
		}
	}
}
