package scenario

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"

	"swiftledge/internal/clock"
	"swiftledge/internal/leader"
	"swiftledge/internal/shard"
	"swiftledge/internal/store"
	"swiftledge/wire"
)

const (
	// inspectTimeout and commandTimeout are how long a holder waits for an agent's response to an inspection and to
	// direct commands.
	inspectTimeout = 2 * clock.Second
	commandTimeout = 3 * clock.Second
	// connectTimeout is how long a connection attempt to an unreachable agent takes to fail.
	connectTimeout = clock.Second
	// extraCommandDelayRange is the maximum delay of a late command beyond minExtraDelay.
	extraCommandDelayRange = 14 * clock.Second
)

func (c *simController) holderStep(msg shard.Message) {
	for _, effect := range c.holder.Step(c.world.now, msg) {
		c.holderEffect(effect)
	}
}

// holderEffect executes an effect of the holder.
func (c *simController) holderEffect(effect shard.Effect) {
	switch x := effect.(type) {
	case shard.SendToLeader:
		c.sendToLeader(x)
	case shard.HeartbeatReply:
		x.ReplyTo.Respond(x)
	case shard.RecordSpan:
	case shard.PauseDetected:
		c.pauses.Add(x.Pause)
	case shard.Log:
		// The fakes never send statuses that contradict themselves, nor names that fit into no record.
		if x.Message != "agent was restarted" {
			c.world.reportViolation("%s: %v", x.Message, x.Attributes)
		}
	case shard.SendCommands:
		c.sendCommands(x)
	case shard.InspectAgent:
		c.inspectAgent(x)
	case shard.WriteAttempts:
		c.writeAttempts(x.Txn, func(result store.TxnResult) shard.Message { return x.Result(result) })
	case shard.CompactPages:
		c.writeAttempts(x.Txn, func(result store.TxnResult) shard.Message { return x.Result(result) })
	case shard.DeletePages:
		c.tryTxn(x.Txn(), func(store.TxnResult, error) {})
	default:
		panic(fmt.Sprintf("unknown effect %T", effect))
	}
}

// sendToLeader sends a message over the controller's link to the leader. The message is lost if there is no link.
func (c *simController) sendToLeader(x shard.SendToLeader) {
	link := c.leaderLink
	if link == nil {
		return
	}
	c.recordFrame(link.leader, &x.Message)
	link.send(link.leader, func() {
		link.leader.leaderStep(leader.HolderMessage{Controller: c.name, Link: link, Message: &x.Message})
	})
}

// writeAttempts commits a transaction on attempt records and passes the result to the holder.
func (c *simController) writeAttempts(makeTxn func() (wire.Txn, error), completed func(store.TxnResult) shard.Message) {
	txn, err := makeTxn()
	must(err)
	for _, write := range txn.Writes {
		hasKey := func(condition wire.Condition) bool { return condition.Key == write.Put }
		if write.Put != "" && !slices.ContainsFunc(txn.Conditions, hasKey) {
			c.world.reportViolation("unguarded: a write had no condition on its key, so that a late copy of it could revert %s", write.Put)
		}
	}
	c.commit(commitCall{
		txn:      txn,
		isNeeded: func() bool { return true },
		onResult: func(result store.TxnResult, _ error) { c.holderStep(completed(result)) },
	})
}

// firstOf returns a function that passes its first value (a response or a timeout) to complete and drops all others.
func firstOf[T any](complete func(T)) func(T) {
	completed := false
	return func(value T) {
		if !completed {
			completed = true
			complete(value)
		}
	}
}

// inspectAgent requests the state of an agent.
func (c *simController) inspectAgent(x shard.InspectAgent) {
	c.recordSent(toAgent(x.Machine), "GET /inspect")
	s := c.world.agentByName(x.Machine)
	complete := firstOf(func(status *wire.Heartbeat) {
		c.holderStep(shard.InspectionAnswered{Request: x, Status: status})
	})
	c.world.after(inspectTimeout, c.ifSameProcess(func() { complete(nil) }))
	if s == nil || s.terminated || c.faults.agentsUnreachable || s.network.unreachable {
		return
	}
	s.deliver(c.world, c, func() {
		if s.terminated || s.network.inboundDropped {
			return
		}
		status := s.Heartbeat()
		s.deliver(c.world, c, c.ifSameProcess(func() { complete(status) }))
	})
}

// sendCommands sends direct commands to an agent.
func (c *simController) sendCommands(x shard.SendCommands) {
	c.recordJSON(toAgent(x.Machine), "POST /orders", &x.Body)
	w := c.world
	s := w.agentByName(x.Machine)
	noResponse := shard.CommandsAnswered{Request: x}
	if s == nil || s.terminated || c.faults.agentsUnreachable || s.network.unreachable && s.network.delayedUntil <= w.now {
		noResponse.Code = shard.NotSent
		w.after(connectTimeout, c.ifSameProcess(func() { c.holderStep(noResponse) }))
		return
	}
	complete := firstOf(func(response shard.CommandsAnswered) { c.holderStep(response) })
	w.after(commandTimeout, c.ifSameProcess(func() { complete(noResponse) }))
	deliverWithoutResponse := func() {
		if !s.terminated && !s.network.inboundDropped {
			s.HandleCommands(w.now, x.Body)
		}
	}
	if w.faults.lateCommandShare > 0 && w.rng.Float64() < w.faults.lateCommandShare {
		w.after(w.extraDelay(extraCommandDelayRange), deliverWithoutResponse)
		return
	}
	s.deliverDuplicate(w, deliverWithoutResponse)
	s.deliver(w, c, func() {
		if s.terminated || s.network.inboundDropped {
			return
		}
		result := s.HandleCommands(w.now, x.Body)
		if result.Changed {
			s.scheduleHeartbeat(w)
		}
		if result.Status == http.StatusOK {
			s.captureStarts(x.Body)
		}
		response := noResponse
		response.Code, response.Status = result.Status, result.Heartbeat
		s.deliver(w, c, c.ifSameProcess(func() { complete(response) }))
	})
}

// isTooLarge reports whether a heartbeat is longer than the protocol allows the body of a request to be.
func isTooLarge(heartbeat *wire.Heartbeat) bool {
	if len(heartbeat.Tasks) <= wire.MaxTasksPerHeartbeat {
		return false // saves the encoding of ordinary heartbeats
	}
	body, err := json.Marshal(heartbeat)
	must(err)
	return len(body) > wire.MaxBodyBytes
}

// receiveHeartbeat delivers an agent's heartbeat to the controller, which refuses one that is too large.
func (c *simController) receiveHeartbeat(heartbeat *wire.Heartbeat, reply func(shard.HeartbeatReply)) {
	if isTooLarge(heartbeat) {
		reply(shard.HeartbeatReply{Status: http.StatusBadRequest})
		return
	}
	c.holderStep(shard.HeartbeatReceived{Heartbeat: heartbeat, ReplyTo: responderFunc(func(r shard.HeartbeatReply) {
		c.recordHeartbeatReply(heartbeat.Machine, r)
		reply(r)
	})})
}

// receiveCopy delivers a copy of a heartbeat to the controller and drops the reply.
func (c *simController) receiveCopy(heartbeat *wire.Heartbeat) {
	c.ifSameProcess(func() { c.receiveHeartbeat(heartbeat, func(shard.HeartbeatReply) {}) })()
}
