package controller

import (
	"context"
	"errors"

	"swiftledge/internal/cloud"
	"swiftledge/internal/cluster"
	"swiftledge/internal/election"
	"swiftledge/internal/leader"
	"swiftledge/internal/peer"
	"swiftledge/internal/store"
)

type epoch struct {
	ctx context.Context
	end context.CancelFunc
}

func newEpoch(ctx context.Context) epoch {
	c, end := context.WithCancel(ctx)
	return epoch{c, end}
}

func (n *Controller) runLeader(ctx context.Context) {
	l := leader.New(n.cfg, n.health.ok)
	// What an epoch has under way ends with it.
	ep := newEpoch(ctx)
	for msg := range n.leader {
		switch msg.(type) {
		case leader.LeadershipAcquired, leader.LeadershipLost:
			ep.end()
			ep = newEpoch(ctx)
		}
		for _, fx := range l.Step(n.clock.Now(), msg) {
			n.leaderEffect(ep.ctx, fx)
		}
	}
}

func (n *Controller) leaderEffect(ctx context.Context, fx any) {
	switch x := fx.(type) {
	case leader.SendToHolder:
		switch l := x.Link.(type) {
		case *peer.Link:
			l.Send(&x.Message)
		case localLink:
			n.jobCache.Post(&x.Message)
			n.holder <- &x.Message
		}
	case leader.LoadState:
		go n.load(ctx, x.Term)
	case leader.LoadAttempts:
		go n.loadRecords(ctx, x)
	case leader.CommitTxn:
		go func() {
			o, err := n.store.Commit(ctx, x.Priority, x.Txn)
			if ctx.Err() != nil {
				return
			}
			if err != nil {
				n.log.Error("transaction failed", "error", err)
			}
			n.leader <- leader.TxnCompleted{Term: x.Term, Tag: x.Tag, Result: o, Err: err}
		}()
	case leader.ReadKey:
		go func() {
			for i := 0; ; i++ {
				it, err := n.store.Get(ctx, store.PriorityAttempts, x.Key)
				if err == nil || errors.Is(err, store.ErrNotFound) {
					it.Key = x.Key
					n.leader <- leader.KeyRead{Term: x.Term, Tag: x.Tag, Item: it, Found: err == nil}
					return
				}
				if !store.Backoff(ctx, i) {
					return
				}
			}
		}()
	case leader.RecordSpan:
		n.tracer.Post(x.Span)
	case leader.ReplyStatus:
		x.ReplyTo.(chan peer.Status) <- x.Status
	case leader.Resign:
		n.log.Info("resigning", "why", x.Reason)
		go func() {
			q := askEpoch{make(chan cluster.Term, 1)}
			n.elector <- q
			if e := <-q.answer; e > 0 {
				n.elector <- election.Resign{Term: e}
			}
		}()
	case leader.PauseDetected:
		n.pauses <- x.Pause
	case leader.Log:
		if x.Debug {
			n.log.Debug(x.Message, x.Attributes...)
		} else {
			n.log.Info(x.Message, x.Attributes...)
		}
	default:
		n.cloudEffect(fx)
	}
}

// cloudEffect has the cloud asked.
func (n *Controller) cloudEffect(fx any) {
	switch x := fx.(type) {
	case leader.ProvisionMachines:
		n.toCloud(func() {
			names, err := n.cloud.Provision(x.Request)
			n.leader <- leader.MachinesProvisioned{Term: x.Term, RequestID: x.Request.RequestID, Machines: names,
				NoCapacity: errors.Is(err, cloud.ErrNoCapacity), Err: err}
		})
	case leader.DeleteMachines:
		n.toCloud(func() {
			n.leader <- leader.MachinesDeleted{Term: x.Term, Machines: x.Machines, Err: n.cloud.Delete(x.Machines)}
		})
	case leader.ListMachines:
		n.toCloud(n.list)
	case leader.LoadCatalog:
		n.toCloud(func() {
			if c, err := n.cloud.Catalog(); err != nil {
				n.log.Debug("catalog", "error", err)
			} else {
				n.leader <- leader.CatalogLoaded{Types: c.Types}
			}
		})
	}
}
