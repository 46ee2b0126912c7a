package controller

import (
	"context"
	"time"

	"swiftledge/internal/shard"
	"swiftledge/internal/store"
	"swiftledge/wire"
)

// attemptWriteTimeout bounds a write of attempt records, tries and all.
const attemptWriteTimeout = 8 * time.Second

// performHolderEffect carries out one effect of the holder; answers go back to it as messages. A message to the
// leader without a link is dropped: the holder says all anew over the next one.
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
		c.log.Error("commands not sent", "machine", request.Machine, "error", err)
		return
	}
	c.holder.send(answer)
}

func (c *Controller) inspectAgent(ctx context.Context, request shard.InspectAgent) {
	answer, err := c.agents.inspect(ctx, request)
	if err != nil {
		c.log.Error("agent not inspected", "machine", request.Machine, "error", err)
		return
	}
	c.holder.send(answer)
}

// writeAttempts writes the attempt records of a placement cycle. None of its tasks is launched before the store
// has committed them.
func (c *Controller) writeAttempts(ctx context.Context, request shard.WriteAttempts) {
	if result, ok := c.commitPages(ctx, store.PriorityAttempts, request.Txn); ok {
		c.holder.send(request.Result(result))
	}
}

func (c *Controller) compactPages(ctx context.Context, request shard.CompactPages) {
	if result, ok := c.commitPages(ctx, store.PriorityBackground, request.Txn); ok {
		c.holder.send(request.Result(result))
	}
}

// commitPages commits a transaction on pages of attempt records. A failed one has a result too, which says whether
// it may have been carried out. It returns false if there is no such transaction.
func (c *Controller) commitPages(
	ctx context.Context, priority store.Priority, makeTxn func() (wire.Txn, error),
) (store.TxnResult, bool) {
	ctx, cancel := context.WithTimeout(ctx, attemptWriteTimeout)
	defer cancel()
	txn, err := makeTxn()
	if err != nil {
		c.log.Error("cannot encode attempt records", "error", err)
		return store.TxnResult{}, false
	}
	result, err := c.store.Commit(ctx, priority, txn)
	if err != nil {
		c.log.Debug("attempt records not written", "error", err)
	}
	return result, true
}

// deletePages deletes attempt records that are not needed any more. Those that stay are read as upper bounds until
// the shard is granted anew.
func (c *Controller) deletePages(ctx context.Context, request shard.DeletePages) {
	if _, err := c.store.TryCommit(ctx, store.PriorityBackground, request.Txn()); err != nil {
		c.log.Debug("attempt records not deleted", "error", err)
	}
}
