package shard

import (
	"slices"
	"testing"

	"swiftledge/internal/clock"
	"swiftledge/internal/peer"
	"swiftledge/wire"
)

// Before a machine has confirmed the new token, a command of the old holder may still be carried out: its status proves
// nothing.
func TestStatusUnderOldTokenEndsNoAttempt(t *testing.T) {
	h := newTestHolder(t)
	effects := h.Step(now, heartbeat("m1", 1, testToken-1))
	if kinds := eventsOf(effects); len(kinds) != 0 {
		t.Errorf("events %v from a heartbeat under an older token", kinds)
	}
	// No event tells of it, as the task may be elsewhere, too.
	if len(h.shards[0].machines["m1"].attempts) != 1 {
		t.Error("taken for gone by a heartbeat under an older token")
	}
	if reply := replyOf(t, effects); reply.Status != statusOK || reply.Body.FencingToken != testToken {
		t.Errorf("reply %+v, want 200 with our token", reply)
	}
}

// A heartbeat that was sent before the answer to a command, and comes after it, is the older one: it shows nothing that
// the answer has not told better.
func TestOutdatedStatusIsIgnored(t *testing.T) {
	h := newTestHolder(t)
	h.Step(now, heartbeat("m1", 1, testToken, running(1)))
	h.Step(now, answered(heartbeat("m1", 3, testToken, exitedWith(1, wire.ExitDone))))
	h.Step(now, heartbeat("m1", 2, testToken, running(1)))
	if a := h.shards[0].machines["m1"].attempt(1); a == nil || a.state != attemptExited {
		t.Error("an ended attempt runs again by an older status")
	}
}

// A run command that got no answer may be held up and carried out later: until it is answered, a status without its
// task does not prove it gone, not even one that was to be stopped.
func TestUnlistedAttemptKeptWhileRunCommandUnanswered(t *testing.T) {
	h := newTestHolder(t)
	h.Step(now, heartbeat("m1", 1, testToken))
	s := h.shards[0]
	m := s.machines["m1"]
	a := newAttempt(m, peer.Task{Job: "j-000007"}, 9, attemptLaunched)
	a.launch.sentInRequest, a.launch.unanswered, a.stop = true, 1, stopImmediately
	s.addAttempt(a)
	request := requestTo("m1", a.runCommand())
	h.Step(now, CommandsAnswered{Request: request})
	if h.Step(now+clock.Second, heartbeat("m1", 2, testToken)); m.attempt(a.id) == nil {
		t.Error("taken for gone while its run command may be carried out yet")
	}
	// Its answer, late, or another epoch end the doubt.
	status := heartbeat("m1", 3, testToken).Heartbeat
	h.Step(secondsLater(2), CommandsAnswered{Request: request, Code: statusConflict, Status: status})
	if h.Step(secondsLater(3), heartbeat("m1", 4, testToken)); m.attempt(a.id) != nil {
		t.Error("kept although its run command was refused and no status lists it")
	}
}

// A run command in the reply to a heartbeat is carried out or dropped before the agent's next heartbeat; the answer to
// a request may have overtaken it and proves nothing.
func TestUnlistedLaunchKeptAfterCommandAnswer(t *testing.T) {
	h := newTestHolder(t)
	h.Step(now, heartbeat("m1", 1, testToken))
	s := h.shards[0]
	m := s.machines["m1"]
	a := newAttempt(m, offeredTask, 1, attemptLaunched)
	a.stop = stopImmediately
	s.addAttempt(a)
	if h.Step(now, answered(heartbeat("m1", 2, testToken))); m.attempt(a.id) == nil {
		t.Error("taken for gone by the answer to a request")
	}
	if h.Step(now, heartbeat("m1", 3, testToken)); m.attempt(a.id) != nil {
		t.Error("kept although the agent's next heartbeat does not list it")
	}
}

// Once an agent's lease has expired, as when all controllers were away for longer, the next epoch's first heartbeat
// proves that nothing of the former one is left, whatever it had shown.
func TestNewEpochEndsAttemptsOfEarlierEpochs(t *testing.T) {
	h := newTestHolder(t)
	h.Step(now, heartbeat("m1", 1, testToken, running(1)))
	m := h.shards[0].machines["m1"]
	if h.Step(now+clock.Second, heartbeat("m1", 2, testToken)); m.attempt(1) == nil {
		t.Error("taken for gone within its epoch")
	}
	if h.Step(secondsLater(2), heartbeat("m1", 3, testToken).inEpoch(2)); m.attempt(1) != nil {
		t.Error("kept although its epoch is over")
	}
}

// A status that contradicts itself proves no end: the attempt counts as running, which is logged once.
func TestContradictoryStatusEndsNoAttempt(t *testing.T) {
	other := exitedWith(2, wire.ExitDone)
	other.Task = "j-000009/1"
	for name, tasks := range map[string][]wire.TaskStatus{
		"running and completed":     {running(2), exitedWith(2, wire.ExitDone)},
		"completed and running":     {exitedWith(2, wire.ExitDone), running(2)},
		"the attempt of another":    {other},
		"busy with another attempt": {exitedWith(2, wire.ExitBusy), running(77)},
	} {
		t.Run(name, func(t *testing.T) {
			h := newTestHolder(t)
			effects := h.Step(afterUpdateIntervals(1), heartbeat("m2", 1, testToken, tasks...))
			effects = append(effects, h.Step(afterUpdateIntervals(2), heartbeat("m2", 2, testToken, tasks...))...)
			logged := len(effectsOf[Log](effects))
			isRunning := func(kind peer.EventKind) bool { return kind == peer.EventRunning }
			if kinds := slices.DeleteFunc(eventsOf(effects), isRunning); len(kinds) != 0 || logged != 1 {
				t.Errorf("events %v, logged %d times", kinds, logged)
			}
			// Without the contradiction the end counts.
			kinds := eventsOf(h.Step(afterUpdateIntervals(3), heartbeat("m2", 3, testToken, exitedWith(2, wire.ExitDone))))
			if !slices.Contains(kinds, peer.EventCompleted) {
				t.Errorf("events %v after a status that does not contradict itself", kinds)
			}
		})
	}
}
