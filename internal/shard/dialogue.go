package shard

import (
	"slices"
	"strconv"

	"swiftledge/internal/clock"
	"swiftledge/internal/peer"
	"swiftledge/wire"
)

// minSilentAgents is how many workers must fall silent together to point at this
// controller's own network instead of them.
const minSilentAgents = 3

// hasLostAgentContact says whether all workers fell silent at once, so that another controller
// had better speak to them before their leases run out.
func (h *Holder) hasLostAgentContact(now clock.Micros) bool {
	// Each reports at least every 1.25 report times.
	long := h.params.HeartbeatInterval*3/2 + clock.Second/2
	if now-h.pauseDetector.ExcludePause(h.lastStatus) < long {
		return false
	}
	n := 0
	for _, b := range h.shards {
		if now-b.grantedAt < long+clock.Second {
			return false // its workers are still on their way here
		}
		for _, m := range b.machineOrder {
			if (m.lastStatus > 0 || len(m.attempts) > 0) && !m.terminated && !m.leaseExpired {
				n++
			}
		}
	}
	return n >= minSilentAgents
}

// fenceInterval is how long a machine may take to show our token, or an answer, before
// it is told directly, and told again.
const fenceInterval = 4 * clock.Second

// fenceRetryInterval is fenceInterval, or twice as long under overload: then most reports only wait to be
// answered.
func (h *Holder) fenceRetryInterval(now clock.Micros) clock.Micros {
	if h.overloaded(now) {
		return 2 * fenceInterval
	}
	return fenceInterval
}

// deliversRunsInReply says whether run orders for a machine wait for its next report. A direct
// command costs the controller more than to answer a report, so under overload the reports of
// machines that are in touch carry the orders, a report time later at most.
func (h *Holder) deliversRunsInReply(now clock.Micros, m *machine) bool {
	return h.overloaded(now) && m.lastReply > 0 && now-m.lastReply < h.params.HeartbeatInterval
}

// maxFencesPerGrant is how many of a block's machines are told directly when it is granted.
const maxFencesPerGrant = 24

// fence shows a machine our token without waiting for its report, which an older
// holder that is cut off from the others may go on answering until its grant ends.
// That holder turns the worker away as soon as it reports the newer token.
//
// One at a time: to machines that cannot be reached a command takes seconds to fail, and thousands of
// those in line would hold up the commands to all others.
func (h *Holder) fence(now clock.Micros, b *heldShard, m *machine) {
	if m.address == "" || m.terminated {
		return
	}
	m.lastFence = now
	if m.fencePending {
		return
	}
	m.fencePending = true
	if m.epoch > 0 {
		h.sendCommands(b, m, []wire.Command{})
		return
	}
	h.emit(InspectAgent{Shard: b.id, FencingToken: b.fencingToken, Machine: m.name, Address: m.address})
}

func (h *Holder) handleInspection(now clock.Micros, a InspectionAnswered) {
	b := h.shards[a.Request.Shard]
	if b == nil || b.fencingToken != a.Request.FencingToken {
		return
	}
	m := b.machines[a.Request.Machine]
	if m == nil {
		return
	}
	m.fencePending = false
	if a.Status == nil || m.terminated || m.tokenConfirmed {
		return
	}
	if a.Status.FencingToken > b.fencingToken {
		h.dropShard(b)
		return
	}
	h.applyStatus(now, b, m, a.Status, false)
	h.sendCommands(b, m, []wire.Command{})
}

func (r *taskAttempt) killCommand() wire.Command {
	grace := 0.0
	if r.stopMode == stopWithCheckpoint {
		grace = gracePeriod(r.group.SaveS)
	}
	return wire.Command{Verb: wire.VerbKill, Task: TaskName(r.task), Attempt: r.id, GraceS: &grace}
}

func (r *taskAttempt) runCommand() wire.Command {
	return wire.Command{Verb: wire.VerbRun, Task: TaskName(r.task), Attempt: r.id}
}

// gracePeriod leaves a task more time than it says it needs to save.
func gracePeriod(save float64) float64 { return save*1.5 + 2 }

// TaskName is a task as workers write it.
func TaskName(t peer.Task) string { return t.Job + "/" + strconv.Itoa(t.Index) }

// acceptsCommands says whether a direct command can be sent.
func (m *machine) acceptsCommands() bool { return m.address != "" && m.epoch > 0 }

// maxCommandsPerBatch is how many commands one message to a worker holds: at some 100 bytes each they stay
// below the 64 KiB that the protocol gives a body and a line of an answer.
const maxCommandsPerBatch = 500

// sendCommands sends commands to a worker, in as many messages as it takes; without any it only shows the token.
func (h *Holder) sendCommands(b *heldShard, m *machine, cmds []wire.Command) {
	if !m.acceptsCommands() {
		return // the next report's answer carries it
	}
	for {
		part := cmds[:min(len(cmds), maxCommandsPerBatch)]
		h.emit(SendCommands{Shard: b.id, Machine: m.name, Address: m.address,
			Body: wire.CommandBatch{FencingToken: b.fencingToken, AgentEpoch: m.epoch, Commands: part}})
		if cmds = cmds[len(part):]; len(cmds) == 0 {
			return
		}
	}
}

// limitToOneReply takes as many commands as one answer holds, those that end tasks first: the answer renews
// the lease that keeps them going. The others are given with the next, as all are until they show.
func limitToOneReply(cmds []wire.Command) []wire.Command {
	if len(cmds) <= maxCommandsPerBatch {
		return cmds
	}
	ends := func(c wire.Command) bool { return c.Verb == wire.VerbKill }
	first := slices.DeleteFunc(slices.Clone(cmds), func(c wire.Command) bool { return !ends(c) })
	return append(first, slices.DeleteFunc(cmds, ends)...)[:maxCommandsPerBatch]
}

// handleCommandsAnswered handles the end of a direct command.
func (h *Holder) handleCommandsAnswered(now clock.Micros, a CommandsAnswered) {
	b := h.shards[a.Request.Shard]
	if b == nil || b.fencingToken != a.Request.Body.FencingToken {
		return
	}
	m := b.machines[a.Request.Machine]
	if m == nil {
		return
	}
	if len(a.Request.Body.Commands) == 0 {
		m.fencePending = false
	}
	if m.terminated {
		return
	}
	if a.Status != nil && a.Status.FencingToken > b.fencingToken {
		h.dropShard(b)
		return
	}
	if a.Code == 200 || a.Code == 409 || a.Code == NotSent {
		// Answered or never sent: this copy is carried out or never will be.
		for _, c := range a.Request.Body.Commands {
			if c.Verb == wire.VerbRun {
				if r := m.attempt(c.Attempt); r != nil && r.unansweredRuns > 0 {
					r.unansweredRuns--
				}
			}
		}
	}
	if a.Status == nil {
		if m.unansweredCommands++; m.unansweredCommands >= maxUnansweredCommands {
			h.markUnreachable(now, b, m)
		}
		return
	}
	// It hears: what it said proves that a command came through.
	m.unansweredCommands = 0
	if m.unreachableSince > 0 {
		m.unreachableSince = 0
		b.markChanged(m)
	}
	h.applyStatus(now, b, m, a.Status, false)
}

// maxUnansweredCommands is how many direct commands in a row go without an answer before a
// machine counts as deaf.
const maxUnansweredCommands = 2

// markUnreachable notes that a machine does not hear us, though its reports may come: it
// gets no work until it has answered a command. Its tasks end with its lease; the
// next session that it reports proves it.
func (h *Holder) markUnreachable(now clock.Micros, b *heldShard, m *machine) {
	if m.unreachableSince == 0 {
		m.unreachableSince = now
		b.markChanged(m)
	}
}

// handleHeartbeat answers a worker.
func (h *Holder) handleHeartbeat(now clock.Micros, msg HeartbeatReceived) {
	if len(h.holders) == 0 {
		h.emit(HeartbeatReply{ReplyTo: msg.ReplyTo, Status: 503})
		return
	}
	r := msg.Heartbeat
	id := ForMachine(r.Machine, len(h.holders))
	b := h.shards[id]
	if b == nil || now >= b.expiresAt {
		if b != nil && b.machines[r.Machine] != nil {
			b.machines[r.Machine].isOutdated(now, r)
		}
		to := h.holders[id]
		if to == h.params.Controller {
			to = ""
		}
		h.emit(HeartbeatReply{ReplyTo: msg.ReplyTo, Status: 421, Redirect: wire.Redirect{Controller: to}})
		return
	}
	if r.FencingToken > b.fencingToken {
		// A newer holder has spoken to this machine.
		h.dropShard(b)
		h.emit(HeartbeatReply{ReplyTo: msg.ReplyTo, Status: 421})
		return
	}
	m := b.ensureMachine(r.Machine)
	if m.terminated {
		h.emit(HeartbeatReply{ReplyTo: msg.ReplyTo, Status: 503})
		return
	}
	if m.isOutdated(now, r) {
		h.emit(HeartbeatReply{ReplyTo: msg.ReplyTo, Status: 503})
		return
	}
	m.heartbeatEpoch, m.heartbeatSeq = r.AgentEpoch, r.Seq
	if r.AgentEpoch > m.epoch && m.epoch > 0 && m.lastReply > 0 && now-m.lastReply < h.params.AgentLease && m.tokenConfirmed {
		// Its lease ran out although we answered: the answers do not arrive.
		h.markUnreachable(now, b, m)
	}
	cmds := limitToOneReply(h.applyStatus(now, b, m, r, true))
	m.lastReply = now
	h.emit(HeartbeatReply{ReplyTo: msg.ReplyTo, Status: 200, Body: wire.HeartbeatResponse{FencingToken: b.fencingToken, Commands: cmds}})
}

// isOutdated says whether a worker's own report is not newer than the last. It is a late copy, as the
// worker sends one report at a time: nobody waits for an answer, and it renews no lease. Or the worker
// began anew under its name, and has its lease from then on: it hides that the machine is silent as far
// as that is to prove something.
func (m *machine) isOutdated(now clock.Micros, r *wire.Heartbeat) bool {
	newer := r.AgentEpoch > m.heartbeatEpoch || r.AgentEpoch == m.heartbeatEpoch && r.Seq > m.heartbeatSeq
	if !newer {
		m.lastOutdated = now
	}
	return !newer
}
