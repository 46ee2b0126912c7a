package shard

import (
	"math"
	"testing"

	"swiftledge/internal/peer"
	"swiftledge/internal/store"
	"swiftledge/wire"
)

// A replica goes to a machine that has none of its service, and rather to one that has than to one where another
// failed.
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
		t.Errorf("a replica goes to %q, where one failed, want m2", m)
	}
	h.Step(now, orders(peer.ShardOrders{Added: []string{"m3"}}))
	h.Step(now, heartbeat("m3", 1, testToken))
	if m := place(2, 5); m != "m3" {
		t.Errorf("a replica goes to %q, want m3, which has none", m)
	}
}

// A leader that names a mean load which makes no sense is taken for one that names none.
func TestInvalidMeanLoadIsIgnored(t *testing.T) {
	for _, c := range []struct{ named, want float64 }{
		{0.4, 0.4}, {0, 0}, {-1, 0}, {1.5, 0}, {math.NaN(), 0}, {math.Inf(1), 0},
	} {
		if got := meanLoad([]peer.TaskOffer{{Job: wire.Job{FleetLoad: c.named}}, {}}); got != c.want {
			t.Errorf("%g is named, %g is used, want %g", c.named, got, c.want)
		}
	}
}

// A machine gets no task before it has confirmed the token: it would obey an older holder's commands, too.
func TestNoTasksBeforeTokenIsConfirmed(t *testing.T) {
	h := newTestHolder(t)
	h.Step(now, heartbeat("m1", 1, testToken-1))
	if m1IsSchedulable(h, now) {
		t.Error("gets work under an older token")
	}
	h.Step(now, heartbeat("m1", 2, testToken))
	if !m1IsSchedulable(h, now) {
		t.Error("gets no work although it has confirmed the token")
	}
}
