package shard

import (
	"encoding/json"
	"math"
	"slices"
	"strconv"
	"strings"
	"testing"

	"swiftledge/internal/cluster"
	"swiftledge/internal/peer"
	"swiftledge/internal/store"
	"swiftledge/wire"
)

// placeJob offers the only task of a job and returns the resulting effects.
func placeJob(h *Holder, seq uint64, job wire.Job) []Effect {
	job.Tasks, job.CPUs, job.Spot = 1, 0.1, true
	return h.Step(now, offer(seq, job, 1))
}

// Guards against a holder that loops without end: a leader of an older version offers jobs with the full name of their
// image, and a name that filled a page of attempt records sent the writer from one empty page to the next.
func TestTaskWithLongImageNameIsRecorded(t *testing.T) {
	h := newTestHolder(t)
	h.Step(now, heartbeat("m1", 1, testToken))
	job := wire.Job{Ref: "j-000007", Team: "red", Image: strings.Repeat("i", h.params.MaxValueBytes)}
	write := firstEffect[WriteAttempts](t, placeJob(h, 1, job))
	txn, err := write.Txn()
	if err != nil || len(txn.Writes) != 1 || len(txn.Writes[0].Value) > h.params.MaxValueBytes {
		t.Fatalf("transaction has %d puts, error %v; want one put within the size limit", len(txn.Writes), err)
	}
	launched := effectsOf[SendCommands](h.Step(now, write.Result(store.TxnResult{Committed: true, Revision: 33})))
	if len(launched) != 1 || launched[0].Body.Commands[0].Task != "j-000007/0" {
		t.Errorf("commands %+v after the write, want the run command of the task", launched)
	}
}

// A record that fits on no page is left out: the writer must not loop, and other tasks are placed all the same.
func TestRecordThatFitsOnNoPageIsLeftOut(t *testing.T) {
	h := newTestHolder(t)
	h.Step(now, heartbeat("m1", 1, testToken))
	tooLarge := wire.Job{Ref: "j-000007", Team: strings.Repeat("t", h.params.MaxValueBytes)}
	effects := placeJob(h, 1, tooLarge)
	if writes := effectsOf[WriteAttempts](effects); len(writes) > 0 {
		t.Errorf("writes %+v of a record that fits on no page, want none", writes)
	}
	if pages := len(h.shards[0].log.pages); pages != 1 {
		t.Errorf("log has %d pages, want only the one that was granted", pages)
	}
	if logged := effectsOf[Log](effects); len(logged) != 1 {
		t.Errorf("%d log records, want one that names the job", len(logged))
	}
	if logged := effectsOf[Log](placeJob(h, 2, tooLarge)); len(logged) > 0 {
		t.Error("logged again in the same lease, want it logged once")
	}
	firstEffect[WriteAttempts](t, placeJob(h, 3, wire.Job{Ref: "j-000008", Team: "red"}))
	tasks := h.shards[0].log.pendingWrite.attempts
	if len(tasks) != 1 || tasks[0].task != (peer.Task{Job: "j-000008"}) {
		t.Errorf("write has %d attempts, want the one of j-000008", len(tasks))
	}
}

// Records that an older version stored with a long image name fit on the page of a compaction.
func TestRecordsWithLongImageNamesAreCompacted(t *testing.T) {
	limit := testParams().MaxValueBytes
	h, statuses := newHolderWithStalePages(t, strings.Repeat("i", limit))
	compaction := firstEffect[CompactPages](t, h.Step(afterUpdateIntervals(11), Tick{}))
	if n := countRecords(t, compaction.Put.Page); n != len(statuses) {
		t.Errorf("compacted page has %d records, want the %d of running attempts", n, len(statuses))
	}
	txn, err := compaction.Txn()
	if err != nil || len(txn.Writes[0].Value) > limit {
		t.Errorf("compacted page has %d bytes, error %v; want at most %d bytes", len(txn.Writes[0].Value), err, limit)
	}
}

// Guards against starts after a confirmed cancellation: a write of attempt records fails once one of its jobs has ended,
// whatever the leader knows. Tasks of the other jobs go back to the leader and are placed by the next write; tasks of the
// ended job are not placed any more.
func TestEndedJobIsNotLaunched(t *testing.T) {
	ended := wire.Job{Ref: "j-000007", Team: "red", CPUs: 0.1, Spot: true, Tasks: 1, KeyVersion: 70}
	other := wire.Job{Ref: "j-000008", Team: "red", CPUs: 0.1, Spot: true, Tasks: 1, KeyVersion: 80}
	both := func(seq uint64) LeaderMessage {
		return orders(peer.ShardOrders{OfferSeq: seq, Offers: []peer.TaskOffer{
			{Job: ended, TaskIndexes: []int{0}}, {Job: other, TaskIndexes: []int{0}}}})
	}
	endedKey := cluster.JobKeyPrefix + ended.Ref
	for _, result := range []store.TxnResult{
		{FailedKeys: []string{endedKey}},
		{Ambiguous: true, FailedKeys: []string{endedKey}},
		{Ambiguous: true, FailedKeys: []string{endedKey, "run/000/50-1"}},
	} {
		h := newTestHolder(t)
		h.Step(now, heartbeat("m1", 1, testToken))
		write := firstEffect[WriteAttempts](t, h.Step(now, both(1)))
		txn, err := write.Txn()
		wanted := []wire.Condition{{Key: Key(0), Version: 7}, {Key: endedKey, Version: 70},
			{Key: cluster.JobKeyPrefix + other.Ref, Version: 80}, {Key: write.Pages[0].Key}}
		if err != nil || !slices.Equal(txn.Conditions, wanted) {
			t.Fatalf("conditions %v, error %v; want %v", txn.Conditions, err, wanted)
		}
		for _, sent := range effectsOf[SendCommands](h.Step(now, write.Result(result))) {
			for _, c := range sent.Body.Commands {
				if c.Task == ended.Ref+"/0" {
					t.Errorf("result %+v: ended job launched", result)
				}
			}
		}
		if len(h.shards[0].attempts.byTask[peer.Task{Job: ended.Ref}]) > 0 {
			t.Errorf("result %+v: the ended job still has an attempt", result)
		}
		for _, next := range effectsOf[WriteAttempts](h.Step(now, both(2))) {
			if slices.ContainsFunc(next.Jobs, func(c JobCondition) bool { return c.Job == ended.Ref }) {
				t.Errorf("result %+v: ended job placed again", result)
			}
		}
	}
}

// A write has no more conditions than a transaction may have, and no more bytes. The tasks of further jobs are left to
// the next write.
func TestJobConditionsFitTransaction(t *testing.T) {
	const jobs, maxBytes = 300, 64 << 10
	for _, txnOps := range []int{2, 8, 200} {
		h := newTestHolder(t)
		h.params.MaxTxnOps, h.params.MaxValueBytes = txnOps, 900
		h.Step(now, heartbeat("m1", 1, testToken))
		var offers []peer.TaskOffer
		for i := range jobs {
			job := wire.Job{Ref: "j-" + strconv.Itoa(100_000_000_000_000_000+i), Team: "red", CPUs: 0.01, Spot: true,
				Tasks: 1, KeyVersion: math.MaxUint64}
			offers = append(offers, peer.TaskOffer{Job: job, TaskIndexes: []int{0}})
		}
		write := firstEffect[WriteAttempts](t, h.Step(now, orders(peer.ShardOrders{OfferSeq: 1, Offers: offers})))
		txn, err := write.Txn()
		if err != nil {
			t.Fatal(err)
		}
		if limit := conditionsPerTxnOp * txnOps; len(txn.Conditions) > limit || len(write.Jobs) < min(limit/2, maxJobConditions) {
			t.Errorf("%d operations: %d conditions for %d jobs, want at most %d", txnOps, len(txn.Conditions), len(write.Jobs), limit)
		}
		if raw, err := json.Marshal(txn); err != nil || len(raw) > maxBytes {
			t.Errorf("%d operations: transaction of %d bytes, error %v; want at most %d", txnOps, len(raw), err, maxBytes)
		}
		if placed := len(h.shards[0].log.pendingWrite.attempts); placed != len(write.Jobs) {
			t.Errorf("%d operations: %d tasks placed with conditions on %d jobs, want one each", txnOps, placed, len(write.Jobs))
		}
	}
}
