package shard

import (
	"swiftledge/internal/clock"
	"swiftledge/internal/cluster"
	"swiftledge/internal/peer"
)

const (
	// renewalInterval is the time between two requests to renew the shard leases.
	renewalInterval = clock.Second
	// maxPendingRenewals limits the renewal requests whose answers are still accepted.
	maxPendingRenewals = 16

	// updateInterval is how long changes are batched before they are sent to the leader, so that many heartbeats cost
	// the leader one message. Urgent updates, which the leader waits for, are sent at once.
	updateInterval = 150 * clock.Millisecond
	// updateIntervalViaStore replaces updateInterval on a link through the store, whose messages take seconds.
	updateIntervalViaStore = clock.Second
)

// leaderLink is the link to the leader of a term.
type leaderLink struct {
	term        cluster.Term
	connected   bool
	viaStore    bool                    // messages are carried in frames through the store
	renewSeq    uint64                  // number of the last renewal request
	renewSentAt map[uint64]clock.Micros // when each renewal request was sent, by its number
	lastRenewal clock.Micros            // when the last renewal request was sent
	lastUpdate  clock.Micros            // when the last update was sent
}

func (l *leaderLink) disconnect(term cluster.Term) {
	if term == l.term {
		l.connected = false
	}
}

// isCurrent reports whether messages of a term are accepted. A message of another term is late, or came over a link
// that outlived its term.
func (l *leaderLink) isCurrent(term cluster.Term) bool { return term == l.term && l.connected }

// nextRenewal returns the number of a renewal request that is sent now.
func (l *leaderLink) nextRenewal(now clock.Micros) uint64 {
	l.renewSeq++
	l.lastRenewal = now
	l.renewSentAt[l.renewSeq] = now
	delete(l.renewSentAt, l.renewSeq-maxPendingRenewals)
	return l.renewSeq
}

// isUpdateDue reports whether it is time to send the batched changes.
func (l *leaderLink) isUpdateDue(now clock.Micros) bool {
	interval := updateInterval
	if l.viaStore {
		interval = updateIntervalViaStore
	}
	return now-l.lastUpdate >= interval
}

func (h *Holder) handleLeaderConnected(now clock.Micros, m LeaderConnected) {
	if m.Term < h.leader.term {
		return
	}
	h.leader.term, h.leader.connected, h.leader.viaStore = m.Term, true, m.ViaStore
	h.leader.renewSentAt = map[uint64]clock.Micros{}
	h.sendRenewal(now)
}

// sendRenewal asks the leader to renew the shard leases.
func (h *Holder) sendRenewal(now clock.Micros) {
	h.emit(SendToLeader{peer.ToLeader{
		Term:           h.leader.term,
		RenewSeq:       h.leader.nextRenewal(now),
		StoreOK:        h.storeOK(),
		NoAgentContact: h.hasLostAgentContact(now),
	}})
}

// minSilentAgents is the number of agents that must fall silent together to indicate a fault of this controller's
// network and not of the agents.
const minSilentAgents = 3

// hasLostAgentContact reports whether all agents fell silent at once. Another controller should then take over before
// the agents' leases expire.
func (h *Holder) hasLostAgentContact(now clock.Micros) bool {
	// Each agent sends a heartbeat at least every 1.25 intervals.
	timeout := h.params.HeartbeatInterval*3/2 + clock.Second/2
	if now-h.pauseDetector.ExcludePause(h.lastStatus) < timeout {
		return false
	}
	agents := 0
	for _, s := range h.shards {
		if now-s.lease.grantedAt < timeout+clock.Second {
			return false // the shard's agents may not have been redirected to this controller yet
		}
		for _, m := range s.machineOrder {
			if m.mayHaveAgent() && !m.terminated && !m.leaseExpired {
				agents++
			}
		}
	}
	return agents >= minSilentAgents
}
