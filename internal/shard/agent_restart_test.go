package shard

import (
	"testing"

	"swiftledge/internal/clock"
	"swiftledge/internal/peer"
	"swiftledge/internal/store"
	"swiftledge/wire"
)

// exitedOffered is the status of an attempt of offeredTask that was stopped.
func exitedOffered(id wire.AttemptID) wire.TaskStatus {
	return wire.TaskStatus{Task: TaskName(offeredTask), Attempt: id, State: wire.TaskExited, Cause: wire.ExitStopped}
}

// launchedOnM1 returns a holder that has launched offeredTask on m1 by a request, which m1's agent has not answered yet,
// and the attempt. The agent's newest status has sequence number 5.
func launchedOnM1(t *testing.T) (*Holder, *taskAttempt, SendCommands) {
	t.Helper()
	h := newTestHolder(t)
	h.Step(now, inspected("m1", nil)) // the request with the token that followed the grant
	h.Step(now, heartbeat("m1", 5, testToken, running(1)))
	write := firstEffect[WriteAttempts](t, offerTask(h, afterUpdateIntervals(1)))
	effects := h.Step(afterUpdateIntervals(1), write.Result(store.TxnResult{Committed: true, Revision: 8}))
	attempts := h.shards[0].attempts.byTask[offeredTask]
	if len(attempts) != 1 || attempts[0].machine.name != "m1" {
		t.Fatalf("%d attempts of the offered task, want one, on m1", len(attempts))
	}
	return h, attempts[0], firstEffect[SendCommands](t, effects)
}

// executed returns the answer of an agent that has executed commands.
func executed(request SendCommands, status HeartbeatReceived) CommandsAnswered {
	return CommandsAnswered{Request: request, Code: statusOK, Status: status.Heartbeat}
}

// stoppedOnM1 is launchedOnM1 with an attempt whose run command was executed and answered and that was stopped since. The
// agent's newest status has sequence number 7.
func stoppedOnM1(t *testing.T) (*Holder, *taskAttempt) {
	t.Helper()
	h, a, request := launchedOnM1(t)
	active := wire.TaskStatus{Task: TaskName(offeredTask), Attempt: a.id, State: wire.TaskRunning}
	h.Step(afterUpdateIntervals(2), executed(request, heartbeat("m1", 6, testToken, running(1), active)))
	h.Step(afterUpdateIntervals(2), orders(peer.ShardOrders{Stop: []peer.StopTask{{Task: offeredTask}}}))
	h.Step(afterUpdateIntervals(3), heartbeat("m1", 7, testToken, running(1), exitedOffered(a.id)))
	if a.state != attemptExited || !a.endPersisted {
		t.Fatal("stopped attempt has not ended")
	}
	return h, a
}

// regrantsAfter returns whether the holder requests a new grant at a tick some time after its last one.
func regrantsAfter(h *Holder, delay clock.Micros) bool {
	return requestsRegrant(h.Step(now+delay, Tick{}))
}

// TestStoppedAttemptOfRestartedAgentIsKept guards against a task that runs on two machines, or after its cancellation: an
// agent that was restarted lists the stopped attempt no more, and a late copy of its run command starts it again. Only a
// higher token prevents that, so the attempt is kept and the token requested.
func TestStoppedAttemptOfRestartedAgentIsKept(t *testing.T) {
	h, a := stoppedOnM1(t)
	if regrantsAfter(h, 5*clock.Second) {
		t.Fatal("a new grant was requested while the agent listed the stopped attempt")
	}
	h.Step(secondsLater(6), heartbeat("m1", 8, testToken, running(1)))
	if a.machine.attempt(a.id) == nil {
		t.Error("stopped attempt was removed although a late copy of its run command could run it again")
	}
	if !regrantsAfter(h, 6*clock.Second) {
		t.Error("no new grant was requested for a restarted agent")
	}
}

// TestStoppedLaunchOfRestartedAgentIsKept is the same for an attempt whose run command was answered without a status.
func TestStoppedLaunchOfRestartedAgentIsKept(t *testing.T) {
	h, a, request := launchedOnM1(t)
	h.Step(afterUpdateIntervals(2), CommandsAnswered{Request: request, Code: statusOK})
	h.Step(afterUpdateIntervals(2), orders(peer.ShardOrders{Stop: []peer.StopTask{{Task: offeredTask}}}))
	h.Step(afterUpdateIntervals(3), heartbeat("m1", 6, testToken, running(1)))
	if a.machine.attempt(a.id) == nil {
		t.Error("stopped attempt was removed although a late copy of its run command could run it")
	}
	if !regrantsAfter(h, 21*clock.Second) {
		t.Error("no new grant was requested within an agent lease")
	}
}

// TestRefusedLaunchEnds guards against attempts that wait for a higher token although no copy of their run command can be
// executed: it was never sent, or the agent refused it.
func TestRefusedLaunchEnds(t *testing.T) {
	for _, code := range []int{NotSent, statusConflict} {
		h, a, request := launchedOnM1(t)
		h.Step(afterUpdateIntervals(2), CommandsAnswered{Request: request, Code: code})
		h.Step(afterUpdateIntervals(2), orders(peer.ShardOrders{Stop: []peer.StopTask{{Task: offeredTask}}}))
		h.Step(afterUpdateIntervals(3), heartbeat("m1", 6, testToken, running(1)))
		if a.machine.attempt(a.id) != nil || h.shards[0].lease.needsHigherToken {
			t.Errorf("code %d: attempt was kept, or a higher token is needed, want neither", code)
		}
	}
}

// TestCompletedAttemptOfRestartedAgentEnds guards against shards that ask for a token for an attempt whose result is kept.
func TestCompletedAttemptOfRestartedAgentEnds(t *testing.T) {
	h, a, request := launchedOnM1(t)
	done := exitedOffered(a.id)
	done.Cause = wire.ExitDone
	h.Step(afterUpdateIntervals(2), executed(request, heartbeat("m1", 6, testToken, running(1), done)))
	h.Step(afterUpdateIntervals(3), heartbeat("m1", 7, testToken, running(1)))
	if a.machine.attempt(a.id) != nil || h.shards[0].lease.needsHigherToken || h.shards[0].lease.agentRestarted {
		t.Error("completed attempt was kept, or a higher token is needed, want neither")
	}
}

// TestOutdatedHeartbeatIsProbed guards against the wait for an agent's next epoch, a lease long, in which a restarted agent
// executes late copies of run commands. Its heartbeats look like late copies, so the holder asks the agent.
func TestOutdatedHeartbeatIsProbed(t *testing.T) {
	_, stopped := stoppedOnM1(t)
	for _, c := range []struct {
		name       string
		knownEpoch wire.AgentEpoch   // of the agent before the restart
		status     HeartbeatReceived // in the answer to the probe
		want       bool
	}{
		{"agent was restarted", 1, heartbeat("m1", 2, testToken), true},
		{"agent was restarted after several epochs", 3, heartbeat("m1", 2, 0), true},
		{"heartbeat was a late copy", 1, heartbeat("m1", 8, testToken, running(1), exitedOffered(stopped.id)), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			h, a := stoppedOnM1(t)
			a.launch.agentEpoch, a.machine.agent.epoch, a.machine.agent.heartbeatEpoch = c.knownEpoch, c.knownEpoch, c.knownEpoch
			effects := h.Step(secondsLater(5), heartbeat("m1", 1, 0))
			if reply := replyOf(t, effects); reply.Status != statusUnavailable {
				t.Errorf("reply %+v to an outdated heartbeat, want %d", reply, statusUnavailable)
			}
			probe := firstEffect[SendCommands](t, effects)
			if len(probe.Body.Commands) != 0 || probe.Body.FencingToken != testToken || probe.Body.AgentEpoch != 1 {
				t.Errorf("probe %+v, want no commands, under the lease's token, for the epoch of the heartbeat", probe)
			}
			if n := countAgentRequests(h.Step(secondsLater(5), heartbeat("m1", 2, 0))); n != 0 {
				t.Errorf("%d further probes while one was unanswered, want none", n)
			}
			effects = h.Step(secondsLater(6), executed(probe, c.status))
			if n := countAgentRequests(effects); (n == 1) != (c.status.Heartbeat.FencingToken == 0) {
				t.Errorf("%d requests after the answer, want the token again if the agent does not show it", n)
			}
			if got := regrantsAfter(h, 6*clock.Second); got != c.want {
				t.Errorf("new grant requested: %v, want %v", got, c.want)
			}
		})
	}
}

// TestHeartbeatsUnderTheTokenAreNotProbed guards against the cost of a probe for each late copy of a heartbeat.
func TestHeartbeatsUnderTheTokenAreNotProbed(t *testing.T) {
	h, _ := stoppedOnM1(t)
	if n := countAgentRequests(h.Step(secondsLater(5), heartbeat("m1", 1, testToken))); n != 0 {
		t.Errorf("%d requests after a late copy of a heartbeat, want none", n)
	}
	// An agent without an epoch cannot be asked, and the question must not count as pending.
	h.Step(secondsLater(5), heartbeat("m1", 1, 0).inEpoch(0))
	if m := h.shards[0].machines["m1"]; m.fence.requestPending {
		t.Error("a request that was never sent is pending")
	}
}

// TestLowerTokenProvesRestart guards against a restarted agent that goes unnoticed because its heartbeats are newer than
// those before.
func TestLowerTokenProvesRestart(t *testing.T) {
	h, _ := stoppedOnM1(t)
	h.Step(secondsLater(5), heartbeat("m1", 9, testToken-1))
	if !regrantsAfter(h, 5*clock.Second) {
		t.Error("no new grant was requested for an agent whose token has fallen")
	}
}

// TestRestartWithoutLaunchNeedsNoToken guards against shards that change their token with each machine that restarts.
func TestRestartWithoutLaunchNeedsNoToken(t *testing.T) {
	h := newTestHolder(t)
	h.Step(now, inspected("m1", nil))
	h.Step(now, heartbeat("m1", 5, testToken))
	probe := firstEffect[SendCommands](t, h.Step(secondsLater(5), heartbeat("m1", 1, 0)))
	h.Step(secondsLater(5), executed(probe, heartbeat("m1", 2, testToken)))
	if !h.shards[0].machines["m1"].restarted || regrantsAfter(h, 6*clock.Second) {
		t.Error("restart was not noticed, or a new grant was requested, want it noticed without a grant")
	}
}

// TestSecondRestartNeedsToken guards against a restart that goes unnoticed because the agent was restarted before under the
// same lease, when no run command had been sent to it.
func TestSecondRestartNeedsToken(t *testing.T) {
	h, a := stoppedOnM1(t)
	a.machine.runCommandSent = false
	h.Step(secondsLater(5), heartbeat("m1", 9, testToken-1))
	h.Step(secondsLater(6), heartbeat("m1", 10, testToken, running(1), exitedOffered(a.id)))
	if regrantsAfter(h, 6*clock.Second) {
		t.Fatal("a new grant was requested although no run command had been sent")
	}
	a.machine.runCommandSent = true
	h.Step(secondsLater(7), heartbeat("m1", 11, testToken-1))
	if !regrantsAfter(h, 7*clock.Second) {
		t.Error("no new grant was requested after the second restart")
	}
}

// TestTokenGoesToRestartedAgentWithTheGrant guards against the wait of a restarted agent for the token that makes it refuse
// late copies: the token is sent right after the grant, also in a shard of many machines and under overload.
func TestTokenGoesToRestartedAgentWithTheGrant(t *testing.T) {
	h, _ := stoppedOnM1(t)
	h.Step(secondsLater(5), heartbeat("m1", 9, testToken-1))
	h.overload.lastLateTick = secondsLater(5)
	effects := h.Step(secondsLater(5), fromLeader(peer.FromLeader{Term: testTerm, Grants: []peer.ShardGrant{
		{Shard: 0, FencingToken: testToken + 1, KeyVersion: 9, Machines: testInventory}}}))
	sent := effectsOf[SendCommands](effects)
	if len(sent) != 1 || sent[0].Machine != "m1" || sent[0].Body.FencingToken != testToken+1 {
		t.Errorf("commands %+v after the grant, want the new token for m1", sent)
	}
}
