package controller

import (
	"time"

	"swiftledge/internal/leader"
	"swiftledge/internal/peer"
)

// statusTimeout bounds how long an operator's status request waits for the leader's actor, which may be busy.
const statusTimeout = 3 * time.Second

// status returns the controller's status for operators: the status from the leader's actor, the leader that this
// controller follows, and the process pauses. If the leader's actor is too busy, its part of the status is missing.
func (c *Controller) status() peer.Status {
	status := c.leaderStatus()
	status.Pauses, status.LastPause = c.pauses.status()
	view := c.jobCache.Lookup("")
	status.Leader, status.Term = view.Leader, view.Term
	return status
}

func (c *Controller) leaderStatus() peer.Status {
	fallback := peer.Status{Controller: c.cfg.Name}
	reply := make(chan peer.Status, 1)
	if !c.leader.trySend(leader.StatusRequested{ReplyTo: reply}) {
		return fallback
	}
	select {
	case status := <-reply:
		return status
	case <-time.After(statusTimeout):
		return fallback
	}
}
