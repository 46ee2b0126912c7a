package shard

import (
	"strconv"
	"testing"

	"swiftledge/internal/clock"
)

func TestRepliesOnlyUnderValidLease(t *testing.T) {
	h := newTestHolder(t)
	if reply := replyOf(t, h.Step(secondsLater(25), heartbeat("m1", 1, testToken))); reply.Status == statusOK {
		t.Error("answers 200 under an expired lease")
	}
	if reply := replyOf(t, h.Step(now, heartbeat("m1", 2, testToken+1))); reply.Status == statusOK {
		t.Error("answers 200 to an agent that has seen a newer token")
	}
	if h.shards[0] != nil {
		t.Error("keeps a shard that a newer holder has")
	}
}

// A late copy of a heartbeat neither renews a lease nor hides silence.
func TestDuplicateHeartbeatIsNotAnswered(t *testing.T) {
	h := newTestHolder(t)
	h.Step(now, heartbeat("m1", 5, testToken))
	m := h.shards[0].machines["m1"]
	at := secondsLater(10)
	for _, seq := range []uint64{4, 5} {
		if reply := replyOf(t, h.Step(at, heartbeat("m1", seq, testToken))); reply.Status == statusOK {
			t.Errorf("a copy of heartbeat %d is answered with 200", seq)
		}
	}
	if m.agent.lastStatus != now || m.agent.lastReply != now {
		t.Error("copies count as being heard or answered")
	}
	// One that a newer answer to a command has overtaken is no copy: the agent waits.
	h.Step(at, answered(heartbeat("m1", 7, testToken)))
	if reply := replyOf(t, h.Step(at, heartbeat("m1", 6, testToken))); reply.Status != statusOK {
		t.Errorf("status %d for a heartbeat that was only overtaken", reply.Status)
	}
}

// What a heartbeat costs must not grow with the number of machines: hundreds come a second.
func TestHeartbeatCostIndependentOfMachineCount(t *testing.T) {
	cost := func(machines int) float64 {
		h := newTestHolder(t)
		for i := range machines {
			h.Step(now, heartbeat("x"+strconv.Itoa(i), 1, testToken))
		}
		h.Step(afterUpdateIntervals(1), Tick{}) // the leader is told of them all
		seq := uint64(1)
		return testing.AllocsPerRun(100, func() {
			seq++
			h.Step(afterUpdateIntervals(1), heartbeat("x3", seq, testToken))
		})
	}
	if few, many := cost(10), cost(2000); many > few+1 {
		t.Errorf("%.0f allocations a heartbeat with 2000 machines, %.0f with 10", many, few)
	}
}

// An agent whose lease expired between two holders is known from its answers to commands only. Its new epoch has a full
// lease from its beginning: the silence of its heartbeats must not prove its tasks gone before that has expired.
func TestNewEpochStartsFullAgentLease(t *testing.T) {
	h := newTestHolder(t)
	answer := answered(heartbeat("m2", 1, testToken).inEpoch(2))
	answer.Request.Body.AgentEpoch = 2
	h.Step(secondsLater(35), answer)
	s := h.shards[0]
	m := s.machines["m2"]
	a := newAttempt(m, task, 1, attemptConfirmed)
	a.launch.agentEpoch = 2
	s.addAttempt(a)
	if h.Step(secondsLater(54), Tick{}); len(m.attempts) != 1 {
		t.Error("taken for gone while the new epoch's lease may hold")
	}
	if h.Step(secondsLater(57), Tick{}); len(m.attempts) != 0 {
		t.Error("the silence of a whole lease is no proof")
	}
}

// An agent that began anew sends heartbeats that look older than what is known of it. Its epoch has its lease from then
// on, and obeys late commands of the former: silence does not prove its tasks gone.
func TestOutdatedHeartbeatExtendsAgentLease(t *testing.T) {
	h := newTestHolder(t)
	h.Step(now, heartbeat("m2", 9, testToken, running(2)))
	end := now + h.params.LongestGrant.Longer() + h.params.AgentLease.Longer() + 2*clock.Second
	h.Step(end-clock.Second, heartbeat("m2", 1, 0)) // under an expired lease, too
	h.Step(end, Tick{})
	if len(h.shards[0].machines["m2"].attempts) != 1 {
		t.Error("taken for gone while its agent sends heartbeats")
	}
	h.Step(end+h.params.AgentLease.Longer()+clock.Second, Tick{})
	if len(h.shards[0].machines["m2"].attempts) != 0 {
		t.Error("not taken for gone a lease after the last heartbeat")
	}
}

// A machine whose heartbeats come, but whose commands do not arrive, gets no work until it has answered one.
func TestUnreachableMachineGetsNoTasksUntilItAnswers(t *testing.T) {
	h := newTestHolder(t)
	h.Step(now, heartbeat("m1", 1, testToken))
	if !m1IsSchedulable(h, now) {
		t.Fatal("not schedulable after it confirmed our token")
	}
	for range maxUnansweredCommands {
		h.Step(now, CommandsAnswered{Request: requestTo("m1")})
	}
	h.Step(now, heartbeat("m1", 2, testToken))
	if m1IsSchedulable(h, now) {
		t.Error("schedulable although its commands go without an answer")
	}
	if h.Step(now, answered(heartbeat("m1", 3, testToken))); !m1IsSchedulable(h, now) {
		t.Error("not schedulable after it has answered a command")
	}
	// Its lease expires although its heartbeats are answered.
	if h.Step(now, heartbeat("m1", 4, testToken).inEpoch(2)); m1IsSchedulable(h, now) {
		t.Error("schedulable although our replies do not keep its lease")
	}
}

// A machine whose own heartbeats come to nobody loses its lease whatever it answers to commands: it gets no work while
// that may be so.
func TestMachineWithoutHeartbeatsGetsNoTasks(t *testing.T) {
	h := newTestHolder(t)
	h.Step(now, heartbeat("m1", 1, testToken))
	seq := uint64(1)
	for s := clock.Micros(2); s <= 12; s += 2 {
		seq++
		h.Step(secondsLater(s), answered(heartbeat("m1", seq, testToken)))
	}
	if m1IsSchedulable(h, secondsLater(12)) {
		t.Error("schedulable although none of its heartbeats has come for four intervals")
	}
	if h.Step(secondsLater(12), heartbeat("m1", seq+1, testToken)); !m1IsSchedulable(h, secondsLater(12)) {
		t.Error("not schedulable although it sends heartbeats again")
	}
}
