package shard

import (
	"strconv"
	"testing"

	"swiftledge/internal/peer"
	"swiftledge/internal/store"
	"swiftledge/wire"
)

// A cycle costs one put whatever the number of its tasks, and what is written over a
// page keeps all records that are not proven gone.
func TestCycleWritesOnePage(t *testing.T) {
	h := newTestHolder(t)
	h.Step(now, heartbeat("m1", 1, 50))
	h.Step(now, heartbeat("m2", 1, 50, running(2)))
	offer := func(seq uint64, ref string, n int) WriteAttempts {
		t.Helper()
		o := peer.TaskOffer{Job: wire.Job{Ref: ref, Team: "red", CPUs: 0.01, Image: "img"}}
		for i := range n {
			o.TaskIndexes = append(o.TaskIndexes, i)
		}
		for _, e := range h.Step(now, LeaderMessage{&peer.FromLeader{Term: 9, Orders: []peer.ShardOrders{{Shard: 0, FencingToken: 50, OfferSeq: seq, Offers: []peer.TaskOffer{o}}}}}) {
			if r, ok := e.(WriteAttempts); ok {
				return r
			}
		}
		t.Fatal("no start records are written")
		return WriteAttempts{}
	}
	first := offer(1, "j-000007", 60)
	if len(first.Pages) != 1 || first.Pages[0].Version != 0 {
		t.Fatalf("%d pages for one cycle, want one that is new", len(first.Pages))
	}
	h.Step(now, first.Result(store.TxnResult{Committed: true, Revision: 33}))
	second := offer(2, "j-000008", 20)
	if len(second.Pages) != 1 || second.Pages[0].Key != first.Pages[0].Key || second.Pages[0].Version != 33 {
		t.Fatalf("second cycle writes %+v, want the first one's page again, guarded on its version", second.Pages)
	}
	n := 0
	for i := range second.Pages[0].Page.Groups {
		rs, err := second.Pages[0].Page.Records(&second.Pages[0].Page.Groups[i])
		if err != nil {
			t.Fatal(err)
		}
		n += len(rs)
	}
	if n != 80 {
		t.Errorf("the page holds %d records, want 80", n)
	}
	txn, err := second.Txn()
	if err != nil || len(txn.Writes) != 1 || len(txn.Writes[0].Value) > h.params.MaxValueBytes {
		t.Errorf("transaction of %d puts, %v", len(txn.Writes), err)
	}
	// No answer: a copy may be carried out yet, so the page is not written again.
	h.Step(now, second.Result(store.TxnResult{Ambiguous: true}))
	if third := offer(3, "j-000009", 5); third.Pages[0].Key == second.Pages[0].Key {
		t.Error("writes over a page whose last write is uncertain")
	}
}

// Pages that are full must not take the place of new ones in a transaction: with as
// many of them as it holds, nothing could start until some task ended.
func TestFullPagesDoNotHoldBackStarts(t *testing.T) {
	h := newTestHolder(t)
	h.Step(now, LeaderMessage{&peer.FromLeader{Term: 9, Types: []wire.MachineType{{Name: "small", CPUs: 4000, MemoryGB: 8000}}}})
	h.Step(now, heartbeat("m1", 1, 50))
	job := 100000
	for seq := uint64(1); seq <= 15; seq++ {
		job++
		idx := make([]int, 250)
		for i := range idx {
			idx[i] = i
		}
		fx := h.Step(now, LeaderMessage{&peer.FromLeader{Term: 9, Orders: []peer.ShardOrders{{Shard: 0, FencingToken: 50, OfferSeq: seq,
			Offers: []peer.TaskOffer{{Job: wire.Job{Ref: "j-" + strconv.Itoa(job), Team: "red", CPUs: 1, Spot: true, Tasks: 250}, TaskIndexes: idx}}}}}})
		started := 0
		for _, e := range fx {
			r, ok := e.(WriteAttempts)
			if !ok {
				continue
			}
			txn, err := r.Txn()
			if err != nil || len(txn.Writes) > h.params.MaxTxnOps {
				t.Fatalf("cycle %d: %d puts in a transaction, %v", seq, len(txn.Writes), err)
			}
			started = len(h.shards[0].log.write.attempts)
			h.Step(now, r.Result(store.TxnResult{Committed: true, Revision: 30 + seq}))
		}
		if started != 250 {
			t.Fatalf("cycle %d starts %d of 250 tasks, with %d pages in use", seq, started, len(h.shards[0].log.pages))
		}
	}
}

// A replica that stands must not keep a page full of records of what is over: they would
// count in full at each takeover and be sent with each grant.
func TestPagesOfStandingTasksAreCompacted(t *testing.T) {
	for _, c := range []struct {
		name    string
		outcome store.TxnResult
		erased  int
	}{
		{"answered", store.TxnResult{Committed: true, Revision: 40}, 1},
		{"no answer", store.TxnResult{Ambiguous: true}, 3},
	} {
		h := newTestHolder(t)
		h.Step(now, LeaderConnected{Term: 10})
		pages := map[string]peer.AttemptPage{}
		var run []wire.TaskStatus
		for p := range 2 {
			g := peer.AttemptGroup{Job: task.Job, Team: "red", CPUs: 0.01}
			for i := range 30 {
				g.Attempts = append(g.Attempts, 100*p+i, 100*p+i+1, 0)
			}
			pages["run/000/1-"+strconv.Itoa(p)] = peer.AttemptPage{FencingToken: 40, Machines: []string{"m1"}, Groups: []peer.AttemptGroup{g}}
			run = append(run, wire.TaskStatus{Task: TaskName(peer.Task{Job: task.Job, Index: 100 * p}), Attempt: peer.NewAttemptID(40, uint64(100*p+1)), State: wire.TaskRunning})
		}
		h.Step(now, LeaderMessage{&peer.FromLeader{Term: 10, Grants: []peer.ShardGrant{{Shard: 0, FencingToken: 60, KeyVersion: 8, Machines: []peer.InventoryMachine{{Name: "m1", Address: "a1"}}, Pages: pages}}}})
		h.Step(now, LeaderMessage{&peer.FromLeader{Term: 10, RenewedSeq: h.leader.renewSeq, FencingTokens: map[int]wire.FencingToken{0: 60}}})
		h.Step(later(10), heartbeat("m1", 1, 60, run...))
		var got *CompactPages
		for _, e := range h.Step(later(11), Tick{}) {
			if x, ok := e.(CompactPages); ok {
				got = &x
			}
		}
		if got == nil {
			t.Fatalf("%s: nothing is compacted", c.name)
		}
		txn, err := got.Txn()
		if err != nil || len(txn.Writes) != 3 || txn.Conditions[0] != (wire.Condition{Key: Key(0), Version: 8}) || txn.Conditions[1] != (wire.Condition{Key: got.Put.Key}) {
			t.Fatalf("%s: transaction %+v, %v", c.name, txn, err)
		}
		records, err := got.Put.Page.Records(&got.Put.Page.Groups[0])
		if err != nil || len(records) != 2 || records[0].Attempt != run[0].Attempt || records[1].Attempt != run[1].Attempt {
			t.Fatalf("%s: the new page names %+v, want what runs", c.name, records)
		}
		h.Step(later(12), got.Result(c.outcome))
		// Both end: whatever may hold their records is erased.
		for i := range run {
			run[i].State, run[i].Cause = wire.TaskExited, wire.ExitStopped
		}
		h.Step(later(13), heartbeat("m1", 2, 60, run...))
		keys := map[string]bool{}
		for i := range 60 {
			for _, e := range h.Step(later(20+10*i), Tick{}) {
				if x, ok := e.(DeletePages); ok {
					for _, k := range x.Keys {
						keys[k] = true
					}
				}
			}
			h.Step(later(20+10*i), LeaderMessage{&peer.FromLeader{Term: 10, RenewedSeq: h.leader.renewSeq, FencingTokens: map[int]wire.FencingToken{0: 60}}})
		}
		if !keys[got.Put.Key] || len(keys) != c.erased {
			t.Errorf("%s: erased %v, want %d keys", c.name, keys, c.erased)
		}
	}
}

// What the state service refuses for its size is tried in smaller pieces, not for ever.
func TestTooLargeWritesGetSmaller(t *testing.T) {
	h := newTestHolder(t)
	h.Step(now, heartbeat("m1", 1, 50))
	fx := h.Step(now, LeaderMessage{&peer.FromLeader{Term: 9, Orders: []peer.ShardOrders{{Shard: 0, FencingToken: 50, OfferSeq: 1,
		Offers: []peer.TaskOffer{{Job: wire.Job{Ref: "j-000009", Team: "red", CPUs: 1, Spot: true, Tasks: 1}, TaskIndexes: []int{0}}}}}}})
	was := h.params
	for _, e := range fx {
		if r, ok := e.(WriteAttempts); ok {
			h.Step(now, r.Result(store.TxnResult{Rejected: true}))
		}
	}
	if h.params.MaxValueBytes != was.MaxValueBytes/2 || h.params.MaxTxnOps != was.MaxTxnOps/2 {
		t.Errorf("values of %d bytes and %d operations after a refusal, were %d and %d", h.params.MaxValueBytes, h.params.MaxTxnOps, was.MaxValueBytes, was.MaxTxnOps)
	}
}

// A replica goes to a machine that has none of its service, and rather to one that has than
// to one where another failed.
func TestReplicasAvoidMachines(t *testing.T) {
	h := newTestHolder(t)
	failed := wire.TaskStatus{Task: TaskName(task), Attempt: 1, State: wire.TaskExited, Cause: wire.ExitError}
	h.Step(now, heartbeat("m1", 1, 50, failed))
	h.Step(now, heartbeat("m2", 1, 50, running(2)))
	where := func(seq uint64, index int) string {
		for _, e := range h.Step(now, LeaderMessage{&peer.FromLeader{Term: 9, Orders: []peer.ShardOrders{{Shard: 0, FencingToken: 50, OfferSeq: seq,
			Offers: []peer.TaskOffer{{Job: wire.Job{Ref: task.Job, Shape: wire.ShapeService, Team: "red", CPUs: 1, Tasks: 9}, TaskIndexes: []int{index}}}}}}}) {
			if r, ok := e.(WriteAttempts); ok {
				at := h.shards[0].log.write.attempts[0].machine.name
				h.Step(now, r.Result(store.TxnResult{Committed: true, Revision: 30 + seq}))
				return at
			}
		}
		return ""
	}
	if m := where(1, 4); m != "m2" {
		t.Errorf("a replica goes to %q, where one failed, want m2", m)
	}
	h.Step(now, LeaderMessage{&peer.FromLeader{Term: 9, Orders: []peer.ShardOrders{{Shard: 0, FencingToken: 50, Added: []string{"m3"}}}}})
	h.Step(now, heartbeat("m3", 1, 50))
	if m := where(2, 5); m != "m3" {
		t.Errorf("a replica goes to %q, want m3, which has none", m)
	}
}
