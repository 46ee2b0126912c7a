package node

import (
	"context"
	"errors"

	"swiftledge/internal/cloud"
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

func (n *Node) runLeader(ctx context.Context) {
	l := leader.New(n.cfg, n.health.ok)
	// What an epoch has under way ends with it.
	ep := newEpoch(ctx)
	for msg := range n.leader {
		switch msg.(type) {
		case leader.Elected, leader.Deposed:
			ep.end()
			ep = newEpoch(ctx)
		}
		for _, fx := range l.Step(n.clock.Now(), msg) {
			n.leaderEffect(ep.ctx, fx)
		}
	}
}

func (n *Node) leaderEffect(ctx context.Context, fx any) {
	switch x := fx.(type) {
	case leader.Tell:
		switch l := x.Link.(type) {
		case *peer.Link:
			l.Send(&x.Down)
		case localLink:
			n.directory.Post(&x.Down)
			n.holder <- &x.Down
		}
	case leader.Load:
		go n.load(ctx, x.Epoch)
	case leader.LoadRecords:
		go n.loadRecords(ctx, x)
	case leader.Commit:
		go func() {
			o, err := n.store.Commit(ctx, x.Prio, x.Txn)
			if ctx.Err() != nil {
				return
			}
			if err != nil {
				n.log.Error("transaction failed", "error", err)
			}
			n.leader <- leader.Committed{Epoch: x.Epoch, Tag: x.Tag, Outcome: o, Err: err}
		}()
	case leader.ReadKey:
		go func() {
			for i := 0; ; i++ {
				it, err := n.store.Get(ctx, store.PriorityAttempts, x.Key)
				if err == nil || errors.Is(err, store.ErrNotFound) {
					it.Key = x.Key
					n.leader <- leader.Read{Epoch: x.Epoch, Tag: x.Tag, Item: it, Found: err == nil}
					return
				}
				if !store.Backoff(ctx, i) {
					return
				}
			}
		}()
	case leader.Trace:
		n.tracer.Post(x.Span)
	case leader.AnswerStatus:
		x.Tag.(chan peer.Status) <- x.Status
	case leader.Resign:
		n.log.Info("resigning", "why", x.Why)
		go func() {
			q := askEpoch{make(chan uint64, 1)}
			n.elector <- q
			if e := <-q.answer; e > 0 {
				n.elector <- election.Resign{Term: e}
			}
		}()
	case leader.Paused:
		n.pauses <- x.Pause
	case leader.Log:
		if x.Debug {
			n.log.Debug(x.Text, x.Args...)
		} else {
			n.log.Info(x.Text, x.Args...)
		}
	default:
		n.cloudEffect(fx)
	}
}

// cloudEffect has the cloud asked.
func (n *Node) cloudEffect(fx any) {
	switch x := fx.(type) {
	case leader.Rent:
		n.toCloud(func() {
			names, err := n.cloud.Rent(x.Rental)
			n.leader <- leader.Rented{Epoch: x.Epoch, Request: x.Rental.RequestID, Machines: names,
				NoCapacity: errors.Is(err, cloud.ErrNoCapacity), Err: err}
		})
	case leader.Delete:
		n.toCloud(func() {
			n.leader <- leader.Deleted{Epoch: x.Epoch, Machines: x.Machines, Err: n.cloud.Delete(x.Machines)}
		})
	case leader.List:
		n.toCloud(n.list)
	case leader.ReadCatalog:
		n.toCloud(func() {
			if c, err := n.cloud.Catalog(); err != nil {
				n.log.Debug("catalog", "error", err)
			} else {
				n.leader <- leader.CatalogRead{Types: c.Types}
			}
		})
	}
}
