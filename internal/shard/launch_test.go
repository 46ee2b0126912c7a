package shard

import (
	"slices"
	"testing"

	"swiftledge/internal/clock"
	"swiftledge/internal/peer"
	"swiftledge/internal/store"
	"swiftledge/wire"
)

// launchTask offers offeredTask to a holder, commits its attempt record, and returns the resulting effects.
func launchTask(t *testing.T, h *Holder, stepTime clock.Micros) []Effect {
	t.Helper()
	write := firstEffect[WriteAttempts](t, offerTask(h, stepTime))
	return h.Step(stepTime, write.Result(store.TxnResult{Committed: true, Revision: 8}))
}

// countRunCommands counts the run commands that are sent in requests and the replies with run commands.
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

// While the attempt record of a task is being written, anything may happen to its machine or to a lease. In every case
// the task is either launched or returned to the leader, never both, and not before the write has ended.
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
		{name: "agents start new epochs", meanwhile: []Message{nextEpoch("m1"), nextEpoch("m2")}, outcome: committed},
		{name: "machines are terminated",
			meanwhile: []Message{orders(peer.ShardOrders{Terminated: []string{"m1", "m2"}})}, outcome: committed},
		{name: "task is stopped", meanwhile: []Message{orders(peer.ShardOrders{Stop: stop})}, outcome: committed},
		{name: "shard lease expires", wait: 25 * clock.Second, outcome: committed},
		{name: "agent lease expires", wait: 45 * clock.Second, outcome: committed},
		{name: "write is rejected"},
		{name: "write gets no answer", outcome: store.TxnResult{Ambiguous: true}},
		{name: "repeated write shows that the first was committed",
			outcome: store.TxnResult{Ambiguous: true, FailedKeys: []string{page}}, launched: true},
		{name: "page condition fails at the first send", outcome: store.TxnResult{FailedKeys: []string{page}}},
		{name: "another controller holds the shard",
			outcome: store.TxnResult{Ambiguous: true, FailedKeys: []string{Key(0), page}}, dropped: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newTestHolder(t)
			h.Step(now, heartbeat("m1", 1, testToken))
			h.Step(now, heartbeat("m2", 1, testToken, running(2)))
			stepTime := afterUpdateIntervals(1)
			write := firstEffect[WriteAttempts](t, offerTask(h, stepTime))
			var before []Effect
			for _, message := range c.meanwhile {
				before = append(before, h.Step(stepTime, message)...)
			}
			if c.wait > 0 {
				stepTime += c.wait
				before = append(before, h.Step(stepTime, Tick{})...)
			}
			// A later step sends the batched updates to the leader.
			before = append(before, h.Step(stepTime+updateInterval, Tick{})...)
			if n := countRunCommands(before); n != 0 || countReleased(before) != 0 {
				t.Errorf("%d run commands and events %v before the write ended, want no run command and no released task", n, eventsOf(before))
			}
			after := h.Step(stepTime+updateInterval, write.Result(c.outcome))
			after = append(after, h.Step(stepTime+2*updateInterval, Tick{})...)
			released := countReleased(after)
			if dropped := h.shards[0] == nil; dropped != c.dropped {
				t.Errorf("shard dropped: %v, want the opposite", dropped)
			}
			if n := countRunCommands(after); (n == 1) != c.launched || !c.dropped && (released == 1) == c.launched {
				t.Errorf("%d run commands sent, task returned to the leader %d times, want launched %v, and returned only if not launched", n, released, c.launched)
			}
		})
	}
}

// The agent lease of a machine expires, or the machine is terminated, while an attempt record for the machine is being
// written. The task must not be returned to the leader before the write ends, because the task could also be launched
// if the agent sends heartbeats again.
func TestAgentLeaseExpiryKeepsRecordingAttempts(t *testing.T) {
	h := newTestHolder(t)
	h.Step(now, heartbeat("m1", 1, testToken))
	offerTask(h, afterUpdateIntervals(1))
	s := h.shards[0]
	m := s.machines["m1"]
	h.tickMachine(h.agentLeaseEnd(s, m)+1, s, m)
	if attempts := s.attempts.byTask[offeredTask]; !m.leaseExpired || len(attempts) != 1 {
		t.Errorf("agent lease expired: %v, %d attempts left, want an expired lease and the attempt being recorded", m.leaseExpired, len(attempts))
	}
	h = newTestHolder(t)
	h.Step(now, heartbeat("m1", 1, testToken))
	offerTask(h, afterUpdateIntervals(1))
	h.Step(afterUpdateIntervals(1), orders(peer.ShardOrders{Terminated: []string{"m1"}}))
	if len(h.shards[0].attempts.byTask[offeredTask]) != 1 {
		t.Error("task returned to the leader while its attempt record was being written")
	}
}

// A machine whose agent lease has expired by the time the attempt record is written gets no run command, because the
// agent would refuse the command in its next epoch. The task is returned to the leader.
func TestNoLaunchAfterAgentLeaseExpiry(t *testing.T) {
	h := newTestHolder(t)
	h.Step(now, heartbeat("m1", 1, testToken))
	write := firstEffect[WriteAttempts](t, offerTask(h, afterUpdateIntervals(1)))
	h.shards[0].machines["m1"].leaseExpired = true
	effects := h.Step(afterUpdateIntervals(2), write.Result(store.TxnResult{Committed: true, Revision: 8}))
	effects = append(effects, h.Step(afterUpdateIntervals(3), Tick{})...)
	if countRunCommands(effects) != 0 || countReleased(effects) != 1 {
		t.Errorf("%d run commands sent, task returned to the leader %d times, want 0 and 1", countRunCommands(effects), countReleased(effects))
	}
}

// A request with a run command carries the agent epoch for which the attempt was placed.
func TestRunCommandCarriesAgentEpoch(t *testing.T) {
	h := newTestHolder(t)
	h.Step(now, heartbeat("m1", 1, testToken).inEpoch(3))
	for _, sent := range effectsOf[SendCommands](launchTask(t, h, afterUpdateIntervals(1))) {
		if sent.Machine == "m1" && sent.Body.AgentEpoch != 3 {
			t.Errorf("run command sent for agent epoch %d, want 3", sent.Body.AgentEpoch)
		}
	}
}

// Sending a command costs a controller more than answering a heartbeat. An overloaded controller lets the next reply
// carry a run command. Any other controller sends the run command at once.
func TestLaunchesDeferredToHeartbeatsUnderOverload(t *testing.T) {
	const onTime, late = lateTickThreshold / 2, 2 * lateTickThreshold
	for _, c := range []struct {
		name  string
		ticks clock.Micros
		quiet clock.Micros // time since the last heartbeat
		want  int
	}{
		{"ticks on time", onTime, 0, 1},
		{"a late tick", late, 0, 0},
		{"a late tick and an overdue heartbeat", late, 3 * clock.Second, 1},
	} {
		h := newTestHolder(t)
		stepTime := now + clock.Second
		h.Step(stepTime, heartbeat("m1", 1, testToken, running(1)))
		h.Step(stepTime, Tick{})
		stepTime += c.ticks
		h.Step(stepTime, Tick{})
		h.Step(stepTime, heartbeat("m1", 2, testToken, running(1)))
		stepTime += c.quiet
		h.overload.lastTick = stepTime // the ticks in between were on time
		if c.ticks == late {
			h.overload.lastLateTick = stepTime
		}
		if n := countAgentRequests(launchTask(t, h, stepTime)); n != c.want {
			t.Errorf("%s: launch caused %d requests to agents, want %d", c.name, n, c.want)
		}
		runCommands := 0
		for _, command := range replyOf(t, h.Step(stepTime, heartbeat("m1", 3, testToken, running(1)))).Body.Commands {
			if command.Verb == wire.VerbRun {
				runCommands++
			}
		}
		if runCommands != 1 {
			t.Errorf("%s: next reply carried %d run commands, want 1", c.name, runCommands)
		}
	}
}
