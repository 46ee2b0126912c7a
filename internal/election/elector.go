// Package election decides which controller leads: the one whose key in the store, attached to a store
// lease, exists. An Elector is one controller's candidate. It owns what is known of the leader key, the lease
// and this controller's own term. Answers of the store and ticks come in as messages; requests to the store
// and changes of leadership go out as effects. It performs no I/O and reads no clock: message and time alone
// decide. A term is acted on for less time than the store keeps the lease, counted from when the lease was
// requested or renewed, so that two controllers never lead at once.
package election

import (
	"errors"

	"swiftledge/internal/clock"
	"swiftledge/internal/cluster"
	"swiftledge/internal/store"
)

// Parts of the lease's TTL.
const (
	renewalsPerTTL       = 4  // a lease is renewed that often
	retriesPerTTL        = 10 // a failed request to win the leader key is repeated that often
	renewalRetriesPerTTL = 20 // a failed renewal is repeated that often
	campaignsPerTTL      = 4  // a lease is too old for a campaign after that part
)

// Elector is the state of one controller's candidate. Step changes it.
type Elector struct {
	self Record
	ttl  clock.Micros

	leaderKey      LeaderKeyObserved
	leaderKeyKnown bool         // leaderKey is current, as far as this controller has been told
	following      FollowLeader // the last one that was sent

	lease           uint64       // 0: none is held
	leaseRequested  clock.Micros // when the lease was requested or last renewed
	requestingLease bool
	renewAt         clock.Micros

	campaigning              bool
	campaignUnanswered       bool // a campaign under the present lease got no answer
	formerCampaignUnanswered bool // so did one under an earlier lease: a key of ours may be attached to it
	retryAt                  clock.Micros

	term          cluster.Term // this controller's own; 0: it does not lead
	termExpiresAt clock.Micros // the term may be acted on until then

	effects []Effect // of the present Step
}

// New returns an Elector. The record's incarnation has to differ with each start of the process, so that
// nothing from before a restart is taken for its own.
func New(self Record, ttl clock.Micros) *Elector { return &Elector{self: self, ttl: ttl} }

// Term returns the term of this controller while it leads, else 0.
func (e *Elector) Term() cluster.Term { return e.term }

// Step handles one message and returns what is to be done, in order.
func (e *Elector) Step(now clock.Micros, message Message) []Effect {
	e.effects = nil
	if e.term > 0 && now >= e.termExpiresAt {
		e.loseLeadership()
	}
	switch m := message.(type) {
	case LeaderKeyObserved:
		e.handleLeaderKeyObserved(now, m)
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
		return // the watch reports what a later read has superseded
	}
	e.leaderKeyKnown, e.leaderKey = true, m
	if e.term > 0 && cluster.Term(m.Version) != e.term {
		e.loseLeadership() // the key has gone with its lease, or is another controller's
	}
	// The key of a campaign whose answer was lost.
	if e.term == 0 && m.Version > 0 && m.Record == e.self && e.lease > 0 {
		if !e.formerCampaignUnanswered {
			e.acquireLeadership(now, cluster.Term(m.Version))
			return
		}
		// The key may be attached to an earlier lease: renewing the present one would not keep it, and it
		// would go while this controller leads. So the present lease, and the key if attached to it, goes now.
		e.revokeLease()
	}
	if e.term == 0 {
		e.follow(cluster.Term(m.Version), m.Record.Controller)
	}
}

func (e *Elector) handleLeaseGranted(now clock.Micros, m LeaseGranted) {
	e.requestingLease = false
	if m.Err != nil {
		e.retryAt = now + e.ttl/retriesPerTTL
		return
	}
	e.lease, e.leaseRequested = m.Lease, m.Sent
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
		e.retryAt = now + e.ttl/retriesPerTTL
		e.readLeaderKey() // the campaign may have been won
	case m.Err == nil:
		e.readLeaderKey()
	default:
		e.retryAt = now + e.ttl/retriesPerTTL
	}
}

func (e *Elector) handleLeaseRenewed(now clock.Micros, m LeaseRenewed) {
	if m.Lease != e.lease {
		return
	}
	switch {
	case m.Err == nil:
		e.leaseRequested = max(e.leaseRequested, m.Sent)
		if e.term > 0 {
			// The term's time runs from when the renewal was sent, not from its answer.
			e.termExpiresAt = max(e.termExpiresAt, m.Sent+e.ttl.Shorter())
			e.emit(ExtendLeadership{Until: e.termExpiresAt})
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
	until := e.leaseRequested + e.ttl.Shorter()
	if now >= until {
		e.revokeLease() // the answer took so long that the lease may have expired
		return
	}
	e.term, e.termExpiresAt = term, until
	e.renewAt = now
	e.emit(AcquireLeadership{Term: term, Until: until})
	e.follow(term, e.self.Controller)
}

func (e *Elector) loseLeadership() {
	e.emit(LoseLeadership{Term: e.term})
	e.term = 0
	e.revokeLease()
	e.readLeaderKey()
}

// follow reports who leads, once for each leader: a second connection to the same leader would end the first.
func (e *Elector) follow(term cluster.Term, controller string) {
	leader := FollowLeader{Term: term, Controller: controller}
	if leader == e.following {
		return
	}
	e.following = leader
	e.emit(leader)
}

// readLeaderKey asks who leads now; this controller does not campaign before the answer is there.
func (e *Elector) readLeaderKey() {
	e.leaderKeyKnown = false
	e.emit(ReadLeaderKey{})
}

// revokeLease ends the lease. A campaign under it that got no answer may be carried out as long as the lease
// lasts, even after later ones.
func (e *Elector) revokeLease() {
	e.emit(RevokeLease{Lease: e.lease})
	e.formerCampaignUnanswered = e.formerCampaignUnanswered || e.campaignUnanswered
	e.forgetLease()
}

// forgetLease drops a lease that has ended, and with it whatever was attached to it.
func (e *Elector) forgetLease() { e.lease, e.campaignUnanswered = 0, false }

// renewLease renews the lease if that is due. Renewals may overlap: one whose answer is late must not hold up
// the next, or a controller that is behind with its work would lose a lease that it could keep.
func (e *Elector) renewLease(now clock.Micros) {
	if now < e.renewAt {
		return
	}
	e.renewAt = now + e.ttl/renewalsPerTTL
	e.emit(RenewLease{Lease: e.lease})
}

// campaign tries to create the leader key if nobody holds it. The lease for it is requested first.
func (e *Elector) campaign(now clock.Micros) {
	if !e.leaderKeyKnown || e.leaderKey.Version > 0 || now < e.retryAt {
		return
	}
	if e.campaigning || e.requestingLease {
		return
	}
	if e.lease > 0 && now-e.leaseRequested <= e.ttl/campaignsPerTTL {
		e.campaigning = true
		e.emit(Campaign{Lease: e.lease, Record: e.self})
		return
	}
	if e.lease > 0 {
		e.revokeLease() // it is too old to begin a term with
	}
	e.requestingLease = true
	e.emit(RequestLease{TTL: e.ttl})
}
