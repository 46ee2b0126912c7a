package shard

import (
	"slices"

	"swiftledge/internal/clock"
)

const (
	// minRetainedLimit is how many attempts that must stay listed a shard keeps at least before a higher token is
	// requested.
	minRetainedLimit = 100
	// machinesPerRetained is for how many machines of a shard one more is kept: a new grant costs a message about each
	// machine.
	machinesPerRetained = 4
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

// needsRegrant says whether the shard needs a new lease, with a higher token.
func (h *Holder) needsRegrant(now clock.Micros, s *heldShard, retained int) bool {
	// An agent that goes on to lose its tasks must not use up the tokens.
	unsettled := s.lease.needsHigherToken && now-s.lease.grantedAt > h.params.AgentLease
	return unsettled || s.attempts.isExhausted() || retained > s.maxRetainedAttempts()
}

// maxRetainedAttempts is how many attempts that must stay listed the shard keeps.
func (s *heldShard) maxRetainedAttempts() int {
	return max(minRetainedLimit, len(s.machineOrder)/machinesPerRetained)
}

// maintainLog deletes pages that are empty, and compacts those that nearly are.
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

// tickMachine judges a machine's silence.
func (h *Holder) tickMachine(now clock.Micros, s *heldShard, m *machine) {
	knownToRun := m.isKnownToRun()
	if silent := h.isSilent(now, s, m); silent != m.silent {
		m.silent = silent
		s.markChanged(m)
	}
	if !m.leaseExpired && knownToRun && now > h.agentLeaseEnd(s, m) {
		s.expireAgentLease(m)
	}
	h.fenceIfOverdue(now, s, m)
	if h.isSchedulable(now, s, m) != m.reportedSchedulable {
		s.markChanged(m)
	}
}

// expireAgentLease takes in that what was launched on a machine is proven gone.
func (s *heldShard) expireAgentLease(m *machine) {
	m.leaseExpired = true
	s.markChanged(m)
	for _, a := range slices.Clone(m.attempts) {
		if a.state != attemptRecording {
			s.removeAttempt(a)
		}
	}
}

// isSilent says whether a machine that is known to be there has not been heard for long, or whether commands have not
// arrived there for long. One that is only in the inventory may not be up yet; the leader knows which were.
func (h *Holder) isSilent(now clock.Micros, s *heldShard, m *machine) bool {
	timeout := h.params.AgentLease * 11 / 20
	if m.info.preemptionNotice {
		timeout = min(timeout, h.params.HeartbeatInterval*5/2) // announced, so it needs no second look
	}
	since := h.pauseDetector.ExcludePause(max(m.agent.lastStatus, s.lease.grantedAt))
	unheard := (m.isKnownToRun() || m.inInventory) && now-since > timeout
	return unheard || m.commands.isUnreachable() && now-m.commands.unreachableSince > timeout
}

// agentLeaseEnd is when a silent machine's tasks are proven gone: after every shard lease under which its heartbeats
// could be answered, and the agent's lease. An epoch has its lease from its beginning, also when none of its heartbeats
// was ever answered and its tasks were launched by commands of our own.
func (h *Holder) agentLeaseEnd(s *heldShard, m *machine) clock.Micros {
	lastGrantEnd := s.lease.grantedAt + h.params.LongestGrant.Longer()
	lastRenewal := max(m.agent.lastReply, m.agent.epochSince, m.agent.lastOutdated, lastGrantEnd)
	return lastRenewal + h.params.AgentLease.Longer() + clock.Second
}
