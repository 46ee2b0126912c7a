package shard

import (
	"slices"
	"testing"

	"swiftledge/internal/clock"
	"swiftledge/internal/peer"
	"swiftledge/internal/store"
	"swiftledge/wire"
)

// countRunCommands counts the run orders among the effects, direct or in answers.
func countRunCommands(fx []Effect) (n int) {
	isRun := func(c wire.Command) bool { return c.Verb == wire.VerbRun }
	for _, e := range fx {
		if x, ok := e.(SendCommands); ok {
			for _, c := range x.Body.Commands {
				if isRun(c) {
					n++
				}
			}
		}
		if x, ok := e.(HeartbeatReply); ok && slices.ContainsFunc(x.Body.Commands, isRun) {
			n++
		}
	}
	return n
}

// countReleased counts how often the task that is started in these tests was given back.
func countReleased(fx []Effect) (n int) {
	for _, e := range fx {
		if s, ok := e.(SendToLeader); ok {
			for _, u := range s.Message.Updates {
				for _, ev := range u.Events {
					if ev.Job == "j-000009" && ev.Kind == peer.EventReleased {
						n++
					}
				}
			}
		}
	}
	return n
}

// While the start record of a task is being written, anything may happen to its machine or its grant.
// Whatever it is: the task is given back or ordered, never both, and not before the write's end.
func TestWhatHappensWhileAStartIsRecorded(t *testing.T) {
	good := store.TxnResult{Committed: true, Revision: 8}
	orders := func(o peer.ShardOrders) LeaderMessage {
		o.FencingToken = 50
		return LeaderMessage{&peer.FromLeader{Term: 9, Orders: []peer.ShardOrders{o}}}
	}
	next := func(machine string) HeartbeatReceived {
		r := heartbeat(machine, 2, 50)
		r.Heartbeat.AgentEpoch = 2
		return r
	}
	for _, c := range []struct {
		name    string
		mean    []Message
		wait    clock.Micros
		outcome store.TxnResult
		ordered bool
	}{
		{"nothing", nil, 0, good, true},
		{"the worker's next session", []Message{next("m1"), next("m2")}, 0, good, false},
		{"the machine is deleted", []Message{orders(peer.ShardOrders{Terminated: []string{"m1", "m2"}})}, 0, good, false},
		{"the task is called off", []Message{orders(peer.ShardOrders{Stop: []peer.StopTask{{Task: peer.Task{Job: "j-000009"}}}})}, 0, good, false},
		{"the grant ends", nil, 25 * clock.Second, good, false},
		{"the machine's lease ends", []Message{}, 45 * clock.Second, good, false},
		{"the write is refused", nil, 0, store.TxnResult{}, false},
		{"the write gets no answer", nil, 0, store.TxnResult{Ambiguous: true}, false},
		{"a repeat shows that the write went through", nil, 0, store.TxnResult{Ambiguous: true, FailedKeys: []string{"run/000/50-1"}}, true},
		{"a page's guard fails at once", nil, 0, store.TxnResult{FailedKeys: []string{"run/000/50-1"}}, false},
		{"the block is another's", nil, 0, store.TxnResult{Ambiguous: true, FailedKeys: []string{Key(0), "run/000/50-1"}}, false},
	} {
		h := newTestHolder(t)
		h.Step(now, heartbeat("m1", 1, 50))
		h.Step(now, heartbeat("m2", 1, 50, running(2)))
		at := later(1)
		record := writeOf(t, offerTask(h, at))
		var before []Effect
		for _, msg := range c.mean {
			before = append(before, h.Step(at, msg)...)
		}
		if c.wait > 0 {
			at += c.wait
			before = append(before, h.Step(at, Tick{})...)
		}
		// A flush tells the leader of what has gathered.
		before = append(before, h.Step(at+updateInterval, Tick{})...)
		if n := countRunCommands(before); n != 0 || countReleased(before) != 0 {
			t.Errorf("%s: %d run orders, events %v before the write has ended", c.name, n, eventsOf(before))
		}
		after := h.Step(at+updateInterval, record.Result(c.outcome))
		after = append(after, h.Step(at+2*updateInterval, Tick{})...)
		backs := countReleased(after)
		voided := h.shards[0] == nil
		if voided != (c.name == "the block is another's") {
			t.Errorf("%s: the block was given up: %v", c.name, voided)
		}
		if n := countRunCommands(after); (n == 1) != c.ordered || !voided && (backs == 1) == c.ordered {
			t.Errorf("%s: %d run orders and given back %d times, want ordered %v", c.name, n, backs, c.ordered)
		}
	}
}

// A machine whose lease ended while a start on it was recorded, and that is heard again: the task is
// not given back before the write's end, or it would be ordered as well.
func TestLeaseEndLeavesWhatIsBeingRecorded(t *testing.T) {
	h := newTestHolder(t)
	h.Step(now, heartbeat("m1", 1, 50))
	offerTask(h, later(1))
	m := h.shards[0].machines["m1"]
	h.tickMachine(h.agentLeaseEnd(h.shards[0], m)+1, h.shards[0], m)
	if !m.leaseExpired || len(h.shards[0].attempts.byTask[peer.Task{Job: "j-000009"}]) != 1 {
		t.Errorf("lost %v, %d attempts: want the one that is being recorded", m.leaseExpired, len(h.shards[0].attempts.byTask[peer.Task{Job: "j-000009"}]))
	}
	h = newTestHolder(t)
	h.Step(now, heartbeat("m1", 1, 50))
	offerTask(h, later(1))
	h.Step(later(1), LeaderMessage{&peer.FromLeader{Term: 9, Orders: []peer.ShardOrders{{FencingToken: 50, Terminated: []string{"m1"}}}}})
	if len(h.shards[0].attempts.byTask[peer.Task{Job: "j-000009"}]) != 1 {
		t.Error("given back while its start is being recorded")
	}
}

// A machine whose lease has ended when the start on it is recorded gets no order, which its next session
// would refuse: the task is given back.
func TestNoOrderForAMachineWhoseLeaseEnded(t *testing.T) {
	h := newTestHolder(t)
	h.Step(now, heartbeat("m1", 1, 50))
	record := writeOf(t, offerTask(h, later(1)))
	h.shards[0].machines["m1"].leaseExpired = true
	fx := h.Step(later(2), record.Result(store.TxnResult{Committed: true, Revision: 8}))
	fx = append(fx, h.Step(later(3), Tick{})...)
	if countRunCommands(fx) != 0 || countReleased(fx) != 1 {
		t.Errorf("%d run orders, given back %d times", countRunCommands(fx), countReleased(fx))
	}
}

// An order in a report's answer is carried out or dropped before the worker's next report of its own;
// the answer to a direct command may have overtaken it and proves nothing.
func TestAnswerToACommandDoesNotProveAnOrderDropped(t *testing.T) {
	h := newTestHolder(t)
	h.Step(now, heartbeat("m1", 1, 50))
	b := h.shards[0]
	m := b.machines["m1"]
	r := &taskAttempt{task: peer.Task{Job: "j-000009"}, id: 50<<peer.AttemptBits | 1, machine: m, group: &peer.AttemptGroup{Job: "j-000009"}, state: attemptLaunched, launch: attemptLaunch{agentEpoch: 1}, stop: stopImmediately}
	b.addAttempt(r)
	answer := CommandsAnswered{Request: SendCommands{Shard: 0, Machine: "m1", Body: wire.CommandBatch{FencingToken: 50, AgentEpoch: 1}}, Code: 200}
	answer.Status = heartbeat("m1", 2, 50).Heartbeat
	if h.Step(now, answer); m.attempt(r.id) == nil {
		t.Error("taken for gone by the answer to a direct command")
	}
	if h.Step(now, heartbeat("m1", 3, 50)); m.attempt(r.id) != nil {
		t.Error("kept although the worker's next report does not list it")
	}
}
