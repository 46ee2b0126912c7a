// Package election elects the leader among the controllers. The leader is the controller that created the leader
// key in the store, for as long as the key exists. The key is attached to a store lease and expires with this lease.
//
// An Elector runs the election for one controller. It owns the observed state of the leader key, the lease and the
// controller's own term. It takes answers of the store and ticks as messages, and returns requests to the store and
// changes of leadership as effects. It performs no I/O and reads no clock, so its behaviour depends only on the
// messages and times passed to it.
//
// Two controllers never lead at once, because a leader acts on its term for less time than the store keeps the
// lease, counted from when the lease was requested or last renewed.
package election

import (
	"errors"

	"swiftledge/internal/clock"
	"swiftledge/internal/cluster"
	"swiftledge/internal/store"
)

// Intervals of the election, as divisors of the lease's TTL.
const (
	renewalsPerTTL        = 4  // a lease is renewed this many times per TTL
	retriesPerTTL         = 10 // a failed lease request, campaign or read is retried this many times per TTL
	renewalRetriesPerTTL  = 20 // a failed renewal is retried this many times per TTL
	campaignWindowsPerTTL = 4  // a lease is too old for a campaign after TTL / campaignWindowsPerTTL
)

// Elector is the election state of one controller. Step updates it.
type Elector struct {
	self Record
	ttl  clock.Micros

	leaderKey      LeaderKeyObserved
	leaderKeyKnown bool         // leaderKey is current as far as this controller knows
	rereadNeeded   bool         // a requested read failed and is to be retried
	rereadAt       clock.Micros // when the read is retried
	reportedLeader FollowLeader // the last FollowLeader effect

	lease            uint64       // 0: no lease is held
	leaseRequestedAt clock.Micros // when the lease was requested or last renewed
	requestingLease  bool
	renewAt          clock.Micros // when the next renewal is due

	campaigning              bool
	campaignUnanswered       bool // a campaign under the current lease got no answer
	formerCampaignUnanswered bool // a campaign under an earlier lease got no answer; the key may be attached to that lease
	campaignRetryAt          clock.Micros

	term          cluster.Term // this controller's own term; 0: this controller does not lead
	termExpiresAt clock.Micros // the leader must not act on its term from then on

	effects []Effect // of the current Step
}

// New returns an Elector. The record's incarnation must be different for each start of the process, so that the
// Elector does not mistake a key created before a restart for its own.
func New(self Record, ttl clock.Micros) *Elector { return &Elector{self: self, ttl: ttl} }

// Term returns this controller's term while it leads, and 0 otherwise.
func (e *Elector) Term() cluster.Term { return e.term }

// Step handles one message and returns the resulting effects, to be carried out in order.
func (e *Elector) Step(now clock.Micros, message Message) []Effect {
	e.effects = nil
	if e.term > 0 && now >= e.termExpiresAt {
		e.loseLeadership()
	}
	switch m := message.(type) {
	case LeaderKeyObserved:
		e.handleLeaderKeyObserved(now, m)
	case LeaderKeyRead:
		e.handleLeaderKeyRead(now, m)
	case LeaseGranted:
		e.handleLeaseGranted(now, m)
	case CampaignResult:
		e.handleCampaignResult(now, m)
	case LeaseRenewed:
		e.handleLeaseRenewed(now, m)
	case Resign:
		e.handleResign(m)
	case Tick:
	}
	e.retryLeaderKeyRead(now)
	if e.term > 0 {
		e.renewLease(now)
	} else {
		e.campaign(now)
	}
	return e.effects
}

func (e *Elector) emit(effect Effect) { e.effects = append(e.effects, effect) }

func (e *Elector) handleLeaderKeyObserved(now clock.Micros, m LeaderKeyObserved) {
	if m.Revision < e.leaderKey.Revision {
		return // a delayed watch event, superseded by a later read
	}
	e.leaderKeyKnown, e.leaderKey = true, m
	if e.term > 0 && cluster.Term(m.Version) != e.term {
		e.loseLeadership() // the key was deleted with its lease, or another controller created it
	}
	// Under this condition, a campaign of this controller has created the key, and the answer was lost.
	if e.term == 0 && m.Version > 0 && m.Record == e.self && e.lease > 0 {
		if !e.formerCampaignUnanswered {
			e.acquireLeadership(now, cluster.Term(m.Version))
			return
		}
		// The key may be attached to an earlier lease. Renewing the current lease would not keep such a key, and
		// the key would be deleted while this controller leads. So the current lease is revoked, which also deletes the
		// key if it is attached to this lease.
		e.revokeLease()
	}
	if e.term == 0 {
		e.follow(cluster.Term(m.Version), m.Record.Controller)
	}
}

// handleLeaderKeyRead handles the result of a requested read. A failed read must be retried: the watch of the key
// reports nothing while the key does not change, so this controller would never campaign again.
func (e *Elector) handleLeaderKeyRead(now clock.Micros, m LeaderKeyRead) {
	if m.Err == nil {
		e.handleLeaderKeyObserved(now, m.Observed)
	}
	if !e.leaderKeyKnown {
		e.rereadNeeded, e.rereadAt = true, now+e.ttl/retriesPerTTL
	}
}

func (e *Elector) handleLeaseGranted(now clock.Micros, m LeaseGranted) {
	e.requestingLease = false
	if m.Err != nil {
		e.campaignRetryAt = now + e.ttl/retriesPerTTL
		return
	}
	e.lease, e.leaseRequestedAt = m.Lease, m.SentAt
}

func (e *Elector) handleCampaignResult(now clock.Micros, m CampaignResult) {
	e.campaigning = false
	if m.Lease != e.lease || e.term > 0 {
		return
	}
	switch {
	case m.Err == nil && m.Result.Committed:
		version := m.Result.Revision
		e.leaderKey = LeaderKeyObserved{Version: version, Record: e.self, Revision: version}
		e.acquireLeadership(now, cluster.Term(version))
	case m.Result.LeaseExpired:
		e.forgetLease()
	case errors.Is(m.Err, store.ErrOutcomeUnknown):
		e.campaignUnanswered = true
		e.campaignRetryAt = now + e.ttl/retriesPerTTL
		e.readLeaderKey() // the campaign may have succeeded
	case m.Err == nil:
		e.readLeaderKey()
	default:
		e.campaignRetryAt = now + e.ttl/retriesPerTTL
	}
}

func (e *Elector) handleLeaseRenewed(now clock.Micros, m LeaseRenewed) {
	if m.Lease != e.lease {
		return
	}
	switch {
	case m.Err == nil:
		e.leaseRequestedAt = max(e.leaseRequestedAt, m.SentAt)
		if e.term > 0 {
			// The extension counts from when the renewal was sent, not from when it was answered.
			e.termExpiresAt = max(e.termExpiresAt, m.SentAt+e.ttl.MinusDrift())
			e.emit(ExtendLeadership{ExpiresAt: e.termExpiresAt})
		}
	case errors.Is(m.Err, store.ErrNotFound):
		if e.term > 0 {
			e.loseLeadership()
		}
		e.forgetLease()
	default:
		e.renewAt = now + e.ttl/renewalRetriesPerTTL
	}
}

func (e *Elector) handleResign(m Resign) {
	if e.term > 0 && e.term == m.Term {
		e.loseLeadership()
	}
}

func (e *Elector) acquireLeadership(now clock.Micros, term cluster.Term) {
	expiresAt := e.leaseRequestedAt + e.ttl.MinusDrift()
	if now >= expiresAt {
		e.revokeLease() // the answer took so long that the lease may have expired
		return
	}
	e.term, e.termExpiresAt = term, expiresAt
	e.renewAt = now
	e.emit(AcquireLeadership{Term: term, ExpiresAt: expiresAt})
	e.follow(term, e.self.Controller)
}

func (e *Elector) loseLeadership() {
	e.emit(LoseLeadership{Term: e.term})
	e.term = 0
	e.revokeLease()
	e.readLeaderKey()
}

// follow reports the current leader, once for each leader, because a second connection to the same leader would end
// the first.
func (e *Elector) follow(term cluster.Term, controller string) {
	leader := FollowLeader{Term: term, Controller: controller}
	if leader == e.reportedLeader {
		return
	}
	e.reportedLeader = leader
	e.emit(leader)
}

// readLeaderKey requests the current leader key. This controller does not campaign before the key is known.
func (e *Elector) readLeaderKey() {
	e.leaderKeyKnown, e.rereadNeeded = false, false
	e.emit(ReadLeaderKey{})
}

// retryLeaderKeyRead requests the leader key again if an earlier read failed and the key is still unknown.
func (e *Elector) retryLeaderKeyRead(now clock.Micros) {
	if e.rereadNeeded && !e.leaderKeyKnown && now >= e.rereadAt {
		e.readLeaderKey()
	}
}

// revokeLease revokes the lease. A campaign under the lease that got no answer may be executed for as long as the lease
// lasts, even after later campaigns.
func (e *Elector) revokeLease() {
	e.emit(RevokeLease{Lease: e.lease})
	e.formerCampaignUnanswered = e.formerCampaignUnanswered || e.campaignUnanswered
	e.forgetLease()
}

// forgetLease clears the lease and its campaign state. The store deletes the keys attached to a lease when the lease
// ends.
func (e *Elector) forgetLease() { e.lease, e.campaignUnanswered = 0, false }

// renewLease renews the lease when a renewal is due. Renewals may overlap: a late answer must not delay the next
// renewal, or an overloaded controller would lose a lease that it could keep.
func (e *Elector) renewLease(now clock.Micros) {
	if now < e.renewAt {
		return
	}
	e.renewAt = now + e.ttl/renewalsPerTTL
	e.emit(RenewLease{Lease: e.lease})
}

// campaign tries to create the leader key if no controller holds it. It first requests a lease for the key.
func (e *Elector) campaign(now clock.Micros) {
	if !e.leaderKeyKnown || e.leaderKey.Version > 0 || now < e.campaignRetryAt {
		return
	}
	if e.campaigning || e.requestingLease {
		return
	}
	if e.lease > 0 && now-e.leaseRequestedAt <= e.ttl/campaignWindowsPerTTL {
		e.campaigning = true
		e.emit(Campaign{Lease: e.lease, Record: e.self})
		return
	}
	if e.lease > 0 {
		e.revokeLease() // the lease is too old to start a term with
	}
	e.requestingLease = true
	e.emit(RequestLease{TTL: e.ttl})
}
