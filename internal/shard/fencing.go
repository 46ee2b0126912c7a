package shard

import (
	"swiftledge/internal/clock"
	"swiftledge/internal/peer"
	"swiftledge/wire"
)

const (
	// fenceInterval is how long a machine may take to confirm the fencing token, or to answer a command, before the
	// token is sent to the machine, and the time between repeats.
	fenceInterval = 4 * clock.Second
	// maxFencesPerGrant is the maximum number of a shard's machines that are sent the token right after a grant.
	maxFencesPerGrant = 24
)

// tokenFence tracks whether a machine has confirmed the fencing token of this lease. An agent obeys no command under a
// token that is older than the newest token that the agent has seen.
type tokenFence struct {
	confirmed      bool         // the agent's status has shown the token
	lastRequest    clock.Micros // when the token was last sent, or sending it was last postponed
	requestPending bool         // the last request has no answer yet
	urgent         bool         // late copies of commands under the last token may arrive: send the token with the grant
}

// fenceRetryInterval returns fenceInterval, or twice as long under overload, when most heartbeats have arrived and
// only wait for their replies.
func (h *Holder) fenceRetryInterval(now clock.Micros) clock.Micros {
	if h.overload.isActive(now) {
		return 2 * fenceInterval
	}
	return fenceInterval
}

// fence sends a machine the fencing token without waiting for the machine's heartbeat. A former holder that is
// partitioned from the other controllers may keep answering the machine's heartbeats until the former holder's shard
// lease expires, but redirects the agent as soon as the agent reports the newer token.
//
// Each machine has at most one request with the token in flight. Commands to unreachable machines take seconds to fail,
// and thousands of such commands in the queue would delay the commands to all other machines.
func (h *Holder) fence(now clock.Micros, s *heldShard, m *machine) {
	if m.info.address == "" || m.terminated {
		return
	}
	m.fence.lastRequest = now
	if m.fence.requestPending {
		return
	}
	m.fence.requestPending = true
	if m.agent.epoch > 0 {
		h.sendToken(s, m, m.agent.epoch)
		return
	}
	h.emit(InspectAgent{Shard: s.id, FencingToken: s.lease.fencingToken, Machine: m.name, Address: m.info.address,
		Known: m.agent.version()})
}

// sendToken sends a machine an empty list of commands, which conveys the fencing token, for an epoch of the agent.
func (h *Holder) sendToken(s *heldShard, m *machine, epoch wire.AgentEpoch) {
	if m.info.address != "" && epoch > 0 {
		h.sendBatch(s, m, epoch, []wire.Command{})
	}
}

// fenceAfterGrant sends the new token at once to some machines, and to those whose agents were restarted. Most agents
// send a heartbeat within moments and get the token with the reply. A command to each of hundreds of machines would
// cost more than the rest of a failover. Machines that send no heartbeat are fenced by handleTick.
func (h *Holder) fenceAfterGrant(now clock.Micros, s *heldShard, inventory []peer.InventoryMachine) {
	for i, listed := range inventory {
		m := s.machines[listed.Name]
		if m.fence.urgent || i < maxFencesPerGrant && !h.overload.isActive(now) {
			h.fence(now, s, m)
		} else {
			m.fence.lastRequest = now
		}
	}
}

// fenceIfOverdue resends the token to a machine that has not confirmed the token or that commands do not reach.
func (h *Holder) fenceIfOverdue(now clock.Micros, s *heldShard, m *machine) {
	unconfirmed := !m.fence.confirmed && !m.leaseExpired && m.fence.lastRequest > 0
	if (unconfirmed || m.commands.isUnreachable()) && now-m.fence.lastRequest > h.fenceRetryInterval(now) {
		h.fence(now, s, m)
	}
}

// handleInspectionAnswered applies the status of an agent whose epoch was unknown, and sends the agent the fencing
// token.
func (h *Holder) handleInspectionAnswered(now clock.Micros, answer InspectionAnswered) {
	s, m := h.machineWithToken(answer.Request.Shard, answer.Request.FencingToken, answer.Request.Machine)
	if m == nil {
		return
	}
	m.fence.requestPending = false
	if answer.Status == nil || m.terminated || m.fence.confirmed {
		return
	}
	if answer.Status.FencingToken > s.lease.fencingToken {
		h.dropShard(s)
		return
	}
	h.detectRestart(s, m, answer.Request.Known, answer.Status)
	h.applyStatus(now, s, m, answer.Status, fromRequest)
	h.sendToken(s, m, answer.Status.AgentEpoch)
}
