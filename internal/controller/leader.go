package controller

import (
	"context"

	"swiftledge/internal/leader"
)

// runLeader is the leader's actor. What a term has under way ends with the term.
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
