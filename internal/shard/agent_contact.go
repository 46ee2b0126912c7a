package shard

import (
	"swiftledge/internal/clock"
	"swiftledge/wire"
)

// StatusVersion orders the statuses of an agent, whether they come in heartbeats or in answers to requests. It rises
// with each status until the agent is restarted.
type StatusVersion struct {
	Epoch wire.AgentEpoch
	Seq   uint64
}

// versionOf returns the version of a status.
func versionOf(status *wire.Heartbeat) StatusVersion {
	return StatusVersion{status.AgentEpoch, status.Seq}
}

// isOlderThan reports whether the version is that of an older status of the same agent.
func (v StatusVersion) isOlderThan(other StatusVersion) bool {
	return v.Epoch < other.Epoch || v.Epoch == other.Epoch && v.Seq < other.Seq
}

// agentContact records the statuses and heartbeats exchanged with a machine's agent.
type agentContact struct {
	// epoch and seq identify the newest status, whether from a heartbeat or from the answer to a request.
	epoch wire.AgentEpoch
	seq   uint64
	// epochSince is when the first status of the epoch arrived.
	epochSince clock.Micros
	// heartbeatEpoch and heartbeatSeq identify the newest heartbeat.
	heartbeatEpoch wire.AgentEpoch
	heartbeatSeq   uint64

	lastStatus            clock.Micros // when the last status arrived
	lastReply             clock.Micros // when the last reply to a heartbeat was sent
	lastOutdatedHeartbeat clock.Micros // when the last outdated heartbeat arrived; see recordIfOutdated
}

// isNewer reports whether a status is newer than all earlier statuses. An older status proves nothing.
func (c *agentContact) isNewer(status *wire.Heartbeat) bool {
	return c.version().isOlderThan(versionOf(status))
}

// version returns the version of the newest status.
func (c *agentContact) version() StatusVersion { return StatusVersion{c.epoch, c.seq} }

// record stores a status as the newest one. It does not check that the status is newer: the caller checks it with
// isNewer.
func (c *agentContact) record(now clock.Micros, status *wire.Heartbeat) {
	if status.AgentEpoch > c.epoch {
		c.epochSince = now
	}
	c.epoch, c.seq, c.lastStatus = status.AgentEpoch, status.Seq, now
}

// recordIfOutdated reports whether a heartbeat is outdated, which means not newer than the newest heartbeat, and
// records when an outdated heartbeat arrived. There are two explanations. The heartbeat may be a late copy, because an
// agent sends one heartbeat at a time: then no agent waits for the reply, and no lease is renewed. Or a restarted agent
// uses the machine's name, and the lease of the restarted agent starts now. So an outdated heartbeat postpones the time
// after which silence proves that the machine's attempts have ended.
func (c *agentContact) recordIfOutdated(now clock.Micros, heartbeat *wire.Heartbeat) bool {
	if (StatusVersion{c.heartbeatEpoch, c.heartbeatSeq}).isOlderThan(versionOf(heartbeat)) {
		return false
	}
	c.lastOutdatedHeartbeat = now
	return true
}

// recordHeartbeat stores a heartbeat as the newest one. It does not check that the heartbeat is newer: the caller
// checks it with recordIfOutdated.
func (c *agentContact) recordHeartbeat(heartbeat *wire.Heartbeat) {
	c.heartbeatEpoch, c.heartbeatSeq = heartbeat.AgentEpoch, heartbeat.Seq
}

// maxUnansweredCommands is the number of consecutive unanswered requests after which a machine counts as unreachable.
const maxUnansweredCommands = 2

// commandChannel tracks whether commands reach an agent. The agent's heartbeats may arrive even when commands do not
// reach the agent.
type commandChannel struct {
	unanswered       int          // consecutive requests without an answer
	unreachableSince clock.Micros // 0: commands reach the agent
}

func (c *commandChannel) isUnreachable() bool { return c.unreachableSince > 0 }

// markUnreachable marks a machine that commands, or replies to its heartbeats, do not reach. The machine gets no tasks
// until its agent answers a command. The tasks on the machine end when the agent's lease expires. The next epoch that
// the agent reports proves this expiry.
func (h *Holder) markUnreachable(now clock.Micros, s *heldShard, m *machine) {
	if !m.commands.isUnreachable() {
		m.commands.unreachableSince = now
		s.markChanged(m)
	}
}

// recordUnanswered counts a request to a machine that got no answer.
func (h *Holder) recordUnanswered(now clock.Micros, s *heldShard, m *machine) {
	if m.commands.unanswered++; m.commands.unanswered >= maxUnansweredCommands {
		h.markUnreachable(now, s, m)
	}
}

// recordAnswered marks a machine as reachable because it answered a command.
func (s *heldShard) recordAnswered(m *machine) {
	m.commands.unanswered = 0
	if m.commands.isUnreachable() {
		m.commands.unreachableSince = 0
		s.markChanged(m)
	}
}
