package shard

import (
	"slices"
	"testing"

	"swiftledge/internal/clock"
	"swiftledge/internal/peer"
	"swiftledge/internal/store"
	"swiftledge/wire"
)

// An end is told once, however often the worker lists it: told again, it would be taken for the end of
// the attempt that the task has then.
func TestAnEndIsToldOnce(t *testing.T) {
	h := newTestHolder(t)
	h.Step(now, heartbeat("m1", 1, 50)) // the other attempt's record is stale
	first := eventsOf(h.Step(later(1), heartbeat("m2", 1, 50, exitedAs(2, wire.ExitStopped))))
	again := eventsOf(h.Step(later(2), heartbeat("m2", 2, 50, exitedAs(2, wire.ExitStopped))))
	if !slices.Equal(first, []peer.EventKind{peer.EventReleased}) || len(again) != 0 {
		t.Errorf("events %v, then %v", first, again)
	}
}

// An attempt whose end was told is forgotten while the task runs as another one: that is no end of the
// other.
func TestForgettingAnAttemptEndsNoOther(t *testing.T) {
	h := newTestHolder(t)
	b := h.shards[0]
	h.Step(now, heartbeat("m1", 1, 50))
	h.Step(later(1), heartbeat("m2", 1, 50, exitedAs(2, wire.ExitStopped)))
	b.addAttempt(&taskAttempt{task: task, id: 50<<peer.AttemptBits | 1, machine: b.machines["m1"], group: &peer.AttemptGroup{Job: task.Job}, state: attemptConfirmed, launch: attemptLaunch{agentEpoch: 1}})
	if ev := eventsOf(h.Step(later(2), heartbeat("m2", 2, 50))); len(ev) != 0 {
		t.Errorf("events %v as the former attempt is forgotten", ev)
	}
}

// An attempt whose end was told goes on, as a late copy of its order has come to a worker that began
// anew: its task may run elsewhere, so it is ended.
func TestAttemptThatGoesOnAfterItsEndIsKilled(t *testing.T) {
	h := newTestHolder(t)
	h.Step(now, heartbeat("m1", 1, 50))
	h.Step(later(1), heartbeat("m2", 1, 50, exitedAs(2, wire.ExitStopped)))
	cmds := replyOf(t, h.Step(later(2), heartbeat("m2", 2, 50, running(2)))).Body.Commands
	if len(cmds) != 1 || cmds[0].Verb != wire.VerbKill || *cmds[0].GraceS != 0 {
		t.Errorf("commands %v, want kill at once", cmds)
	}
}

// What a late copy of a run order could start again stays listed on its worker.
func TestWhatMayBeForgotten(t *testing.T) {
	for _, c := range []struct {
		name string
		r    taskAttempt
		want bool
	}{
		{"completed and stored", taskAttempt{end: endCompleted, endPersisted: true, launch: attemptLaunch{sent: true}}, true},
		{"completed, not stored", taskAttempt{end: endCompleted, launch: attemptLaunch{sent: true}}, false},
		{"completed, a direct order without an answer", taskAttempt{end: endCompleted, endPersisted: true, launch: attemptLaunch{sent: true, unanswered: 1}}, false},
		{"completed, and to be stopped", taskAttempt{end: endCompleted, endPersisted: true, launch: attemptLaunch{sent: true}, stop: stopImmediately}, false},
		{"stopped, ordered directly", taskAttempt{endPersisted: true, launch: attemptLaunch{sent: true}}, false},
		{"stopped, ordered in an answer, which cannot come late", taskAttempt{endPersisted: true}, true},
	} {
		if got := c.r.canForget(); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}

// A page that is being written keeps its place: a compaction would delete what the write is to hold.
func TestPageBeingWrittenIsNotCompacted(t *testing.T) {
	for _, writing := range []bool{false, true} {
		h := newTestHolder(t)
		b := h.shards[0]
		p := b.log.pages[0]
		p.stored = 100
		if writing {
			b.log.write = &attemptWrite{pages: []*attemptPage{p}}
		}
		b.log.compact(later(1), h.params.limits())
		if (b.log.compaction == nil) != writing {
			t.Errorf("being written %v: compacting %v", writing, b.log.compaction != nil)
		}
	}
}

// A grant that comes again begins nothing anew: numbers of attempts would repeat.
func TestGrantThatComesAgainIsTheSame(t *testing.T) {
	h := newTestHolder(t)
	b := h.shards[0]
	for _, token := range []wire.FencingToken{50, 49} {
		h.Step(now, LeaderMessage{&peer.FromLeader{Term: 9, Grants: []peer.ShardGrant{{Shard: 0, FencingToken: token, KeyVersion: 7}}}})
		if h.shards[0] != b {
			t.Errorf("token %d begins a grant after 50", token)
		}
	}
}

// A machine gets no task before it has shown the token: it would obey an older holder's orders, too.
func TestNoTaskBeforeTheTokenIsShown(t *testing.T) {
	h := newTestHolder(t)
	h.Step(now, heartbeat("m1", 1, 49))
	if isSchedulable(h, now, "m1") {
		t.Error("gets work under an older token")
	}
	h.Step(now, heartbeat("m1", 2, 50))
	if !isSchedulable(h, now, "m1") {
		t.Error("gets no work although it has shown the token")
	}
}

// What an older leader says, or what was said of an older grant, changes nothing.
func TestOlderWordsChangeNothing(t *testing.T) {
	gone := func(token wire.FencingToken) []peer.ShardOrders {
		return []peer.ShardOrders{{Shard: 0, FencingToken: token, Terminated: []string{"m1"}}}
	}
	for name, d := range map[string]LeaderMessage{
		"an older leader's orders":  {&peer.FromLeader{Term: 8, Orders: gone(50)}},
		"orders of an older grant":  {&peer.FromLeader{Term: 9, Orders: gone(49)}},
		"an older leader's grant":   {&peer.FromLeader{Term: 8, Grants: []peer.ShardGrant{{Shard: 0, FencingToken: 60, KeyVersion: 9}}}},
		"an older leader's holders": {&peer.FromLeader{Term: 8, Holders: []string{"n1"}}},
	} {
		h := newTestHolder(t)
		h.Step(now, d)
		if b := h.shards[0]; b == nil || b.lease.fencingToken != 50 || b.machines["m1"].terminated {
			t.Errorf("%s are obeyed", name)
		}
	}
	h := newTestHolder(t)
	expires := h.shards[0].lease.expiresAt
	h.Step(now+2*clock.Second, Tick{})
	h.Step(now+2*clock.Second, LeaderMessage{&peer.FromLeader{Term: 9, RenewedSeq: h.leader.renewSeq, FencingTokens: map[int]wire.FencingToken{0: 49}}})
	if h.shards[0].lease.expiresAt != expires {
		t.Error("the renewal of an older grant prolongs this one")
	}
}

// A direct order names the session in which it is to be carried out, and no other.
func TestOrderNamesItsSession(t *testing.T) {
	h := newTestHolder(t)
	third := heartbeat("m1", 1, 50)
	third.Heartbeat.AgentEpoch = 3
	h.Step(now, third)
	for _, e := range launchTask(t, h, later(1)) {
		if o, ok := e.(SendCommands); ok && o.Machine == "m1" && o.Body.AgentEpoch != 3 {
			t.Errorf("an order for session %d, want 3", o.Body.AgentEpoch)
		}
	}
}

// That a page's guard fails proves an earlier try only while the block is ours.
func TestFailedGuards(t *testing.T) {
	r := WriteAttempts{Shard: 0, FencingToken: 50}
	for _, c := range []struct {
		name   string
		o      store.TxnResult
		ok     bool
		fenced bool
	}{
		{"the page's, after a try without an answer", store.TxnResult{Ambiguous: true, FailedKeys: []string{"run/000/50-1"}}, true, false},
		{"the page's, at once", store.TxnResult{FailedKeys: []string{"run/000/50-1"}}, false, false},
		{"both, after a try without an answer", store.TxnResult{Ambiguous: true, FailedKeys: []string{Key(0), "run/000/50-1"}}, false, true},
		{"the block's", store.TxnResult{FailedKeys: []string{Key(0)}}, false, true},
	} {
		if got := r.Result(c.o); got.Committed != c.ok || got.Fenced != c.fenced || got.NeverExecuted || got.Revision != 0 {
			t.Errorf("%s: %+v", c.name, got)
		}
	}
}
