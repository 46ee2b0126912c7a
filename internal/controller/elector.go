package controller

import (
	"context"
	"math/rand/v2"
	"time"

	"swiftledge/internal/api"
	"swiftledge/internal/clock"
	"swiftledge/internal/cluster"
	"swiftledge/internal/election"
	"swiftledge/internal/leader"
	"swiftledge/internal/store"
	"swiftledge/wire"
)

// askEpoch asks the elector for the epoch that this node leads; 0: none.
type askEpoch struct{ answer chan cluster.Term }

func (n *Controller) runElector(ctx context.Context) {
	e := election.New(election.Record{Controller: n.cfg.Name, Incarnation: n.incarnation}, clock.FromSeconds(n.cfg.Tuning.Election.TTLS))
	for msg := range n.elector {
		if q, ok := msg.(askEpoch); ok {
			q.answer <- e.Term()
			continue
		}
		for _, fx := range e.Step(n.clock.Now(), msg.(election.Message)) {
			n.electorEffect(ctx, fx)
		}
	}
}

func (n *Controller) electorEffect(ctx context.Context, fx election.Effect) {
	switch x := fx.(type) {
	case election.RequestLease:
		go func() {
			sent := n.clock.Now()
			id, err := n.store.GrantLease(short(ctx), x.TTL)
			n.elector <- election.LeaseGranted{Lease: id, Sent: sent, Err: err}
		}()
	case election.Campaign:
		go func() {
			t, err := x.Txn()
			if err != nil {
				n.log.Error("claim", "error", err)
				return
			}
			o, err := n.store.TryCommit(short(ctx), store.PriorityUrgent, t)
			n.elector <- election.CampaignResult{Lease: x.Lease, Result: o, Err: err}
		}()
	case election.RenewLease:
		go func() {
			sent := n.clock.Now()
			err := n.store.RenewLease(short(ctx), x.Lease)
			n.elector <- election.LeaseRenewed{Lease: x.Lease, Sent: sent, Err: err}
		}()
	case election.RevokeLease:
		go n.store.RevokeLease(short(ctx), x.Lease)
	case election.ReadLeaderKey:
		go n.look(ctx)
	case election.AcquireLeadership:
		n.store.SetBudget(n.share(true))
		n.leader <- leader.LeadershipAcquired{Term: x.Term, Incarnation: n.incarnation}
		n.leader <- leader.LeadershipExtended{Until: x.Until}
	case election.ExtendLeadership:
		n.leader <- leader.LeadershipExtended{Until: x.Until}
	case election.LoseLeadership:
		n.log.Info("no longer leading", "epoch", x.Term)
		n.store.SetBudget(n.share(false))
		n.leader <- leader.LeadershipLost{}
	case election.FollowLeader:
		n.log.Info("following", "leader", x.Controller, "epoch", x.Term)
		n.jobCache.Post(api.LeaderChanged{Term: x.Term, Controller: x.Controller})
		if x.Term > 0 {
			go n.follow(ctx, x.Term, x.Controller)
		}
	}
}

// short bounds a call that the next tick would repeat anyway.
func short(ctx context.Context) context.Context {
	c, cancel := context.WithTimeout(ctx, 2*time.Second)
	context.AfterFunc(c, cancel)
	return c
}

func (n *Controller) look(ctx context.Context) (uint64, bool) {
	items, rev, err := n.store.List(short(ctx), store.PriorityUrgent, leader.Key)
	if err != nil {
		time.Sleep(200 * time.Millisecond)
		n.log.Debug("cannot read the leader key", "error", err)
		return 0, false
	}
	var key wire.Item
	for _, it := range items {
		if it.Key == leader.Key {
			key = it
		}
	}
	seen, err := election.ObserveKey(key, rev)
	if err != nil {
		n.log.Error("look for the leader", "error", err)
	}
	n.elector <- seen
	return rev, true
}

// watchLeader tells the elector of every change of the leader key.
func (n *Controller) watchLeader(ctx context.Context) {
	for ctx.Err() == nil {
		rev, ok := n.look(ctx)
		for ok && ctx.Err() == nil {
			a, err := n.store.Watch(ctx, leader.Key, rev, 10*clock.Second)
			if err != nil {
				time.Sleep(100*time.Millisecond + rand.N(200*time.Millisecond))
				break
			}
			rev = max(rev, a.Revision)
			for _, ev := range a.Events {
				seen, ok, err := election.ObserveEvent(ev)
				if err != nil {
					n.log.Error("watch the leader", "error", err)
				} else if ok {
					n.elector <- seen
				}
			}
		}
	}
}
