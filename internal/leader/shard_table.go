package leader

import (
	"swiftledge/internal/clock"
	"swiftledge/internal/cluster"
	"swiftledge/internal/leader/assignment"
	"swiftledge/internal/leader/jobs"
	"swiftledge/internal/peer"
	"swiftledge/wire"
)

// shardTable owns the shard leases, the fencing tokens of the term, and the connected controllers, which may hold
// shards.
type shardTable struct {
	all          []*shardLease          // by shard ID
	controllers  map[string]*controller // connected controllers, by name
	tokensIssued uint64                 // number of fencing tokens issued in this term
}

// controller is a connected controller.
type controller struct {
	assignment.Controller
	incarnation   cluster.Incarnation
	link          Link
	lastHeartbeat clock.Micros
	missedCounts  []string // jobs whose task counts the controller may have missed before it connected
}

// Limits of the missed task counts in one report. A message through the store takes many frames, and grants wait for
// it.
const (
	maxMissedCounts         = 2000
	maxMissedCountsViaStore = 50
)

// takeMissedCounts returns as many of the counts that the controller may have missed as fit into one report.
func (c *controller) takeMissedCounts(table *jobs.Table) (counts []peer.TaskCount) {
	limit := maxMissedCounts
	if c.ViaStore {
		limit = maxMissedCountsViaStore
	}
	limit = min(limit, len(c.missedCounts))
	counts = table.ReportedCounts(c.missedCounts[:limit])
	c.missedCounts = c.missedCounts[limit:]
	return counts
}

// recordHeartbeat records the health that a controller reports: whether agents contact the controller, and whether the
// controller reaches the store.
func (c *controller) recordHeartbeat(now clock.Micros, message *peer.ToLeader) {
	c.lastHeartbeat = now
	if message.NoAgentContact {
		c.NoAgentContactAt = now
	}
	if message.StoreOK {
		c.StoreRefusedSince = 0
	} else if c.StoreRefusedSince == 0 {
		c.StoreRefusedSince = now
	}
}

// leaseOf returns the lease that an update refers to. It returns nil if the lease no longer has the update's fencing
// token or was granted over another link.
func (s *shardTable) leaseOf(update peer.ShardUpdate, link Link) *shardLease {
	if update.Shard < 0 || update.Shard >= len(s.all) {
		return nil
	}
	lease := s.all[update.Shard]
	if lease.state != granted || lease.token != update.FencingToken || lease.link != link {
		return nil
	}
	return lease
}

// hasOrders reports whether orders for the holder are pending.
func (lease *shardLease) hasOrders() bool {
	orders := &lease.orders
	tasks := len(orders.Offers) + len(orders.Stop) + len(orders.Persisted)
	machines := len(orders.Added) + len(orders.Drain) + len(orders.Terminated) + len(orders.Exclude) + len(orders.Include)
	return tasks+machines > 0
}

// takeOrders returns the pending orders and clears them.
func (lease *shardLease) takeOrders() peer.ShardOrders {
	orders := lease.orders
	orders.Shard, orders.FencingToken = lease.ID, lease.token
	lease.orders = peer.ShardOrders{}
	return orders
}

// phase returns the state of the lease in the terms of the holder assignment.
func (lease *shardLease) phase() assignment.Phase {
	switch lease.state {
	case writing, reading:
		return assignment.Moving
	case granted:
		return assignment.Granted
	case unassigned:
	}
	return assignment.Unassigned
}

// assign assigns holders to shards and returns the leases whose keys must be written.
func (s *shardTable) assign(round assignment.Round) []*shardLease {
	for _, lease := range s.all {
		c := s.controllers[lease.Holder]
		lease.Phase, lease.HolderConnected = lease.phase(), c != nil && c.link == lease.link
		round.Shards = append(round.Shards, &lease.Shard)
	}
	round.Controllers = map[string]*assignment.Controller{}
	for name, c := range s.controllers {
		round.Controllers[name] = &c.Controller
	}
	var changed []*shardLease
	for _, moved := range assignment.Assign(round) {
		changed = append(changed, s.all[moved.ID])
	}
	return changed
}

// disconnect removes a controller whose link has ended, unless it has connected again over another link.
func (s *shardTable) disconnect(m PeerDisconnected) {
	if c := s.controllers[m.Controller]; c != nil && c.link == m.Link {
		delete(s.controllers, m.Controller)
	}
}

// leaseState is the state of a shard lease.
type leaseState int

const (
	unassigned leaseState = iota // the shard has no holder in this term, or its holder needs a new grant
	writing                      // the shard's key is being written
	reading                      // the shard's attempt records are being read
	granted                      // the shard is granted to its holder
)

// shardLease is the lease of one shard.
type shardLease struct {
	assignment.Shard
	state      leaseState
	token      wire.FencingToken
	keyVersion uint64
	link       Link
	tasks      map[peer.Task]*grantedTask
	offerSeq   uint64
	// offerPending is set while the latest offers are not settled: offers are settled once the holder has reported that
	// it no longer writes attempt records for them. Until then the leader does not know which machines their tasks use.
	offerPending bool
	orders       peer.ShardOrders
	unpersisted  []peer.Task // completed tasks whose completion is not stored yet
}
