package election

import (
	"slices"
	"testing"

	"swiftledge/internal/clock"
	"swiftledge/internal/cluster"
	"swiftledge/internal/store"
)

// acquiredTerm returns the term that one of the effects starts, or 0 if none does.
func acquiredTerm(effects []Effect) cluster.Term {
	for _, effect := range effects {
		if acquired, ok := effect.(AcquireLeadership); ok {
			return acquired.Term
		}
	}
	return 0
}

// A process that restarts within a fraction of a second, and whose own campaign got no answer, may observe the leader
// key that its former incarnation created. The term of that key does not belong to the new incarnation, whose leader
// knows nothing about the term. If the new incarnation's own campaign was executed after all, the new incarnation does
// acquire the term of this campaign.
func TestTermOfFormerIncarnationIsNotAcquired(t *testing.T) {
	self := Record{Controller: "n0", Incarnation: 2}
	e := New(self, 3*clock.Second)
	e.Step(0, LeaderKeyObserved{Revision: 5})
	e.Step(1000, LeaseGranted{Lease: 9, SentAt: 500})
	e.Step(2000, CampaignResult{Lease: 9, Err: store.ErrOutcomeUnknown})
	if got := acquiredTerm(e.Step(3000, LeaderKeyObserved{Version: 6, Record: Record{Controller: "n0", Incarnation: 1}, Revision: 6})); got != 0 {
		t.Errorf("acquired term %d of a former incarnation, want no term", got)
	}
	if e.Term() != 0 {
		t.Error("controller leads after it observed the key of a former incarnation")
	}
	if got := acquiredTerm(e.Step(4000, LeaderKeyObserved{Version: 8, Record: self, Revision: 8})); got != 8 {
		t.Errorf("acquired term %d, want 8 from the incarnation's own unanswered campaign", got)
	}
}

// A controller whose process was paused for longer than its lease loses leadership, whichever message it handles
// first.
func TestLeadershipEndsDuringPause(t *testing.T) {
	e := New(Record{Controller: "n0", Incarnation: 1}, 3*clock.Second)
	e.Step(0, LeaderKeyObserved{Revision: 5})
	e.Step(1000, LeaseGranted{Lease: 9, SentAt: 500})
	if got := acquiredTerm(e.Step(2000, CampaignResult{Lease: 9, Result: store.TxnResult{Committed: true, Revision: 6}})); got != 6 {
		t.Fatalf("acquired term %d from the committed campaign, want 6", got)
	}
	effects := e.Step(30*clock.Second, LeaseRenewed{Lease: 9, SentAt: 1 * clock.Second})
	if _, ok := effects[0].(LoseLeadership); !ok || e.Term() != 0 {
		t.Errorf("first effect after the pause is %T, term %d; want LoseLeadership and no term", effects[0], e.Term())
	}
}

// A campaign without an answer may be executed after its lease was replaced by another lease. The leader key is then
// attached to a lease that is not renewed, so the key must not start a term that renewals of the new lease extend.
func TestLateCampaignUnderEarlierLeaseStartsNoTerm(t *testing.T) {
	self := Record{Controller: "n0", Incarnation: 1}
	e := New(self, 3*clock.Second)
	e.Step(0, LeaderKeyObserved{Revision: 5})
	e.Step(1000, LeaseGranted{Lease: 9, SentAt: 500})
	e.Step(1500*clock.Millisecond, CampaignResult{Lease: 9, Err: store.ErrOutcomeUnknown})
	e.Step(1510*clock.Millisecond, LeaderKeyObserved{Revision: 5})
	e.Step(2*clock.Second, Tick{}) // lease 9 is too old by now, so another one is requested
	e.Step(2010*clock.Millisecond, LeaseGranted{Lease: 10, SentAt: 2 * clock.Second})
	effects := e.Step(2020*clock.Millisecond, LeaderKeyObserved{Version: 6, Record: self, Revision: 6})
	if got := acquiredTerm(effects); got != 0 {
		t.Errorf("acquired term %d, want none, because its key may be attached to lease 9", got)
	}
	if !slices.Contains(effects, Effect(RevokeLease{Lease: 10})) {
		t.Error("lease 10 not revoked although the leader key could be attached to it")
	}
	// The key was deleted. A new campaign that is answered starts a term.
	e.Step(4*clock.Second, LeaderKeyObserved{Revision: 7})
	e.Step(4010*clock.Millisecond, LeaseGranted{Lease: 11, SentAt: 4 * clock.Second})
	if got := acquiredTerm(e.Step(4020*clock.Millisecond, CampaignResult{Lease: 11, Result: store.TxnResult{Committed: true, Revision: 8}})); got != 8 {
		t.Errorf("acquired term %d from the new campaign, want 8", got)
	}
}

// A leader whose key was deleted from the store loses leadership, even if its lease has not expired.
func TestLeaderWithoutItsKeyLosesLeadership(t *testing.T) {
	e := New(Record{Controller: "n0", Incarnation: 1}, 3*clock.Second)
	e.Step(0, LeaderKeyObserved{Revision: 5})
	e.Step(1000, LeaseGranted{Lease: 9, SentAt: 500})
	e.Step(2000, CampaignResult{Lease: 9, Result: store.TxnResult{Committed: true, Revision: 6}})
	if e.Step(3000, LeaderKeyObserved{Revision: 5}); e.Term() != 6 {
		t.Error("leadership lost because of an observation from before the term, want it kept")
	}
	if e.Step(4000, LeaderKeyObserved{Revision: 7}); e.Term() != 0 {
		t.Error("controller still leads after its key was deleted")
	}
}

// An overloaded controller handles the answers to its renewals late. The next renewal is still sent on time, because
// overlapping renewals keep a lease that sequential ones would lose.
func TestRenewalsOverlap(t *testing.T) {
	const ttl = 3 * clock.Second
	e := New(Record{Controller: "n0", Incarnation: 1}, ttl)
	e.Step(0, LeaderKeyObserved{Revision: 5})
	e.Step(1000, LeaseGranted{Lease: 9, SentAt: 500})
	// Each answer takes half of the TTL.
	const answerDelay = ttl / 2
	var sentAt []clock.Micros
	collectRenewals := func(now clock.Micros, effects []Effect) {
		for _, effect := range effects {
			if _, ok := effect.(RenewLease); ok {
				sentAt = append(sentAt, now)
			}
		}
	}
	collectRenewals(2000, e.Step(2000, CampaignResult{Lease: 9, Result: store.TxnResult{Committed: true, Revision: 6}}))
	for now := clock.Second / 4; now < 10*ttl; now += clock.Second / 4 {
		for len(sentAt) > 0 && now >= sentAt[0]+answerDelay {
			first := sentAt[0]
			sentAt = sentAt[1:]
			collectRenewals(now, e.Step(now, LeaseRenewed{Lease: 9, SentAt: first}))
		}
		collectRenewals(now, e.Step(now, Tick{}))
		if e.Term() != 6 {
			t.Fatalf("leadership lost after %g s, want it kept by overlapping renewals", now.Seconds())
		}
	}
}

// A failed read of the leader key is retried, since the watch of the key reports nothing while the key does not change.
// Without the read, a controller whose campaign got no answer would never campaign again.
func TestFailedReadOfLeaderKeyIsRetried(t *testing.T) {
	const ttl = 3 * clock.Second
	unavailable := LeaderKeyRead{Err: store.ErrNotExecuted}
	e := New(Record{Controller: "n0", Incarnation: 1}, ttl)
	e.Step(0, LeaderKeyObserved{Revision: 5})
	e.Step(1000, LeaseGranted{Lease: 9, SentAt: 500})
	now := clock.Second
	effects := e.Step(now, CampaignResult{Lease: 9, Err: store.ErrOutcomeUnknown})
	for attempt := range 3 {
		if !slices.Contains(effects, Effect(ReadLeaderKey{})) {
			t.Fatalf("attempt %d: leader key not read, want it read until it is known", attempt)
		}
		if effects = e.Step(now, unavailable); len(effects) > 0 {
			t.Fatalf("attempt %d: effects %v right after the failed read, want a delay before the next one", attempt, effects)
		}
		now += ttl
		effects = e.Step(now, Tick{})
	}
	effects = e.Step(now, LeaderKeyRead{Observed: LeaderKeyObserved{Revision: 5}})
	if !slices.Contains(effects, Effect(RequestLease{TTL: ttl})) {
		t.Errorf("effects %v once the key was read, want a lease for another campaign", effects)
	}
	if slices.Contains(e.Step(now+ttl, Tick{}), Effect(ReadLeaderKey{})) {
		t.Error("leader key read again although it is known")
	}
}
