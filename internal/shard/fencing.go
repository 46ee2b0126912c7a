package shard

import (
	"swiftledge/internal/clock"
	"swiftledge/internal/peer"
	"swiftledge/wire"
)

const (
	// fenceInterval is how long a machine may take to confirm our token, or to answer, before it is shown the token
	// by a command, and shown it again.
	fenceInterval = 4 * clock.Second
	// maxFencesPerGrant is how many of a shard's machines are shown the token at once when it is granted.
	maxFencesPerGrant = 24
)

// tokenFence is how far our fencing token has come to a machine. An agent obeys no older token than the newest that
// it has seen.
type tokenFence struct {
	confirmed   bool         // the agent has named our token
	lastRequest clock.Micros // when the agent was last to be shown the token by a command
	pending     bool         // that command has no answer yet
}

// fenceRetryInterval is fenceInterval, or twice as long under overload: then most heartbeats only wait for their
// replies.
func (h *Holder) fenceRetryInterval(now clock.Micros) clock.Micros {
	if h.overload.isActive(now) {
		return 2 * fenceInterval
	}
	return fenceInterval
}

// fence shows a machine our token without waiting for its heartbeat, which an older holder that is cut off from the
// others may go on answering until its lease expires. That holder turns the agent away as soon as it reports the
// newer token.
//
// There is one request at a time: to machines that cannot be reached a command takes seconds to fail, and thousands
// of those in line would hold up the commands to all others.
func (h *Holder) fence(now clock.Micros, s *heldShard, m *machine) {
	if m.info.address == "" || m.terminated {
		return
	}
	m.fence.lastRequest = now
	if m.fence.pending {
		return
	}
	m.fence.pending = true
	if m.agent.epoch > 0 {
		h.sendToken(s, m)
		return
	}
	h.emit(InspectAgent{Shard: s.id, FencingToken: s.lease.fencingToken, Machine: m.name, Address: m.info.address})
}

// sendToken sends a machine no commands, which shows it our token.
func (h *Holder) sendToken(s *heldShard, m *machine) { h.sendCommands(s, m, []wire.Command{}) }

// fenceAfterGrant shows some machines the new token at once. Most agents send a heartbeat within moments, which shows
// it to them; a command to each of hundreds would cost more than all else in a failover. Those that send none are
// fenced by handleTick.
func (h *Holder) fenceAfterGrant(now clock.Micros, s *heldShard, inventory []peer.InventoryMachine) {
	for i, listed := range inventory {
		if m := s.machines[listed.Name]; i < maxFencesPerGrant && !h.overload.isActive(now) {
			h.fence(now, s, m)
		} else {
			m.fence.lastRequest = now
		}
	}
}

// fenceIfOverdue shows the token once more to a machine that has not confirmed it, or whose commands do not arrive.
func (h *Holder) fenceIfOverdue(now clock.Micros, s *heldShard, m *machine) {
	unconfirmed := !m.fence.confirmed && !m.leaseExpired && m.fence.lastRequest > 0
	if (unconfirmed || m.commands.isUnreachable()) && now-m.fence.lastRequest > h.fenceRetryInterval(now) {
		h.fence(now, s, m)
	}
}

// handleInspectionAnswered takes in the status of an agent whose epoch was not known, and shows it our token.
func (h *Holder) handleInspectionAnswered(now clock.Micros, answer InspectionAnswered) {
	s, m := h.machineUnder(answer.Request.Shard, answer.Request.FencingToken, answer.Request.Machine)
	if m == nil {
		return
	}
	m.fence.pending = false
	if answer.Status == nil || m.terminated || m.fence.confirmed {
		return
	}
	if answer.Status.FencingToken > s.lease.fencingToken {
		h.dropShard(s)
		return
	}
	h.applyStatus(now, s, m, answer.Status, fromRequest)
	h.sendToken(s, m)
}
