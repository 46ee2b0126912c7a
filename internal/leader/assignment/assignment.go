// Package assignment decides which controller holds the lease of which shard. It owns what a leader knows of the
// shards' holders and of the controllers' fitness to hold any; the state of both and the time go in, and the shards
// whose holder has changed come out. It does no I/O, and it writes no keys and grants nothing: that is the leader's
// part.
package assignment

import (
	"maps"
	"slices"

	"swiftledge/internal/clock"
)

// MinConnectedTime is how long a controller must have been connected before shards move to it.
const MinConnectedTime = clock.Second

const (
	// storeRefusalTolerance is how long the store may refuse a controller before it gets no shards.
	storeRefusalTolerance = 3 * clock.Second
	// noAgentContactBackoff is how long a controller that heard no agent is left without shards.
	noAgentContactBackoff = 30 * clock.Second
)

// Phase is how far the lease of a shard has come.
type Phase int

// Phases of a shard's lease.
const (
	Unassigned Phase = iota // no controller holds it
	Moving                  // its key is being written, or its attempt records are being read
	Granted                 // it was granted to its holder
)

// Shard is a shard and its holder.
type Shard struct {
	ID              int
	Holder          string // the present one or the last; "": none
	UnassignedSince clock.Micros
	AttemptsRead    bool // what may run in it is known
	// Phase and HolderConnected are as of this round. The holder is connected if the link is up over which the shard
	// was granted.
	Phase           Phase
	HolderConnected bool
}

// Controller is a controller in touch, which may hold shards.
type Controller struct {
	Name              string
	ViaStore          bool // messages to it take seconds
	ConnectedAt       clock.Micros
	NoAgentContactAt  clock.Micros // when it last heard no agent; 0: never
	StoreRefusedSince clock.Micros // since when the store refuses it; 0: it does not
	trialAssignedAt   clock.Micros // when it was last given a shard after it had heard no agent
	takeoverUntil     clock.Micros // until when it is busy with the agents of the shard that it took over last
}

// unfit reports whether the controller should hold no shard: one that the store alone refuses cannot record starts,
// one that hears no agent cannot keep the leases of agents.
func (c *Controller) unfit(now clock.Micros) bool {
	refused := c.StoreRefusedSince > 0 && now-c.StoreRefusedSince > storeRefusalTolerance
	silent := c.NoAgentContactAt > 0 && now-c.NoAgentContactAt < noAgentContactBackoff
	return refused || silent
}

// Round is what one round of assignment goes by.
type Round struct {
	Now         clock.Micros
	Leader      string // the controller that leads
	Shards      []*Shard
	Controllers map[string]*Controller // those in touch, by name: at least one
	Capacity    Capacity
}

// Assign finds holders for shards that have none, and evens out. It returns the shards whose holder has changed, and
// those whose attempts have to be read though no controller can take them.
func Assign(r Round) []*Shard {
	a := &assigner{Round: r, eligible: eligible(r), shardCounts: map[string]int{}}
	a.distribute(a.returnToFormerHolders(a.unassigned()))
	if len(a.changed) == 0 {
		a.rebalance()
	}
	return a.changed
}

// eligible names the controllers that may hold shards. If none is able, all of them have to do.
func eligible(r Round) []string {
	names := slices.Sorted(maps.Keys(r.Controllers))
	able := slices.DeleteFunc(slices.Clone(names), func(name string) bool { return r.Controllers[name].unfit(r.Now) })
	if len(able) > 0 {
		return able
	}
	return names
}

// assigner is the state of a round under way.
type assigner struct {
	Round
	eligible    []string
	shardCounts map[string]int // shards by controller, with those that it gets in this round
	changed     []*Shard
}

// unassigned returns the shards that need a holder, and counts the others for theirs.
func (a *assigner) unassigned() []*Shard {
	var found []*Shard
	for _, s := range a.Shards {
		_, inTouch := a.Controllers[s.Holder]
		moving := s.Phase == Moving
		held := s.Phase == Granted && s.HolderConnected && slices.Contains(a.eligible, s.Holder)
		switch {
		case held || moving && inTouch:
			a.shardCounts[s.Holder]++
		case !moving:
			found = append(found, s)
		}
	}
	return found
}

// returnToFormerHolders gives shards back to their last holders, which still know the machines, and returns the
// shards that are left.
func (a *assigner) returnToFormerHolders(shards []*Shard) []*Shard {
	fair := (len(a.Shards) + len(a.eligible) - 1) / len(a.eligible)
	var left []*Shard
	for _, s := range shards {
		if s.UnassignedSince == 0 {
			s.UnassignedSince = a.Now
		}
		if slices.Contains(a.eligible, s.Holder) && a.shardCounts[s.Holder] < fair {
			a.assign(s, s.Holder)
		} else {
			left = append(left, s)
		}
	}
	return left
}

func (a *assigner) assign(s *Shard, holder string) {
	s.Holder = holder
	a.shardCounts[holder]++
	a.changed = append(a.changed, s)
}

// leastLoaded names the controller with the fewest shards. The leader gets fewer, as it has more to do.
func (a *assigner) leastLoaded() string {
	weight := func(name string) int {
		if name == a.Leader {
			return 2*a.shardCounts[name] + 1
		}
		return 2 * a.shardCounts[name]
	}
	return slices.MinFunc(a.eligible, func(x, y string) int { return weight(x) - weight(y) })
}

// distribute gives shards to the controllers with the fewest, as many as these can take over now.
func (a *assigner) distribute(shards []*Shard) {
	most := a.Capacity.MaxShards(len(a.Shards))
	for _, s := range shards {
		holder := a.leastLoaded()
		c := a.Controllers[holder]
		full := a.shardCounts[holder] >= most && a.Now-s.UnassignedSince < a.Capacity.reassignDelay()
		if a.Now >= c.takeoverUntil && !full {
			c.takeoverUntil = a.Now + a.Capacity.takeoverTime(len(a.Shards))
			a.assign(s, holder)
			continue
		}
		// Without a holder, all that is needed now is what may run there, as it counts against quotas.
		if !s.AttemptsRead {
			s.Holder = ""
			a.changed = append(a.changed, s)
		}
	}
}

// rebalance moves shards to the controller with the fewest, from those that have at least two more. They move
// together, as a controller that has many is often overloaded by them.
func (a *assigner) rebalance() {
	holder := a.leastLoaded()
	c := a.Controllers[holder]
	onTrial := c.NoAgentContactAt > 0
	if a.Now-c.ConnectedAt <= MinConnectedTime || onTrial && a.Now-c.trialAssignedAt < noAgentContactBackoff/2 {
		return
	}
	for _, s := range a.Shards {
		// Through the store a grant may take longer than the leases of its agents last.
		if c.ViaStore && a.shardCounts[s.Holder] <= a.Capacity.serviceableShards(len(a.Shards)) {
			continue
		}
		if s.Phase != Granted || a.shardCounts[s.Holder] < a.shardCounts[holder]+2 {
			continue
		}
		a.shardCounts[s.Holder]--
		a.assign(s, holder)
		c.trialAssignedAt = a.Now
		// One that heard no agent for a while is tried with a single shard first.
		if onTrial || c.ViaStore {
			return
		}
	}
}
