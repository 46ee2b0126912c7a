// Package election decides which controller leads, by a key attached to a store
// lease. It holds no I/O: a message and the time give effects.
package election

import (
	"encoding/json"
	"errors"
	"fmt"

	"swiftledge/internal/clock"
	"swiftledge/internal/cluster"
	"swiftledge/internal/store"
	"swiftledge/wire"
)

// Record is the value of the leader key.
type Record struct {
	Controller  string              `json:"node"`
	Incarnation cluster.Incarnation `json:"run"`
}

// Messages to an Elector.
type (
	// LeaderKeyObserved is the leader key as the store has it now; Version 0: there is none.
	LeaderKeyObserved struct {
		Version  uint64
		Record   Record
		Revision uint64 // of the store, when it was so
	}
	// LeaseGranted answers RequestLease; Sent is when it was asked.
	LeaseGranted struct {
		Lease uint64
		Sent  clock.Micros
		Err   error
	}
	// CampaignResult answers Claim.
	CampaignResult struct {
		Lease  uint64
		Result store.TxnResult
		Err    error
	}
	// LeaseRenewed answers Renew; Sent is when it was asked.
	LeaseRenewed struct {
		Lease uint64
		Sent  clock.Micros
		Err   error
	}
	// Resign gives the epoch up.
	Resign struct{ Term cluster.Term }
	// Tick lets time pass.
	Tick struct{}
)

// Effects of an Elector.
type (
	// RequestLease asks for a store lease.
	RequestLease struct{ TTL clock.Micros }
	// Campaign asks to create the leader key under a lease.
	Campaign struct {
		Lease  uint64
		Record Record
	}
	// RenewLease renews the lease.
	RenewLease struct{ Lease uint64 }
	// RevokeLease ends a lease at once.
	RevokeLease struct{ Lease uint64 }
	// ReadLeaderKey asks for Seen.
	ReadLeaderKey struct{}
	// AcquireLeadership begins an epoch of ours.
	AcquireLeadership struct {
		Term  cluster.Term
		Until clock.Micros
	}
	// ExtendLeadership says until when we may act.
	ExtendLeadership struct{ Until clock.Micros }
	// LoseLeadership ends our epoch.
	LoseLeadership struct{ Term cluster.Term }
	// FollowLeader names the leader; Epoch 0: nobody leads.
	FollowLeader struct {
		Term       cluster.Term
		Controller string
	}
)

// Key is the leader key.
const Key = "leader"

// Txn creates the leader key under the lease.
func (c Campaign) Txn() (wire.Txn, error) {
	raw, err := json.Marshal(c.Record)
	if err != nil {
		return wire.Txn{}, fmt.Errorf("leader record: %w", err)
	}
	return wire.Txn{
		Conditions: []wire.Condition{{Key: Key}},
		Writes:     []wire.Write{{Put: Key, Value: raw, Lease: c.Lease}},
	}, nil
}

// ObserveKey is Seen for the leader key as it was at a revision; it.Version 0: absent.
func ObserveKey(it wire.Item, revision uint64) (LeaderKeyObserved, error) {
	s := LeaderKeyObserved{Version: it.Version, Revision: revision}
	if it.Version == 0 {
		return s, nil
	}
	if err := json.Unmarshal(it.Value, &s.Record); err != nil {
		return s, fmt.Errorf("leader record: %w", err)
	}
	return s, nil
}

// ObserveEvent is Seen for a change of the leader key; false for one of another key.
func ObserveEvent(e wire.Event) (LeaderKeyObserved, bool, error) {
	switch Key {
	case e.Put:
		s, err := ObserveKey(wire.Item{Value: e.Value, Version: e.Version}, e.Version)
		return s, true, err
	case e.Delete:
		return LeaderKeyObserved{Revision: e.Version}, true, nil
	}
	return LeaderKeyObserved{}, false, nil
}

// Elector is the actor's state.
type Elector struct {
	self                     Record
	ttl                      clock.Micros
	leaderKeyKnown           bool // the leader key's state is known
	leaderKey                LeaderKeyObserved
	lease                    uint64
	leaseAt                  clock.Micros
	requestingLease          bool
	campaigning              bool
	campaignUnanswered       bool         // a claim under the present lease got no answer
	formerCampaignUnanswered bool         // so did one under an earlier lease: a key of ours may hang on that one
	term                     cluster.Term // ours; 0: we do not lead
	until                    clock.Micros
	followed                 FollowLeader // what was last said of who leads
	renewAt                  clock.Micros
	retryAt                  clock.Micros
	effects                  []any
}

// New makes an elector. me.VerbRun differs with each start of the process, so that
// nothing from before a restart is taken for ours.
func New(me Record, ttl clock.Micros) *Elector { return &Elector{self: me, ttl: ttl} }

// Term is ours while we lead, else 0.
func (e *Elector) Term() cluster.Term { return e.term }

// Step takes one message at a time.
func (e *Elector) Step(now clock.Micros, msg any) []any {
	e.effects = nil
	if e.term > 0 && now >= e.until {
		e.loseLeadership()
	}
	switch m := msg.(type) {
	case LeaderKeyObserved:
		e.onLeaderKeyObserved(now, m)
	case LeaseGranted:
		e.requestingLease = false
		if m.Err != nil {
			e.retryAt = now + e.ttl/10
			break
		}
		e.lease, e.leaseAt = m.Lease, m.Sent
	case CampaignResult:
		e.onCampaignResult(now, m)
	case LeaseRenewed:
		e.onLeaseRenewed(now, m)
	case Resign:
		if e.term == m.Term && e.term > 0 {
			e.loseLeadership()
		}
	}
	e.advance(now)
	return e.effects
}

func (e *Elector) emit(x any) { e.effects = append(e.effects, x) }

func (e *Elector) loseLeadership() {
	e.emit(LoseLeadership{e.term})
	e.term = 0
	e.revokeLease()
	e.readLeaderKey()
}

// revokeLease gives the lease up. A claim under it that got no answer may be carried out as long as
// the lease lasts, also after newer ones.
func (e *Elector) revokeLease() {
	e.emit(RevokeLease{e.lease})
	e.formerCampaignUnanswered = e.formerCampaignUnanswered || e.campaignUnanswered
	e.lease, e.campaignUnanswered = 0, false
}

// readLeaderKey asks anew who leads; nothing is claimed until the answer is there.
func (e *Elector) readLeaderKey() {
	e.leaderKeyKnown = false
	e.emit(ReadLeaderKey{})
}

func (e *Elector) onLeaderKeyObserved(now clock.Micros, m LeaderKeyObserved) {
	if m.Revision < e.leaderKey.Revision {
		return // what the watch saw before a later read
	}
	e.leaderKeyKnown, e.leaderKey = true, m
	if e.term > 0 && cluster.Term(m.Version) != e.term {
		e.loseLeadership() // the key has gone with its lease, or is another's
	}
	// A claim whose answer was lost.
	if e.term == 0 && m.Version > 0 && m.Record == e.self && e.lease > 0 {
		if !e.formerCampaignUnanswered {
			e.acquireLeadership(now, cluster.Term(m.Version))
			return
		}
		// Renewed under the wrong lease, the key would go while we lead. So none is, and it goes now.
		e.revokeLease()
	}
	if e.term == 0 {
		e.follow(cluster.Term(m.Version), m.Record.Controller)
	}
}

// follow says who leads, once: a second link to the same leader would cut the first.
func (e *Elector) follow(term cluster.Term, node string) {
	if f := (FollowLeader{term, node}); f != e.followed {
		e.followed = f
		e.emit(f)
	}
}

func (e *Elector) acquireLeadership(now clock.Micros, term cluster.Term) {
	until := e.leaseAt + e.ttl.Shorter()
	if now >= until {
		// Too slow: the lease may be over already.
		e.revokeLease()
		return
	}
	e.term, e.until = term, until
	e.renewAt = now
	e.emit(AcquireLeadership{term, until})
	e.follow(term, e.self.Controller)
}

func (e *Elector) onCampaignResult(now clock.Micros, m CampaignResult) {
	e.campaigning = false
	if m.Lease != e.lease || e.term > 0 {
		return
	}
	switch {
	case m.Err == nil && m.Result.Committed:
		e.leaderKey = LeaderKeyObserved{m.Result.Revision, e.self, m.Result.Revision}
		e.acquireLeadership(now, cluster.Term(m.Result.Revision))
	case m.Result.LeaseExpired:
		e.lease, e.campaignUnanswered = 0, false
	case errors.Is(m.Err, store.ErrOutcomeUnknown):
		e.campaignUnanswered = true
		e.retryAt = now + e.ttl/10
		e.readLeaderKey() // it may have been carried out
	case m.Err == nil:
		e.readLeaderKey()
	default:
		e.retryAt = now + e.ttl/10
	}
}

func (e *Elector) onLeaseRenewed(now clock.Micros, m LeaseRenewed) {
	if m.Lease != e.lease {
		return
	}
	switch {
	case m.Err == nil:
		e.leaseAt = max(e.leaseAt, m.Sent)
		if e.term > 0 {
			// Our time runs from when the renewal was sent, not from its answer.
			e.until = max(e.until, m.Sent+e.ttl.Shorter())
			e.emit(ExtendLeadership{e.until})
		}
	case errors.Is(m.Err, store.ErrNotFound):
		if e.term > 0 {
			e.loseLeadership()
		}
		e.lease, e.campaignUnanswered = 0, false
	default:
		e.renewAt = now + e.ttl/20
	}
}

// advance starts what is due: a lease is kept ready so that a claim needs one call.
func (e *Elector) advance(now clock.Micros) {
	if e.term > 0 {
		// Renewals may overlap: one whose answer is late must not hold up the next, or a
		// controller that is behind with its work would lose a lease that it could keep.
		if now >= e.renewAt {
			e.renewAt = now + e.ttl/4
			e.emit(RenewLease{e.lease})
		}
		return
	}
	if !e.leaderKeyKnown || e.leaderKey.Version > 0 || e.campaigning || e.requestingLease || now < e.retryAt {
		return
	}
	if e.lease == 0 || now-e.leaseAt > e.ttl/4 {
		if e.lease != 0 {
			e.revokeLease()
		}
		e.requestingLease = true
		e.emit(RequestLease{e.ttl})
		return
	}
	e.campaigning = true
	e.emit(Campaign{e.lease, e.self})
}
