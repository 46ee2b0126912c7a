package shard

import (
	"strconv"
	"testing"

	"swiftledge/internal/clock"
)

func TestRepliesOnlyUnderValidLease(t *testing.T) {
	h := newTestHolder(t)
	if reply := replyOf(t, h.Step(secondsLater(25), heartbeat("m1", 1, testToken))); reply.Status == statusOK {
		t.Error("heartbeat answered with 200 under an expired shard lease")
	}
	if reply := replyOf(t, h.Step(now, heartbeat("m1", 2, testToken+1))); reply.Status == statusOK {
		t.Error("heartbeat of an agent that has seen a newer token answered with 200")
	}
	if h.shards[0] != nil {
		t.Error("shard kept although an agent reported the newer token of another holder")
	}
}

// A late copy of a heartbeat neither renews an agent's lease nor hides that the agent is silent.
func TestDuplicateHeartbeatIsNotAnswered(t *testing.T) {
	h := newTestHolder(t)
	h.Step(now, heartbeat("m1", 5, testToken))
	m := h.shards[0].machines["m1"]
	stepTime := secondsLater(10)
	for _, seq := range []uint64{4, 5} {
		if reply := replyOf(t, h.Step(stepTime, heartbeat("m1", seq, testToken))); reply.Status == statusOK {
			t.Errorf("copy of heartbeat %d answered with 200", seq)
		}
	}
	if m.agent.lastStatus != now || m.agent.lastReply != now {
		t.Error("copies of heartbeats counted as statuses or as answered heartbeats")
	}
	// A heartbeat that was overtaken by a newer answer to a command is not a copy: the agent waits for the reply.
	h.Step(stepTime, answered(heartbeat("m1", 7, testToken)))
	if reply := replyOf(t, h.Step(stepTime, heartbeat("m1", 6, testToken))); reply.Status != statusOK {
		t.Errorf("status %d for a heartbeat overtaken by an answer, want 200", reply.Status)
	}
}

// The cost of a heartbeat must not grow with the number of machines, because hundreds of heartbeats arrive per second.
func TestHeartbeatCostIndependentOfMachineCount(t *testing.T) {
	cost := func(machines int) float64 {
		h := newTestHolder(t)
		for i := range machines {
			h.Step(now, heartbeat("x"+strconv.Itoa(i), 1, testToken))
		}
		h.Step(afterUpdateIntervals(1), Tick{}) // sends the updates of all machines to the leader
		seq := uint64(1)
		return testing.AllocsPerRun(100, func() {
			seq++
			h.Step(afterUpdateIntervals(1), heartbeat("x3", seq, testToken))
		})
	}
	if few, many := cost(10), cost(2000); many > few+1 {
		t.Errorf("%.0f allocations per heartbeat with 2000 machines, want at most one more than the %.0f with 10", many, few)
	}
}

// An agent's lease expired while its shard passed to a new holder, which knows the agent's new epoch only from answers
// to commands. The new epoch has a full lease from its start. Missing heartbeats must not prove the end of its tasks
// before that lease expires.
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
		t.Error("attempt removed while the agent lease of the new epoch could be valid")
	}
	if h.Step(secondsLater(57), Tick{}); len(m.attempts) != 0 {
		t.Error("attempt kept after a whole agent lease without heartbeats")
	}
}

// A restarted agent sends heartbeats that look older than the newest heartbeat of its predecessor. The lease of the
// restarted agent starts with these heartbeats, and the agent obeys late commands of the former epoch. So the lack of
// newer heartbeats does not prove that the tasks have ended.
func TestOutdatedHeartbeatExtendsAgentLease(t *testing.T) {
	h := newTestHolder(t)
	h.Step(now, heartbeat("m2", 9, testToken, running(2)))
	end := now + h.params.LongestGrant.PlusDrift() + h.params.AgentLease.PlusDrift() + 2*clock.Second
	h.Step(end-clock.Second, heartbeat("m2", 1, 0)) // also counts under an expired shard lease
	h.Step(end, Tick{})
	if len(h.shards[0].machines["m2"].attempts) != 1 {
		t.Error("attempt removed although its agent sent a heartbeat within an agent lease")
	}
	h.Step(end+h.params.AgentLease.PlusDrift()+clock.Second, Tick{})
	if len(h.shards[0].machines["m2"].attempts) != 0 {
		t.Error("attempt kept although an agent lease had passed since the last heartbeat")
	}
}

// A machine whose heartbeats arrive but which commands do not reach gets no tasks until its agent answers a command.
func TestUnreachableMachineGetsNoTasksUntilItAnswers(t *testing.T) {
	h := newTestHolder(t)
	h.Step(now, heartbeat("m1", 1, testToken))
	if !m1IsSchedulable(h, now) {
		t.Fatal("m1 not schedulable after its agent confirmed the token")
	}
	for range maxUnansweredCommands {
		h.Step(now, CommandsAnswered{Request: requestTo("m1")})
	}
	h.Step(now, heartbeat("m1", 2, testToken))
	if m1IsSchedulable(h, now) {
		t.Error("m1 schedulable although commands to its agent got no answer")
	}
	if h.Step(now, answered(heartbeat("m1", 3, testToken))); !m1IsSchedulable(h, now) {
		t.Error("m1 not schedulable after its agent answered a command")
	}
	// The agent's lease expires although its heartbeats are answered.
	if h.Step(now, heartbeat("m1", 4, testToken).inEpoch(2)); m1IsSchedulable(h, now) {
		t.Error("m1 schedulable although its agent's lease expired despite replies to its heartbeats")
	}
}

// An agent whose heartbeats do not arrive loses its lease even if it answers commands, so its machine gets no tasks in
// that state.
func TestMachineWithoutHeartbeatsGetsNoTasks(t *testing.T) {
	h := newTestHolder(t)
	h.Step(now, heartbeat("m1", 1, testToken))
	seq := uint64(1)
	for s := clock.Micros(2); s <= 12; s += 2 {
		seq++
		h.Step(secondsLater(s), answered(heartbeat("m1", seq, testToken)))
	}
	if m1IsSchedulable(h, secondsLater(12)) {
		t.Error("m1 schedulable although no heartbeat had arrived for four intervals")
	}
	if h.Step(secondsLater(12), heartbeat("m1", seq+1, testToken)); !m1IsSchedulable(h, secondsLater(12)) {
		t.Error("m1 not schedulable although its agent sent a heartbeat again")
	}
}
