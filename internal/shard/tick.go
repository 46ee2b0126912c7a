package shard

import (
	"maps"
	"slices"

	"swiftledge/internal/clock"
	"swiftledge/internal/peer"
)

// lateTickThreshold is the time between two Ticks from which this controller counts as overloaded: they
// are sent several times as often, so messages wait for longer than that to be handled.
const lateTickThreshold = 500 * clock.Millisecond

// overloadCooldown is how long after the last late Tick the controller still counts as overloaded.
const overloadCooldown = 2 * clock.Second

// overloaded says whether this controller has lately fallen behind with its messages.
func (h *Holder) overloaded(now clock.Micros) bool {
	return h.lastLateTick > 0 && now-h.lastLateTick < overloadCooldown
}

func (h *Holder) handleTick(now clock.Micros) {
	if h.lastTick > 0 && now-h.lastTick > lateTickThreshold {
		h.lastLateTick = now
	}
	h.lastTick = now
	if h.connected && now-h.lastRenewal >= clock.Second {
		h.sendRenew(now)
	}
	for _, id := range slices.Sorted(maps.Keys(h.shards)) {
		h.tickShard(now, h.shards[id])
	}
}

// terminatedRetention is how long a machine that is gone and was not heard since is remembered.
const terminatedRetention = 10 * 60 * clock.Second

func (h *Holder) tickShard(now clock.Micros, b *heldShard) {
	kept := 0
	for _, m := range b.machineOrder {
		kept += m.retainedAttempts()
		if !m.terminated {
			h.tickMachine(now, b, m)
		}
	}
	b.machineOrder = slices.DeleteFunc(b.machineOrder, func(m *machine) bool {
		forgotten := m.terminated && len(m.attempts) == 0 && now-m.lastStatus > terminatedRetention
		if forgotten {
			delete(b.machines, m.name)
		}
		return forgotten
	})
	// A worker that goes on to lose its tasks must not use up the tokens.
	stuck := b.needsHigherToken && now-b.grantedAt > h.params.AgentLease
	if (kept > b.maxRetainedAttempts() || stuck || !b.hasAttemptsLeft()) && !b.regrantRequested && h.connected {
		b.regrantRequested = true
		h.requestRegrant(b)
	}
	h.deleteEmptyPages(now, b)
	h.compact(now, b)
}

// retainedAttempts counts the attempts that are over and may not be forgotten yet.
func (m *machine) retainedAttempts() (n int) {
	for _, r := range m.attempts {
		if r.state == attemptExited && r.endPersisted && !r.canForget() {
			n++
		}
	}
	return n
}

// tickMachine judges a machine's silence.
func (h *Holder) tickMachine(now clock.Micros, b *heldShard, m *machine) {
	knows := m.lastStatus > 0 || len(m.attempts) > 0
	if silent := h.isSilent(now, b, m, knows); silent != m.silent {
		m.silent = silent
		b.markChanged(m)
	}
	if !m.leaseExpired && knows && now > h.leaseExpiry(b, m) {
		m.leaseExpired = true
		b.markChanged(m)
		for _, r := range slices.Clone(m.attempts) {
			if r.state != attemptRecording {
				b.removeAttempt(r, peer.EventReleased)
			}
		}
	}
	if (!m.tokenConfirmed && !m.leaseExpired && m.lastFence > 0 || m.unreachableSince > 0) && now-m.lastFence > h.fenceRetryInterval(now) {
		h.fence(now, b, m)
	}
	if fit := h.isSchedulable(now, b, m); fit != m.reportedSchedulable {
		b.markChanged(m)
	}
}

// isSilent says whether a machine that is known to be there has not been heard for long, or does not
// hear. One that is only in the roster may not be up yet; the leader knows which were.
func (h *Holder) isSilent(now clock.Micros, b *heldShard, m *machine, knows bool) bool {
	quiet := h.params.AgentLease * 11 / 20
	if m.preemptionNotice {
		quiet = min(quiet, h.params.HeartbeatInterval*5/2) // announced, so it needs no second look
	}
	since := h.pauseDetector.ExcludePause(max(m.lastStatus, b.grantedAt))
	return (knows || m.inInventory) && now-since > quiet || m.unreachableSince > 0 && now-m.unreachableSince > quiet
}

// leaseExpiry is when a silent machine's tasks are proven gone: after every grant that could have
// answered it, and the worker's lease. A session has its lease from its beginning, also when none of
// its reports was ever answered and its tasks were ordered directly.
func (h *Holder) leaseExpiry(b *heldShard, m *machine) clock.Micros {
	base := max(m.lastReply, m.epochSince, m.lastOutdated, b.grantedAt+h.params.LongestGrant.Longer())
	return base + h.params.AgentLease.Longer() + clock.Second
}
