package shard

import (
	"slices"
	"testing"

	"swiftledge/internal/clock"
	"swiftledge/internal/peer"
	"swiftledge/internal/store"
	"swiftledge/wire"
)

// runOrders counts the run orders among the effects, direct or in answers.
func runOrders(fx []Effect) (n int) {
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

// given counts how often the task that is started in these tests was given back.
func given(fx []Effect) (n int) {
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
		r := beat(machine, 2, 50)
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
		h := holding(t)
		h.Step(now, beat("m1", 1, 50))
		h.Step(now, beat("m2", 1, 50, running(2)))
		at := later(1)
		record := recordOf(t, offerOne(h, at))
		var before []Effect
		for _, msg := range c.mean {
			before = append(before, h.Step(at, msg)...)
		}
		if c.wait > 0 {
			at += c.wait
			before = append(before, h.Step(at, Tick{})...)
		}
		// A flush tells the leader of what has gathered.
		before = append(before, h.Step(at+flushEvery, Tick{})...)
		if n := runOrders(before); n != 0 || given(before) != 0 {
			t.Errorf("%s: %d run orders, events %v before the write has ended", c.name, n, eventsOf(before))
		}
		after := h.Step(at+flushEvery, record.Result(c.outcome))
		after = append(after, h.Step(at+2*flushEvery, Tick{})...)
		backs := given(after)
		voided := h.blocks[0] == nil
		if voided != (c.name == "the block is another's") {
			t.Errorf("%s: the block was given up: %v", c.name, voided)
		}
		if n := runOrders(after); (n == 1) != c.ordered || !voided && (backs == 1) == c.ordered {
			t.Errorf("%s: %d run orders and given back %d times, want ordered %v", c.name, n, backs, c.ordered)
		}
	}
}

// A machine whose lease ended while a start on it was recorded, and that is heard again: the task is
// not given back before the write's end, or it would be ordered as well.
func TestLeaseEndLeavesWhatIsBeingRecorded(t *testing.T) {
	h := holding(t)
	h.Step(now, beat("m1", 1, 50))
	offerOne(h, later(1))
	m := h.blocks[0].machines["m1"]
	h.tickMachine(h.leaseEnd(h.blocks[0], m)+1, h.blocks[0], m)
	if !m.lost || len(h.blocks[0].byTask[peer.Task{Job: "j-000009"}]) != 1 {
		t.Errorf("lost %v, %d attempts: want the one that is being recorded", m.lost, len(h.blocks[0].byTask[peer.Task{Job: "j-000009"}]))
	}
	h = holding(t)
	h.Step(now, beat("m1", 1, 50))
	offerOne(h, later(1))
	h.Step(later(1), LeaderMessage{&peer.FromLeader{Term: 9, Orders: []peer.ShardOrders{{FencingToken: 50, Terminated: []string{"m1"}}}}})
	if len(h.blocks[0].byTask[peer.Task{Job: "j-000009"}]) != 1 {
		t.Error("given back while its start is being recorded")
	}
}

// A machine whose lease has ended when the start on it is recorded gets no order, which its next session
// would refuse: the task is given back.
func TestNoOrderForAMachineWhoseLeaseEnded(t *testing.T) {
	h := holding(t)
	h.Step(now, beat("m1", 1, 50))
	record := recordOf(t, offerOne(h, later(1)))
	h.blocks[0].machines["m1"].lost = true
	fx := h.Step(later(2), record.Result(store.TxnResult{Committed: true, Revision: 8}))
	fx = append(fx, h.Step(later(3), Tick{})...)
	if runOrders(fx) != 0 || given(fx) != 1 {
		t.Errorf("%d run orders, given back %d times", runOrders(fx), given(fx))
	}
}

// An order in a report's answer is carried out or dropped before the worker's next report of its own;
// the answer to a direct command may have overtaken it and proves nothing.
func TestAnswerToACommandDoesNotProveAnOrderDropped(t *testing.T) {
	h := holding(t)
	h.Step(now, beat("m1", 1, 50))
	b := h.blocks[0]
	m := b.machines["m1"]
	r := &taskAttempt{task: peer.Task{Job: "j-000009"}, attempt: 50<<peer.AttemptBits | 1, m: m, group: &peer.AttemptGroup{Job: "j-000009"}, state: ordered, session: 1, stop: stopAtOnce}
	b.add(r)
	answer := CommandsAnswered{Request: SendCommands{Shard: 0, Machine: "m1", Body: wire.CommandBatch{FencingToken: 50, AgentEpoch: 1}}, Code: 200}
	answer.Status = beat("m1", 2, 50).Heartbeat
	if h.Step(now, answer); m.find(r.attempt) == nil {
		t.Error("taken for gone by the answer to a direct command")
	}
	if h.Step(now, beat("m1", 3, 50)); m.find(r.attempt) != nil {
		t.Error("kept although the worker's next report does not list it")
	}
}
