package shard

import (
	"maps"
	"slices"

	"swiftledge/internal/clock"
	"swiftledge/internal/peer"
)

// lateTick is the time between two Ticks from which this controller counts as overloaded: they
// are sent several times as often, so messages wait for longer than that to be handled.
const lateTick = 500 * clock.Millisecond

// overloadMemory is how long after the last late Tick the controller still counts as overloaded.
const overloadMemory = 2 * clock.Second

// overloaded says whether this controller has lately fallen behind with its messages.
func (h *Holder) overloaded(now clock.Micros) bool {
	return h.late > 0 && now-h.late < overloadMemory
}

func (h *Holder) tick(now clock.Micros) {
	if h.ticked > 0 && now-h.ticked > lateTick {
		h.late = now
	}
	h.ticked = now
	if h.linked && now-h.renewed >= clock.Second {
		h.sendRenew(now)
	}
	for _, id := range slices.Sorted(maps.Keys(h.blocks)) {
		h.tickBlock(now, h.blocks[id])
	}
}

// goneMemory is how long a machine that is gone and was not heard since is remembered.
const goneMemory = 10 * 60 * clock.Second

func (h *Holder) tickBlock(now clock.Micros, b *heldBlock) {
	kept := 0
	for _, m := range b.order {
		kept += m.lingering()
		if !m.gone {
			h.tickMachine(now, b, m)
		}
	}
	b.order = slices.DeleteFunc(b.order, func(m *machine) bool {
		forgotten := m.gone && len(m.recs) == 0 && now-m.heard > goneMemory
		if forgotten {
			delete(b.machines, m.name)
		}
		return forgotten
	})
	// A worker that goes on to lose its tasks must not use up the tokens.
	stuck := b.stuck && now-b.since > h.p.AgentLease
	if (kept > b.mostLingering() || stuck || !b.attemptsLeft()) && !b.raise && h.linked {
		b.raise = true
		h.askAnew(b)
	}
	h.eraseEmptyPages(now, b)
	h.compact(now, b)
}

// lingering counts the attempts that are over and may not be forgotten yet.
func (m *machine) lingering() (n int) {
	for _, r := range m.recs {
		if r.state == exited && r.stored && !r.forgettable() {
			n++
		}
	}
	return n
}

// tickMachine judges a machine's silence.
func (h *Holder) tickMachine(now clock.Micros, b *heldBlock, m *machine) {
	knows := m.heard > 0 || len(m.recs) > 0
	if silent := h.isSilent(now, b, m, knows); silent != m.silent {
		m.silent = silent
		b.mark(m)
	}
	if !m.lost && knows && now > h.leaseEnd(b, m) {
		m.lost = true
		b.mark(m)
		for _, r := range slices.Clone(m.recs) {
			if r.state != recording {
				b.lose(r, peer.EventReleased)
			}
		}
	}
	if (!m.shown && !m.lost && m.fenced > 0 || m.deaf > 0) && now-m.fenced > h.fencePatience(now) {
		h.fence(now, b, m)
	}
	if fit := h.fit(now, b, m); fit != m.wasFit {
		b.mark(m)
	}
}

// isSilent says whether a machine that is known to be there has not been heard for long, or does not
// hear. One that is only in the roster may not be up yet; the leader knows which were.
func (h *Holder) isSilent(now clock.Micros, b *heldBlock, m *machine, knows bool) bool {
	quiet := h.p.AgentLease * 11 / 20
	if m.notice {
		quiet = min(quiet, h.p.HeartbeatInterval*5/2) // announced, so it needs no second look
	}
	since := h.pauses.ExcludePause(max(m.heard, b.since))
	return (knows || m.known) && now-since > quiet || m.deaf > 0 && now-m.deaf > quiet
}

// leaseEnd is when a silent machine's tasks are proven gone: after every grant that could have
// answered it, and the worker's lease. A session has its lease from its beginning, also when none of
// its reports was ever answered and its tasks were ordered directly.
func (h *Holder) leaseEnd(b *heldBlock, m *machine) clock.Micros {
	base := max(m.answered, m.began, m.stale, b.since+h.p.LongestGrant.Longer())
	return base + h.p.AgentLease.Longer() + clock.Second
}
