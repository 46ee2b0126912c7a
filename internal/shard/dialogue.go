package shard

import (
	"slices"
	"strconv"

	"swiftledge/internal/clock"
	"swiftledge/internal/peer"
	"swiftledge/wire"
)

// blindAmong is how many workers must fall silent together to point at this
// controller's own network instead of them.
const blindAmong = 3

// blind says whether all workers fell silent at once, so that another controller
// had better speak to them before their leases run out.
func (h *Holder) blind(now clock.Micros) bool {
	// Each reports at least every 1.25 report times.
	long := h.p.HeartbeatInterval*3/2 + clock.Second/2
	if now-h.pauses.ExcludePause(h.heard) < long {
		return false
	}
	n := 0
	for _, b := range h.blocks {
		if now-b.since < long+clock.Second {
			return false // its workers are still on their way here
		}
		for _, m := range b.order {
			if (m.heard > 0 || len(m.recs) > 0) && !m.gone && !m.lost {
				n++
			}
		}
	}
	return n >= blindAmong
}

// fenceAfter is how long a machine may take to show our token, or an answer, before
// it is told directly, and told again.
const fenceAfter = 4 * clock.Second

// fencePatience is fenceAfter, or twice as long under overload: then most reports only wait to be
// answered.
func (h *Holder) fencePatience(now clock.Micros) clock.Micros {
	if h.overloaded(now) {
		return 2 * fenceAfter
	}
	return fenceAfter
}

// answerCarriesRuns says whether run orders for a machine wait for its next report. A direct
// command costs the controller more than to answer a report, so under overload the reports of
// machines that are in touch carry the orders, a report time later at most.
func (h *Holder) answerCarriesRuns(now clock.Micros, m *machine) bool {
	return h.overloaded(now) && m.answered > 0 && now-m.answered < h.p.HeartbeatInterval
}

// fenceAtOnce is how many of a block's machines are told directly when it is granted.
const fenceAtOnce = 24

// fence shows a machine our token without waiting for its report, which an older
// holder that is cut off from the others may go on answering until its grant ends.
// That holder turns the worker away as soon as it reports the newer token.
//
// One at a time: to machines that cannot be reached a command takes seconds to fail, and thousands of
// those in line would hold up the commands to all others.
func (h *Holder) fence(now clock.Micros, b *heldBlock, m *machine) {
	if m.address == "" || m.gone {
		return
	}
	m.fenced = now
	if m.fencing {
		return
	}
	m.fencing = true
	if m.session > 0 {
		h.direct(b, m, []wire.Command{})
		return
	}
	h.emit(InspectAgent{Shard: b.id, FencingToken: b.token, Machine: m.name, Address: m.address})
}

func (h *Holder) inspected(now clock.Micros, a InspectionAnswered) {
	b := h.blocks[a.Request.Shard]
	if b == nil || b.token != a.Request.FencingToken {
		return
	}
	m := b.machines[a.Request.Machine]
	if m == nil {
		return
	}
	m.fencing = false
	if a.Status == nil || m.gone || m.shown {
		return
	}
	if a.Status.FencingToken > b.token {
		h.void(b)
		return
	}
	h.observe(now, b, m, a.Status, false)
	h.direct(b, m, []wire.Command{})
}

func (r *taskAttempt) kill() wire.Command {
	grace := 0.0
	if r.stop == stopWithSave {
		grace = graceFor(r.group.SaveS)
	}
	return wire.Command{Verb: wire.VerbKill, Task: TaskName(r.task), Attempt: r.attempt, GraceS: &grace}
}

func (r *taskAttempt) run() wire.Command {
	return wire.Command{Verb: wire.VerbRun, Task: TaskName(r.task), Attempt: r.attempt}
}

// graceFor leaves a task more time than it says it needs to save.
func graceFor(save float64) float64 { return save*1.5 + 2 }

// TaskName is a task as workers write it.
func TaskName(t peer.Task) string { return t.Job + "/" + strconv.Itoa(t.Index) }

// reachable says whether a direct command can be sent.
func (m *machine) reachable() bool { return m.address != "" && m.session > 0 }

// mostCommands is how many commands one message to a worker holds: at some 100 bytes each they stay
// below the 64 KiB that the protocol gives a body and a line of an answer.
const mostCommands = 500

// direct sends commands to a worker, in as many messages as it takes; without any it only shows the token.
func (h *Holder) direct(b *heldBlock, m *machine, cmds []wire.Command) {
	if !m.reachable() {
		return // the next report's answer carries it
	}
	for {
		part := cmds[:min(len(cmds), mostCommands)]
		h.emit(SendCommands{Shard: b.id, Machine: m.name, Address: m.address,
			Body: wire.CommandBatch{FencingToken: b.token, AgentEpoch: m.session, Commands: part}})
		if cmds = cmds[len(part):]; len(cmds) == 0 {
			return
		}
	}
}

// inOneAnswer takes as many commands as one answer holds, those that end tasks first: the answer renews
// the lease that keeps them going. The others are given with the next, as all are until they show.
func inOneAnswer(cmds []wire.Command) []wire.Command {
	if len(cmds) <= mostCommands {
		return cmds
	}
	ends := func(c wire.Command) bool { return c.Verb == wire.VerbKill }
	first := slices.DeleteFunc(slices.Clone(cmds), func(c wire.Command) bool { return !ends(c) })
	return append(first, slices.DeleteFunc(cmds, ends)...)[:mostCommands]
}

// answered handles the end of a direct command.
func (h *Holder) answered(now clock.Micros, a CommandsAnswered) {
	b := h.blocks[a.Request.Shard]
	if b == nil || b.token != a.Request.Body.FencingToken {
		return
	}
	m := b.machines[a.Request.Machine]
	if m == nil {
		return
	}
	if len(a.Request.Body.Commands) == 0 {
		m.fencing = false
	}
	if m.gone {
		return
	}
	if a.Status != nil && a.Status.FencingToken > b.token {
		h.void(b)
		return
	}
	if a.Code == 200 || a.Code == 409 || a.Code == NotSent {
		// Answered or never sent: this copy is carried out or never will be.
		for _, c := range a.Request.Body.Commands {
			if c.Verb == wire.VerbRun {
				if r := m.find(c.Attempt); r != nil && r.inflight > 0 {
					r.inflight--
				}
			}
		}
	}
	if a.Status == nil {
		if m.unanswered++; m.unanswered >= deafAfter {
			h.deafen(now, b, m)
		}
		return
	}
	// It hears: what it said proves that a command came through.
	m.unanswered = 0
	if m.deaf > 0 {
		m.deaf = 0
		b.mark(m)
	}
	h.observe(now, b, m, a.Status, false)
}

// deafAfter is how many direct commands in a row go without an answer before a
// machine counts as deaf.
const deafAfter = 2

// deafen notes that a machine does not hear us, though its reports may come: it
// gets no work until it has answered a command. Its tasks end with its lease; the
// next session that it reports proves it.
func (h *Holder) deafen(now clock.Micros, b *heldBlock, m *machine) {
	if m.deaf == 0 {
		m.deaf = now
		b.mark(m)
	}
}

// report answers a worker.
func (h *Holder) report(now clock.Micros, msg HeartbeatReceived) {
	if len(h.holders) == 0 {
		h.emit(HeartbeatReply{ReplyTo: msg.ReplyTo, Status: 503})
		return
	}
	r := msg.Heartbeat
	id := ForMachine(r.Machine, len(h.holders))
	b := h.blocks[id]
	if b == nil || now >= b.expires {
		if b != nil && b.machines[r.Machine] != nil {
			b.machines[r.Machine].outdated(now, r)
		}
		to := h.holders[id]
		if to == h.p.Controller {
			to = ""
		}
		h.emit(HeartbeatReply{ReplyTo: msg.ReplyTo, Status: 421, Redirect: wire.Redirect{Controller: to}})
		return
	}
	if r.FencingToken > b.token {
		// A newer holder has spoken to this machine.
		h.void(b)
		h.emit(HeartbeatReply{ReplyTo: msg.ReplyTo, Status: 421})
		return
	}
	m := b.machine(r.Machine)
	if m.gone {
		h.emit(HeartbeatReply{ReplyTo: msg.ReplyTo, Status: 503})
		return
	}
	if m.outdated(now, r) {
		h.emit(HeartbeatReply{ReplyTo: msg.ReplyTo, Status: 503})
		return
	}
	m.beatSession, m.beatSeq = r.AgentEpoch, r.Seq
	if r.AgentEpoch > m.session && m.session > 0 && m.answered > 0 && now-m.answered < h.p.AgentLease && m.shown {
		// Its lease ran out although we answered: the answers do not arrive.
		h.deafen(now, b, m)
	}
	cmds := inOneAnswer(h.observe(now, b, m, r, true))
	m.answered = now
	h.emit(HeartbeatReply{ReplyTo: msg.ReplyTo, Status: 200, Body: wire.HeartbeatResponse{FencingToken: b.token, Commands: cmds}})
}

// outdated says whether a worker's own report is not newer than the last. It is a late copy, as the
// worker sends one report at a time: nobody waits for an answer, and it renews no lease. Or the worker
// began anew under its name, and has its lease from then on: it hides that the machine is silent as far
// as that is to prove something.
func (m *machine) outdated(now clock.Micros, r *wire.Heartbeat) bool {
	newer := r.AgentEpoch > m.beatSession || r.AgentEpoch == m.beatSession && r.Seq > m.beatSeq
	if !newer {
		m.stale = now
	}
	return !newer
}
