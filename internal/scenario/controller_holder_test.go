package scenario

import (
	"fmt"
	"slices"

	"swiftledge/internal/clock"
	"swiftledge/internal/leader"
	"swiftledge/internal/shard"
	"swiftledge/internal/store"
	"swiftledge/wire"
)

const (
	// inspectTimeout and commandTimeout are how long a holder waits for the answer of a worker.
	inspectTimeout = 2 * clock.Second
	commandTimeout = 3 * clock.Second
	// connectTimeout is how long it takes until a holder knows that it cannot connect to a worker.
	connectTimeout = clock.Second
	// extraCommandDelayRange is how much later than minLate a delayed command arrives, at most.
	extraCommandDelayRange = 14 * clock.Second
)

func (c *simController) holderStep(msg shard.Message) {
	for _, effect := range c.holder.Step(c.world.now, msg) {
		c.holderEffect(effect)
	}
}

// holderEffect carries out what the holder decided.
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
		c.world.reportViolation("%s: %v", x.Message, x.Attributes) // the fakes never contradict themselves
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

// sendToLeader sends a message over the link to the leader; without one it is lost.
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

// writeAttempts writes attempt records and tells the holder what became of it.
func (c *simController) writeAttempts(makeTxn func() (wire.Txn, error), completed func(store.TxnResult) shard.Message) {
	txn, err := makeTxn()
	must(err)
	for _, write := range txn.Writes {
		isGuard := func(condition wire.Condition) bool { return condition.Key == write.Put }
		if write.Put != "" && !slices.ContainsFunc(txn.Conditions, isGuard) {
			c.world.reportViolation("unguarded: a late copy could put back %s", write.Put)
		}
	}
	c.commit(commitCall{
		txn:      txn,
		isNeeded: func() bool { return true },
		onResult: func(result store.TxnResult, _ error) { c.holderStep(completed(result)) },
	})
}

// firstOf returns a function that settles once, with the first value: an answer, or a timeout.
func firstOf[T any](settle func(T)) func(T) {
	settled := false
	return func(value T) {
		if !settled {
			settled = true
			settle(value)
		}
	}
}

// inspectAgent asks a worker for its state.
func (c *simController) inspectAgent(x shard.InspectAgent) {
	c.recordSent(toAgent(x.Machine), "GET /inspect")
	s := c.world.agentByName(x.Machine)
	settle := firstOf(func(status *wire.Heartbeat) {
		c.holderStep(shard.InspectionAnswered{Request: x, Status: status})
	})
	c.world.after(inspectTimeout, c.ifSameProcess(func() { settle(nil) }))
	if s == nil || s.terminated || c.faults.agentsUnreachable || s.network.unreachable {
		return
	}
	s.deliver(c.world, c, func() {
		if s.terminated || s.network.inboundDropped {
			return
		}
		status := s.Heartbeat()
		s.deliver(c.world, c, c.ifSameProcess(func() { settle(status) }))
	})
}

// sendCommands sends direct commands to a worker.
func (c *simController) sendCommands(x shard.SendCommands) {
	c.recordJSON(toAgent(x.Machine), "POST /orders", &x.Body)
	w := c.world
	s := w.agentByName(x.Machine)
	answer := shard.CommandsAnswered{Request: x}
	if s == nil || s.terminated || c.faults.agentsUnreachable || s.network.unreachable && s.network.delayedUntil <= w.now {
		answer.Code = shard.NotSent
		w.after(connectTimeout, c.ifSameProcess(func() { c.holderStep(answer) }))
		return
	}
	settle := firstOf(func(answer shard.CommandsAnswered) { c.holderStep(answer) })
	w.after(commandTimeout, c.ifSameProcess(func() { settle(answer) }))
	arriveUnanswered := func() {
		if !s.terminated && !s.network.inboundDropped {
			s.HandleCommands(w.now, x.Body)
		}
	}
	if w.faults.lateCommandShare > 0 && w.rng.Float64() < w.faults.lateCommandShare {
		w.after(w.extraDelay(extraCommandDelayRange), arriveUnanswered)
		return
	}
	s.deliverDuplicate(w, arriveUnanswered)
	s.deliver(w, c, func() {
		if s.terminated || s.network.inboundDropped {
			return
		}
		result := s.HandleCommands(w.now, x.Body)
		if result.Changed {
			s.scheduleHeartbeat(w)
		}
		answered := answer
		answered.Code, answered.Status = result.Status, result.Heartbeat
		s.deliver(w, c, c.ifSameProcess(func() { settle(answered) }))
	})
}

// receiveHeartbeat brings a worker's heartbeat to the controller.
func (c *simController) receiveHeartbeat(heartbeat *wire.Heartbeat, reply func(shard.HeartbeatReply)) {
	c.holderStep(shard.HeartbeatReceived{Heartbeat: heartbeat, ReplyTo: responderFunc(func(r shard.HeartbeatReply) {
		c.recordHeartbeatReply(heartbeat.Machine, r)
		reply(r)
	})})
}

// receiveCopy brings a copy of a heartbeat to the controller: nobody waits for the answer.
func (c *simController) receiveCopy(heartbeat *wire.Heartbeat) {
	c.ifSameProcess(func() { c.receiveHeartbeat(heartbeat, func(shard.HeartbeatReply) {}) })()
}
