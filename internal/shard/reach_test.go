package shard

import (
	"testing"

	"swiftledge/internal/clock"
	"swiftledge/internal/peer"
	"swiftledge/wire"
)

// A worker whose lease ran out between two holders is known from its answers to
// direct commands only. Its new session has a full lease from its beginning: the
// silence of its reports must not prove its tasks gone before that has run out.
func TestNewSessionHasItsOwnLease(t *testing.T) {
	h := newTestHolder(t)
	in := func(s clock.Micros) clock.Micros { return now + s*clock.Second }
	r := heartbeat("m2", 1, 50).Heartbeat
	r.AgentEpoch = 2
	h.Step(in(35), CommandsAnswered{Request: SendCommands{Shard: 0, Machine: "m2", Body: wire.CommandBatch{FencingToken: 50, AgentEpoch: 2}}, Code: 200, Status: r})
	m := h.shards[0].machines["m2"]
	h.shards[0].addAttempt(&taskAttempt{task: task, id: 50<<peer.AttemptBits | 1, machine: m, group: &peer.AttemptGroup{Job: task.Job}, state: attemptConfirmed, launch: attemptLaunch{agentEpoch: 2}})
	if h.Step(in(54), Tick{}); len(m.attempts) != 1 {
		t.Error("taken for gone while the new session's lease may hold")
	}
	if h.Step(in(57), Tick{}); len(m.attempts) != 0 {
		t.Error("the silence of a whole lease is no proof")
	}
}

func isSchedulable(h *Holder, at clock.Micros, name string) bool {
	return h.isSchedulable(at, h.shards[0], h.shards[0].machines[name])
}

// A machine whose reports come, but which does not hear us, gets no work until it
// has answered a command.
func TestDeafMachineGetsNoWorkUntilItAnswers(t *testing.T) {
	h := newTestHolder(t)
	h.Step(now, heartbeat("m1", 1, 50))
	if !isSchedulable(h, now, "m1") {
		t.Fatal("not fit after it showed our token")
	}
	lost := CommandsAnswered{Request: SendCommands{Shard: 0, Machine: "m1", Body: wire.CommandBatch{FencingToken: 50, AgentEpoch: 1}}}
	for range maxUnansweredCommands {
		h.Step(now, lost)
	}
	h.Step(now, heartbeat("m1", 2, 50))
	if isSchedulable(h, now, "m1") {
		t.Error("fit although its commands go without an answer")
	}
	heard := lost
	heard.Code, heard.Status = 200, heartbeat("m1", 3, 50).Heartbeat
	if h.Step(now, heard); !isSchedulable(h, now, "m1") {
		t.Error("not fit after it has answered a command")
	}
	// Its lease runs out although its reports are answered.
	next := heartbeat("m1", 4, 50)
	next.Heartbeat.AgentEpoch = 2
	if h.Step(now, next); isSchedulable(h, now, "m1") {
		t.Error("fit although our answers do not keep its lease")
	}
}

// A late copy of a report neither renews a lease nor hides silence.
func TestLateCopyIsNotAnswered(t *testing.T) {
	h := newTestHolder(t)
	h.Step(now, heartbeat("m1", 5, 50))
	m := h.shards[0].machines["m1"]
	at := now + 10*clock.Second
	for _, seq := range []uint64{4, 5} {
		if a := replyOf(t, h.Step(at, heartbeat("m1", seq, 50))); a.Status == 200 {
			t.Errorf("a copy of report %d is answered with 200", seq)
		}
	}
	if m.agent.lastStatus != now || m.agent.lastReply != now {
		t.Error("copies count as being heard or answered")
	}
	// One that a newer answer to a command has overtaken is no copy: the worker waits.
	h.Step(at, CommandsAnswered{Request: SendCommands{Shard: 0, Machine: "m1", Body: wire.CommandBatch{FencingToken: 50, AgentEpoch: 1}}, Code: 200, Status: heartbeat("m1", 7, 50).Heartbeat})
	if a := replyOf(t, h.Step(at, heartbeat("m1", 6, 50))); a.Status != 200 {
		t.Errorf("status %d for a report that was only overtaken", a.Status)
	}
}

// A machine whose own reports come to nobody loses its lease whatever it answers to commands:
// it gets no work while that may be so.
func TestMuteMachineGetsNoWork(t *testing.T) {
	h := newTestHolder(t)
	h.Step(now, heartbeat("m1", 1, 50))
	seq := uint64(1)
	in := func(s clock.Micros) clock.Micros { return now + s*clock.Second }
	for s := clock.Micros(2); s <= 12; s += 2 {
		seq++
		h.Step(in(s), CommandsAnswered{Request: SendCommands{Shard: 0, Machine: "m1", Body: wire.CommandBatch{FencingToken: 50, AgentEpoch: 1}}, Code: 200, Status: heartbeat("m1", seq, 50).Heartbeat})
	}
	if isSchedulable(h, in(12), "m1") {
		t.Error("fit although none of its reports has come for four report times")
	}
	if h.Step(in(12), heartbeat("m1", seq+1, 50)); !isSchedulable(h, in(12), "m1") {
		t.Error("not fit although it reports again")
	}
}

// A worker that began anew sends reports that look older than what is known of it. Its session has its
// lease from then on, and obeys late orders of the former: silence does not prove its tasks gone.
func TestReportsThatLookOldHideNoLease(t *testing.T) {
	h := newTestHolder(t)
	h.Step(now, heartbeat("m2", 9, 50, running(2)))
	end := now + h.params.LongestGrant.Longer() + h.params.AgentLease.Longer() + 2*clock.Second
	h.Step(end-clock.Second, heartbeat("m2", 1, 0)) // under an expired grant, too
	h.Step(end, Tick{})
	if len(h.shards[0].machines["m2"].attempts) != 1 {
		t.Error("taken for gone while its worker reports")
	}
	h.Step(end+h.params.AgentLease.Longer()+clock.Second, Tick{})
	if len(h.shards[0].machines["m2"].attempts) != 0 {
		t.Error("not taken for gone a lease after the last report")
	}
}
