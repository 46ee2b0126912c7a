package shard

import (
	"strconv"
	"testing"

	"swiftledge/internal/clock"
	"swiftledge/internal/cluster"
	"swiftledge/internal/peer"
	"swiftledge/internal/store"
	"swiftledge/wire"
)

// The key of an attempt page has the token of the lease that wrote it and the page's number under that lease. Leaders
// of any version find the pages of a shard by the prefix of their keys.
func TestAttemptPageKey(t *testing.T) {
	l := attemptLog{shard: 2, fencingToken: 7<<12 | 3}
	cases := []struct {
		name, want string
		token      wire.FencingToken
	}{
		{"own records", "run/002/28675-1", 7<<12 | 3},
		{"records of an earlier lease", "run/002/28675-2", 6<<12 | 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := l.newPage(c.token).key; got != c.want {
				t.Errorf("key of the new page is %s, want %s", got, c.want)
			}
		})
	}
}

// countRecords counts the records on a page.
func countRecords(t *testing.T, page peer.AttemptPage) (count int) {
	t.Helper()
	for i := range page.Groups {
		records, err := page.Records(&page.Groups[i])
		if err != nil {
			t.Fatal(err)
		}
		count += len(records)
	}
	return count
}

// A placement cycle costs one put regardless of its number of tasks. Overwriting a page keeps all records whose
// attempts are not proven to have ended.
func TestCycleWritesOnePage(t *testing.T) {
	h := newTestHolder(t)
	h.Step(now, heartbeat("m1", 1, testToken))
	h.Step(now, heartbeat("m2", 1, testToken, running(2)))
	place := func(seq uint64, job string, tasks int) WriteAttempts {
		t.Helper()
		offered := offer(seq, wire.Job{Ref: job, Team: "red", CPUs: 0.01, Image: "img"}, tasks)
		return firstEffect[WriteAttempts](t, h.Step(now, offered))
	}
	first := place(1, "j-000007", 60)
	if len(first.Pages) != 1 || first.Pages[0].Version != 0 {
		t.Fatalf("first cycle wrote %d pages, want one new page", len(first.Pages))
	}
	h.Step(now, first.Result(store.TxnResult{Committed: true, Revision: 33}))
	second := place(2, "j-000008", 20)
	if len(second.Pages) != 1 || second.Pages[0].Key != first.Pages[0].Key || second.Pages[0].Version != 33 {
		t.Fatalf("second cycle wrote %+v, want the page of the first cycle on condition of version 33", second.Pages)
	}
	if n := countRecords(t, second.Pages[0].Page); n != 80 {
		t.Errorf("page written by the second cycle has %d records, want 80", n)
	}
	txn, err := second.Txn()
	if err != nil || len(txn.Writes) != 1 || len(txn.Writes[0].Value) > h.params.MaxValueBytes {
		t.Errorf("transaction of the second cycle has %d puts, error %v; want one put within the size limit", len(txn.Writes), err)
	}
	// No answer: a copy of the write may still be executed, so the page must not be overwritten.
	h.Step(now, second.Result(store.TxnResult{Ambiguous: true}))
	if third := place(3, "j-000009", 5); third.Pages[0].Key == second.Pages[0].Key {
		t.Error("third cycle overwrote a page whose last write has an unknown outcome")
	}
}

// Full pages must not take the place of new pages in a transaction. If full pages filled the transaction, nothing could
// be launched until a task ended.
func TestFullPagesDoNotBlockLaunches(t *testing.T) {
	h := newTestHolder(t)
	h.Step(now, fromLeader(peer.FromLeader{Term: testTerm,
		Types: []wire.MachineType{{Name: "small", CPUs: 4000, MemoryGB: 8000}}}))
	const cycles, tasksPerCycle = 15, 250
	for i := range cycles*tasksPerCycle/wire.MaxTasksPerHeartbeat + 1 {
		name := "host-" + strconv.Itoa(i)
		h.Step(now, orders(peer.ShardOrders{Added: []string{name}}))
		h.Step(now, heartbeat(name, 1, testToken))
	}
	for seq := uint64(1); seq <= cycles; seq++ {
		job := wire.Job{Ref: "j-" + strconv.Itoa(100000+int(seq)), Team: "red", CPUs: 1, Spot: true, Tasks: tasksPerCycle}
		launched := 0
		for _, write := range effectsOf[WriteAttempts](h.Step(now, offer(seq, job, tasksPerCycle))) {
			txn, err := write.Txn()
			if err != nil || len(txn.Writes) > h.params.MaxTxnOps {
				t.Fatalf("cycle %d: transaction has %d puts, error %v; want at most MaxTxnOps", seq, len(txn.Writes), err)
			}
			launched = len(h.shards[0].log.pendingWrite.attempts)
			h.Step(now, write.Result(store.TxnResult{Committed: true, Revision: 30 + seq}))
		}
		if launched != tasksPerCycle {
			t.Fatalf("cycle %d launched %d of %d tasks with %d pages in use, want all tasks launched", seq, launched, tasksPerCycle, len(h.shards[0].log.pages))
		}
	}
}

// newHolderWithStalePages returns a holder under token 60 with two pages of 30 attempts each on m1. Only the first
// attempt of each page runs. It also returns the task statuses of these two attempts. image is the name of the tasks'
// image on the pages.
func newHolderWithStalePages(t *testing.T, image string) (*Holder, []wire.TaskStatus) {
	t.Helper()
	h := newTestHolder(t)
	h.Step(now, LeaderConnected{Term: 10})
	pages := map[string]peer.AttemptPage{}
	var tasks []wire.TaskStatus
	for p := range 2 {
		g := peer.AttemptGroup{Job: task.Job, Team: "red", CPUs: 0.01, Image: image}
		for i := range 30 {
			g.Attempts = append(g.Attempts, 100*p+i, 100*p+i+1, 0)
		}
		pages["run/000/1-"+strconv.Itoa(p)] = peer.AttemptPage{FencingToken: 40, Machines: []string{"m1"},
			Groups: []peer.AttemptGroup{g}}
		tasks = append(tasks, wire.TaskStatus{Task: TaskName(peer.Task{Job: task.Job, Index: 100 * p}),
			Attempt: peer.NewAttemptID(40, uint64(100*p+1)), State: wire.TaskRunning})
	}
	h.Step(now, fromLeader(peer.FromLeader{Term: 10, Grants: []peer.ShardGrant{
		{Shard: 0, FencingToken: 60, KeyVersion: 8, Machines: testInventory[:1], Pages: pages}}}))
	h.Step(now, renewal(h, 60))
	h.Step(afterUpdateIntervals(10), heartbeat("m1", 1, 60, tasks...))
	return h, tasks
}

// A long-running replica must not keep a page full of records of ended attempts. These records would count in full at
// each failover and be sent with each grant.
func TestPagesOfRunningTasksAreCompacted(t *testing.T) {
	for _, c := range []struct {
		name    string
		outcome store.TxnResult
		deleted int
	}{
		{"answered", store.TxnResult{Committed: true, Revision: 40}, 1},
		{"no answer", store.TxnResult{Ambiguous: true}, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			h, tasks := newHolderWithStalePages(t, "img")
			compaction := firstEffect[CompactPages](t, h.Step(afterUpdateIntervals(11), Tick{}))
			txn, err := compaction.Txn()
			if err != nil || len(txn.Writes) != 3 || txn.Conditions[0] != (wire.Condition{Key: Key(0), Version: 8}) ||
				txn.Conditions[1] != (wire.Condition{Key: compaction.Put.Key}) {
				t.Fatalf("compaction transaction %+v, error %v; want one put and two deletions on condition of the shard's key and the new page", txn, err)
			}
			page := &compaction.Put.Page
			records, err := page.Records(&page.Groups[0])
			if err != nil || len(records) != 2 ||
				records[0].Attempt != tasks[0].Attempt || records[1].Attempt != tasks[1].Attempt {
				t.Fatalf("page written by the compaction has records %+v, want those of the two running attempts", records)
			}
			h.Step(afterUpdateIntervals(12), compaction.Result(c.outcome))
			// Both attempts end: every page that may hold their records is deleted.
			for i := range tasks {
				tasks[i].State, tasks[i].Cause = wire.TaskExited, wire.ExitStopped
			}
			h.Step(afterUpdateIntervals(13), heartbeat("m1", 2, 60, tasks...))
			keys := map[string]bool{}
			for i := range 60 {
				for _, deletion := range effectsOf[DeletePages](h.Step(afterUpdateIntervals(20+10*i), Tick{})) {
					for _, key := range deletion.Keys {
						keys[key] = true
					}
				}
				h.Step(afterUpdateIntervals(20+10*i), renewal(h, 60))
			}
			if !keys[compaction.Put.Key] || len(keys) != c.deleted {
				t.Errorf("deleted keys %v, want %d keys including that of the new page", keys, c.deleted)
			}
		})
	}
}

// A page that is being written is not compacted, because the compaction would delete the page that the write stores.
func TestPageBeingWrittenIsNotCompacted(t *testing.T) {
	for _, writing := range []bool{false, true} {
		h := newTestHolder(t)
		l := &h.shards[0].log
		page := l.pages[0]
		page.storedRecords = 100
		if writing {
			l.pendingWrite = &attemptWrite{pages: []*attemptPage{page}}
		}
		h.maintainLog(afterUpdateIntervals(1), h.shards[0])
		if (l.compaction == nil) != writing {
			t.Errorf("write in flight %v: page compacted %v, want compacted only without a write", writing, l.compaction != nil)
		}
	}
}

// When the store rejects a transaction for its size, the next transactions are smaller. Transactions of the same size
// would fail forever.
func TestRejectedWriteReducesLimits(t *testing.T) {
	h := newTestHolder(t)
	h.Step(now, heartbeat("m1", 1, testToken))
	effects := h.Step(now, offer(1, wire.Job{Ref: "j-000009", Team: "red", CPUs: 1, Spot: true, Tasks: 1}, 1))
	before := h.params
	for _, write := range effectsOf[WriteAttempts](effects) {
		h.Step(now, write.Result(store.TxnResult{Rejected: true}))
	}
	if h.params.MaxValueBytes != before.MaxValueBytes/2 || h.params.MaxTxnOps != before.MaxTxnOps/2 {
		t.Errorf("limits of %d bytes and %d operations after a rejection, want half of the former %d and %d",
			h.params.MaxValueBytes, h.params.MaxTxnOps, before.MaxValueBytes, before.MaxTxnOps)
	}
}

// A failed page condition proves that an earlier send was committed only while this holder has the shard. A failed job
// condition proves nothing but the end of the job.
func TestWriteResultOnFailedConditions(t *testing.T) {
	write := WriteAttempts{Shard: 0, FencingToken: testToken}
	const page, job = "run/000/50-1", cluster.JobKeyPrefix + "j-000009"
	for _, c := range []struct {
		name          string
		result        store.TxnResult
		committed     bool
		fenced        bool
		neverExecuted bool
		endedJobs     int
	}{
		{"page condition, after an unanswered send",
			store.TxnResult{Ambiguous: true, FailedKeys: []string{page}}, true, false, false, 0},
		{"page condition, at the first send", store.TxnResult{FailedKeys: []string{page}}, false, false, false, 0},
		{"both conditions, after an unanswered send",
			store.TxnResult{Ambiguous: true, FailedKeys: []string{Key(0), page}}, false, true, false, 0},
		{"shard condition", store.TxnResult{FailedKeys: []string{Key(0)}}, false, true, false, 0},
		{"job condition, at the first send", store.TxnResult{FailedKeys: []string{job}}, false, false, true, 1},
		{"job condition, after an unanswered send",
			store.TxnResult{Ambiguous: true, FailedKeys: []string{job}}, false, false, false, 1},
		{"job and page conditions, after an unanswered send",
			store.TxnResult{Ambiguous: true, FailedKeys: []string{job, page}}, true, false, false, 1},
		{"job and shard conditions, after an unanswered send",
			store.TxnResult{Ambiguous: true, FailedKeys: []string{Key(0), job}}, false, true, false, 1},
	} {
		got := write.Result(c.result)
		if got.Committed != c.committed || got.Fenced != c.fenced || got.NeverExecuted != c.neverExecuted ||
			len(got.EndedJobs) != c.endedJobs || got.Revision != 0 {
			t.Errorf("%s: result %+v, want Committed, Fenced, NeverExecuted and the ended jobs of the case, and no Revision", c.name, got)
		}
	}
}

// The bits of the attempt count in an attempt ID limit the number of IDs under a lease. One more ID would belong to the
// next token. A holder that runs out of IDs places no more tasks and requests a new grant.
func TestExhaustedAttemptIDsRequestRegrant(t *testing.T) {
	for _, c := range []struct {
		count                   uint64
		wantPlaced, wantRegrant bool
	}{
		{0, true, false},
		{1<<peer.AttemptCountBits - attemptIDReserve - 1, true, true},
		{1<<peer.AttemptCountBits - attemptIDReserve, false, true},
	} {
		h := newTestHolder(t)
		h.Step(now, heartbeat("m1", 1, testToken))
		h.Step(now, heartbeat("m1", 2, testToken))
		attempts := &h.shards[0].attempts
		attempts.issuedIDs = c.count
		placed := 0
		offered := offer(1, wire.Job{Ref: "j-000009", Team: "red", CPUs: 0.001, Spot: true}, 3)
		for _, write := range effectsOf[WriteAttempts](h.Step(now, offered)) {
			for _, p := range write.Pages {
				placed += countRecords(t, p.Page)
			}
		}
		regrant := requestsRegrant(h.Step(now, Tick{}))
		if (placed > 0) != c.wantPlaced || regrant != c.wantRegrant {
			t.Errorf("%d attempt IDs issued: %d tasks placed, new grant requested %v, want what the case states", c.count, placed, regrant)
		}
		if attempts.issuedIDs >= 1<<peer.AttemptCountBits {
			t.Errorf("%d attempt IDs issued, more than the bits of the attempt count allow", attempts.issuedIDs)
		}
	}
}

// A log keeps its empty pages for a while, so that the next cycle can overwrite them, and then deletes them.
func TestEmptyPageRetention(t *testing.T) {
	for _, c := range []struct {
		name   string
		sealed bool
		after  clock.Micros
		want   int
	}{
		{"this lease, at once", false, 0, 0},
		{"this lease, later", false, emptyPageRetention + 1, 1},
		{"earlier lease", true, 0, 1},
	} {
		l := attemptLog{fencingToken: testToken}
		l.pages = []*attemptPage{{key: "run/000/50-1", sealed: c.sealed}}
		l.dropEmptyPages(now)
		l.dropEmptyPages(now + c.after)
		deletion, _ := l.nextDeletion(now+c.after, storeLimits{valueBytes: 4000, txnOps: 8})
		if len(deletion.Keys) != c.want {
			t.Errorf("%s: deleted keys %v, want %d keys", c.name, deletion.Keys, c.want)
		}
	}
}
