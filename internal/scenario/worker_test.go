package scenario

import (
	"slices"

	"swiftledge/internal/clock"
	"swiftledge/internal/fake"
	"swiftledge/internal/shard"
	"swiftledge/wire"
)

const (
	// heartbeatTimeout is how long a worker waits for the answer.
	heartbeatTimeout = 4 * clock.Second
	// heartbeatRetry is how long it waits before it turns to another controller.
	heartbeatRetry = clock.Second
	// redirectDelay is how long it waits before it follows a redirect.
	redirectDelay = 100 * clock.Millisecond
	// minHeartbeatInterval is the least time between two heartbeats.
	minHeartbeatInterval = clock.Second / 2
)

// simAgent is a machine with its worker and its part of the network.
type simAgent struct {
	*fake.Worker
	instance   *fake.Instance
	terminated bool
	network    machineNetwork

	hungUntil          clock.Micros // it does nothing until then, and goes on
	capturesHeartbeats bool         // copies of its heartbeats are kept for the next leader
	capturedHeartbeats []*wire.Heartbeat

	controllerIndex  int // that it sends heartbeats to, by its number
	nextHeartbeat    clock.Micros
	lastHeartbeat    clock.Micros
	heartbeatPending bool // one is under way
}

// machineNetwork is what goes wrong with messages to and from a machine.
type machineNetwork struct {
	unreachable       bool // nothing is delivered
	inboundDropped    bool // what it sends arrives, what it is sent does not
	heartbeatsDropped bool // its heartbeats reach nobody, while commands reach it
	delayedUntil      clock.Micros
	duplicateDelay    clock.Micros // heartbeats and commands come once more, up to this much later
}

// hasFaults says whether anything is wrong with the machine.
func (s *simAgent) hasFaults(now clock.Micros) bool {
	n := &s.network
	return s.terminated || s.FailsTasks || s.capturesHeartbeats || s.hungUntil > now ||
		n.unreachable || n.inboundDropped || n.heartbeatsDropped || n.duplicateDelay > 0 || n.delayedUntil > now
}

// leaseExpired says whether a machine hangs for longer than its lease: it may go on within its lease
// only, so what it held is gone.
func (s *simAgent) leaseExpired(now clock.Micros) bool {
	return s.hungUntil > now && now > s.LeaseRenewedAt()+s.LeaseTime
}

// allows says whether a job's tasks may run on the machine, whatever is free on it.
func (s *simAgent) allows(j *wire.Job) bool {
	return (j.Spot || !s.Spot) && (len(j.Types) == 0 || slices.Contains(j.Types, s.Type)) && (j.Zone == "" || j.Zone == s.Zone)
}

// activeTasks counts a job's tasks on the machine.
func (s *simAgent) activeTasks(ref string) (count int) {
	if s.terminated {
		return 0
	}
	for _, t := range s.Tasks {
		if t.Job.Ref == ref && t.IsActive() {
			count++
		}
	}
	return count
}

// tick is one step of the worker.
func (s *simAgent) tick(w *world) {
	s.terminated = s.terminated || s.instance.Deleted
	if s.terminated || s.hungUntil > w.now {
		return
	}
	if s.Advance(w.now) {
		s.scheduleHeartbeat(w)
	}
	if !s.heartbeatPending && w.now >= s.nextHeartbeat {
		s.sendHeartbeat(w)
	}
}

// sentHeartbeat is a heartbeat that waits for its answer.
type sentHeartbeat struct {
	world      *world
	agent      *simAgent
	heartbeat  *wire.Heartbeat
	agentEpoch wire.AgentEpoch
	sentAt     clock.Micros
	controller *simController
	completed  bool // it was answered, or given up
}

// sendHeartbeat sends a heartbeat to the controller whose turn it is.
func (s *simAgent) sendHeartbeat(w *world) {
	s.heartbeatPending = true
	s.lastHeartbeat = w.now
	interval := clock.FromSeconds(w.cfg.Facts.Workers.ReportS)
	s.nextHeartbeat = w.now + interval*3/4 + clock.Micros(w.rng.Int64N(int64(interval/2)))
	sent := &sentHeartbeat{
		world:      w,
		agent:      s,
		heartbeat:  s.Heartbeat(),
		agentEpoch: s.AgentEpoch,
		sentAt:     w.now,
		controller: w.controllers[s.controllerIndex],
	}
	w.after(heartbeatTimeout, sent.tryNextController)
	if s.capturesHeartbeats {
		s.capturedHeartbeats = append(s.capturedHeartbeats, sent.heartbeat)
	}
	if s.network.heartbeatsDropped {
		return
	}
	s.deliverDuplicate(w, sent.arriveAtRandom)
	s.deliver(w, sent.controller, sent.arrive)
}

// arriveAtRandom brings a copy to any controller. Nobody waits for the answer.
func (h *sentHeartbeat) arriveAtRandom() {
	w := h.world
	c := w.controllers[w.rng.IntN(len(w.controllers))]
	if c.running && !c.faults.agentsUnreachable && !w.isPartitioned(h.agent.Zone, c.cfg.Zone) {
		c.receiveCopy(h.heartbeat)
	}
}

// arrive brings the heartbeat to its controller.
func (h *sentHeartbeat) arrive() {
	c := h.controller
	if !c.running {
		h.tryNextController()
		return
	}
	if c.faults.agentsUnreachable {
		return
	}
	c.ifSameProcess(func() {
		c.receiveHeartbeat(h.heartbeat, func(reply shard.HeartbeatReply) {
			h.agent.deliver(h.world, c, func() { h.handleReply(reply) })
		})
	})()
}

// handleReply takes the controller's answer.
func (h *sentHeartbeat) handleReply(reply shard.HeartbeatReply) {
	s, w := h.agent, h.world
	if h.completed || s.terminated || s.network.inboundDropped {
		return
	}
	switch reply.Status {
	case 200:
		h.completed, s.heartbeatPending = true, false
		if s.HandleResponse(w.now, h.sentAt, h.agentEpoch, reply.Body) {
			s.scheduleHeartbeat(w)
		}
	case 421:
		named := slices.IndexFunc(w.controllers, func(c *simController) bool { return c.name == reply.Redirect.Controller })
		if named >= 0 && named != s.controllerIndex {
			h.switchController(named, redirectDelay)
			return
		}
		h.tryNextController()
	default:
		h.tryNextController()
	}
}

// tryNextController turns to the next controller.
func (h *sentHeartbeat) tryNextController() {
	h.switchController((h.agent.controllerIndex+1)%len(h.world.controllers), heartbeatRetry)
}

// switchController has the next heartbeat sent to another controller after a while, unless this one is settled.
func (h *sentHeartbeat) switchController(controller int, wait clock.Micros) {
	if h.completed {
		return
	}
	h.completed = true
	h.world.after(wait, func() {
		s := h.agent
		s.heartbeatPending, s.controllerIndex, s.nextHeartbeat = false, controller, h.world.now
	})
}

// deliver carries a message to or from the machine: never while it is unreachable, late while it is held.
func (s *simAgent) deliver(w *world, c *simController, arrive func()) {
	delay := w.latency()
	switch {
	case w.isPartitioned(s.Zone, c.cfg.Zone):
		delay += w.faults.partitionedUntil - w.now
	case s.network.delayedUntil > w.now:
		delay += s.network.delayedUntil - w.now
	case s.hungUntil > w.now:
		delay += s.hungUntil - w.now
	case s.network.unreachable:
		return
	}
	w.after(delay, arrive)
}

// deliverDuplicate lets a copy come late.
func (s *simAgent) deliverDuplicate(w *world, arrive func()) {
	if s.network.duplicateDelay > 0 {
		w.after(clock.Second+clock.Micros(w.rng.Int64N(int64(s.network.duplicateDelay))), arrive)
	}
}

// scheduleHeartbeat has the next heartbeat sent as soon as the least gap allows.
func (s *simAgent) scheduleHeartbeat(w *world) {
	s.nextHeartbeat = min(s.nextHeartbeat, max(w.now, s.lastHeartbeat+minHeartbeatInterval))
}

// replayHeartbeats lets the heartbeats that were kept for the next leader arrive at every controller, as
// it begins and again when it has acted.
func (w *world) replayHeartbeats() {
	delays := []clock.Micros{clock.Millisecond, 300 * clock.Millisecond, 2 * clock.Second, 6 * clock.Second}
	for _, s := range w.machines.agents {
		for i, heartbeat := range s.capturedHeartbeats {
			for _, c := range w.controllers {
				for _, delay := range delays {
					w.after(delay+clock.Micros(i), func() {
						if c.running && !c.faults.agentsUnreachable {
							c.receiveCopy(heartbeat)
						}
					})
				}
			}
		}
		s.capturedHeartbeats = nil
	}
}
