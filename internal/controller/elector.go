package controller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"swiftledge/internal/clock"
	"swiftledge/internal/cluster"
	"swiftledge/internal/election"
	"swiftledge/internal/store"
	"swiftledge/wire"
)

// electorMessage is a message to the elector's actor.
//
//sumtype:decl
type electorMessage interface{ electorMessage() }

// electionStep carries a message for the election.Elector.
type electionStep struct{ message election.Message }

// leadingTermQuery requests the term that this controller leads. The reply is 0 if this controller does not lead.
type leadingTermQuery struct{ reply chan<- cluster.Term }

func (electionStep) electorMessage()     {}
func (leadingTermQuery) electorMessage() {}

// runElector runs the elector's actor until the context ends.
func (c *Controller) runElector(ctx context.Context) {
	self := election.Record{Controller: c.cfg.Name, Incarnation: c.incarnation}
	elector := election.New(self, clock.FromSeconds(c.cfg.Tuning.Election.TTLS))
	c.elector.run(ctx, func(message electorMessage) {
		switch m := message.(type) {
		case electionStep:
			for _, effect := range elector.Step(c.clock.Now(), m.message) {
				c.performElectorEffect(ctx, effect)
			}
		case leadingTermQuery:
			m.reply <- elector.Term()
		}
	})
}

// leadingTerm returns the term that this controller leads, or 0 if it does not lead.
func (c *Controller) leadingTerm() cluster.Term {
	reply := make(chan cluster.Term, 1)
	c.elector.send(leadingTermQuery{reply})
	term, _ := receiveReply(c.elector, reply)
	return term
}

// resignLeadingTerm resigns leadership if this controller leads.
func (c *Controller) resignLeadingTerm() {
	if term := c.leadingTerm(); term > 0 {
		c.resign(term)
	}
}

// resign resigns leadership of a term.
func (c *Controller) resign(term cluster.Term) {
	c.elector.send(electionStep{election.Resign{Term: term}})
}

const (
	// leaderKeyRetry is the delay before the leader key is read again after a failure.
	leaderKeyRetry = 200 * time.Millisecond
	// leaderWatchRetry is the minimum delay after a failed watch of the leader key. A random part of
	// leaderWatchJitter is added to this delay.
	leaderWatchRetry  = 100 * time.Millisecond
	leaderWatchJitter = 200 * time.Millisecond
	// leaderWatchTime is how long the store holds a watch of the leader key open.
	leaderWatchTime = 10 * clock.Second
)

// watchLeaderKey reports the leader key and every change of it to the elector until the context ends.
func (c *Controller) watchLeaderKey(ctx context.Context) {
	for ctx.Err() == nil {
		observed, err := c.readLeaderKey(ctx)
		if err != nil {
			c.log.Debug("cannot read the leader key", "error", err)
			clock.Sleep(ctx, leaderKeyRetry)
			continue
		}
		c.elector.send(electionStep{observed})
		if err := c.watchLeaderKeySince(ctx, observed.Revision); ctx.Err() == nil {
			c.log.Debug("cannot watch the leader key", "error", err)
			clock.Sleep(ctx, leaderWatchRetry+rand.N(leaderWatchJitter))
		}
	}
}

// readLeaderKey reads the current state of the leader key.
func (c *Controller) readLeaderKey(ctx context.Context) (election.LeaderKeyObserved, error) {
	ctx, cancel := context.WithTimeout(ctx, electionTimeout)
	defer cancel()
	items, revision, err := c.store.List(ctx, store.PriorityUrgent, election.Key)
	if err != nil {
		return election.LeaderKeyObserved{}, fmt.Errorf("read leader key: %w", err)
	}
	var key wire.Item
	for _, item := range items {
		if item.Key == election.Key {
			key = item
		}
	}
	observed, err := election.DecodeKey(key, revision)
	if err != nil {
		c.log.Error("cannot decode the leader key", "error", err)
	}
	return observed, nil
}

// watchLeaderKeySince reports every change of the leader key after a revision to the elector until a watch fails or
// the context ends.
func (c *Controller) watchLeaderKeySince(ctx context.Context, revision uint64) error {
	for ctx.Err() == nil {
		response, err := c.store.Watch(ctx, election.Key, revision, leaderWatchTime)
		if err != nil {
			return fmt.Errorf("watch leader key: %w", err)
		}
		revision = max(revision, response.Revision)
		for _, event := range response.Events {
			observed, found, err := election.DecodeEvent(event)
			switch {
			case err != nil:
				c.log.Error("cannot decode the leader key", "error", err)
			case found:
				c.elector.send(electionStep{observed})
			}
		}
	}
	return ctx.Err()
}
