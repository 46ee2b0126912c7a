package controller

import (
	"context"
	"time"

	"swiftledge/internal/api"
	"swiftledge/internal/election"
	"swiftledge/internal/leader"
	"swiftledge/internal/store"
)

// electionTimeout bounds a request of the elector to the store. A longer wait is useless, because the elector retries a
// failed request.
const electionTimeout = 2 * time.Second

// performElectorEffect performs one effect of the elector and sends the result to the elector as a message.
func (c *Controller) performElectorEffect(ctx context.Context, effect election.Effect) {
	switch e := effect.(type) {
	case election.RequestLease:
		c.background.Go(func() { c.requestLease(ctx, e) })
	case election.Campaign:
		c.background.Go(func() { c.campaign(ctx, e) })
	case election.RenewLease:
		c.background.Go(func() { c.renewLease(ctx, e) })
	case election.RevokeLease:
		c.background.Go(func() { c.revokeLease(ctx, e) })
	case election.ReadLeaderKey:
		c.background.Go(func() { c.readLeaderKeyForElector(ctx) })
	case election.AcquireLeadership:
		c.store.SetBudget(c.storeBudget(true))
		c.leader.send(leader.LeadershipAcquired{Term: e.Term, Incarnation: c.incarnation})
		c.leader.send(leader.LeadershipExtended{Until: e.ExpiresAt})
	case election.ExtendLeadership:
		c.leader.send(leader.LeadershipExtended{Until: e.ExpiresAt})
	case election.LoseLeadership:
		c.log.Info("no longer leading", "term", e.Term)
		c.store.SetBudget(c.storeBudget(false))
		c.leader.send(leader.LeadershipLost{})
	case election.FollowLeader:
		c.log.Info("following", "leader", e.Controller, "term", e.Term)
		c.jobCache.Post(api.LeaderChanged{Term: e.Term, Controller: e.Controller})
		if e.Term > 0 {
			c.background.Go(func() { c.follower.follow(ctx, e.Term, e.Controller) })
		}
	}
}

func (c *Controller) requestLease(ctx context.Context, request election.RequestLease) {
	ctx, cancel := context.WithTimeout(ctx, electionTimeout)
	defer cancel()
	sent := c.clock.Now()
	lease, err := c.store.GrantLease(ctx, request.TTL)
	c.elector.send(electionStep{election.LeaseGranted{Lease: lease, SentAt: sent, Err: err}})
}

func (c *Controller) campaign(ctx context.Context, request election.Campaign) {
	ctx, cancel := context.WithTimeout(ctx, electionTimeout)
	defer cancel()
	var result store.TxnResult
	txn, err := request.Txn()
	if err == nil {
		result, err = c.store.TryCommit(ctx, store.PriorityUrgent, txn)
	}
	if err != nil {
		c.log.Debug("campaign failed", "error", err)
	}
	c.elector.send(electionStep{election.CampaignResult{Lease: request.Lease, Result: result, Err: err}})
}

// readLeaderKeyForElector reads the leader key once. The elector decides whether to retry a failed read.
func (c *Controller) readLeaderKeyForElector(ctx context.Context) {
	observed, err := c.readLeaderKey(ctx)
	if err != nil {
		c.log.Debug("cannot read the leader key", "error", err)
	}
	c.elector.send(electionStep{election.LeaderKeyRead{Observed: observed, Err: err}})
}

func (c *Controller) renewLease(ctx context.Context, request election.RenewLease) {
	ctx, cancel := context.WithTimeout(ctx, electionTimeout)
	defer cancel()
	sent := c.clock.Now()
	err := c.store.RenewLease(ctx, request.Lease)
	c.elector.send(electionStep{election.LeaseRenewed{Lease: request.Lease, SentAt: sent, Err: err}})
}

func (c *Controller) revokeLease(ctx context.Context, request election.RevokeLease) {
	ctx, cancel := context.WithTimeout(ctx, electionTimeout)
	defer cancel()
	c.store.RevokeLease(ctx, request.Lease)
}
