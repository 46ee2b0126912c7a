package controller

import (
	"time"

	"swiftledge/internal/leader"
	"swiftledge/internal/peer"
)

// statusTimeout bounds how long an operator's request for the status waits for the leader's actor, which may be
// busy.
const statusTimeout = 3 * time.Second

// status answers an operator's request: what the leader's actor knows, whom this controller follows, and its
// pauses. If the actor is too busy, the rest has to do.
func (c *Controller) status() peer.Status {
	status := c.leaderStatus()
	status.Pauses, status.LastPause = c.pauses.status()
	view := c.jobCache.Lookup("")
	status.Leader, status.Term = view.Leader, view.Term
	return status
}

func (c *Controller) leaderStatus() peer.Status {
	known := peer.Status{Controller: c.cfg.Name}
	reply := make(chan peer.Status, 1)
	if !c.leader.offer(leader.StatusRequested{ReplyTo: reply}) {
		return known
	}
	select {
	case status := <-reply:
		return status
	case <-time.After(statusTimeout):
		return known
	}
}
