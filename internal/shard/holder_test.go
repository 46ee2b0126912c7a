package shard

import (
	"slices"
	"testing"

	"swiftledge/internal/clock"
	"swiftledge/internal/peer"
	"swiftledge/internal/placement"
	"swiftledge/internal/store"
	"swiftledge/wire"
)

const now = 100 * clock.Second

var task = peer.Task{Job: "j-000001", Index: 3}

// newTestHolder makes a holder of one block whose start records name task on m1
// (attempt 1) and m2 (attempt 2).
func newTestHolder(t *testing.T) *Holder {
	t.Helper()
	h := New(Params{Controller: "n0", GrantTime: 20 * clock.Second, LongestGrant: 20 * clock.Second, AgentLease: 20 * clock.Second, HeartbeatInterval: 3 * clock.Second, MaxValueBytes: 4000, MaxTxnOps: 8},
		placement.Params{K: 0.001, Eta: 0.05, Epsilon: 0.01, Small: 0.5}, func() bool { return true })
	h.Step(now, LeaderConnected{Term: 9})
	page := peer.AttemptPage{Machines: []string{"m1", "m2"}, Groups: []peer.AttemptGroup{{Job: task.Job, Team: "red", CPUs: 1, Attempts: []int{3, 1, 0, 3, 2, 1}}}}
	h.Step(now, LeaderMessage{&peer.FromLeader{Term: 9, Holders: []string{"n0"}, Types: []wire.MachineType{{Name: "small", CPUs: 4, MemoryGB: 8}},
		Grants: []peer.ShardGrant{{Shard: 0, FencingToken: 50, KeyVersion: 7, Machines: []peer.InventoryMachine{{Name: "m1", Address: "a1"}, {Name: "m2"}}, Pages: map[string]peer.AttemptPage{"run/000/1-1": page}}}}})
	h.Step(now, LeaderMessage{&peer.FromLeader{Term: 9, RenewedSeq: h.leader.renewSeq, FencingTokens: map[int]wire.FencingToken{0: 50}}})
	return h
}

// unusedResponder stands where an answer would go: tests read answers from the effects.
type unusedResponder struct{}

func (unusedResponder) Respond(HeartbeatReply) {}

func heartbeat(machine string, seq uint64, token wire.FencingToken, tasks ...wire.TaskStatus) HeartbeatReceived {
	return HeartbeatReceived{ReplyTo: unusedResponder{}, Heartbeat: &wire.Heartbeat{Machine: machine, Address: "a", Type: "small", AgentEpoch: 1, Seq: seq, FencingToken: token, Tasks: tasks}}
}

// later is a time at which the leader is told of all that came before.
func later(n int) clock.Micros { return now + clock.Micros(n)*updateInterval }

func eventsOf(fx []Effect) (out []peer.EventKind) {
	for _, e := range fx {
		if s, ok := e.(SendToLeader); ok {
			for _, u := range s.Message.Updates {
				for _, ev := range u.Events {
					out = append(out, ev.Kind)
				}
			}
		}
	}
	return out
}

func replyOf(t *testing.T, fx []Effect) HeartbeatReply {
	t.Helper()
	for _, e := range fx {
		if a, ok := e.(HeartbeatReply); ok {
			return a
		}
	}
	t.Fatal("no answer")
	return HeartbeatReply{}
}

func exitedAs(attempt wire.AttemptID, cause wire.ExitCause) wire.TaskStatus {
	return wire.TaskStatus{Task: TaskName(task), Attempt: attempt, State: wire.TaskExited, Cause: cause}
}

func running(attempt wire.AttemptID) wire.TaskStatus {
	return wire.TaskStatus{Task: TaskName(task), Attempt: attempt, State: wire.TaskRunning}
}

// A stale start record beside a live attempt of the same task: its end must not
// give the task back, or it would be started twice.
func TestTaskComesBackWithItsLastAttemptOnly(t *testing.T) {
	h := newTestHolder(t)
	if ev := eventsOf(h.Step(later(1), heartbeat("m1", 1, 50))); len(ev) != 0 {
		t.Errorf("events %v when a stale attempt is proven gone beside a live one", ev)
	}
	if ev := eventsOf(h.Step(later(2), heartbeat("m2", 1, 50, running(2)))); len(ev) != 1 || ev[0] != peer.EventRunning {
		t.Errorf("events %v, want running", ev)
	}
	if ev := eventsOf(h.Step(later(3), heartbeat("m2", 2, 50))); len(ev) != 0 {
		t.Errorf("events %v: an attempt that was shown cannot vanish within a session", ev)
	}
	two := heartbeat("m2", 3, 50)
	two.Heartbeat.AgentEpoch = 2
	if ev := eventsOf(h.Step(later(4), two)); len(ev) != 1 || ev[0] != peer.EventReleased {
		t.Errorf("events %v after the worker's lease ran out, want back", ev)
	}
}

// Before a machine has shown the new token, an order of the old holder may still
// be carried out: its report proves nothing.
func TestOldTokenProvesNothing(t *testing.T) {
	h := newTestHolder(t)
	fx := h.Step(now, heartbeat("m1", 1, 49))
	if ev := eventsOf(fx); len(ev) != 0 {
		t.Errorf("events %v from a report under an older token", ev)
	}
	// No event tells of it, as the task may be elsewhere, too.
	if len(h.shards[0].machines["m1"].attempts) != 1 {
		t.Error("taken for gone by a report under an older token")
	}
	if a := replyOf(t, fx); a.Status != 200 || a.Body.FencingToken != 50 {
		t.Errorf("answer %+v, want 200 with our token", a)
	}
}

func TestAnswersOnlyUnderItsGrant(t *testing.T) {
	h := newTestHolder(t)
	if a := replyOf(t, h.Step(now+25*clock.Second, heartbeat("m1", 1, 50))); a.Status == 200 {
		t.Error("answers 200 under an expired grant")
	}
	if a := replyOf(t, h.Step(now, heartbeat("m1", 2, 51))); a.Status == 200 {
		t.Error("answers 200 to a worker that has seen a newer token")
	}
	if h.shards[0] != nil {
		t.Error("keeps a block that a newer holder has")
	}
}

// done exits are forgotten only after the store has them.
func TestForgetsAfterStored(t *testing.T) {
	h := newTestHolder(t)
	exit := wire.TaskStatus{Task: TaskName(task), Attempt: 2, State: wire.TaskExited, Cause: wire.ExitDone}
	fx := h.Step(later(1), heartbeat("m2", 1, 50, exit))
	if ev := eventsOf(fx); !slices.Equal(ev, []peer.EventKind{peer.EventAttemptRemains, peer.EventCompleted}) {
		t.Errorf("events %v, want done beside the record of another attempt", ev)
	}
	if a := replyOf(t, fx); len(a.Body.Commands) != 0 {
		t.Errorf("commands %v before the completion is stored", a.Body.Commands)
	}
	h.Step(now, LeaderMessage{&peer.FromLeader{Term: 9, Orders: []peer.ShardOrders{{Shard: 0, FencingToken: 50, Persisted: []peer.Task{task}}}}})
	if a := replyOf(t, h.Step(now, heartbeat("m2", 2, 50, exit))); len(a.Body.Commands) != 1 || a.Body.Commands[0].Verb != wire.VerbForget {
		t.Errorf("commands %v, want forget", a.Body.Commands)
	}
}

// A new leader's roster may still list a machine that its predecessor has deleted,
// with start records on it. The holder knows better: they are over, and the leader hears.
func TestDeletedMachineIsNotWaitedFor(t *testing.T) {
	h := newTestHolder(t)
	h.Step(now, LeaderMessage{&peer.FromLeader{Term: 9, Orders: []peer.ShardOrders{{Shard: 0, FencingToken: 50, Terminated: []string{"m1"}}}}})
	h.Step(now, LeaderConnected{Term: 10})
	page := peer.AttemptPage{Machines: []string{"m1"}, Groups: []peer.AttemptGroup{{Job: task.Job, Team: "red", CPUs: 1, Attempts: []int{3, 1, 0}}}}
	fx := h.Step(later(2), LeaderMessage{&peer.FromLeader{Term: 10, Grants: []peer.ShardGrant{{Shard: 0, FencingToken: 60, KeyVersion: 8,
		Machines: []peer.InventoryMachine{{Name: "m1", Address: "a1"}, {Name: "m2"}}, Pages: map[string]peer.AttemptPage{"run/000/1-1": page}}}}})
	if ev := eventsOf(fx); len(ev) != 1 || ev[0] != peer.EventReleased {
		t.Errorf("events %v, want the task back", ev)
	}
	told := false
	for _, e := range fx {
		if s, ok := e.(SendToLeader); ok {
			for _, u := range s.Message.Updates {
				for _, m := range u.Machines {
					told = told || m.Name == "m1" && m.Terminated
				}
			}
		}
	}
	if !told {
		t.Error("the leader is not told that m1 is gone")
	}
}

// A report that was sent before the answer to a command, and comes after it, is the older one:
// it shows nothing that the answer has not told better.
func TestReportOlderThanAnAnswerProvesNothing(t *testing.T) {
	h := newTestHolder(t)
	h.Step(now, heartbeat("m1", 1, 50, wire.TaskStatus{Task: TaskName(task), Attempt: 1, State: wire.TaskRunning}))
	ended := heartbeat("m1", 3, 50, wire.TaskStatus{Task: TaskName(task), Attempt: 1, State: wire.TaskExited, Cause: wire.ExitDone}).Heartbeat
	h.Step(now, CommandsAnswered{Request: SendCommands{Shard: 0, Machine: "m1", Body: wire.CommandBatch{FencingToken: 50, AgentEpoch: 1}}, Code: 200, Status: ended})
	h.Step(now, heartbeat("m1", 2, 50, wire.TaskStatus{Task: TaskName(task), Attempt: 1, State: wire.TaskRunning}))
	if r := h.shards[0].machines["m1"].attempt(1); r == nil || r.state != attemptExited {
		t.Error("an ended attempt runs again by an older report")
	}
}

// An order that got no answer may be held up and carried out later: until it is answered, a
// report without its task does not prove it gone, not even one that was to be stopped.
func TestAbsenceProvesNothingWhileAnOrderIsUnanswered(t *testing.T) {
	h := newTestHolder(t)
	h.Step(now, heartbeat("m1", 1, 50))
	b := h.shards[0]
	m := b.machines["m1"]
	order := SendCommands{Shard: 0, Machine: "m1", Body: wire.CommandBatch{FencingToken: 50, AgentEpoch: 1}}
	r := &taskAttempt{task: peer.Task{Job: "j-000007"}, id: 50<<peer.AttemptBits | 9, machine: m, group: &peer.AttemptGroup{Job: "j-000007"}, state: attemptLaunched, launch: attemptLaunch{agentEpoch: 1, sent: true, unanswered: 1}, stop: stopImmediately}
	b.addAttempt(r)
	order.Body.Commands = []wire.Command{r.runCommand()}
	h.Step(now, CommandsAnswered{Request: order})
	if h.Step(now+clock.Second, heartbeat("m1", 2, 50)); m.attempt(r.id) == nil {
		t.Error("taken for gone while its order may be carried out yet")
	}
	// Its answer, late, or another session end the doubt.
	h.Step(now+2*clock.Second, CommandsAnswered{Request: order, Code: 409, Status: heartbeat("m1", 3, 50).Heartbeat})
	if h.Step(now+3*clock.Second, heartbeat("m1", 4, 50)); m.attempt(r.id) != nil {
		t.Error("kept although its order was refused and no report lists it")
	}
}

// Once a worker's lease has run out, as when all controllers were away for longer, the next
// session's first report proves that nothing of the former one is left, whatever it had shown.
func TestNextSessionProvesTheFormersTasksGone(t *testing.T) {
	h := newTestHolder(t)
	h.Step(now, heartbeat("m1", 1, 50, wire.TaskStatus{Task: TaskName(task), Attempt: 1, State: wire.TaskRunning}))
	m := h.shards[0].machines["m1"]
	if h.Step(now+clock.Second, heartbeat("m1", 2, 50)); m.attempt(1) == nil {
		t.Error("taken for gone within its session")
	}
	next := heartbeat("m1", 3, 50)
	next.Heartbeat.AgentEpoch = 2
	if h.Step(now+2*clock.Second, next); m.attempt(1) != nil {
		t.Error("kept although its session is over")
	}
}

// offerTask offers one task to a holder and gives the effects.
func offerTask(h *Holder, at clock.Micros) []Effect {
	offer := peer.TaskOffer{Job: wire.Job{Ref: "j-000009", Team: "red", Tasks: 1, CPUs: 1, MemoryGB: 1, Spot: true}, TaskIndexes: []int{0}}
	return h.Step(at, LeaderMessage{&peer.FromLeader{Term: 9, Orders: []peer.ShardOrders{{Shard: 0, FencingToken: 50, OfferSeq: 1, Offers: []peer.TaskOffer{offer}}}}})
}

// writeOf is the write of start records among the effects.
func writeOf(t *testing.T, fx []Effect) WriteAttempts {
	t.Helper()
	for _, e := range fx {
		if r, ok := e.(WriteAttempts); ok {
			return r
		}
	}
	t.Fatal("no start record")
	return WriteAttempts{}
}

// launchTask offers a task to a holder, confirms its start record, and gives the effects of that.
func launchTask(t *testing.T, h *Holder, at clock.Micros) []Effect {
	t.Helper()
	record := writeOf(t, offerTask(h, at))
	return h.Step(at, record.Result(store.TxnResult{Committed: true, Revision: 8}))
}

// The end of one attempt is told as the completion of its task, but with the word that another may
// run yet: a replica's task would be started once more beside it.
func TestCompletionBesideAnotherAttemptSaysSo(t *testing.T) {
	h := newTestHolder(t)
	ev := eventsOf(h.Step(later(1), heartbeat("m1", 1, 50, exitedAs(1, wire.ExitDone))))
	if !slices.Equal(ev, []peer.EventKind{peer.EventAttemptRemains, peer.EventCompleted}) {
		t.Errorf("events %v when one of two attempts completed", ev)
	}
	ev = eventsOf(h.Step(later(2), heartbeat("m2", 1, 50, exitedAs(2, wire.ExitDone))))
	if !slices.Equal(ev, []peer.EventKind{peer.EventCompleted}) {
		t.Errorf("events %v when the last attempt completed", ev)
	}
}

// A report that contradicts itself proves no end: the attempt counts as running, which is logged once.
func TestContradictoryReportsProveNothing(t *testing.T) {
	other := exitedAs(2, wire.ExitDone)
	other.Task = "j-000009/1"
	for name, tasks := range map[string][]wire.TaskStatus{
		"running and done":          {running(2), exitedAs(2, wire.ExitDone)},
		"done and running":          {exitedAs(2, wire.ExitDone), running(2)},
		"the attempt of another":    {other},
		"busy with another attempt": {exitedAs(2, wire.ExitBusy), running(77)},
	} {
		h := newTestHolder(t)
		fx := append(h.Step(later(1), heartbeat("m2", 1, 50, tasks...)), h.Step(later(2), heartbeat("m2", 2, 50, tasks...))...)
		logged := 0
		for _, e := range fx {
			if _, ok := e.(Log); ok {
				logged++
			}
		}
		ev := slices.DeleteFunc(eventsOf(fx), func(kind peer.EventKind) bool { return kind == peer.EventRunning })
		if len(ev) != 0 || logged != 1 {
			t.Errorf("%s: events %v, logged %d times", name, ev, logged)
		}
		// Without the contradiction the end counts.
		if ev := eventsOf(h.Step(later(3), heartbeat("m2", 3, 50, exitedAs(2, wire.ExitDone)))); !slices.Contains(ev, peer.EventCompleted) {
			t.Errorf("%s: events %v after a report that does not contradict itself", name, ev)
		}
	}
}

// An end whose cause is not known is no failure: its task is given back. A failure is told once, however often it is
// reported, and one of an attempt that is not ours not at all.
func TestWhichEndsAreFailures(t *testing.T) {
	h := newTestHolder(t)
	h.Step(now, heartbeat("m1", 1, 50, running(1)))
	h.Step(now, heartbeat("m2", 1, 50, running(2)))
	h.Step(later(1), heartbeat("m1", 2, 50, exitedAs(1, "struck by lightning")))
	events := eventsOf(h.Step(later(2), heartbeat("m2", 2, 50, exitedAs(2, wire.ExitError))))
	events = append(events, eventsOf(h.Step(later(3), heartbeat("m2", 3, 50, exitedAs(2, wire.ExitError))))...)
	events = append(events, eventsOf(h.Step(later(4), heartbeat("m2", 4, 50, exitedAs(2, wire.ExitError), exitedAs(77, wire.ExitError))))...)
	failed := 0
	for _, kind := range events {
		if kind == peer.EventFailed {
			failed++
		}
	}
	if failed != 1 {
		t.Errorf("%d failures are told, want one: %v", failed, events)
	}
}
