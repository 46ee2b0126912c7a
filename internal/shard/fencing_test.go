package shard

import (
	"testing"

	"swiftledge/internal/clock"
	"swiftledge/internal/peer"
	"swiftledge/wire"
)

// A new holder shows its token to the machines at once: an older holder that is cut off may answer their heartbeats
// until its lease expires.
func TestFencesWithoutHeartbeat(t *testing.T) {
	h := newTestHolder(t)
	status := heartbeat("m1", 1, testToken-1, running(1)).Heartbeat
	effects := h.Step(now, inspected("m1", status))
	sent := false
	for _, e := range effectsOf[SendCommands](effects) {
		if e.Body.FencingToken == testToken && e.Body.AgentEpoch == 1 && len(e.Body.Commands) == 0 {
			sent = true
		}
	}
	if !sent {
		t.Fatalf("effects %+v, want our token sent to m1", effects)
	}
	h.Step(now, answered(heartbeat("m1", 2, testToken, running(1))))
	if !h.shards[0].machines["m1"].fence.confirmed {
		t.Error("m1 is not taken as fenced after it confirmed our token")
	}
	h.Step(now, inspected("m2", heartbeat("m2", 1, testToken+1).Heartbeat))
	if h.shards[0] != nil {
		t.Error("keeps a shard whose machine shows a newer token")
	}
}

// Machines that cannot be reached are shown the token once at a time: the commands to all others go through the same
// line.
func TestOneFenceRequestAtATime(t *testing.T) {
	h := newTestHolder(t)
	at := now
	inspections := func() (count int) {
		at += fenceInterval + clock.Second
		for _, e := range effectsOf[InspectAgent](h.Step(at, Tick{})) {
			if e.Machine == "m1" {
				count++
			}
		}
		return count
	}
	if n := inspections() + inspections(); n != 0 {
		t.Errorf("%d more inspections while the first has no answer", n)
	}
	h.Step(at, inspected("m1", nil))
	if n := inspections(); n != 1 {
		t.Errorf("%d inspections after the first failed, want one", n)
	}
}

// A shard that is granted to an overloaded controller is fenced by its machines' heartbeats, not by a command to each.
func TestGrantUnderOverloadSendsNoCommands(t *testing.T) {
	for _, overloaded := range []bool{false, true} {
		h := newTestHolder(t)
		at := now + clock.Second
		h.Step(at, Tick{})
		if overloaded {
			at += 2 * lateTickThreshold
		}
		h.Step(at, Tick{})
		inventory := []peer.InventoryMachine{{Name: "m1", Address: "a1"}, {Name: "m2", Address: "a2"}}
		grant := peer.ShardGrant{Shard: 0, FencingToken: testToken + 1, KeyVersion: 8, Machines: inventory}
		effects := h.Step(at, fromLeader(peer.FromLeader{Term: testTerm, Grants: []peer.ShardGrant{grant}}))
		if n := countAgentRequests(effects); (n == 0) != overloaded {
			t.Errorf("overloaded %v: %d messages with commands", overloaded, n)
		}
	}
}

// A run command may come once more, late: what it started and what was stopped stays listed until the machine has
// confirmed a higher token, which refuses the copy.
func TestStoppedTaskRetainedUntilRunCommandIsFenced(t *testing.T) {
	h := newTestHolder(t)
	h.Step(now, heartbeat("m1", 1, testToken))
	s := h.shards[0]
	a := newAttempt(s.machines["m1"], peer.Task{Job: "j-000002"}, 1, attemptLaunched)
	a.launch.sentInRequest, a.stop = true, stopImmediately
	s.addAttempt(a)
	exit := wire.TaskStatus{Task: TaskName(a.task), Attempt: a.id, State: wire.TaskExited, Cause: wire.ExitStopped}
	if commands := replyOf(t, h.Step(now, heartbeat("m1", 2, testToken, exit))).Body.Commands; len(commands) != 0 {
		t.Errorf("commands %v while a copy of its run command would be obeyed", commands)
	}
	h.Step(now, fromLeader(peer.FromLeader{Term: testTerm, Grants: []peer.ShardGrant{
		{Shard: 0, FencingToken: 60, KeyVersion: 8, Machines: testInventory[:1]}}}))
	h.Step(now, renewal(h, 60))
	commands := replyOf(t, h.Step(now, heartbeat("m1", 3, 60, exit))).Body.Commands
	if len(commands) != 1 || commands[0].Verb != wire.VerbForget {
		t.Errorf("commands %v under the higher token, want forget", commands)
	}
}

// A shard with many of these asks for a higher token by itself.
func TestRetainedAttemptsRequestRegrant(t *testing.T) {
	h := newTestHolder(t)
	s := h.shards[0]
	for i := range minRetainedLimit + 1 {
		a := newAttempt(s.machines["m1"], peer.Task{Job: "j-000002", Index: i}, uint64(i+1), attemptExited)
		a.launch = attemptLaunch{sentInRequest: true}
		a.endReported, a.endPersisted = true, true
		s.addAttempt(a)
	}
	asked := 0
	for i := range 2 {
		for _, update := range updatesOf(h.Step(afterUpdateIntervals(i), Tick{})) {
			if update.NeedsRegrant && update.FencingToken == testToken {
				asked++
			}
		}
	}
	if asked != 1 || h.shards[0] == nil {
		t.Errorf("asked %d times, want once, with the shard kept until then", asked)
	}
}

// A machine that has not confirmed our token yet proves nothing, but a 200 renews its lease: the reply ends the tasks of
// cancelled jobs, or they would go on for a lease more.
func TestReplyToUnfencedMachineKillsCancelledTasks(t *testing.T) {
	h := newTestHolder(t)
	h.Step(now, orders(peer.ShardOrders{Stop: []peer.StopTask{{Task: task}}}))
	reply := replyOf(t, h.Step(now, heartbeat("m1", 1, testToken-9, running(1))))
	commands := reply.Body.Commands
	if len(commands) != 1 || commands[0].Verb != wire.VerbKill || commands[0].Attempt != 1 {
		t.Errorf("status %d with %+v, want the task ended", reply.Status, commands)
	}
	if len(h.shards[0].machines["m1"].attempts) != 1 {
		t.Error("taken for gone before the machine has confirmed the token")
	}
}

// A task that was confirmed and is listed no more within an epoch was lost by an agent that began anew under its name.
// Its run command may come late and start it again, as the agent has lost the token, too: nothing is given back before
// a higher token has been confirmed, and that is asked for.
func TestUnlistedConfirmedTaskRequestsRegrant(t *testing.T) {
	h := newTestHolder(t)
	h.Step(afterUpdateIntervals(1), heartbeat("m2", 1, testToken, running(2)))
	if kinds := eventsOf(h.Step(afterUpdateIntervals(2), heartbeat("m2", 2, testToken))); len(kinds) != 0 {
		t.Errorf("events %v: a late copy of the run command may start it again", kinds)
	}
	if requestsRegrant(h.Step(now+h.params.AgentLease/2, Tick{})) {
		t.Error("asked for a token sooner than a lease after the last")
	}
	if !requestsRegrant(h.Step(now+h.params.AgentLease+clock.Second, Tick{})) {
		t.Error("no higher token was asked for")
	}
}

// A task is told to stop, to free capacity, while its run command has had no answer. The command may be carried out at
// any time and is not sent again, so no status ever settled it and the job never ended: a higher token is asked for,
// which refuses the command.
func TestStoppedUnansweredLaunchRequestsRegrant(t *testing.T) {
	h := newTestHolder(t)
	h.Step(now, heartbeat("m1", 1, testToken))
	h.Step(now, heartbeat("m2", 1, testToken, running(2)))
	s := h.shards[0]
	launchTask(t, h, afterUpdateIntervals(1))
	m := s.attempts.byTask[offeredTask][0].machine
	others := []wire.TaskStatus{}
	if m.name == "m2" {
		others = append(others, running(2))
	}
	h.Step(afterUpdateIntervals(2), orders(peer.ShardOrders{Stop: []peer.StopTask{{Task: offeredTask}}}))
	h.Step(afterUpdateIntervals(3), heartbeat(m.name, 2, testToken, others...))
	if requestsRegrant(h.Step(now+h.params.AgentLease+clock.Second, Tick{})) {
		t.Error("asked for a token while the answer may come")
	}
	at := now + h.params.AgentLease + 2*clock.Second
	h.Step(at-clock.Second, renewal(h, testToken))
	h.Step(at, heartbeat(m.name, 3, testToken, others...))
	if len(s.attempts.byTask[offeredTask]) != 1 {
		t.Fatal("taken for gone while its run command may be carried out")
	}
	if !requestsRegrant(h.Step(at+clock.Second, Tick{})) {
		t.Error("no higher token was asked for")
	}
}
