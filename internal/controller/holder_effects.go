package controller

import (
	"context"
	"time"

	"swiftledge/internal/shard"
	"swiftledge/internal/store"
	"swiftledge/wire"
)

// attemptWriteTimeout bounds a write of attempt records, including all retries.
const attemptWriteTimeout = 8 * time.Second

// performHolderEffect performs one effect of the holder and sends the result to the holder as a message. A message to
// the leader is dropped if there is no link: the holder reports its complete state again over the next link.
func (c *Controller) performHolderEffect(ctx context.Context, link leaderLink, effect shard.Effect) {
	switch e := effect.(type) {
	case shard.SendToLeader:
		if link != nil {
			link.Send(&e.Message)
		}
	case shard.HeartbeatReply:
		e.ReplyTo.Respond(e)
	case shard.RecordSpan:
		c.tracer.Post(e.Span)
	case shard.PauseDetected:
		c.pauses.record(e.Pause)
	case shard.Log:
		c.log.Warn(e.Message, e.Attributes...)
	case shard.SendCommands:
		c.background.Go(func() { c.sendCommands(ctx, e) })
	case shard.InspectAgent:
		c.background.Go(func() { c.inspectAgent(ctx, e) })
	case shard.WriteAttempts:
		c.background.Go(func() { c.writeAttempts(ctx, e) })
	case shard.CompactPages:
		c.background.Go(func() { c.compactPages(ctx, e) })
	case shard.DeletePages:
		c.background.Go(func() { c.deletePages(ctx, e) })
	}
}

func (c *Controller) sendCommands(ctx context.Context, request shard.SendCommands) {
	answer, err := c.agents.sendCommands(ctx, request)
	if err != nil {
		c.log.Error("cannot send commands to agent", "machine", request.Machine, "error", err)
	}
	c.holder.send(answer)
}

func (c *Controller) inspectAgent(ctx context.Context, request shard.InspectAgent) {
	answer, err := c.agents.inspect(ctx, request)
	if err != nil {
		c.log.Error("cannot inspect agent", "machine", request.Machine, "error", err)
	}
	c.holder.send(answer)
}

// writeAttempts writes the attempt records of a placement cycle. The tasks of the cycle are launched only after the
// store has committed the records.
func (c *Controller) writeAttempts(ctx context.Context, request shard.WriteAttempts) {
	c.holder.send(request.Result(c.commitPages(ctx, store.PriorityAttempts, request.Txn)))
}

func (c *Controller) compactPages(ctx context.Context, request shard.CompactPages) {
	c.holder.send(request.Result(c.commitPages(ctx, store.PriorityBackground, request.Txn)))
}

// commitPages commits a transaction on pages of attempt records. The result of a failed transaction tells whether the
// store may have executed the transaction. A transaction that cannot be encoded is certainly not executed.
func (c *Controller) commitPages(
	ctx context.Context, priority store.Priority, makeTxn func() (wire.Txn, error),
) store.TxnResult {
	ctx, cancel := context.WithTimeout(ctx, attemptWriteTimeout)
	defer cancel()
	txn, err := makeTxn()
	if err != nil {
		c.log.Error("cannot encode attempt records", "error", err)
		return store.TxnResult{}
	}
	result, err := c.store.Commit(ctx, priority, txn)
	if err != nil {
		c.log.Debug("cannot write attempt records", "error", err)
	}
	return result
}

// deletePages deletes obsolete attempt records. After a failure, the remaining records are an upper bound of the
// attempts that may run, until the shard is granted again.
func (c *Controller) deletePages(ctx context.Context, request shard.DeletePages) {
	if _, err := c.store.TryCommit(ctx, store.PriorityBackground, request.Txn()); err != nil {
		c.log.Debug("cannot delete attempt records", "error", err)
	}
}
