package shard

import (
	"swiftledge/internal/clock"
	"swiftledge/wire"
)

// agentContact is what is known of the exchange of heartbeats with a machine's agent.
type agentContact struct {
	// epoch and seq are of the newest status, be it a heartbeat or the answer to a request of ours.
	epoch wire.AgentEpoch
	seq   uint64
	// epochSince is when a status first came from the epoch.
	epochSince clock.Micros
	// heartbeatEpoch and heartbeatSeq are of the newest heartbeat.
	heartbeatEpoch wire.AgentEpoch
	heartbeatSeq   uint64

	lastStatus   clock.Micros // when a status last came
	lastReply    clock.Micros // when a heartbeat was last answered
	lastOutdated clock.Micros // when a heartbeat last came that is not newer than the last
}

// isNewer says whether a status is newer than all before; an older one proves nothing.
func (c *agentContact) isNewer(status *wire.Heartbeat) bool {
	return isLater(status, c.epoch, c.seq)
}

// record takes in a status that is newer than all before.
func (c *agentContact) record(now clock.Micros, status *wire.Heartbeat) {
	if status.AgentEpoch > c.epoch {
		c.epochSince = now
	}
	c.epoch, c.seq, c.lastStatus = status.AgentEpoch, status.Seq, now
}

// noteOutdated returns whether a heartbeat is not newer than the last, and remembers when such a one came. It is a
// late copy, as an agent sends one heartbeat at a time: nobody waits for a reply, and it renews no lease. Or the
// agent began anew under its name, and has its lease from then on: it hides that the machine is silent as far as
// that is to prove something.
func (c *agentContact) noteOutdated(now clock.Micros, heartbeat *wire.Heartbeat) bool {
	if isLater(heartbeat, c.heartbeatEpoch, c.heartbeatSeq) {
		return false
	}
	c.lastOutdated = now
	return true
}

// recordHeartbeat takes in a heartbeat that is newer than the last.
func (c *agentContact) recordHeartbeat(heartbeat *wire.Heartbeat) {
	c.heartbeatEpoch, c.heartbeatSeq = heartbeat.AgentEpoch, heartbeat.Seq
}

func isLater(status *wire.Heartbeat, epoch wire.AgentEpoch, seq uint64) bool {
	return status.AgentEpoch > epoch || status.AgentEpoch == epoch && status.Seq > seq
}

// maxUnansweredCommands is how many requests in a row go without an answer before a machine counts as unreachable.
const maxUnansweredCommands = 2

// commandChannel is what is known of the way of commands to an agent, whose heartbeats may come all the same.
type commandChannel struct {
	unanswered       int          // requests without an answer, in a row
	unreachableSince clock.Micros // 0: commands arrive
}

func (c *commandChannel) isUnreachable() bool { return c.unreachableSince > 0 }

// markUnreachable notes that commands to a machine, or replies to its heartbeats, do not arrive: it gets no work until
// it has answered a command. Its tasks end with its lease; the next epoch that it reports proves it.
func (h *Holder) markUnreachable(now clock.Micros, s *heldShard, m *machine) {
	if !m.commands.isUnreachable() {
		m.commands.unreachableSince = now
		s.markChanged(m)
	}
}

// recordUnanswered notes that a request to a machine got no answer.
func (h *Holder) recordUnanswered(now clock.Micros, s *heldShard, m *machine) {
	if m.commands.unanswered++; m.commands.unanswered >= maxUnansweredCommands {
		h.markUnreachable(now, s, m)
	}
}

// recordAnswered notes that a command to a machine arrived.
func (s *heldShard) recordAnswered(m *machine) {
	m.commands.unanswered = 0
	if m.commands.isUnreachable() {
		m.commands.unreachableSince = 0
		s.markChanged(m)
	}
}
