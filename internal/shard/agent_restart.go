package shard

import (
	"swiftledge/internal/clock"
	"swiftledge/wire"
)

// An agent that is restarted under its name, within a second or so, has lost its tasks, its token and its count of
// statuses. It executes late copies of all run commands for its epoch again, also of those that were executed and
// answered before and whose attempts have ended since. Only a higher token makes it refuse them.

// probeForRestart handles an outdated heartbeat. It is a late copy, or its agent was restarted. An agent that has shown
// the lease's token shows a lower one in both cases alone, so the agent is asked for its status, which tells the two
// apart. The question conveys the token, too.
func (h *Holder) probeForRestart(now clock.Micros, s *heldShard, m *machine, heartbeat *wire.Heartbeat) {
	suspicious := m.fence.confirmed && heartbeat.FencingToken < s.lease.fencingToken
	canBeAsked := m.info.address != "" && heartbeat.AgentEpoch > 0
	if !suspicious || !canBeAsked || m.fence.requestPending || now-m.fence.lastRequest < fenceInterval {
		return
	}
	m.fence.lastRequest, m.fence.requestPending = now, true
	h.sendToken(s, m, heartbeat.AgentEpoch)
}

// detectRestart compares the status in the answer to a request with the newest status that was known when the request
// was sent. The versions of an agent's statuses rise, so an older one proves that the agent was restarted in between.
func (h *Holder) detectRestart(s *heldShard, m *machine, known StatusVersion, status *wire.Heartbeat) {
	if !versionOf(status).isOlderThan(known) {
		return
	}
	h.recordRestart(s, m)
	if status.FencingToken < s.lease.fencingToken {
		h.sendToken(s, m, status.AgentEpoch) // the request was for the epoch before the restart
	}
}

// recordRestart records that a machine's agent was restarted, and logs it once under a lease. If a late copy of a run
// command under the lease's token may arrive there, the shard needs a higher token.
func (h *Holder) recordRestart(s *heldShard, m *machine) {
	s.lease.agentRestarted = s.lease.agentRestarted || m.runCommandSent
	if m.restarted {
		return
	}
	m.restarted = true
	h.emit(Log{Message: "agent was restarted", Attributes: []any{"machine", m.name, "shard", s.id}})
}
