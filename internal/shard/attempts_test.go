package shard

import (
	"slices"
	"testing"

	"swiftledge/internal/peer"
	"swiftledge/wire"
)

// A stale record beside a live attempt of the same task: its end must not give the task back, or it would be launched
// twice.
func TestTaskReleasedOnlyWithLastAttempt(t *testing.T) {
	h := newTestHolder(t)
	if kinds := eventsOf(h.Step(afterUpdateIntervals(1), heartbeat("m1", 1, testToken))); len(kinds) != 0 {
		t.Errorf("events %v when a stale attempt is proven gone beside a live one", kinds)
	}
	kinds := eventsOf(h.Step(afterUpdateIntervals(2), heartbeat("m2", 1, testToken, running(2))))
	if len(kinds) != 1 || kinds[0] != peer.EventRunning {
		t.Errorf("events %v, want running", kinds)
	}
	if kinds := eventsOf(h.Step(afterUpdateIntervals(3), heartbeat("m2", 2, testToken))); len(kinds) != 0 {
		t.Errorf("events %v: an attempt that was confirmed cannot vanish within an epoch", kinds)
	}
	kinds = eventsOf(h.Step(afterUpdateIntervals(4), heartbeat("m2", 3, testToken).inEpoch(2)))
	if len(kinds) != 1 || kinds[0] != peer.EventReleased {
		t.Errorf("events %v after the agent's lease expired, want released", kinds)
	}
}

// The end of one attempt is reported as the completion of its task, but with the word that another may run yet: a
// replica's task would be launched once more beside it.
func TestCompletionReportsRemainingAttempt(t *testing.T) {
	h := newTestHolder(t)
	kinds := eventsOf(h.Step(afterUpdateIntervals(1), heartbeat("m1", 1, testToken, exitedWith(1, wire.ExitDone))))
	if !slices.Equal(kinds, []peer.EventKind{peer.EventAttemptRemains, peer.EventCompleted}) {
		t.Errorf("events %v when one of two attempts completed", kinds)
	}
	kinds = eventsOf(h.Step(afterUpdateIntervals(2), heartbeat("m2", 1, testToken, exitedWith(2, wire.ExitDone))))
	if !slices.Equal(kinds, []peer.EventKind{peer.EventCompleted}) {
		t.Errorf("events %v when the last attempt completed", kinds)
	}
}

// An end is reported once, however often the agent lists it: reported again, it would be taken for the end of the
// attempt that the task has then.
func TestAttemptEndReportedOnce(t *testing.T) {
	h := newTestHolder(t)
	h.Step(now, heartbeat("m1", 1, testToken)) // the other attempt's record is stale
	first := eventsOf(h.Step(afterUpdateIntervals(1), heartbeat("m2", 1, testToken, exitedWith(2, wire.ExitStopped))))
	again := eventsOf(h.Step(afterUpdateIntervals(2), heartbeat("m2", 2, testToken, exitedWith(2, wire.ExitStopped))))
	if !slices.Equal(first, []peer.EventKind{peer.EventReleased}) || len(again) != 0 {
		t.Errorf("events %v, then %v", first, again)
	}
}

// An attempt whose end was reported is forgotten while the task runs as another one: that is no end of the other.
func TestForgettingAttemptDoesNotEndAnother(t *testing.T) {
	h := newTestHolder(t)
	s := h.shards[0]
	h.Step(now, heartbeat("m1", 1, testToken))
	h.Step(afterUpdateIntervals(1), heartbeat("m2", 1, testToken, exitedWith(2, wire.ExitStopped)))
	s.addAttempt(newAttempt(s.machines["m1"], task, 1, attemptConfirmed))
	if kinds := eventsOf(h.Step(afterUpdateIntervals(2), heartbeat("m2", 2, testToken))); len(kinds) != 0 {
		t.Errorf("events %v as the former attempt is forgotten", kinds)
	}
}

// An attempt whose end was reported goes on, as a late copy of its run command has come to an agent that began anew:
// its task may run elsewhere, so it is ended.
func TestAttemptRestartedAfterItsEndIsKilled(t *testing.T) {
	h := newTestHolder(t)
	h.Step(now, heartbeat("m1", 1, testToken))
	h.Step(afterUpdateIntervals(1), heartbeat("m2", 1, testToken, exitedWith(2, wire.ExitStopped)))
	commands := replyOf(t, h.Step(afterUpdateIntervals(2), heartbeat("m2", 2, testToken, running(2)))).Body.Commands
	if len(commands) != 1 || commands[0].Verb != wire.VerbKill || *commands[0].GraceS != 0 {
		t.Errorf("commands %v, want kill at once", commands)
	}
}

// What a late copy of a run command could start again stays listed by its agent.
func TestCanForget(t *testing.T) {
	sent, unanswered := attemptLaunch{sentInRequest: true}, attemptLaunch{sentInRequest: true, unanswered: 1}
	for _, c := range []struct {
		name    string
		attempt taskAttempt
		want    bool
	}{
		{"completed and stored", taskAttempt{end: endCompleted, endPersisted: true, launch: sent}, true},
		{"completed, not stored", taskAttempt{end: endCompleted, launch: sent}, false},
		{"completed, a run command without an answer",
			taskAttempt{end: endCompleted, endPersisted: true, launch: unanswered}, false},
		{"completed, and to be stopped",
			taskAttempt{end: endCompleted, endPersisted: true, launch: sent, stop: stopImmediately}, false},
		{"stopped, launched by a message of its own", taskAttempt{endPersisted: true, launch: sent}, false},
		{"stopped, launched in a reply, which cannot come late", taskAttempt{endPersisted: true}, true},
	} {
		if got := c.attempt.canForget(); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}

// Exits by completion are forgotten only after the store has them.
func TestCompletedAttemptForgottenOnceStored(t *testing.T) {
	h := newTestHolder(t)
	exit := exitedWith(2, wire.ExitDone)
	effects := h.Step(afterUpdateIntervals(1), heartbeat("m2", 1, testToken, exit))
	want := []peer.EventKind{peer.EventAttemptRemains, peer.EventCompleted}
	if kinds := eventsOf(effects); !slices.Equal(kinds, want) {
		t.Errorf("events %v, want completed beside the record of another attempt", kinds)
	}
	if reply := replyOf(t, effects); len(reply.Body.Commands) != 0 {
		t.Errorf("commands %v before the completion is stored", reply.Body.Commands)
	}
	h.Step(now, orders(peer.ShardOrders{Persisted: []peer.Task{task}}))
	commands := replyOf(t, h.Step(now, heartbeat("m2", 2, testToken, exit))).Body.Commands
	if len(commands) != 1 || commands[0].Verb != wire.VerbForget {
		t.Errorf("commands %v, want forget", commands)
	}
}

// An end whose cause is not known is no failure: its task is given back. A failure is reported once, however often it
// is listed, and one of an attempt that is not ours not at all.
func TestFailureReportedOnceForKnownCauses(t *testing.T) {
	h := newTestHolder(t)
	failed := exitedWith(2, wire.ExitError)
	h.Step(now, heartbeat("m1", 1, testToken, running(1)))
	h.Step(now, heartbeat("m2", 1, testToken, running(2)))
	h.Step(afterUpdateIntervals(1), heartbeat("m1", 2, testToken, exitedWith(1, "struck by lightning")))
	kinds := eventsOf(h.Step(afterUpdateIntervals(2), heartbeat("m2", 2, testToken, failed)))
	kinds = append(kinds, eventsOf(h.Step(afterUpdateIntervals(3), heartbeat("m2", 3, testToken, failed)))...)
	others := heartbeat("m2", 4, testToken, failed, exitedWith(77, wire.ExitError))
	kinds = append(kinds, eventsOf(h.Step(afterUpdateIntervals(4), others))...)
	count := 0
	for _, kind := range kinds {
		if kind == peer.EventFailed {
			count++
		}
	}
	if count != 1 {
		t.Errorf("%d failures are reported, want one: %v", count, kinds)
	}
}
