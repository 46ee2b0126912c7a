package controller

import (
	"context"
	"time"

	"swiftledge/internal/election"
	"swiftledge/internal/leader"
	"swiftledge/internal/shard"
)

// tickInterval is the time between two ticks. All actors receive a tick at the same time, because on a small machine
// each wake-up costs more than the work that it triggers.
const tickInterval = 250 * time.Millisecond

// tick sends ticks to the actors until the context ends. It skips an actor whose mailbox is full, because every message
// that the actor handles advances the actor's time, too.
func (c *Controller) tick(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		c.elector.trySend(electionStep{election.Tick{}})
		c.leader.trySend(leader.Tick{})
		c.holder.trySend(shard.Tick{})
	}
}
