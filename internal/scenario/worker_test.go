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
	// minHeartbeatGap is the least time between two heartbeats.
	minHeartbeatGap = clock.Second / 2
)

// simWorker is a machine with its worker and its part of the network.
type simWorker struct {
	*fake.Agent
	instance *fake.Instance
	ended    bool
	network  machineNetwork

	hungUntil       clock.Micros // it does nothing until then, and goes on
	keepsHeartbeats bool         // copies of its heartbeats are kept for the next leader
	keptHeartbeats  []*wire.Heartbeat

	controller       int // that it sends heartbeats to, by its number
	nextHeartbeat    clock.Micros
	lastHeartbeat    clock.Micros
	heartbeatPending bool // one is under way
}

// machineNetwork is what goes wrong with messages to and from a machine.
type machineNetwork struct {
	unreachable    bool // nothing is delivered
	inboundCut     bool // what it sends arrives, what it is sent does not
	heartbeatsCut  bool // its heartbeats reach nobody, while commands reach it
	heldUntil      clock.Micros
	duplicateDelay clock.Micros // heartbeats and commands come once more, up to this much later
}

// hasFaults says whether anything is wrong with the machine.
func (s *simWorker) hasFaults(now clock.Micros) bool {
	n := &s.network
	return s.ended || s.FailsTasks || s.keepsHeartbeats || s.hungUntil > now ||
		n.unreachable || n.inboundCut || n.heartbeatsCut || n.duplicateDelay > 0 || n.heldUntil > now
}

// leaseExpired says whether a machine hangs for longer than its lease: it may go on within its lease
// only, so what it held is gone.
func (s *simWorker) leaseExpired(now clock.Micros) bool {
	return s.hungUntil > now && now > s.LeaseRenewedAt()+s.LeaseTime
}

// allows says whether a job's tasks may run on the machine, whatever is free on it.
func (s *simWorker) allows(j *wire.Job) bool {
	return (j.Spot || !s.Spot) && (len(j.Types) == 0 || slices.Contains(j.Types, s.Type)) && (j.Zone == "" || j.Zone == s.Zone)
}

// activeTasks counts a job's tasks on the machine.
func (s *simWorker) activeTasks(ref string) (count int) {
	if s.ended {
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
func (s *simWorker) tick(w *world) {
	s.ended = s.ended || s.instance.Deleted
	if s.ended || s.hungUntil > w.now {
		return
	}
	if s.Advance(w.now) {
		s.heartbeatSoon(w)
	}
	if !s.heartbeatPending && w.now >= s.nextHeartbeat {
		s.sendHeartbeat(w)
	}
}

// sentHeartbeat is a heartbeat that waits for its answer.
type sentHeartbeat struct {
	world      *world
	worker     *simWorker
	heartbeat  *wire.Heartbeat
	agentEpoch wire.AgentEpoch
	sentAt     clock.Micros
	controller *simController
	settled    bool // it was answered, or given up
}

// sendHeartbeat sends a heartbeat to the controller whose turn it is.
func (s *simWorker) sendHeartbeat(w *world) {
	s.heartbeatPending = true
	s.lastHeartbeat = w.now
	interval := clock.FromSeconds(w.cfg.Facts.Workers.ReportS)
	s.nextHeartbeat = w.now + interval*3/4 + clock.Micros(w.rng.Int64N(int64(interval/2)))
	sent := &sentHeartbeat{
		world:      w,
		worker:     s,
		heartbeat:  s.Heartbeat(),
		agentEpoch: s.AgentEpoch,
		sentAt:     w.now,
		controller: w.controllers[s.controller],
	}
	w.after(heartbeatTimeout, sent.giveUp)
	if s.keepsHeartbeats {
		s.keptHeartbeats = append(s.keptHeartbeats, sent.heartbeat)
	}
	if s.network.heartbeatsCut {
		return
	}
	s.deliverDuplicate(w, sent.arriveAnywhere)
	s.deliver(w, sent.controller, sent.arrive)
}

// arriveAnywhere brings a copy to any controller. Nobody waits for the answer.
func (h *sentHeartbeat) arriveAnywhere() {
	w := h.world
	c := w.controllers[w.rng.IntN(len(w.controllers))]
	if c.running && !c.faults.agentsUnreachable && !w.isPartitioned(h.worker.Zone, c.cfg.Zone) {
		c.receiveCopy(h.heartbeat)
	}
}

// arrive brings the heartbeat to its controller.
func (h *sentHeartbeat) arrive() {
	c := h.controller
	if !c.running {
		h.giveUp()
		return
	}
	if c.faults.agentsUnreachable {
		return
	}
	c.ifSameProcess(func() {
		c.receiveHeartbeat(h.heartbeat, func(reply shard.HeartbeatReply) {
			h.worker.deliver(h.world, c, func() { h.handleReply(reply) })
		})
	})()
}

// handleReply takes the controller's answer.
func (h *sentHeartbeat) handleReply(reply shard.HeartbeatReply) {
	s, w := h.worker, h.world
	if h.settled || s.ended || s.network.inboundCut {
		return
	}
	switch reply.Status {
	case 200:
		h.settled, s.heartbeatPending = true, false
		if s.HandleResponse(w.now, h.sentAt, h.agentEpoch, reply.Body) {
			s.heartbeatSoon(w)
		}
	case 421:
		named := slices.IndexFunc(w.controllers, func(c *simController) bool { return c.name == reply.Redirect.Controller })
		if named >= 0 && named != s.controller {
			h.turnTo(named, redirectDelay)
			return
		}
		h.giveUp()
	default:
		h.giveUp()
	}
}

// giveUp turns to the next controller.
func (h *sentHeartbeat) giveUp() {
	h.turnTo((h.worker.controller+1)%len(h.world.controllers), heartbeatRetry)
}

// turnTo has the next heartbeat sent to another controller after a while, unless this one is settled.
func (h *sentHeartbeat) turnTo(controller int, wait clock.Micros) {
	if h.settled {
		return
	}
	h.settled = true
	h.world.after(wait, func() {
		s := h.worker
		s.heartbeatPending, s.controller, s.nextHeartbeat = false, controller, h.world.now
	})
}

// deliver carries a message to or from the machine: never while it is unreachable, late while it is held.
func (s *simWorker) deliver(w *world, c *simController, arrive func()) {
	delay := w.latency()
	switch {
	case w.isPartitioned(s.Zone, c.cfg.Zone):
		delay += w.faults.partitionedUntil - w.now
	case s.network.heldUntil > w.now:
		delay += s.network.heldUntil - w.now
	case s.hungUntil > w.now:
		delay += s.hungUntil - w.now
	case s.network.unreachable:
		return
	}
	w.after(delay, arrive)
}

// deliverDuplicate lets a copy come late.
func (s *simWorker) deliverDuplicate(w *world, arrive func()) {
	if s.network.duplicateDelay > 0 {
		w.after(clock.Second+clock.Micros(w.rng.Int64N(int64(s.network.duplicateDelay))), arrive)
	}
}

// heartbeatSoon has the next heartbeat sent as soon as the least gap allows.
func (s *simWorker) heartbeatSoon(w *world) {
	s.nextHeartbeat = min(s.nextHeartbeat, max(w.now, s.lastHeartbeat+minHeartbeatGap))
}

// releaseHeartbeats lets the heartbeats that were kept for the next leader arrive at every controller, as
// it begins and again when it has acted.
func (w *world) releaseHeartbeats() {
	delays := []clock.Micros{clock.Millisecond, 300 * clock.Millisecond, 2 * clock.Second, 6 * clock.Second}
	for _, s := range w.machines.workers {
		for i, heartbeat := range s.keptHeartbeats {
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
		s.keptHeartbeats = nil
	}
}
