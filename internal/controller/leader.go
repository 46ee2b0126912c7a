package controller

import (
	"context"

	"swiftledge/internal/leader"
)

// runLeader runs the leader's actor until the context ends. The end of a term cancels the term's effects in progress.
func (c *Controller) runLeader(ctx context.Context) {
	state := leader.New(c.cfg, c.storeHealth.available)
	termCtx, endTerm := context.WithCancel(ctx)
	defer func() { endTerm() }()
	c.leader.run(ctx, func(message leader.Message) {
		if leader.EndsTerm(message) {
			endTerm()
			termCtx, endTerm = context.WithCancel(ctx)
		}
		for _, effect := range state.Step(c.clock.Now(), message) {
			c.performLeaderEffect(termCtx, effect)
		}
	})
}
