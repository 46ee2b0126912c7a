package shard

import (
	"math"
	"testing"

	"swiftledge/internal/peer"
	"swiftledge/internal/store"
	"swiftledge/wire"
)

// A replica is placed on a machine without a replica of its service. If there is no such machine, the replica is placed
// on a machine that runs a replica, not on a machine where a replica failed.
func TestReplicasSpreadOverMachines(t *testing.T) {
	h := newTestHolder(t)
	h.Step(now, heartbeat("m1", 1, testToken, exitedWith(1, wire.ExitError)))
	h.Step(now, heartbeat("m2", 1, testToken, running(2)))
	job := wire.Job{Ref: task.Job, Shape: wire.ShapeService, Team: "red", CPUs: 1, Tasks: 9}
	place := func(seq uint64, index int) string {
		offers := []peer.TaskOffer{{Job: job, TaskIndexes: []int{index}}}
		for _, write := range effectsOf[WriteAttempts](h.Step(now, orders(peer.ShardOrders{OfferSeq: seq, Offers: offers}))) {
			machine := h.shards[0].log.pendingWrite.attempts[0].machine.name
			h.Step(now, write.Result(store.TxnResult{Committed: true, Revision: 30 + seq}))
			return machine
		}
		return ""
	}
	if m := place(1, 4); m != "m2" {
		t.Errorf("replica placed on %q, want m2, because a replica failed on m1", m)
	}
	h.Step(now, orders(peer.ShardOrders{Added: []string{"m3"}}))
	h.Step(now, heartbeat("m3", 1, testToken))
	if m := place(2, 5); m != "m3" {
		t.Errorf("replica placed on %q, want m3, which has no replica", m)
	}
}

// An invalid mean load from the leader is treated like a missing one.
func TestInvalidMeanLoadIsIgnored(t *testing.T) {
	for _, c := range []struct{ sent, want float64 }{
		{0.4, 0.4}, {0, 0}, {-1, 0}, {1.5, 0}, {math.NaN(), 0}, {math.Inf(1), 0},
	} {
		if got := meanLoad([]peer.TaskOffer{{Job: wire.Job{FleetLoad: c.sent}}, {}}); got != c.want {
			t.Errorf("leader sent mean load %g: holder used %g, want %g", c.sent, got, c.want)
		}
	}
}

// A machine gets no task before its agent has confirmed the token. Until then the agent would also obey a former
// holder's commands.
func TestNoTasksBeforeTokenIsConfirmed(t *testing.T) {
	h := newTestHolder(t)
	h.Step(now, heartbeat("m1", 1, testToken-1))
	if m1IsSchedulable(h, now) {
		t.Error("m1 schedulable although its agent has confirmed only an older token")
	}
	h.Step(now, heartbeat("m1", 2, testToken))
	if !m1IsSchedulable(h, now) {
		t.Error("m1 not schedulable although its agent has confirmed the token")
	}
}
