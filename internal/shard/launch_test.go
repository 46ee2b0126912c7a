package shard

import (
	"slices"
	"testing"

	"swiftledge/internal/clock"
	"swiftledge/internal/peer"
	"swiftledge/internal/store"
	"swiftledge/wire"
)

// launchTask offers offeredTask to a holder, confirms its attempt record, and returns the effects of that.
func launchTask(t *testing.T, h *Holder, at clock.Micros) []Effect {
	t.Helper()
	write := onlyEffect[WriteAttempts](t, offerTask(h, at))
	return h.Step(at, write.Result(store.TxnResult{Committed: true, Revision: 8}))
}

// countRunCommands counts the run commands that are sent, and the replies that hold some.
func countRunCommands(effects []Effect) (count int) {
	isRun := func(c wire.Command) bool { return c.Verb == wire.VerbRun }
	for _, sent := range effectsOf[SendCommands](effects) {
		for _, c := range sent.Body.Commands {
			if isRun(c) {
				count++
			}
		}
	}
	for _, reply := range effectsOf[HeartbeatReply](effects) {
		if slices.ContainsFunc(reply.Body.Commands, isRun) {
			count++
		}
	}
	return count
}

// While the attempt record of a task is being written, anything may happen to its machine or its lease. Whatever it is:
// the task is given back or launched, never both, and not before the write's end.
func TestEventsDuringAttemptWrite(t *testing.T) {
	const page = "run/000/50-1"
	committed := store.TxnResult{Committed: true, Revision: 8}
	nextEpoch := func(machine string) Message { return heartbeat(machine, 2, testToken).inEpoch(2) }
	stop := []peer.StopTask{{Task: offeredTask}}
	for _, c := range []struct {
		name      string
		meanwhile []Message
		wait      clock.Micros
		outcome   store.TxnResult
		launched  bool
		dropped   bool
	}{
		{name: "nothing", outcome: committed, launched: true},
		{name: "the agents' next epochs", meanwhile: []Message{nextEpoch("m1"), nextEpoch("m2")}, outcome: committed},
		{name: "the machines are terminated",
			meanwhile: []Message{orders(peer.ShardOrders{Terminated: []string{"m1", "m2"}})}, outcome: committed},
		{name: "the task is called off", meanwhile: []Message{orders(peer.ShardOrders{Stop: stop})}, outcome: committed},
		{name: "the shard lease expires", wait: 25 * clock.Second, outcome: committed},
		{name: "the machine's lease expires", wait: 45 * clock.Second, outcome: committed},
		{name: "the write is refused"},
		{name: "the write gets no answer", outcome: store.TxnResult{Ambiguous: true}},
		{name: "a repeat shows that the write went through",
			outcome: store.TxnResult{Ambiguous: true, FailedKeys: []string{page}}, launched: true},
		{name: "a page's condition fails at once", outcome: store.TxnResult{FailedKeys: []string{page}}},
		{name: "the shard is another's",
			outcome: store.TxnResult{Ambiguous: true, FailedKeys: []string{Key(0), page}}, dropped: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newTestHolder(t)
			h.Step(now, heartbeat("m1", 1, testToken))
			h.Step(now, heartbeat("m2", 1, testToken, running(2)))
			at := afterUpdateIntervals(1)
			write := onlyEffect[WriteAttempts](t, offerTask(h, at))
			var before []Effect
			for _, message := range c.meanwhile {
				before = append(before, h.Step(at, message)...)
			}
			if c.wait > 0 {
				at += c.wait
				before = append(before, h.Step(at, Tick{})...)
			}
			// A later step tells the leader of what has gathered.
			before = append(before, h.Step(at+updateInterval, Tick{})...)
			if n := countRunCommands(before); n != 0 || countReleased(before) != 0 {
				t.Errorf("%d run commands, events %v before the write has ended", n, eventsOf(before))
			}
			after := h.Step(at+updateInterval, write.Result(c.outcome))
			after = append(after, h.Step(at+2*updateInterval, Tick{})...)
			released := countReleased(after)
			if dropped := h.shards[0] == nil; dropped != c.dropped {
				t.Errorf("the shard was given up: %v", dropped)
			}
			if n := countRunCommands(after); (n == 1) != c.launched || !c.dropped && (released == 1) == c.launched {
				t.Errorf("%d run commands and given back %d times, want launched %v", n, released, c.launched)
			}
		})
	}
}

// A machine whose lease ended while a launch on it was recorded, and that is heard again: the task is not given back
// before the write's end, or it would be launched as well.
func TestAgentLeaseExpiryKeepsRecordingAttempts(t *testing.T) {
	h := newTestHolder(t)
	h.Step(now, heartbeat("m1", 1, testToken))
	offerTask(h, afterUpdateIntervals(1))
	s := h.shards[0]
	m := s.machines["m1"]
	h.tickMachine(h.agentLeaseEnd(s, m)+1, s, m)
	if attempts := s.attempts.byTask[offeredTask]; !m.leaseExpired || len(attempts) != 1 {
		t.Errorf("lease expired %v, %d attempts: want the one that is being recorded", m.leaseExpired, len(attempts))
	}
	h = newTestHolder(t)
	h.Step(now, heartbeat("m1", 1, testToken))
	offerTask(h, afterUpdateIntervals(1))
	h.Step(afterUpdateIntervals(1), orders(peer.ShardOrders{Terminated: []string{"m1"}}))
	if len(h.shards[0].attempts.byTask[offeredTask]) != 1 {
		t.Error("given back while its launch is being recorded")
	}
}

// A machine whose lease has ended when the launch on it is recorded gets no run command, which its next epoch would
// refuse: the task is given back.
func TestNoLaunchAfterAgentLeaseExpiry(t *testing.T) {
	h := newTestHolder(t)
	h.Step(now, heartbeat("m1", 1, testToken))
	write := onlyEffect[WriteAttempts](t, offerTask(h, afterUpdateIntervals(1)))
	h.shards[0].machines["m1"].leaseExpired = true
	effects := h.Step(afterUpdateIntervals(2), write.Result(store.TxnResult{Committed: true, Revision: 8}))
	effects = append(effects, h.Step(afterUpdateIntervals(3), Tick{})...)
	if countRunCommands(effects) != 0 || countReleased(effects) != 1 {
		t.Errorf("%d run commands, given back %d times", countRunCommands(effects), countReleased(effects))
	}
}

// A run command that is sent names the epoch in which it is to be carried out, and no other.
func TestRunCommandCarriesAgentEpoch(t *testing.T) {
	h := newTestHolder(t)
	h.Step(now, heartbeat("m1", 1, testToken).inEpoch(3))
	for _, sent := range effectsOf[SendCommands](launchTask(t, h, afterUpdateIntervals(1))) {
		if sent.Machine == "m1" && sent.Body.AgentEpoch != 3 {
			t.Errorf("a command for epoch %d, want 3", sent.Body.AgentEpoch)
		}
	}
}

// To send a command costs a controller more than to answer a heartbeat. One that is behind with its work lets the next
// reply carry a launch; one that is not sends it at once.
func TestLaunchesDeferredToHeartbeatsUnderOverload(t *testing.T) {
	const onTime, late = lateTickThreshold / 2, 2 * lateTickThreshold
	for _, c := range []struct {
		name  string
		ticks clock.Micros
		quiet clock.Micros // since the last heartbeat
		want  int
	}{
		{"ticks on time", onTime, 0, 1},
		{"a late tick", late, 0, 0},
		{"a late tick, and the heartbeat is overdue", late, 3 * clock.Second, 1},
	} {
		h := newTestHolder(t)
		at := now + clock.Second
		h.Step(at, heartbeat("m1", 1, testToken, running(1)))
		h.Step(at, Tick{})
		at += c.ticks
		h.Step(at, Tick{})
		h.Step(at, heartbeat("m1", 2, testToken, running(1)))
		at += c.quiet
		h.overload.lastTick = at // ticks meanwhile came as before
		if c.ticks == late {
			h.overload.lastLateTick = at
		}
		if n := countAgentRequests(launchTask(t, h, at)); n != c.want {
			t.Errorf("%s: %d messages with commands, want %d", c.name, n, c.want)
		}
		runs := 0
		for _, command := range replyOf(t, h.Step(at, heartbeat("m1", 3, testToken, running(1)))).Body.Commands {
			if command.Verb == wire.VerbRun {
				runs++
			}
		}
		if runs != 1 {
			t.Errorf("%s: the next reply carries %d run commands, want 1", c.name, runs)
		}
	}
}
