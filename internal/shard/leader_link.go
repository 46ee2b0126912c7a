package shard

import (
	"swiftledge/internal/clock"
	"swiftledge/internal/cluster"
	"swiftledge/internal/peer"
)

const (
	// renewalInterval is the pause between two requests to renew the shard leases.
	renewalInterval = clock.Second
	// maxPendingRenewals is how many requests are remembered while their answers may come.
	maxPendingRenewals = 16

	// updateInterval is how long what the leader is to know is gathered, so that many heartbeats cost it one message;
	// what it waits for goes at once.
	updateInterval = 150 * clock.Millisecond
	// updateIntervalViaStore is the same on a link whose messages take seconds.
	updateIntervalViaStore = clock.Second
)

// leaderLink is the link to the leader of a term.
type leaderLink struct {
	term        cluster.Term
	connected   bool
	viaStore    bool
	renewSeq    uint64                  // of the last request to renew
	renewSentAt map[uint64]clock.Micros // when a request was sent, by its number
	lastRenewal clock.Micros
	lastUpdate  clock.Micros
}

func (l *leaderLink) disconnect(term cluster.Term) {
	if term == l.term {
		l.connected = false
	}
}

// isCurrent says whether a message of a term counts: one of another leader is late, or from a link that outlived its
// term.
func (l *leaderLink) isCurrent(term cluster.Term) bool { return term == l.term && l.connected }

// nextRenewal numbers a request to renew that is sent now.
func (l *leaderLink) nextRenewal(now clock.Micros) uint64 {
	l.renewSeq++
	l.lastRenewal = now
	l.renewSentAt[l.renewSeq] = now
	delete(l.renewSentAt, l.renewSeq-maxPendingRenewals)
	return l.renewSeq
}

// isUpdateDue says whether what has gathered is to be sent.
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

// minSilentAgents is how many agents must fall silent together to point at this controller's own network instead of
// them.
const minSilentAgents = 3

// hasLostAgentContact says whether all agents fell silent at once, so that another controller had better speak to
// them before their leases expire.
func (h *Holder) hasLostAgentContact(now clock.Micros) bool {
	// Each agent sends a heartbeat at least every 1.25 intervals.
	timeout := h.params.HeartbeatInterval*3/2 + clock.Second/2
	if now-h.pauseDetector.ExcludePause(h.lastStatus) < timeout {
		return false
	}
	agents := 0
	for _, s := range h.shards {
		if now-s.lease.grantedAt < timeout+clock.Second {
			return false // its agents are still on their way here
		}
		for _, m := range s.machineOrder {
			if m.isKnownToRun() && !m.terminated && !m.leaseExpired {
				agents++
			}
		}
	}
	return agents >= minSilentAgents
}
