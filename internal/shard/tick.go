package shard

import (
	"slices"

	"swiftledge/internal/clock"
)

const (
	// minRetainedLimit is the minimum number of retained attempts in a shard before a higher token is requested. A
	// retained attempt has ended, but its agent must keep listing it.
	minRetainedLimit = 100
	// machinesPerRetainedAttempt raises minRetainedLimit in a large shard to one retained attempt per this many
	// machines, because a new grant costs a message about each machine.
	machinesPerRetainedAttempt = 4
)

func (h *Holder) handleTick(now clock.Micros) {
	h.overload.observeTick(now)
	if h.leader.connected && now-h.leader.lastRenewal >= renewalInterval {
		h.sendRenewal(now)
	}
	for _, s := range h.shardsInOrder() {
		h.tickShard(now, s)
	}
}

func (h *Holder) tickShard(now clock.Micros, s *heldShard) {
	retained := 0
	for _, m := range s.machineOrder {
		retained += m.retainedAttempts()
		if !m.terminated {
			h.tickMachine(now, s, m)
		}
	}
	s.forgetTerminatedMachines(now)
	if h.leader.connected && !s.lease.regrantRequested && h.needsRegrant(now, s, retained) {
		s.lease.regrantRequested = true
		h.requestRegrant(s)
	}
	h.maintainLog(now, s)
}

// needsRegrant reports whether the shard needs a new lease with a higher token.
func (h *Holder) needsRegrant(now clock.Micros, s *heldShard, retained int) bool {
	// At most one token per agent lease: an agent that keeps losing its tasks must not use up the tokens.
	unsettled := s.lease.needsHigherToken && now-s.lease.grantedAt > h.params.AgentLease
	exposed := s.lease.agentRestarted && now-s.lease.grantedAt > fenceInterval
	return unsettled || exposed || s.attempts.isExhausted() || retained > s.maxRetainedAttempts()
}

// maxRetainedAttempts returns the number of retained attempts above which the shard needs a higher token.
func (s *heldShard) maxRetainedAttempts() int {
	return max(minRetainedLimit, len(s.machineOrder)/machinesPerRetainedAttempt)
}

// maintainLog deletes empty pages and compacts pages whose records are mostly stale.
func (h *Holder) maintainLog(now clock.Micros, s *heldShard) {
	s.log.dropEmptyPages(now)
	if s.lease.hasExpired(now) {
		return
	}
	if deletion, ok := s.log.nextDeletion(now, h.params.limits()); ok {
		h.emit(deletion)
	}
	if compaction, ok := s.log.compact(now, h.params.limits()); ok {
		h.emit(compaction)
	}
}

// tickMachine updates the state of a machine that depends on time: silence, agent lease, fencing and schedulability.
func (h *Holder) tickMachine(now clock.Micros, s *heldShard, m *machine) {
	mayHaveAgent := m.mayHaveAgent()
	if silent := h.isSilent(now, s, m); silent != m.silent {
		m.silent = silent
		s.markChanged(m)
	}
	if !m.leaseExpired && mayHaveAgent && now > h.agentLeaseEnd(s, m) {
		s.expireAgentLease(m)
	}
	h.fenceIfOverdue(now, s, m)
	if h.isSchedulable(now, s, m) != m.reportedSchedulable {
		s.markChanged(m)
	}
}

// expireAgentLease marks the agent's lease as expired, which proves that all attempts launched on the machine have
// ended.
func (s *heldShard) expireAgentLease(m *machine) {
	m.leaseExpired = true
	s.markChanged(m)
	for _, a := range slices.Clone(m.attempts) {
		if a.state != attemptRecording {
			s.removeAttempt(a)
		}
	}
}

// isSilent reports whether a machine that is known to exist has sent no status, or has been unreachable for commands,
// for longer than the timeout. A machine that is only listed in the inventory may not have booted yet. The leader knows
// which machines have booted.
func (h *Holder) isSilent(now clock.Micros, s *heldShard, m *machine) bool {
	timeout := h.params.AgentLease * 11 / 20
	if m.info.preemptionNotice {
		timeout = min(timeout, h.params.HeartbeatInterval*5/2) // the machine's end was announced: less evidence suffices
	}
	since := h.pauseDetector.ExcludePause(max(m.agent.lastStatus, s.lease.grantedAt))
	noStatus := (m.mayHaveAgent() || m.inInventory) && now-since > timeout
	return noStatus || m.commands.isUnreachable() && now-m.commands.unreachableSince > timeout
}

// agentLeaseEnd returns when the tasks of a silent machine are proven to have ended: one agent lease after the last
// shard lease under which its heartbeats could be answered. An agent epoch has a full agent lease from its start, even
// if no heartbeat of the epoch was ever answered and its tasks were launched by commands that this controller sent.
func (h *Holder) agentLeaseEnd(s *heldShard, m *machine) clock.Micros {
	lastGrantEnd := s.lease.grantedAt + h.params.LongestGrant.PlusDrift()
	lastRenewal := max(m.agent.lastReply, m.agent.epochSince, m.agent.lastOutdatedHeartbeat, lastGrantEnd)
	return lastRenewal + h.params.AgentLease.PlusDrift() + clock.Second
}
