package shard

import (
	"slices"
	"testing"

	"swiftledge/internal/peer"
	"swiftledge/wire"
)

// A task has a stale record beside a live attempt. The end of the stale attempt must not return the task to the
// leader, because the task would then be launched twice.
func TestTaskReleasedOnlyWithLastAttempt(t *testing.T) {
	h := newTestHolder(t)
	if kinds := eventsOf(h.Step(afterUpdateIntervals(1), heartbeat("m1", 1, testToken))); len(kinds) != 0 {
		t.Errorf("events %v after a stale attempt ended beside a live one, want none", kinds)
	}
	kinds := eventsOf(h.Step(afterUpdateIntervals(2), heartbeat("m2", 1, testToken, running(2))))
	if len(kinds) != 1 || kinds[0] != peer.EventRunning {
		t.Errorf("events %v after the live attempt was listed, want running", kinds)
	}
	if kinds := eventsOf(h.Step(afterUpdateIntervals(3), heartbeat("m2", 2, testToken))); len(kinds) != 0 {
		t.Errorf("events %v after a confirmed attempt was no longer listed in its epoch, want none", kinds)
	}
	kinds = eventsOf(h.Step(afterUpdateIntervals(4), heartbeat("m2", 3, testToken).inEpoch(2)))
	if len(kinds) != 1 || kinds[0] != peer.EventReleased {
		t.Errorf("events %v after the agent's lease expired, want released", kinds)
	}
}

// When one of two attempts completes, the task is reported as completed, together with the event that another attempt
// may still run. Without that event, a replica would be launched again beside the remaining attempt.
func TestCompletionReportsRemainingAttempt(t *testing.T) {
	h := newTestHolder(t)
	kinds := eventsOf(h.Step(afterUpdateIntervals(1), heartbeat("m1", 1, testToken, exitedWith(1, wire.ExitDone))))
	if !slices.Equal(kinds, []peer.EventKind{peer.EventAttemptRemains, peer.EventCompleted}) {
		t.Errorf("events %v after one of two attempts completed, want attempt remains, then completed", kinds)
	}
	kinds = eventsOf(h.Step(afterUpdateIntervals(2), heartbeat("m2", 1, testToken, exitedWith(2, wire.ExitDone))))
	if !slices.Equal(kinds, []peer.EventKind{peer.EventCompleted}) {
		t.Errorf("events %v after the last attempt completed, want completed only", kinds)
	}
}

// The end of an attempt is reported once, however often the agent lists it. A second report would be taken for the
// end of the task's next attempt.
func TestAttemptEndReportedOnce(t *testing.T) {
	h := newTestHolder(t)
	h.Step(now, heartbeat("m1", 1, testToken)) // shows that the record of the other attempt is stale
	first := eventsOf(h.Step(afterUpdateIntervals(1), heartbeat("m2", 1, testToken, exitedWith(2, wire.ExitStopped))))
	again := eventsOf(h.Step(afterUpdateIntervals(2), heartbeat("m2", 2, testToken, exitedWith(2, wire.ExitStopped))))
	if !slices.Equal(first, []peer.EventKind{peer.EventReleased}) || len(again) != 0 {
		t.Errorf("events %v at the first listing and %v at the second, want released, then none", first, again)
	}
}

// Forgetting an attempt whose end was reported must not end the newer attempt of its task.
func TestForgettingAttemptDoesNotEndAnother(t *testing.T) {
	h := newTestHolder(t)
	s := h.shards[0]
	h.Step(now, heartbeat("m1", 1, testToken))
	h.Step(afterUpdateIntervals(1), heartbeat("m2", 1, testToken, exitedWith(2, wire.ExitStopped)))
	s.addAttempt(newAttempt(s.machines["m1"], task, 1, attemptConfirmed))
	if kinds := eventsOf(h.Step(afterUpdateIntervals(2), heartbeat("m2", 2, testToken))); len(kinds) != 0 {
		t.Errorf("events %v after the former attempt was forgotten, want none", kinds)
	}
}

// An attempt may run again after its end was reported, when a late copy of its run command reaches a restarted agent.
// It must be killed, because its task may run elsewhere.
func TestAttemptRestartedAfterItsEndIsKilled(t *testing.T) {
	h := newTestHolder(t)
	h.Step(now, heartbeat("m1", 1, testToken))
	h.Step(afterUpdateIntervals(1), heartbeat("m2", 1, testToken, exitedWith(2, wire.ExitStopped)))
	commands := replyOf(t, h.Step(afterUpdateIntervals(2), heartbeat("m2", 2, testToken, running(2)))).Body.Commands
	if len(commands) != 1 || commands[0].Verb != wire.VerbKill || *commands[0].GraceS != 0 {
		t.Errorf("commands %v for the attempt that runs again, want an immediate kill", commands)
	}
}

// An attempt that a late copy of its run command could start again must stay listed by its agent.
func TestCanForget(t *testing.T) {
	sent, unanswered := attemptLaunch{sentInRequest: true}, attemptLaunch{sentInRequest: true, unanswered: 1}
	for _, c := range []struct {
		name    string
		attempt taskAttempt
		want    bool
	}{
		{"completed and stored", taskAttempt{end: endCompleted, endPersisted: true, launch: sent}, true},
		{"completed, not stored", taskAttempt{end: endCompleted, launch: sent}, false},
		{"completed, run command unanswered",
			taskAttempt{end: endCompleted, endPersisted: true, launch: unanswered}, false},
		{"completed, to be stopped",
			taskAttempt{end: endCompleted, endPersisted: true, launch: sent, stop: stopImmediately}, false},
		{"stopped, launched by a request", taskAttempt{endPersisted: true, launch: sent}, false},
		{"stopped, launched by a reply, which cannot arrive late", taskAttempt{endPersisted: true}, true},
	} {
		if got := c.attempt.canForget(); got != c.want {
			t.Errorf("%s: canForget returned %v, want the opposite", c.name, got)
		}
	}
}

// A completed attempt is forgotten only after its completion is stored.
func TestCompletedAttemptForgottenOnceStored(t *testing.T) {
	h := newTestHolder(t)
	exit := exitedWith(2, wire.ExitDone)
	effects := h.Step(afterUpdateIntervals(1), heartbeat("m2", 1, testToken, exit))
	want := []peer.EventKind{peer.EventAttemptRemains, peer.EventCompleted}
	if kinds := eventsOf(effects); !slices.Equal(kinds, want) {
		t.Errorf("events %v after one of two attempts completed, want attempt remains, then completed", kinds)
	}
	if reply := replyOf(t, effects); len(reply.Body.Commands) != 0 {
		t.Errorf("commands %v before the completion was stored, want none", reply.Body.Commands)
	}
	h.Step(now, orders(peer.ShardOrders{Persisted: []peer.Task{task}}))
	commands := replyOf(t, h.Step(now, heartbeat("m2", 2, testToken, exit))).Body.Commands
	if len(commands) != 1 || commands[0].Verb != wire.VerbForget {
		t.Errorf("commands %v after the completion was stored, want forget", commands)
	}
}

// The end of an attempt with an unrecognized cause is not a failure: the task is returned to the leader. A failure is
// reported once, however often the failed attempt is listed, and never for an attempt that this holder has no record of.
func TestFailureReportedOnceForKnownCauses(t *testing.T) {
	h := newTestHolder(t)
	failed := exitedWith(2, wire.ExitError)
	h.Step(now, heartbeat("m1", 1, testToken, running(1)))
	h.Step(now, heartbeat("m2", 1, testToken, running(2)))
	h.Step(afterUpdateIntervals(1), heartbeat("m1", 2, testToken, exitedWith(1, "unrecognized")))
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
		t.Errorf("%d failures reported, want one; events %v", count, kinds)
	}
}
