package shard

import (
	"testing"

	"swiftledge/internal/clock"
	"swiftledge/internal/peer"
	"swiftledge/wire"
)

// A new holder shows its token to the machines at once: an older holder that is
// cut off may answer their reports until its grant ends.
func TestFencesByItself(t *testing.T) {
	h := newTestHolder(t)
	r := heartbeat("m1", 1, 49, running(1)).Heartbeat
	fx := h.Step(now, InspectionAnswered{Request: InspectAgent{Shard: 0, FencingToken: 50, Machine: "m1"}, Status: r})
	sent := false
	for _, e := range fx {
		if o, ok := e.(SendCommands); ok && o.Body.FencingToken == 50 && o.Body.AgentEpoch == 1 && len(o.Body.Commands) == 0 {
			sent = true
		}
	}
	if !sent {
		t.Fatalf("effects %+v, want our token sent to m1", fx)
	}
	after := heartbeat("m1", 2, 50, running(1)).Heartbeat
	h.Step(now, CommandsAnswered{Request: SendCommands{Shard: 0, Machine: "m1", Body: wire.CommandBatch{FencingToken: 50, AgentEpoch: 1}}, Code: 200, Status: after})
	if !h.shards[0].machines["m1"].fence.confirmed {
		t.Error("m1 is not taken as fenced after it showed our token")
	}
	if h.Step(now, InspectionAnswered{Request: InspectAgent{Shard: 0, FencingToken: 50, Machine: "m2"}, Status: heartbeat("m2", 1, 51).Heartbeat}); h.shards[0] != nil {
		t.Error("keeps a block whose machine shows a newer token")
	}
}

// A run order may come once more, late: what it started and what was stopped stays
// listed until the machine has shown a higher token, which refuses the copy.
func TestStoppedTaskStaysListedUntilItsOrderIsRefused(t *testing.T) {
	h := newTestHolder(t)
	h.Step(now, heartbeat("m1", 1, 50))
	b := h.shards[0]
	attempt := peer.NewAttemptID(50, 1)
	other := peer.Task{Job: "j-000002"}
	b.addAttempt(&taskAttempt{task: other, id: attempt, machine: b.machines["m1"], group: &peer.AttemptGroup{Job: other.Job}, state: attemptLaunched, launch: attemptLaunch{agentEpoch: 1, sent: true}, stop: stopImmediately})
	exit := wire.TaskStatus{Task: TaskName(other), Attempt: attempt, State: wire.TaskExited, Cause: wire.ExitStopped}
	if a := replyOf(t, h.Step(now, heartbeat("m1", 2, 50, exit))); len(a.Body.Commands) != 0 {
		t.Errorf("commands %v while a copy of its order would be obeyed", a.Body.Commands)
	}
	h.Step(now, LeaderMessage{&peer.FromLeader{Term: 9, Grants: []peer.ShardGrant{{Shard: 0, FencingToken: 60, KeyVersion: 8, Machines: []peer.InventoryMachine{{Name: "m1", Address: "a1"}}}}}})
	h.Step(now, LeaderMessage{&peer.FromLeader{Term: 9, RenewedSeq: h.leader.renewSeq, FencingTokens: map[int]wire.FencingToken{0: 60}}})
	if a := replyOf(t, h.Step(now, heartbeat("m1", 3, 60, exit))); len(a.Body.Commands) != 1 || a.Body.Commands[0].Verb != wire.VerbForget {
		t.Errorf("commands %v under the higher token, want forget", a.Body.Commands)
	}
}

// A block with many of these asks for a higher token by itself.
func TestAsksForAHigherToken(t *testing.T) {
	h := newTestHolder(t)
	b := h.shards[0]
	for i := range minRetainedLimit + 1 {
		b.addAttempt(&taskAttempt{task: peer.Task{Job: "j-000002", Index: i}, id: peer.NewAttemptID(50, uint64(i+1)), machine: b.machines["m1"],
			group: &peer.AttemptGroup{Job: "j-000002"}, state: attemptExited, launch: attemptLaunch{sent: true}, endReported: true, endPersisted: true})
	}
	asked := 0
	for i := range 2 {
		for _, e := range h.Step(later(i), Tick{}) {
			if s, ok := e.(SendToLeader); ok {
				for _, u := range s.Message.Updates {
					if u.NeedsRegrant && u.FencingToken == 50 {
						asked++
					}
				}
			}
		}
	}
	if asked != 1 || h.shards[0] == nil {
		t.Errorf("asked %d times, want once, with the block kept until then", asked)
	}
}

// A machine that has not shown our token yet proves nothing, but a 200 renews its lease: the
// answer ends the tasks of cancelled jobs, or they would go on for a lease more.
func TestAnswerToAnUnfencedMachineEndsCancelledTasks(t *testing.T) {
	h := newTestHolder(t)
	h.Step(now, LeaderMessage{&peer.FromLeader{Term: 9, Orders: []peer.ShardOrders{{Shard: 0, FencingToken: 50, Stop: []peer.StopTask{{Task: task}}}}}})
	a := replyOf(t, h.Step(now, heartbeat("m1", 1, 41, wire.TaskStatus{Task: TaskName(task), Attempt: 1, State: wire.TaskRunning})))
	if len(a.Body.Commands) != 1 || a.Body.Commands[0].Verb != wire.VerbKill || a.Body.Commands[0].Attempt != 1 {
		t.Errorf("status %d with %+v, want the task ended", a.Status, a.Body.Commands)
	}
	if len(h.shards[0].machines["m1"].attempts) != 1 {
		t.Error("taken for gone before the machine has shown the token")
	}
}

// A task that was shown and is listed no more within a session was lost by a worker that began anew
// under its name. Its order may come late and start it again, as the worker has lost the token, too:
// nothing is given back before a higher token has been shown, and that is asked for.
func TestVanishedTaskAsksForAHigherToken(t *testing.T) {
	h := newTestHolder(t)
	h.Step(later(1), heartbeat("m2", 1, 50, running(2)))
	if ev := eventsOf(h.Step(later(2), heartbeat("m2", 2, 50))); len(ev) != 0 {
		t.Errorf("events %v: a late copy of the order may start it again", ev)
	}
	if requestsRegrant(h, now+h.params.AgentLease/2) {
		t.Error("asked for a token sooner than a lease after the last")
	}
	if !requestsRegrant(h, now+h.params.AgentLease+clock.Second) {
		t.Error("no higher token was asked for")
	}
}

// requestsRegrant says whether a tick has the leader asked for a new grant.
func requestsRegrant(h *Holder, at clock.Micros) bool {
	for _, e := range h.Step(at, Tick{}) {
		if s, ok := e.(SendToLeader); ok && len(s.Message.Updates) > 0 && s.Message.Updates[0].NeedsRegrant {
			return true
		}
	}
	return false
}

// A task is told to stop, to make room, while its direct order has had no answer. The order may be
// carried out at any time and is not sent again, so no report ever settled it and the job never ended:
// a higher token is asked for, which refuses the order.
func TestStoppedOrderWithoutAnAnswerAsksForAHigherToken(t *testing.T) {
	h := newTestHolder(t)
	h.Step(now, heartbeat("m1", 1, 50))
	h.Step(now, heartbeat("m2", 1, 50, running(2)))
	b := h.shards[0]
	launchTask(t, h, later(1))
	one := peer.Task{Job: "j-000009"}
	m := b.attempts.byTask[one][0].machine
	rest := []wire.TaskStatus{}
	if m.name == "m2" {
		rest = append(rest, running(2))
	}
	h.Step(later(2), LeaderMessage{&peer.FromLeader{Term: 9, Orders: []peer.ShardOrders{{Shard: 0, FencingToken: 50, Stop: []peer.StopTask{{Task: one}}}}}})
	h.Step(later(3), heartbeat(m.name, 2, 50, rest...))
	if requestsRegrant(h, now+h.params.AgentLease+clock.Second) {
		t.Error("asked for a token while the answer may come")
	}
	at := now + h.params.AgentLease + 2*clock.Second
	h.Step(at-clock.Second, LeaderMessage{&peer.FromLeader{Term: 9, RenewedSeq: h.leader.renewSeq, FencingTokens: map[int]wire.FencingToken{0: 50}}})
	h.Step(at, heartbeat(m.name, 3, 50, rest...))
	if len(b.attempts.byTask[one]) != 1 {
		t.Fatal("taken for gone while its order may be carried out")
	}
	if !requestsRegrant(h, at+clock.Second) {
		t.Error("no higher token was asked for")
	}
}
