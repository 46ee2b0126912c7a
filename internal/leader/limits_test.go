package leader

import (
	"testing"

	"swiftledge/internal/clock"
	"swiftledge/internal/leader/assignment"
	"swiftledge/internal/store"
	"swiftledge/wire"
)

// regrant has a shard granted anew, at a revision of the store, and gives its token; false when
// the leader resigned instead.
func regrant(l *Leader, now clock.Micros, revision uint64) (wire.FencingToken, bool) {
	l.shards.all[0].state = unassigned
	for _, e := range l.Step(now, Tick{}) {
		if _, resigned := e.(Resign); resigned {
			return 0, false
		}
		if x, ok := e.(CommitTxn); ok {
			if tag, ok := x.Tag.(shardsTag); ok {
				l.Step(now, TxnCompleted{Term: l.term, Tag: tag, Result: store.TxnResult{Committed: true, Revision: revision}})
				l.Step(now, AttemptsLoaded{Term: l.term, Shard: 0, FencingToken: tag.tokens[0]})
				return tag.tokens[0], true
			}
		}
	}
	return 0, false
}

// Workers that begin anew take a token each. With thousands of machines a term needs more of them than
// its tokens have bits for, and a leader that resigned for that would do so again and again.
func TestTokensOutlastTheirBits(t *testing.T) {
	l := leading(t)
	now, revision, last := began, uint64(20), wire.FencingToken(0)
	for i := range 3 << tokenBits {
		revision++
		// Nothing but the tokens holds up the next grant.
		l.shards.all[0].UnassignedSince = 0
		n0 := l.shards.controllers["n0"]
		n0.lastHeartbeat, n0.Controller = now, assignment.Controller{Name: "n0"}
		token, ok := regrant(l, now, revision)
		if !ok {
			t.Fatalf("no token for grant %d", i)
		}
		if token <= last {
			t.Fatalf("token %d after %d", token, last)
		}
		// The next leader's key has a later revision than any write of this term.
		if next := wire.FencingToken(revision+1) << tokenBits; token > next {
			t.Fatalf("token %d is higher than a later leader's %d", token, next)
		}
		last = token
	}
}

// While no write of the term is known to have succeeded, a later term may be the next revision: no
// token reaches that far.
func TestTokensStayBelowALaterEpoch(t *testing.T) {
	l := leading(t)
	l.shards.tokensIssued, l.highestRevision = 1<<tokenBits-1, 0
	if token, ok := regrant(l, began, 30); ok {
		t.Errorf("token %d reaches epoch %d", token, l.term+1)
	}
}

// The pages of a machine list leave the cloud's calls to instance groups, however many machines there are.
func TestMachineListsLeaveCallsToRentals(t *testing.T) {
	for _, machines := range []int{500, 6000} {
		l := leading(t)
		l.cfg.Facts.Cloud.RPS = 2
		for i := len(l.inventory.machines); i < machines; i++ {
			l.addMachine(began, "extra-"+string(rune('a'+i%26))+string(rune(0x4e00+i)),
				&instanceGroup{record: InstanceGroupRecord{Request: wire.ProvisionRequest{Type: "small", Zone: "a"}}})
		}
		lists, spell := 0, 60*clock.Second
		for now := began; now < began+spell; now += clock.Second / 4 {
			l.authorityEnds, l.jobsViewedAt, l.shards.controllers["n0"].lastHeartbeat = now+clock.Minute, now, now
			for _, e := range l.Step(now, Tick{}) {
				if _, ok := e.(ListMachines); ok {
					lists++
					l.inventory.listing = false
				}
			}
		}
		calls := lists * (machines/machinesPerListPage + 1)
		if most := int(maxListShare*2*spell.Seconds()) + machines/machinesPerListPage + 1; calls > most || lists == 0 {
			t.Errorf("%d machines: %d lists of %d calls in a minute, want at most %d calls", machines, lists, calls, most)
		}
	}
}
