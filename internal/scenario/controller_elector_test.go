package scenario

import (
	"swiftledge/internal/api"
	"swiftledge/internal/cluster"
	"swiftledge/internal/election"
	"swiftledge/internal/leader"
	"swiftledge/internal/store"
	"swiftledge/wire"
)

func (c *simController) electorStep(msg election.Message) {
	for _, effect := range c.elector.Step(c.world.now, msg) {
		c.electorEffect(effect)
	}
}

// electorEffect executes an effect of the elector.
func (c *simController) electorEffect(effect election.Effect) {
	switch x := effect.(type) {
	case election.RequestLease:
		c.requestLease(x)
	case election.Campaign:
		txn, err := x.Txn()
		must(err)
		c.tryTxn(txn, func(result store.TxnResult, err error) {
			c.electorStep(election.CampaignResult{Lease: x.Lease, Result: result, Err: err})
		})
	case election.RenewLease:
		c.renewLease(x)
	case election.RevokeLease:
		c.recordLeaseRevocation(x.Lease)
		c.callStore(func() { c.world.store.RevokeLease(x.Lease) }, func(error) {})
	case election.ReadLeaderKey:
		c.readLeaderKey(func(observed election.LeaderKeyObserved, err error) {
			c.electorStep(election.LeaderKeyRead{Observed: observed, Err: err})
		})
	case election.AcquireLeadership:
		c.world.replayHeartbeats()
		c.leaderStep(leader.LeadershipAcquired{Term: x.Term, Incarnation: cluster.Incarnation(c.incarnation)})
		c.leaderStep(leader.LeadershipExtended{Until: x.ExpiresAt})
	case election.ExtendLeadership:
		c.leaderStep(leader.LeadershipExtended{Until: x.ExpiresAt})
	case election.LoseLeadership:
		c.loadedTerm = 0
		c.leaderStep(leader.LeadershipLost{})
	case election.FollowLeader:
		c.jobCache.Post(api.LeaderChanged{Term: x.Term, Controller: x.Controller})
		c.term = x.Term
		if x.Term > 0 {
			c.connectToLeader(x.Term, x.Controller)
		}
	}
}

func (c *simController) requestLease(request election.RequestLease) {
	sent := c.world.now
	var id uint64
	c.recordLeaseGrant(request.TTL)
	c.callStore(func() { id = c.world.store.GrantLease(c.world.now, request.TTL) }, func(err error) {
		c.electorStep(election.LeaseGranted{Lease: id, SentAt: sent, Err: err})
	})
}

func (c *simController) renewLease(request election.RenewLease) {
	sent := c.world.now
	found := false
	c.recordLeaseRenewal(request.Lease)
	c.callStore(func() { found = c.world.store.RenewLease(c.world.now, request.Lease) }, func(err error) {
		if err == nil && !found {
			err = store.ErrNotFound
		}
		c.electorStep(election.LeaseRenewed{Lease: request.Lease, SentAt: sent, Err: err})
	})
}

// observeLeaderKey begins to watch the leader's key. It retries the first read until there is a response, as the
// program's watch does.
func (c *simController) observeLeaderKey() {
	c.readLeaderKey(func(observed election.LeaderKeyObserved, err error) {
		if err != nil {
			c.world.after(leaderKeyRetryDelay, c.ifSameProcess(c.observeLeaderKey))
			return
		}
		c.watchesLeaderKey, c.leaderKeyRevision = true, observed.Revision
		c.electorStep(observed)
	})
}

// readLeaderKey reads the leader's key once and passes the outcome on, also that of a failed read.
func (c *simController) readLeaderKey(onResult func(election.LeaderKeyObserved, error)) {
	var item wire.Item
	var revision uint64
	c.recordRead(leader.Key)
	c.callStore(func() {
		item, _ = c.world.store.Get(leader.Key)
		_, revision = c.world.store.List("none")
	}, func(err error) {
		if err != nil {
			onResult(election.LeaderKeyObserved{}, err)
			return
		}
		observed, err := election.DecodeKey(item, revision)
		must(err)
		onResult(observed, nil)
	})
}
