package scenario

import (
	"slices"

	"swiftledge/internal/clock"
	"swiftledge/internal/fake"
	"swiftledge/internal/shard"
	"swiftledge/wire"
)

const (
	// heartbeatTimeout is how long an agent waits for the reply to a heartbeat.
	heartbeatTimeout = 4 * clock.Second
	// heartbeatRetryDelay is how long an agent waits before it sends a heartbeat to another controller after a failure.
	heartbeatRetryDelay = clock.Second
	// redirectDelay is how long an agent waits before it follows a redirect.
	redirectDelay = 100 * clock.Millisecond
	// minHeartbeatInterval is the minimum time between two heartbeats of an agent.
	minHeartbeatInterval = clock.Second / 2
)

// simAgent is a simulated machine with its agent and its network connection.
type simAgent struct {
	*fake.Agent
	instance   *fake.Instance
	terminated bool
	network    machineNetwork

	hungUntil          clock.Micros // the machine does nothing until this time, and then resumes
	capturesHeartbeats bool         // its heartbeats are copied; the copies are replayed when the next leader takes over
	capturedHeartbeats []*wire.Heartbeat
	capturesStarts     bool // direct run commands that it has executed and answered are copied; see replayStarts
	capturedStarts     []wire.CommandBatch

	process          int // number of reboots; a reply to a heartbeat from before a reboot does not arrive
	controllerIndex  int // index of the controller to which the agent sends heartbeats
	nextHeartbeatAt  clock.Micros
	lastHeartbeatAt  clock.Micros
	heartbeatPending bool // a heartbeat was sent and has neither a reply nor a timeout yet
}

// machineNetwork holds the faults of a machine's network connection.
type machineNetwork struct {
	unreachable       bool         // all messages are dropped
	inboundDropped    bool         // messages to the machine are dropped, messages from the machine arrive
	heartbeatsDropped bool         // heartbeats from the machine are dropped, commands to the machine arrive
	delayedUntil      clock.Micros // messages in both directions are delayed until this time
	duplicateDelay    clock.Micros // a copy of each heartbeat and command arrives late, by 1 s plus a random time below this; 0: no copies
}

// hasFaults reports whether any injected fault of the machine is active.
func (s *simAgent) hasFaults(now clock.Micros) bool {
	n := &s.network
	return s.terminated || s.FailsTasks || s.capturesHeartbeats || s.hungUntil > now ||
		n.unreachable || n.inboundDropped || n.heartbeatsDropped || n.duplicateDelay > 0 || n.delayedUntil > now
}

// leaseExpired reports whether a machine has hung for longer than its lease. An agent runs tasks only within its lease,
// so the tasks of such a machine no longer count as running.
func (s *simAgent) leaseExpired(now clock.Micros) bool {
	return s.hungUntil > now && now > s.LeaseRenewedAt()+s.LeaseTime
}

// allowsJob reports whether the constraints of a job allow its tasks to run on the machine, regardless of free capacity.
func (s *simAgent) allowsJob(j *wire.Job) bool {
	return (j.Spot || !s.Spot) && j.AllowsType(s.Type) && (j.Zone == "" || j.Zone == s.Zone)
}

// activeTasks counts a job's active tasks on the machine.
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

// tick advances the agent's tasks and sends a heartbeat if one is due.
func (s *simAgent) tick(w *world) {
	s.terminated = s.terminated || s.instance.Deleted
	if s.terminated || s.hungUntil > w.now {
		return
	}
	if s.Advance(w.now) {
		s.scheduleHeartbeat(w)
	}
	if !s.heartbeatPending && w.now >= s.nextHeartbeatAt {
		s.sendHeartbeat(w)
	}
}

// sentHeartbeat is a heartbeat that was sent to a controller, until it is completed.
type sentHeartbeat struct {
	world      *world
	agent      *simAgent
	heartbeat  *wire.Heartbeat
	process    int
	agentEpoch wire.AgentEpoch
	sentAt     clock.Micros
	controller *simController
	completed  bool // the heartbeat got a reply or timed out, or its controller does not run
}

// sendHeartbeat sends a heartbeat to the agent's current controller.
func (s *simAgent) sendHeartbeat(w *world) {
	s.heartbeatPending = true
	s.lastHeartbeatAt = w.now
	interval := clock.FromSeconds(w.cfg.Facts.Workers.ReportS)
	s.nextHeartbeatAt = w.now + interval*3/4 + clock.Micros(w.rng.Int64N(int64(interval/2)))
	sent := &sentHeartbeat{
		world:      w,
		agent:      s,
		heartbeat:  s.Heartbeat(),
		process:    s.process,
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
	s.deliverDuplicate(w, sent.arriveAtRandomController)
	s.deliver(w, sent.controller, sent.arrive)
}

// arriveAtRandomController delivers a copy of the heartbeat to a random controller and drops the reply.
func (h *sentHeartbeat) arriveAtRandomController() {
	w := h.world
	c := w.controllers[w.rng.IntN(len(w.controllers))]
	if c.running && !c.faults.agentsUnreachable && !w.isPartitioned(h.agent.Zone, c.cfg.Zone) {
		c.receiveCopy(h.heartbeat)
	}
}

// arrive delivers the heartbeat to its controller.
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

// handleReply processes the controller's reply: a response with commands, a redirect, or an error.
func (h *sentHeartbeat) handleReply(reply shard.HeartbeatReply) {
	s, w := h.agent, h.world
	if h.completed || s.terminated || s.network.inboundDropped || h.process != s.process {
		return
	}
	switch reply.Status {
	case 200:
		h.completed, s.heartbeatPending = true, false
		if s.HandleResponse(w.now, h.sentAt, h.agentEpoch, reply.Body) {
			s.scheduleHeartbeat(w)
		}
	case 421:
		target := slices.IndexFunc(w.controllers, func(c *simController) bool { return c.name == reply.Redirect.Controller })
		if target >= 0 && target != s.controllerIndex {
			h.switchController(target, redirectDelay)
			return
		}
		h.tryNextController()
	default:
		h.tryNextController()
	}
}

// tryNextController ends the wait for a reply and switches to the next controller.
func (h *sentHeartbeat) tryNextController() {
	h.switchController((h.agent.controllerIndex+1)%len(h.world.controllers), heartbeatRetryDelay)
}

// switchController completes the heartbeat and makes the agent send the next heartbeat to another controller after a
// delay. It does nothing if the heartbeat has completed already.
func (h *sentHeartbeat) switchController(controller int, delay clock.Micros) {
	if h.completed {
		return
	}
	h.completed = true
	h.world.after(delay, func() {
		s := h.agent
		if h.process != s.process {
			return
		}
		s.heartbeatPending, s.controllerIndex, s.nextHeartbeatAt = false, controller, h.world.now
	})
}

// deliver delivers a message to or from the machine. It delays the message until the end of a partition, of a message
// delay or of a hang. If none of these applies, the message is dropped while the machine is unreachable.
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

// deliverDuplicate delivers a late copy of a message if the fault of duplicated messages is active.
func (s *simAgent) deliverDuplicate(w *world, arrive func()) {
	if s.network.duplicateDelay > 0 {
		w.after(clock.Second+clock.Micros(w.rng.Int64N(int64(s.network.duplicateDelay))), arrive)
	}
}

// reboot restarts the agent at once. It sends its first heartbeat when it is up again.
func (s *simAgent) reboot(w *world) {
	s.Reboot(w.now)
	s.process++
	s.heartbeatPending, s.nextHeartbeatAt = false, w.now
}

// captureStarts keeps copies of the run commands in a message that the agent has executed and answered.
func (s *simAgent) captureStarts(batch wire.CommandBatch) {
	if !s.capturesStarts {
		return
	}
	for _, c := range batch.Commands {
		if c.Verb == wire.VerbRun {
			start := batch
			start.Commands = []wire.Command{c}
			s.capturedStarts = append(s.capturedStarts, start)
		}
	}
}

// replayStarts delivers copies of all captured run commands.
func (s *simAgent) replayStarts(w *world) {
	if s.terminated || s.instance.Deleted {
		return
	}
	for _, batch := range s.capturedStarts {
		s.HandleCommands(w.now, batch)
	}
}

// scheduleHeartbeat moves the next heartbeat forward to the earliest time that minHeartbeatInterval allows.
func (s *simAgent) scheduleHeartbeat(w *world) {
	s.nextHeartbeatAt = min(s.nextHeartbeatAt, max(w.now, s.lastHeartbeatAt+minHeartbeatInterval))
}

// replayHeartbeats delivers copies of the captured heartbeats to every controller. It is called when a new leader's term
// begins. The first copies arrive then, and the others after the leader has acted.
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
