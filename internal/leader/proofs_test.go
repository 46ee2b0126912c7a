package leader

import (
	"errors"
	"slices"
	"testing"

	"swiftledge/internal/clock"
	"swiftledge/internal/leader/jobs"
	"swiftledge/internal/peer"
	"swiftledge/internal/shard"
	"swiftledge/internal/store"
	"swiftledge/wire"
)

// recordsOf is a page whose records name tasks of the job on a machine.
func recordsOf(machine string, indexes ...int) map[string]peer.AttemptPage {
	g := peer.AttemptGroup{Job: spec.Ref, Team: "red", CPUs: 1}
	for i, index := range indexes {
		g.Attempts = append(g.Attempts, index, i+1, 0)
	}
	return map[string]peer.AttemptPage{"run/" + machine: {Machines: []string{machine}, Groups: []peer.AttemptGroup{g}}}
}

// saying is what a holder says of a shard under a token.
func saying(b *shardLease, token wire.FencingToken, events ...peer.TaskEvent) HolderMessage {
	return HolderMessage{Controller: "n0", Link: testLink("link"), Message: &peer.ToLeader{Term: 5,
		Updates: []peer.ShardUpdate{{Shard: b.ID, FencingToken: token, Events: events}}}}
}

// eventOf is an event of the first task of the job.
func eventOf(kind peer.EventKind) peer.TaskEvent {
	return peer.TaskEvent{Task: peer.Task{Job: spec.Ref, Index: 0}, Kind: kind, Machine: names[0]}
}

// What a holder message of an earlier grant, or over an earlier link, gives nothing back.
func TestEventsOfAnEarlierGrantChangeNothing(t *testing.T) {
	l := granting(t, recordsOf(names[0], 0, 1))
	b := l.shards.all[shard.ForMachine(names[0], 2)]
	l.Step(began+clock.Second, saying(b, b.token-1, eventOf(peer.EventReleased)))
	other := saying(b, b.token, eventOf(peer.EventReleased))
	other.Link = testLink("an earlier link")
	l.Step(began+clock.Second, other)
	if h := b.tasks[peer.Task{Job: spec.Ref}]; h == nil || !h.inherited {
		t.Error("given back by the word on an earlier grant")
	}
	l.Step(began+clock.Second, saying(b, b.token, eventOf(peer.EventReleased)))
	if h := b.tasks[peer.Task{Job: spec.Ref}]; h != nil && h.inherited {
		t.Error("not given back by the word on this grant")
	}
}

// A task that the records of two shards name waits until it is gone from both, and not at all once it
// is done.
func TestTaskWaitsWhenItHasLeftItsLastGrant(t *testing.T) {
	l := leading(t)
	for _, b := range l.shards.all {
		machine := names[slices.IndexFunc(names, func(n string) bool { return shard.ForMachine(n, 2) == b.ID })]
		l.Step(began, AttemptsLoaded{Term: 5, Shard: b.ID, FencingToken: b.token, Pages: recordsOf(machine, 0)})
	}
	j := l.jobs.Get(spec.Ref)
	l.Step(began, saying(l.shards.all[0], l.shards.all[0].token, eventOf(peer.EventReleased)))
	if j.GrantCount(0) != 1 || j.IsWaiting(0) {
		t.Errorf("in %d grants, waits %v: want one, and not to wait", j.GrantCount(0), j.IsWaiting(0))
	}
	l.Step(began, saying(l.shards.all[1], l.shards.all[1].token, eventOf(peer.EventReleased)))
	if j.GrantCount(0) != 0 || !j.IsWaiting(0) {
		t.Errorf("in %d grants, waits %v: want none, and to wait", j.GrantCount(0), j.IsWaiting(0))
	}
	j.MarkCompleted(1)
	j.MarkDispatched(1)
	if j.Requeue(1); j.IsWaiting(1) {
		t.Error("a completed task waits again")
	}
}

// When a shard is granted anew, what its records name stays out; only what has none comes back.
func TestRecordedTasksStayOutWhenABlockIsGrantedAnew(t *testing.T) {
	l := leading(t)
	b := l.shards.all[shard.ForMachine(names[0], 2)]
	l.Step(began, AttemptsLoaded{Term: 5, Shard: b.ID, FencingToken: b.token, Pages: recordsOf(names[0], 0, 1)})
	j := l.jobs.Get(spec.Ref)
	b.state = reading
	l.Step(began, AttemptsLoaded{Term: 5, Shard: b.ID, FencingToken: b.token, Pages: recordsOf(names[0], 1)})
	if j.GrantCount(0) != 0 || !j.IsWaiting(0) || j.GrantCount(1) != 1 || j.IsWaiting(1) {
		t.Errorf("in %d and %d grants, waiting %t and %t: want task 1 in one and task 0 to wait", j.GrantCount(0), j.GrantCount(1), j.IsWaiting(0), j.IsWaiting(1))
	}
}

// Records that were read for an earlier grant or term may lack what was recorded since.
func TestRecordsOfAnEarlierGrantAreNotTaken(t *testing.T) {
	for _, m := range []AttemptsLoaded{{Term: 4}, {Term: 5}} {
		l := leading(t)
		b := l.shards.all[0]
		if m.FencingToken = b.token; m.Term == 5 {
			m.FencingToken--
		}
		if l.Step(began, m); b.state != reading || b.AttemptsRead {
			t.Errorf("records of epoch %d and token %d are taken for those of 5 and %d", m.Term, m.FencingToken, b.token)
		}
	}
}

// After a failed guard on a shard's key, only what is read there tells whose it is.
func TestBlockKeyIsReadBack(t *testing.T) {
	for _, ours := range []bool{true, false} {
		l := leading(t)
		b := l.shards.all[0]
		b.state = writing
		tag := shardsTag{map[int]wire.FencingToken{b.ID: b.token}}
		key := shard.Key(b.ID)
		l.Step(began, TxnCompleted{Term: 5, Tag: tag, Result: store.TxnResult{Ambiguous: true, FailedKeys: []string{key}}})
		if b.state != writing {
			t.Error("taken for written by a failed guard")
		}
		record := ShardRecord{FencingToken: b.token, Holder: "n0"}
		if !ours {
			record.FencingToken--
		}
		l.Step(began, KeyRead{Term: 5, Tag: tag, Found: true, Item: item(t, key, 12, record)})
		if (b.state == reading) != ours || b.keyVersion != 12 {
			t.Errorf("ours %v: state %v at version %d", ours, b.state, b.keyVersion)
		}
	}
}

// A deletion without a good answer proves nothing, and neither does a list without the machine.
func TestOnlyAGoodDeletionProvesAMachineGone(t *testing.T) {
	l := granting(t, nil)
	l.Step(began+clock.Second, MachinesDeleted{Term: 5, Machines: names[:1], Err: errors.New("no answer")})
	l.Step(began+clock.Second, MachinesDeleted{Term: 4, Machines: names[:1]})
	both := []wire.Machine{{Name: names[1]}, {Name: names[0]}}
	failed := []wire.Machine{{Name: names[1]}, {Name: names[0], State: wire.MachineFailed}}
	l.inventory.machines[names[0]].state.Silent = true
	for i, list := range [][]wire.Machine{both, both[:1], both[:1], both[:1], both[:1], failed, failed} {
		at := began + clock.Micros(i+2)*clock.Second
		asked := l.Step(at, MachinesListed{Machines: list})
		asked = append(asked, l.Step(at, Tick{})...)
		if l.inventory.machines[names[0]] == nil || l.inventory.terminated[names[0]] {
			t.Errorf("taken for gone by list %d", i)
		}
		deletes := slices.ContainsFunc(asked, func(e Effect) bool { d, ok := e.(DeleteMachines); return ok && slices.Contains(d.Machines, names[0]) })
		if deletes {
			l.Step(at, MachinesDeleted{Term: 5, Machines: names[:1], Err: errors.New("no answer")})
		}
		if i == 4 && !deletes {
			t.Error("a machine that is listed no more is not deleted")
		}
	}
	if l.Step(began+8*clock.Second, MachinesDeleted{Term: 5, Machines: names[:1]}); l.inventory.machines[names[0]] != nil || !l.inventory.terminated[names[0]] {
		t.Error("not taken for gone after a good answer")
	}
}

// A completion is acknowledged only once it is stored, by a write that no late copy can take back.
func TestCompletionIsAcknowledgedOnceStored(t *testing.T) {
	l := granting(t, recordsOf(names[0], 0, 1))
	b := l.shards.all[shard.ForMachine(names[0], 2)]
	acknowledged := func(effects []Effect) (n int) {
		for _, o := range ordersOf(effects) {
			n += len(o.Persisted)
		}
		return n
	}
	if n := acknowledged(l.Step(began, saying(b, b.token, eventOf(peer.EventCompleted)))); n != 0 {
		t.Error("acknowledged before it is written")
	}
	var write CommitTxn
	for _, e := range l.Step(began+jobs.ProgressInterval, Tick{}) {
		if c, ok := e.(CommitTxn); ok {
			if _, progress := c.Tag.(progressTag); progress {
				write = c
			}
		}
	}
	page := write.Txn.Writes[0].Put
	for _, guard := range []wire.Condition{{Key: Key, Version: 5}, {Key: page}} {
		if !slices.Contains(write.Txn.Conditions, guard) {
			t.Errorf("the write is not guarded on %v", guard)
		}
	}
	if n := acknowledged(l.Step(began+jobs.ProgressInterval, TxnCompleted{Term: 5, Tag: write.Tag,
		Result: store.TxnResult{Ambiguous: true, FailedKeys: []string{page}}})); n != 0 {
		t.Error("acknowledged by a failed guard")
	}
	if n := acknowledged(l.Step(began+jobs.ProgressInterval, TxnCompleted{Term: 5, Tag: write.Tag,
		Result: store.TxnResult{Committed: true, Revision: 9}})); n != 1 {
		t.Errorf("%d completions acknowledged, want one", n)
	}
}

// While the write of a job's end is under way, its deletion may be that write's own doing.
func TestOwnEndIsNoAbort(t *testing.T) {
	l := granting(t, nil)
	j := l.jobs.Get(spec.Ref)
	for i := range j.Spec.Tasks {
		j.MarkCompleted(i)
	}
	if !j.StartFinishing() {
		t.Fatal("not finishing")
	}
	l.Step(began, JobsChanged{Term: 5, RequestedAt: began, Events: []wire.Event{{Delete: JobPrefix + spec.Ref, Version: 9}}})
	if j.IsCancelled() {
		t.Error("its own end is taken for an abort")
	}
}
