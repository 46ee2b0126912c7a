package controller

import (
	"context"
	"time"

	"swiftledge/internal/election"
	"swiftledge/internal/leader"
	"swiftledge/internal/shard"
)

// tickInterval is how often the actors are told that time passes, all of them at once: on a small machine each
// wake-up costs more than what is then done.
const tickInterval = 250 * time.Millisecond

// tick tells the actors that time passes, until the context ends. An actor whose mailbox is full has messages
// that tell it the time anyway.
func (c *Controller) tick(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		c.elector.offer(electionStep{election.Tick{}})
		c.leader.offer(leader.Tick{})
		c.holder.offer(shard.Tick{})
	}
}
