package controller

import (
	"context"
	"errors"

	"swiftledge/internal/api"
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
		if leader.EndsTerm(msg) {
			ep.end()
			ep = newEpoch(ctx)
		}
		for _, fx := range l.Step(n.clock.Now(), msg) {
			n.leaderEffect(ep.ctx, fx)
		}
	}
}

func (n *Controller) leaderEffect(ctx context.Context, fx leader.Effect) {
	switch x := fx.(type) {
	case leader.SendToHolder:
		x.Link.Send(&x.Message)
	case leader.LoadState:
		go n.load(ctx, x.Term)
	case leader.LoadAttempts:
		go n.loadRecords(ctx, x)
	case leader.CommitTxn:
		go n.commitForLeader(ctx, x)
	case leader.ReadKey:
		go n.readForLeader(ctx, x)
	case leader.RecordSpan:
		n.tracer.Post(x.Span)
	case leader.ReplyStatus:
		x.ReplyTo <- x.Status
	case leader.Resign:
		n.log.Info("resigning", "why", x.Reason)
		go n.resign()
	case leader.PauseDetected:
		n.pauses <- x.Pause
	case leader.Log:
		n.logForLeader(x)
	case leader.ProvisionMachines:
		n.toCloud(func(ctx context.Context) { n.provision(ctx, x) })
	case leader.DeleteMachines:
		n.toCloud(func(ctx context.Context) {
			n.leader <- leader.MachinesDeleted{Term: x.Term, Machines: x.Machines, Err: n.cloud.Delete(ctx, x.Machines)}
		})
	case leader.ListMachines:
		n.toCloud(n.list)
	case leader.LoadCatalog:
		n.toCloud(n.loadCatalog)
	}
}

// commitForLeader carries out a transaction.
func (n *Controller) commitForLeader(ctx context.Context, x leader.CommitTxn) {
	o, err := n.store.Commit(ctx, x.Priority, x.Txn)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		n.log.Error("transaction failed", "error", err)
	}
	n.leader <- leader.TxnCompleted{Term: x.Term, Tag: x.Tag, Result: o, Err: err}
}

// readForLeader reads a key, again and again until the store answers or the term ends.
func (n *Controller) readForLeader(ctx context.Context, x leader.ReadKey) {
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
}

// resign gives up the leadership, if it is still held.
func (n *Controller) resign() {
	q := askEpoch{make(chan cluster.Term, 1)}
	n.elector <- q
	if term := <-q.answer; term > 0 {
		n.elector <- election.Resign{Term: term}
	}
}

// logForLeader writes a log line of the leader.
func (n *Controller) logForLeader(x leader.Log) {
	if x.Debug {
		n.log.Debug(x.Message, x.Attributes...)
	} else {
		n.log.Info(x.Message, x.Attributes...)
	}
}

// provision asks the cloud for machines.
func (n *Controller) provision(ctx context.Context, x leader.ProvisionMachines) {
	names, err := n.cloud.Provision(ctx, x.Request)
	n.leader <- leader.MachinesProvisioned{Term: x.Term, RequestID: x.Request.RequestID, Machines: names,
		NoCapacity: errors.Is(err, cloud.ErrNoCapacity), Err: err}
}

// loadCatalog asks the cloud for its catalog.
func (n *Controller) loadCatalog(ctx context.Context) {
	c, err := n.cloud.Catalog(ctx)
	if err != nil {
		n.log.Debug("catalog", "error", err)
		return
	}
	n.leader <- leader.CatalogLoaded{Types: c.Types}
}

// localLink is the way from the leader to the holder of the same process.
type localLink struct {
	controller *Controller
	term       cluster.Term
}

// Send hands a message to the holder and the job cache.
func (l localLink) Send(message *peer.FromLeader) {
	l.controller.jobCache.Post(api.LeaderMessage{Message: message})
	l.controller.holder <- message
}
