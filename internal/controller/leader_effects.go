package controller

import (
	"context"

	"swiftledge/internal/leader"
)

// performLeaderEffect performs one effect of the leader and sends the result to the leader as a message. The context
// ends with the leader's term.
func (c *Controller) performLeaderEffect(ctx context.Context, effect leader.Effect) {
	switch e := effect.(type) {
	case leader.SendToHolder:
		e.Link.Send(&e.Message)
	case leader.LoadState:
		c.background.Go(func() { c.loader.loadState(ctx, e.Term) })
	case leader.LoadAttempts:
		c.background.Go(func() { c.loader.loadAttempts(ctx, e) })
	case leader.CommitTxn:
		c.background.Go(func() { c.commitForLeader(ctx, e) })
	case leader.ReadKey:
		c.background.Go(func() { c.loader.readKey(ctx, e) })
	case leader.RecordSpan:
		c.tracer.Post(e.Span)
	case leader.ReplyStatus:
		e.ReplyTo <- e.Status
	case leader.Resign:
		c.log.Info("resigning", "reason", e.Reason)
		c.background.Go(c.resignLeadingTerm)
	case leader.PauseDetected:
		c.pauses.record(e.Pause)
	case leader.Log:
		c.logForLeader(e)
	case leader.ProvisionMachines:
		c.cloud.enqueue(func(ctx context.Context) { c.cloud.provision(ctx, e) })
	case leader.DeleteMachines:
		c.cloud.deleteMachines(&c.background, e)
	case leader.ListMachines:
		c.cloud.enqueue(c.cloud.listMachines)
	case leader.LoadCatalog:
		c.cloud.enqueue(c.cloud.loadCatalog)
	}
}

// commitForLeader commits a transaction. It discards the result if the term has ended, because the leader no longer
// waits for the result.
func (c *Controller) commitForLeader(ctx context.Context, request leader.CommitTxn) {
	result, err := c.store.Commit(ctx, request.Priority, request.Txn)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		c.log.Error("transaction failed", "error", err)
	}
	c.leader.send(leader.TxnCompleted{Term: request.Term, Tag: request.Tag, Result: result, Err: err})
}

// logForLeader writes a log record of the leader.
func (c *Controller) logForLeader(record leader.Log) {
	if record.Debug {
		c.log.Debug(record.Message, record.Attributes...)
		return
	}
	c.log.Info(record.Message, record.Attributes...)
}
