package shard

import (
	"testing"

	"swiftledge/internal/clock"
	"swiftledge/internal/peer"
	"swiftledge/wire"
)

// A new holder sends its token to the machines at once, because a partitioned former holder may answer the machines'
// heartbeats until the former holder's lease expires.
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
		t.Fatalf("effects %+v after the inspection, want the token sent to m1", effects)
	}
	h.Step(now, answered(heartbeat("m1", 2, testToken, running(1))))
	if !h.shards[0].machines["m1"].fence.confirmed {
		t.Error("m1 not counted as fenced although its agent confirmed the token")
	}
	h.Step(now, inspected("m2", heartbeat("m2", 1, testToken+1).Heartbeat))
	if h.shards[0] != nil {
		t.Error("shard kept although the agent of m2 reported a newer token")
	}
}

// An unreachable machine has at most one request with the token in flight, because the commands to all other machines
// go through the same queue.
func TestOneFenceRequestAtATime(t *testing.T) {
	h := newTestHolder(t)
	stepTime := now
	inspections := func() (count int) {
		stepTime += fenceInterval + clock.Second
		for _, e := range effectsOf[InspectAgent](h.Step(stepTime, Tick{})) {
			if e.Machine == "m1" {
				count++
			}
		}
		return count
	}
	if n := inspections() + inspections(); n != 0 {
		t.Errorf("%d more inspections of m1 while the first had no answer, want none", n)
	}
	h.Step(stepTime, inspected("m1", nil))
	if n := inspections(); n != 1 {
		t.Errorf("%d inspections of m1 after the first failed, want one", n)
	}
}

// A shard granted to an overloaded controller is fenced through the replies to heartbeats, not by a command to each
// machine.
func TestGrantUnderOverloadSendsNoCommands(t *testing.T) {
	for _, overloaded := range []bool{false, true} {
		h := newTestHolder(t)
		stepTime := now + clock.Second
		h.Step(stepTime, Tick{})
		if overloaded {
			stepTime += 2 * lateTickThreshold
		}
		h.Step(stepTime, Tick{})
		inventory := []peer.InventoryMachine{{Name: "m1", Address: "a1"}, {Name: "m2", Address: "a2"}}
		grant := peer.ShardGrant{Shard: 0, FencingToken: testToken + 1, KeyVersion: 8, Machines: inventory}
		effects := h.Step(stepTime, fromLeader(peer.FromLeader{Term: testTerm, Grants: []peer.ShardGrant{grant}}))
		if n := countAgentRequests(effects); (n == 0) != overloaded {
			t.Errorf("overloaded %v: grant caused %d requests to agents, want none only under overload", overloaded, n)
		}
	}
}

// A copy of a run command may arrive late. So a stopped attempt that the command started stays listed until the machine
// has confirmed a higher token, under which the agent refuses the copy.
func TestStoppedTaskRetainedUntilRunCommandIsFenced(t *testing.T) {
	h := newTestHolder(t)
	h.Step(now, heartbeat("m1", 1, testToken))
	s := h.shards[0]
	a := newAttempt(s.machines["m1"], peer.Task{Job: "j-000002"}, 1, attemptLaunched)
	a.launch.sentInRequest, a.stop = true, stopImmediately
	s.addAttempt(a)
	exit := wire.TaskStatus{Task: TaskName(a.task), Attempt: a.id, State: wire.TaskExited, Cause: wire.ExitStopped}
	if commands := replyOf(t, h.Step(now, heartbeat("m1", 2, testToken, exit))).Body.Commands; len(commands) != 0 {
		t.Errorf("commands %v under the token of the run command, a copy of which may still arrive, want none", commands)
	}
	h.Step(now, fromLeader(peer.FromLeader{Term: testTerm, Grants: []peer.ShardGrant{
		{Shard: 0, FencingToken: 60, KeyVersion: 8, Machines: testInventory[:1]}}}))
	h.Step(now, renewal(h, 60))
	commands := replyOf(t, h.Step(now, heartbeat("m1", 3, 60, exit))).Body.Commands
	if len(commands) != 1 || commands[0].Verb != wire.VerbForget {
		t.Errorf("commands %v after the agent confirmed the higher token, want forget", commands)
	}
}

// A shard with many attempts that must stay listed requests a higher token on its own.
func TestRetainedAttemptsRequestRegrant(t *testing.T) {
	h := newTestHolder(t)
	s := h.shards[0]
	for i := range minRetainedLimit + 1 {
		a := newAttempt(s.machines["m1"], peer.Task{Job: "j-000002", Index: i}, uint64(i+1), attemptExited)
		a.launch = attemptLaunch{sentInRequest: true}
		a.endReported, a.endPersisted = true, true
		s.addAttempt(a)
	}
	requests := 0
	for i := range 2 {
		for _, update := range updatesOf(h.Step(afterUpdateIntervals(i), Tick{})) {
			if update.NeedsRegrant && update.FencingToken == testToken {
				requests++
			}
		}
	}
	if requests != 1 || h.shards[0] == nil {
		t.Errorf("new grant requested %d times, want once, with the shard kept until the new grant", requests)
	}
}

// The status of a machine that has not confirmed the token proves nothing, but a 200 renews the agent's lease. So the
// reply must kill the tasks of cancelled jobs, which would otherwise continue for another lease.
func TestReplyToUnfencedMachineKillsCancelledTasks(t *testing.T) {
	h := newTestHolder(t)
	h.Step(now, orders(peer.ShardOrders{Stop: []peer.StopTask{{Task: task}}}))
	reply := replyOf(t, h.Step(now, heartbeat("m1", 1, testToken-9, running(1))))
	commands := reply.Body.Commands
	if len(commands) != 1 || commands[0].Verb != wire.VerbKill || commands[0].Attempt != 1 {
		t.Errorf("reply had status %d and commands %+v, want one kill of attempt 1", reply.Status, commands)
	}
	if len(h.shards[0].machines["m1"].attempts) != 1 {
		t.Error("attempt removed before the machine confirmed the token")
	}
}

// A confirmed task that is no longer listed within the same epoch was lost by a restarted agent under the same name.
// That agent has also lost the token, so a late copy of the run command may start the task again. The task is not
// returned to the leader before a higher token is confirmed, and the holder requests a higher token.
func TestUnlistedConfirmedTaskRequestsRegrant(t *testing.T) {
	h := newTestHolder(t)
	h.Step(afterUpdateIntervals(1), heartbeat("m2", 1, testToken, running(2)))
	if kinds := eventsOf(h.Step(afterUpdateIntervals(2), heartbeat("m2", 2, testToken))); len(kinds) != 0 {
		t.Errorf("events %v after a confirmed task was no longer listed, want none until a higher token is confirmed", kinds)
	}
	if requestsRegrant(h.Step(now+h.params.AgentLease/2, Tick{})) {
		t.Error("higher token requested within an agent lease after the last grant, want it later")
	}
	if !requestsRegrant(h.Step(now+h.params.AgentLease+clock.Second, Tick{})) {
		t.Error("no higher token requested later than an agent lease after the last grant, want a request")
	}
}

// A task is stopped to free capacity while its run command is unanswered. The command may still be executed at any
// time and is not sent again, so no status ever settled the attempt and the job never ended. The holder must request
// a higher token, under which the agent refuses the command.
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
		t.Error("higher token requested while the answer to the run command could still arrive")
	}
	stepTime := now + h.params.AgentLease + 2*clock.Second
	h.Step(stepTime-clock.Second, renewal(h, testToken))
	h.Step(stepTime, heartbeat(m.name, 3, testToken, others...))
	if len(s.attempts.byTask[offeredTask]) != 1 {
		t.Fatal("attempt removed although its run command could still be executed")
	}
	if !requestsRegrant(h.Step(stepTime+clock.Second, Tick{})) {
		t.Error("no higher token requested for the stopped attempt with an unanswered run command")
	}
}
