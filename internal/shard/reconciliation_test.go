package shard

import (
	"slices"
	"testing"

	"swiftledge/internal/clock"
	"swiftledge/internal/peer"
	"swiftledge/wire"
)

// Until an agent has confirmed the new token, it may still execute a command of the former holder, so the agent's status
// proves nothing.
func TestStatusUnderOldTokenEndsNoAttempt(t *testing.T) {
	h := newTestHolder(t)
	effects := h.Step(now, heartbeat("m1", 1, testToken-1))
	if kinds := eventsOf(effects); len(kinds) != 0 {
		t.Errorf("events %v after a heartbeat under an older token, want none", kinds)
	}
	// The removal of the attempt would cause no event, because the task has another attempt.
	if len(h.shards[0].machines["m1"].attempts) != 1 {
		t.Error("attempt removed by a heartbeat under an older token")
	}
	if reply := replyOf(t, effects); reply.Status != statusOK || reply.Body.FencingToken != testToken {
		t.Errorf("reply %+v to a heartbeat under an older token, want 200 with the new token", reply)
	}
}

// A heartbeat that was sent before the answer to a command but arrives after this answer is outdated. The status in the
// heartbeat must not be applied over the newer status in the answer.
func TestOutdatedStatusIsIgnored(t *testing.T) {
	h := newTestHolder(t)
	h.Step(now, heartbeat("m1", 1, testToken, running(1)))
	h.Step(now, answered(heartbeat("m1", 3, testToken, exitedWith(1, wire.ExitDone))))
	h.Step(now, heartbeat("m1", 2, testToken, running(1)))
	if a := h.shards[0].machines["m1"].attempt(1); a == nil || a.state != attemptExited {
		t.Error("exited attempt counted as running after an older status")
	}
}

// A run command without an answer may be delayed and executed later. Until the command is answered, a status that does
// not list its attempt does not prove that the attempt has ended, even if the attempt is to be stopped.
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
		t.Error("attempt removed although its run command could still be executed")
	}
	// A late answer settles the run command, as a new epoch would.
	status := heartbeat("m1", 3, testToken).Heartbeat
	h.Step(secondsLater(2), CommandsAnswered{Request: request, Code: statusConflict, Status: status})
	if h.Step(secondsLater(3), heartbeat("m1", 4, testToken)); m.attempt(a.id) != nil {
		t.Error("attempt kept although its run command was refused and the status did not list the attempt")
	}
}

// A run command in the reply to a heartbeat is executed or dropped before the agent's next heartbeat. The answer to a
// request may overtake the reply, so the answer does not prove that the command was dropped.
func TestUnlistedLaunchKeptAfterCommandAnswer(t *testing.T) {
	h := newTestHolder(t)
	h.Step(now, heartbeat("m1", 1, testToken))
	s := h.shards[0]
	m := s.machines["m1"]
	a := newAttempt(m, offeredTask, 1, attemptLaunched)
	a.stop = stopImmediately
	s.addAttempt(a)
	if h.Step(now, answered(heartbeat("m1", 2, testToken))); m.attempt(a.id) == nil {
		t.Error("attempt removed after the answer to a request, want it kept until the next heartbeat")
	}
	if h.Step(now, heartbeat("m1", 3, testToken)); m.attempt(a.id) != nil {
		t.Error("attempt kept although the agent's next heartbeat did not list it")
	}
}

// After an agent's lease has expired, for example because all controllers were down for longer, the first heartbeat
// of the next epoch proves that all attempts of the former epoch have ended, whatever the statuses of the former epoch
// listed.
func TestNewEpochEndsAttemptsOfEarlierEpochs(t *testing.T) {
	h := newTestHolder(t)
	h.Step(now, heartbeat("m1", 1, testToken, running(1)))
	m := h.shards[0].machines["m1"]
	if h.Step(now+clock.Second, heartbeat("m1", 2, testToken)); m.attempt(1) == nil {
		t.Error("attempt removed within its agent epoch")
	}
	if h.Step(secondsLater(2), heartbeat("m1", 3, testToken).inEpoch(2)); m.attempt(1) != nil {
		t.Error("attempt kept although its agent epoch had ended")
	}
}

// A status that contradicts itself about an attempt does not prove the end of the attempt, which counts as running. The
// contradiction is logged once.
func TestContradictoryStatusEndsNoAttempt(t *testing.T) {
	other := exitedWith(2, wire.ExitDone)
	other.Task = "j-000009/1"
	for name, tasks := range map[string][]wire.TaskStatus{
		"running and completed":     {running(2), exitedWith(2, wire.ExitDone)},
		"completed and running":     {exitedWith(2, wire.ExitDone), running(2)},
		"attempt of another task":   {other},
		"busy with another attempt": {exitedWith(2, wire.ExitBusy), running(77)},
	} {
		t.Run(name, func(t *testing.T) {
			h := newTestHolder(t)
			effects := h.Step(afterUpdateIntervals(1), heartbeat("m2", 1, testToken, tasks...))
			effects = append(effects, h.Step(afterUpdateIntervals(2), heartbeat("m2", 2, testToken, tasks...))...)
			logged := len(effectsOf[Log](effects))
			isRunning := func(kind peer.EventKind) bool { return kind == peer.EventRunning }
			if kinds := slices.DeleteFunc(eventsOf(effects), isRunning); len(kinds) != 0 || logged != 1 {
				t.Errorf("contradictory status caused events %v and was logged %d times, want no end, logged once", kinds, logged)
			}
			// Without the contradiction, the end is accepted.
			kinds := eventsOf(h.Step(afterUpdateIntervals(3), heartbeat("m2", 3, testToken, exitedWith(2, wire.ExitDone))))
			if !slices.Contains(kinds, peer.EventCompleted) {
				t.Errorf("events %v after a status without the contradiction, want completed among them", kinds)
			}
		})
	}
}
