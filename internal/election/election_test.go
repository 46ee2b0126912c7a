package election

import (
	"testing"

	"swiftledge/internal/clock"
	"swiftledge/internal/cluster"
	"swiftledge/internal/store"
)

// leads says whether an effect begins an epoch of ours, and which.
func leads(fx []any) cluster.Term {
	for _, f := range fx {
		if l, ok := f.(AcquireLeadership); ok {
			return l.Term
		}
	}
	return 0
}

// A process that is back within a fraction of a second, with a claim whose answer was
// lost, may find the key that its former run wrote: that epoch is not this run's, whose
// leader knows nothing of it. Its own claim, carried out after all, is.
func TestFormerRunsEpochIsNotOurs(t *testing.T) {
	me := Record{Controller: "n0", Incarnation: 2}
	e := New(me, 3*clock.Second)
	e.Step(0, LeaderKeyObserved{Revision: 5})
	e.Step(1000, LeaseGranted{Lease: 9, Sent: 500})
	e.Step(2000, CampaignResult{Lease: 9, Err: store.ErrOutcomeUnknown})
	if got := leads(e.Step(3000, LeaderKeyObserved{Version: 6, Record: Record{Controller: "n0", Incarnation: 1}, Revision: 6})); got != 0 {
		t.Errorf("leads epoch %d, which a former run has won", got)
	}
	if e.Term() != 0 {
		t.Error("holds an epoch")
	}
	if got := leads(e.Step(4000, LeaderKeyObserved{Version: 8, Record: me, Revision: 8})); got != 8 {
		t.Errorf("leads epoch %d, want 8, its own lost claim", got)
	}
}

// A controller that stood still wakes with its authority gone, whatever it is told first.
func TestAuthorityEndsWhileStandingStill(t *testing.T) {
	e := New(Record{Controller: "n0", Incarnation: 1}, 3*clock.Second)
	e.Step(0, LeaderKeyObserved{Revision: 5})
	e.Step(1000, LeaseGranted{Lease: 9, Sent: 500})
	if got := leads(e.Step(2000, CampaignResult{Lease: 9, Result: store.TxnResult{Committed: true, Revision: 6}})); got != 6 {
		t.Fatalf("leads epoch %d, want 6", got)
	}
	fx := e.Step(30*clock.Second, LeaseRenewed{Lease: 9, Sent: 1 * clock.Second})
	if _, ok := fx[0].(LoseLeadership); !ok || e.Term() != 0 {
		t.Errorf("first effect %T, epoch %d: want the epoch given up", fx[0], e.Term())
	}
}

// A claim without an answer may be carried out after its lease was given up for another: the
// key then goes with a lease that nobody renews, so it must not be taken for an epoch whose
// authority is renewed with the other.
func TestLateClaimUnderAnEarlierLeaseIsNoEpoch(t *testing.T) {
	me := Record{Controller: "n0", Incarnation: 1}
	e := New(me, 3*clock.Second)
	e.Step(0, LeaderKeyObserved{Revision: 5})
	e.Step(1000, LeaseGranted{Lease: 9, Sent: 500})
	e.Step(1500*clock.Millisecond, CampaignResult{Lease: 9, Err: store.ErrOutcomeUnknown})
	e.Step(1510*clock.Millisecond, LeaderKeyObserved{Revision: 5})
	e.Step(2*clock.Second, Tick{}) // lease 9 is too old by now: another is asked for
	e.Step(2010*clock.Millisecond, LeaseGranted{Lease: 10, Sent: 2 * clock.Second})
	fx := e.Step(2020*clock.Millisecond, LeaderKeyObserved{Version: 6, Record: me, Revision: 6})
	if got := leads(fx); got != 0 {
		t.Errorf("leads epoch %d, which goes with lease 9", got)
	}
	dropped := false
	for _, f := range fx {
		d, ok := f.(RevokeLease)
		dropped = dropped || ok && d.Lease == 10
	}
	if !dropped {
		t.Error("keeps the lease under which the key may be")
	}
	// The key has gone: a new claim, answered, is ours.
	e.Step(4*clock.Second, LeaderKeyObserved{Revision: 7})
	e.Step(4010*clock.Millisecond, LeaseGranted{Lease: 11, Sent: 4 * clock.Second})
	if got := leads(e.Step(4020*clock.Millisecond, CampaignResult{Lease: 11, Result: store.TxnResult{Committed: true, Revision: 8}})); got != 8 {
		t.Errorf("leads epoch %d, want 8", got)
	}
}

// A leader whose key has gone from the state service leads no more, whatever its lease says.
func TestLeaderWithoutItsKeyIsDeposed(t *testing.T) {
	e := New(Record{Controller: "n0", Incarnation: 1}, 3*clock.Second)
	e.Step(0, LeaderKeyObserved{Revision: 5})
	e.Step(1000, LeaseGranted{Lease: 9, Sent: 500})
	e.Step(2000, CampaignResult{Lease: 9, Result: store.TxnResult{Committed: true, Revision: 6}})
	if e.Step(3000, LeaderKeyObserved{Revision: 5}); e.Term() != 6 {
		t.Error("deposed by what was seen before the epoch")
	}
	if e.Step(4000, LeaderKeyObserved{Revision: 7}); e.Term() != 0 {
		t.Error("leads on without its key")
	}
}

// A controller that is behind with its work gets the answers to its renewals late. The next one
// is sent all the same: two that overlap keep an authority that one after the other would lose.
func TestRenewalsOverlap(t *testing.T) {
	const ttl = 3 * clock.Second
	e := New(Record{Controller: "n0", Incarnation: 1}, ttl)
	e.Step(0, LeaderKeyObserved{Revision: 5})
	e.Step(1000, LeaseGranted{Lease: 9, Sent: 500})
	// Each answer takes half of the TTL.
	const delay = ttl / 2
	var sent []clock.Micros
	send := func(now clock.Micros, fx []any) {
		for _, effect := range fx {
			if _, ok := effect.(RenewLease); ok {
				sent = append(sent, now)
			}
		}
	}
	send(2000, e.Step(2000, CampaignResult{Lease: 9, Result: store.TxnResult{Committed: true, Revision: 6}}))
	for now := clock.Second / 4; now < 10*ttl; now += clock.Second / 4 {
		for len(sent) > 0 && now >= sent[0]+delay {
			first := sent[0]
			sent = sent[1:]
			send(now, e.Step(now, LeaseRenewed{Lease: 9, Sent: first}))
		}
		send(now, e.Step(now, Tick{}))
		if e.Term() != 6 {
			t.Fatalf("the epoch is lost after %g s", now.Seconds())
		}
	}
}
