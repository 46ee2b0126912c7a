package leader

import (
	"swiftledge/internal/clock"
	"swiftledge/internal/cluster"
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
	name             string
	incarnation      cluster.Incarnation
	link             Link
	viaStore         bool // messages take seconds
	joinedAt         clock.Micros
	lastHeartbeat    clock.Micros
	noAgentContactAt clock.Micros // when it last heard none of its workers
	triedAt          clock.Micros // when it was last given a shard after that
	// until when it is busy with the workers of the shard that it took over last
	busyUntil    clock.Micros
	refusedSince clock.Micros // since when the store refuses it; 0: it does not
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
	unassigned leaseState = iota // no holder under this epoch
	writing                      // its key is being written
	reading                      // its start records are being read
	granted
)

// grantedTask is a task that is in a block's grant: it counts in full.
type grantedTask struct {
	team       string
	cpus, gpus float64
	zone       string
	running    bool
	remains    bool         // one of several attempts has ended, and another may run yet
	inherited  bool         // from the start records of an earlier grant
	since      clock.Micros // when it was first seen to run
	machine    string
	givenAt    clock.Micros // to its machine; 0: not known
	cached     bool         // its image was known to be there then
	stopped    string       // why it was told to stop, if it was
	stoppedAt  clock.Micros
}

// shardLease is the lease of one shard.
type shardLease struct {
	id              int
	state           leaseState
	token           wire.FencingToken
	keyVersion      uint64
	holder          string
	link            Link
	tasks           map[peer.Task]*grantedTask
	offerSeq        uint64
	offerPending    bool         // an offer is not settled yet
	attemptsRead    bool         // its start records were read in this epoch
	unassignedSince clock.Micros // since when it has no holder in touch; 0: it has
	orders          peer.ShardOrders
	unpersisted     []peer.Task // told done, not stored yet
}
