package leader

import (
	"swiftledge/internal/clock"
	"swiftledge/internal/cluster"
	"swiftledge/internal/leader/assignment"
	"swiftledge/internal/leader/fairshare"
	"swiftledge/internal/peer"
	"swiftledge/wire"
)

// shardTable owns the leases of the shards, the fencing tokens of the term, and the controllers in touch that may
// hold shards.
type shardTable struct {
	all          []*shardLease          // by number
	controllers  map[string]*controller // in touch, by name
	tokensIssued uint64                 // how many this term has given
}

// controller is a controller in touch.
type controller struct {
	assignment.Controller
	incarnation   cluster.Incarnation
	link          Link
	lastHeartbeat clock.Micros
}

// heartbeat takes in how a controller is.
func (c *controller) heartbeat(now clock.Micros, message *peer.ToLeader) {
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

// leaseOf returns the lease that an update is about, or nil if the lease is not that of the update's fencing token
// any more, or was granted over another link.
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

// hasOrders reports whether there is anything to tell the holder.
func (lease *shardLease) hasOrders() bool {
	o := &lease.orders
	tasks := len(o.Offers) + len(o.Stop) + len(o.Persisted)
	machines := len(o.Added) + len(o.Drain) + len(o.Terminated) + len(o.Exclude) + len(o.Include)
	return tasks+machines > 0
}

// takeOrders returns the orders that have gathered, and begins anew.
func (lease *shardLease) takeOrders() peer.ShardOrders {
	orders := lease.orders
	orders.Shard, orders.FencingToken = lease.ID, lease.token
	lease.orders = peer.ShardOrders{}
	return orders
}

// phase is how far the lease has come, as the assignment of holders sees it.
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

// assign finds holders for shards and returns the leases whose keys are to be written.
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

// disconnect forgets a controller whose link has ended, unless it is connected anew already.
func (s *shardTable) disconnect(m PeerDisconnected) {
	if c := s.controllers[m.Controller]; c != nil && c.link == m.Link {
		delete(s.controllers, m.Controller)
	}
}

// leaseState is how far the lease of a shard has come.
type leaseState int

const (
	unassigned leaseState = iota // no holder under this term
	writing                      // its key is being written
	reading                      // its attempt records are being read
	granted
)

// grantedTask is a task that is in a shard's grant: it counts in full.
type grantedTask struct {
	team             string
	cpus, gpus       float64
	zone             string
	running          bool
	otherAttemptLeft bool         // one of several attempts has ended, and another may run yet
	inherited        bool         // from the attempt records of an earlier grant
	runningSince     clock.Micros // when it was first seen to run
	machine          string
	assignedAt       clock.Micros // to its machine; 0: not known
	imageCached      bool         // its image was known to be there then
	stopReason       string       // why it was told to stop, if it was
	stoppedAt        clock.Micros
}

// resources returns what the task takes.
func (t *grantedTask) resources() fairshare.ResourceUsage {
	return fairshare.ResourceUsage{CPUs: t.cpus, GPUs: t.gpus}
}

// shardLease is the lease of one shard.
type shardLease struct {
	assignment.Shard
	state        leaseState
	token        wire.FencingToken
	keyVersion   uint64
	link         Link
	tasks        map[peer.Task]*grantedTask
	offerSeq     uint64
	offerPending bool // an offer is not settled yet
	orders       peer.ShardOrders
	unpersisted  []peer.Task // told done, not stored yet
}
