package leader

import (
	"swiftledge/internal/clock"
	"swiftledge/internal/cluster"
	"swiftledge/internal/leader/assignment"
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

// phase is how far the lease has come, as the assignment of holders sees it.
func (b *shardLease) phase() assignment.Phase {
	switch b.state {
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
	for _, b := range s.all {
		c := s.controllers[b.Holder]
		b.Phase, b.HolderConnected = b.phase(), c != nil && c.link == b.link
		round.Shards = append(round.Shards, &b.Shard)
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
	team       string
	cpus, gpus float64
	zone       string
	running    bool
	remains    bool         // one of several attempts has ended, and another may run yet
	inherited  bool         // from the attempt records of an earlier grant
	since      clock.Micros // when it was first seen to run
	machine    string
	givenAt    clock.Micros // to its machine; 0: not known
	cached     bool         // its image was known to be there then
	stopped    string       // why it was told to stop, if it was
	stoppedAt  clock.Micros
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
