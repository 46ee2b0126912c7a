package shard

import (
	"encoding/json"
	"math"
	"testing"

	"swiftledge/internal/clock"
	"swiftledge/internal/peer"
	"swiftledge/wire"
)

// offerTasks offers tasks of one job to a holder's block.
func offerTasks(h *Holder, n int) []Effect {
	o := peer.TaskOffer{Job: wire.Job{Ref: "j-000009", Team: "red", CPUs: 0.001, Spot: true}}
	for i := range n {
		o.TaskIndexes = append(o.TaskIndexes, i)
	}
	return h.Step(now, LeaderMessage{&peer.FromLeader{Term: 9, Orders: []peer.ShardOrders{{Shard: 0, FencingToken: 50, OfferSeq: 1, Offers: []peer.TaskOffer{o}}}}})
}

// The attempts of a grant are as many as their bits; one more would be an attempt of the next token. A
// grant that runs out of them places nothing more and asks for a new one.
func TestGrantOutOfAttemptsAsksForANewOne(t *testing.T) {
	for _, c := range []struct {
		given        uint64
		places, asks bool
	}{{0, true, false}, {1<<peer.AttemptBits - attemptReserve - 1, true, true}, {1<<peer.AttemptBits - attemptReserve, false, true}} {
		h := newTestHolder(t)
		h.Step(now, heartbeat("m1", 1, 50))
		h.Step(now, heartbeat("m1", 2, 50))
		b := h.shards[0]
		b.attempts.count = c.given
		placed := 0
		for _, e := range offerTasks(h, 3) {
			if r, ok := e.(WriteAttempts); ok {
				for _, p := range r.Pages {
					for _, g := range p.Page.Groups {
						placed += len(g.Attempts) / 3
					}
				}
			}
		}
		asked := false
		for _, e := range h.Step(now, Tick{}) {
			if s, ok := e.(SendToLeader); ok {
				for _, u := range s.Message.Updates {
					asked = asked || u.NeedsRegrant
				}
			}
		}
		if (placed > 0) != c.places || asked != c.asks {
			t.Errorf("%d attempts given: %d tasks placed, a new grant asked for: %v", c.given, placed, asked)
		}
		if b.attempts.count >= 1<<peer.AttemptBits {
			t.Errorf("attempt %d does not fit its bits", b.attempts.count)
		}
	}
}

// A machine may hold more tasks than one message to its worker has room for: what ends tasks goes first,
// and all goes in time.
func TestCommandsFitIntoAMessage(t *testing.T) {
	const tasks = 3 * maxCommandsPerMessage
	h := newTestHolder(t)
	h.Step(now, heartbeat("m1", 1, 50))
	b := h.shards[0]
	var listed []wire.TaskStatus
	var stop []peer.StopTask
	for i := range tasks {
		task := peer.Task{Job: "j-000002", Index: i}
		attempt := peer.NewAttemptID(50, uint64(i+1))
		b.addAttempt(&taskAttempt{task: task, id: attempt, machine: b.machines["m1"], group: &peer.AttemptGroup{Job: task.Job}, state: attemptConfirmed, launch: attemptLaunch{agentEpoch: 1}})
		listed = append(listed, wire.TaskStatus{Task: TaskName(task), Attempt: attempt, State: wire.TaskRunning})
		if i >= 2*maxCommandsPerMessage {
			stop = append(stop, peer.StopTask{Task: task})
		}
	}
	const most = 64 << 10
	killed := 0
	for _, e := range h.Step(now, LeaderMessage{&peer.FromLeader{Term: 9, Orders: []peer.ShardOrders{{Shard: 0, FencingToken: 50, Stop: append(stop, peer.StopTask{Task: task})}}}}) {
		if o, ok := e.(SendCommands); ok {
			raw, _ := json.Marshal(o.Body)
			if len(raw) > most {
				t.Errorf("a command of %d bytes", len(raw))
			}
			killed += len(o.Body.Commands)
		}
	}
	if killed < len(stop) {
		t.Errorf("%d of %d tasks are killed", killed, len(stop))
	}
	// Starts that were not seen come again with the answer, behind the kills.
	for i := range 2 * maxCommandsPerMessage {
		r := b.machines["m1"].attempts[i+1]
		r.state = attemptLaunched
	}
	a := replyOf(t, h.Step(now, heartbeat("m1", 5, 50, listed[2*maxCommandsPerMessage:]...)))
	raw, _ := json.Marshal(a.Body)
	if len(raw) > most {
		t.Errorf("an answer of %d bytes", len(raw))
	}
	for i, c := range a.Body.Commands {
		if kill := i < len(stop); (c.Verb == wire.VerbKill) != kill {
			t.Fatalf("command %d of %d is %s", i, len(a.Body.Commands), c.Verb)
		}
	}
}

// Machines that cannot be reached are told the token once at a time: the commands to all others go
// through the same line.
func TestFenceWaitsForItsAnswer(t *testing.T) {
	h := newTestHolder(t)
	at := now
	inquiries := func() (n int) {
		at += fenceInterval + clock.Second
		for _, e := range h.Step(at, Tick{}) {
			if x, ok := e.(InspectAgent); ok && x.Machine == "m1" {
				n++
			}
		}
		return n
	}
	if n := inquiries() + inquiries(); n != 0 {
		t.Errorf("%d more inquiries while the first has no answer", n)
	}
	h.Step(at, InspectionAnswered{Request: InspectAgent{Shard: 0, FencingToken: 50, Machine: "m1"}})
	if n := inquiries(); n != 1 {
		t.Errorf("%d inquiries after the first failed, want one", n)
	}
}

// A leader that names a mean load which makes no sense is taken for one that names none.
func TestMeanLoadThatMakesNoSenseIsLeftOut(t *testing.T) {
	for _, c := range []struct{ told, want float64 }{{0.4, 0.4}, {0, 0}, {-1, 0}, {1.5, 0}, {math.NaN(), 0}, {math.Inf(1), 0}} {
		if got := meanLoad([]peer.TaskOffer{{Job: wire.Job{FleetLoad: c.told}}, {}}); got != c.want {
			t.Errorf("%g is told, %g is used, want %g", c.told, got, c.want)
		}
	}
}
