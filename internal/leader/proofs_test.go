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

// attemptPagesFor returns an attempt page whose records name tasks of testJob on a machine.
func attemptPagesFor(machine string, indexes ...int) map[string]peer.AttemptPage {
	group := peer.AttemptGroup{Job: testJob.Ref, Team: "red", CPUs: 1}
	for i, index := range indexes {
		group.Attempts = append(group.Attempts, index, i+1, 0)
	}
	return map[string]peer.AttemptPage{"run/" + machine: {Machines: []string{machine}, Groups: []peer.AttemptGroup{group}}}
}

// holderUpdate returns a message with task events of a shard under a fencing token.
func holderUpdate(lease *shardLease, token wire.FencingToken, events ...peer.TaskEvent) HolderMessage {
	return HolderMessage{Controller: "n0", Link: testLink("link"), Message: &peer.ToLeader{Term: 5,
		Updates: []peer.ShardUpdate{{Shard: lease.ID, FencingToken: token, Events: events}}}}
}

// firstTaskEvent returns an event of the first task of testJob on the first machine.
func firstTaskEvent(kind peer.EventKind) peer.TaskEvent {
	return peer.TaskEvent{Task: peer.Task{Job: testJob.Ref, Index: 0}, Kind: kind, Machine: machineNames[0]}
}

// Events that belong to an earlier grant, or that arrive over an earlier link, remove no task from the current grant.
func TestEventsOfEarlierGrantAreIgnored(t *testing.T) {
	l := newGrantedLeader(t, attemptPagesFor(machineNames[0], 0, 1))
	lease := l.shards.all[shard.ForMachine(machineNames[0], 2)]
	l.Step(startTime+clock.Second, holderUpdate(lease, lease.token-1, firstTaskEvent(peer.EventReleased)))
	earlierLink := holderUpdate(lease, lease.token, firstTaskEvent(peer.EventReleased))
	earlierLink.Link = testLink("an earlier link")
	l.Step(startTime+clock.Second, earlierLink)
	if task := lease.tasks[peer.Task{Job: testJob.Ref}]; task == nil || !task.inherited {
		t.Error("task was removed from the grant by an event of an earlier grant or link")
	}
	l.Step(startTime+clock.Second, holderUpdate(lease, lease.token, firstTaskEvent(peer.EventReleased)))
	if task := lease.tasks[peer.Task{Job: testJob.Ref}]; task != nil && task.inherited {
		t.Error("task was not removed from the grant by an event of the current grant")
	}
}

// A task in the attempt records of two shards counts as waiting for dispatch again only after it has left both shard
// grants. A completed task never counts as waiting again.
func TestTaskWaitsWhenItHasLeftItsLastGrant(t *testing.T) {
	l := newLeader(t)
	for _, lease := range l.shards.all {
		machine := machineNames[slices.IndexFunc(machineNames, func(n string) bool { return shard.ForMachine(n, 2) == lease.ID })]
		l.Step(startTime, AttemptsLoaded{Term: 5, Shard: lease.ID, FencingToken: lease.token, Pages: attemptPagesFor(machine, 0)})
	}
	j := l.jobs.Get(testJob.Ref)
	l.Step(startTime, holderUpdate(l.shards.all[0], l.shards.all[0].token, firstTaskEvent(peer.EventReleased)))
	if j.GrantCount(0) != 1 || j.IsWaiting(0) {
		t.Errorf("task in %d grants, waiting: %v after it left one of two grants, want in one grant and not waiting", j.GrantCount(0), j.IsWaiting(0))
	}
	l.Step(startTime, holderUpdate(l.shards.all[1], l.shards.all[1].token, firstTaskEvent(peer.EventReleased)))
	if j.GrantCount(0) != 0 || !j.IsWaiting(0) {
		t.Errorf("task in %d grants, waiting: %v after it left both grants, want in no grant and waiting", j.GrantCount(0), j.IsWaiting(0))
	}
	j.MarkCompleted(1)
	j.MarkDispatched(1)
	if j.Requeue(1); j.IsWaiting(1) {
		t.Error("completed task was queued again")
	}
}

// When a shard is granted again, the tasks in its attempt records stay dispatched. Only tasks without a record are
// queued again.
func TestRecordedTasksStayDispatchedAfterRegrant(t *testing.T) {
	l := newLeader(t)
	lease := l.shards.all[shard.ForMachine(machineNames[0], 2)]
	l.Step(startTime, AttemptsLoaded{Term: 5, Shard: lease.ID, FencingToken: lease.token, Pages: attemptPagesFor(machineNames[0], 0, 1)})
	j := l.jobs.Get(testJob.Ref)
	lease.state = reading
	l.Step(startTime, AttemptsLoaded{Term: 5, Shard: lease.ID, FencingToken: lease.token, Pages: attemptPagesFor(machineNames[0], 1)})
	if j.GrantCount(0) != 0 || !j.IsWaiting(0) || j.GrantCount(1) != 1 || j.IsWaiting(1) {
		t.Errorf("tasks 0 and 1 in %d and %d grants, waiting: %t and %t, want task 0 waiting and task 1 in one grant",
			j.GrantCount(0), j.GrantCount(1), j.IsWaiting(0), j.IsWaiting(1))
	}
}

// Attempt records that were read for an earlier grant or term are not used, as they may lack later attempts.
func TestAttemptRecordsOfEarlierGrantAreRejected(t *testing.T) {
	for _, loaded := range []AttemptsLoaded{{Term: 4}, {Term: 5}} {
		l := newLeader(t)
		lease := l.shards.all[0]
		if loaded.FencingToken = lease.token; loaded.Term == 5 {
			loaded.FencingToken--
		}
		if l.Step(startTime, loaded); lease.state != reading || lease.AttemptsRead {
			t.Errorf("attempt records read for term %d and token %d were accepted in term 5 for token %d", loaded.Term, loaded.FencingToken, lease.token)
		}
	}
}

// After a failed condition on a shard's key, only reading the key shows whether the write was applied by an earlier
// attempt.
func TestShardKeyIsReadAfterFailedCondition(t *testing.T) {
	for _, isOwnWrite := range []bool{true, false} {
		l := newLeader(t)
		lease := l.shards.all[0]
		lease.state = writing
		tag := shardsTag{map[int]wire.FencingToken{lease.ID: lease.token}}
		key := shard.Key(lease.ID)
		l.Step(startTime, TxnCompleted{Term: 5, Tag: tag, Result: store.TxnResult{Ambiguous: true, FailedKeys: []string{key}}})
		if lease.state != writing {
			t.Error("write with a failed condition was treated as successful")
		}
		record := ShardRecord{FencingToken: lease.token, Holder: "n0"}
		if !isOwnWrite {
			record.FencingToken--
		}
		l.Step(startTime, KeyRead{Term: 5, Tag: tag, Found: true, Item: storeItem(t, key, 12, record)})
		if (lease.state == reading) != isOwnWrite || lease.keyVersion != 12 {
			t.Errorf("own write %v: lease state %v at key version %d, want reading only after the own write, at version 12",
				isOwnWrite, lease.state, lease.keyVersion)
		}
	}
}

// Only a deletion with a successful answer proves that a machine is terminated. A machine list without the machine does
// not prove it.
func TestOnlySuccessfulDeletionProvesMachineTerminated(t *testing.T) {
	l := newGrantedLeader(t, nil)
	l.Step(startTime+clock.Second, MachinesDeleted{Term: 5, Machines: machineNames[:1], Err: errors.New("no answer")})
	l.Step(startTime+clock.Second, MachinesDeleted{Term: 4, Machines: machineNames[:1]})
	both := []wire.Machine{{Name: machineNames[1]}, {Name: machineNames[0]}}
	failed := []wire.Machine{{Name: machineNames[1]}, {Name: machineNames[0], State: wire.MachineFailed}}
	l.inventory.machines[machineNames[0]].state.Silent = true
	for i, list := range [][]wire.Machine{both, both[:1], both[:1], both[:1], both[:1], failed, failed} {
		at := startTime + clock.Micros(i+2)*clock.Second
		effects := l.Step(at, MachinesListed{Machines: list})
		effects = append(effects, l.Step(at, Tick{})...)
		if l.inventory.machines[machineNames[0]] == nil || l.inventory.terminated[machineNames[0]] {
			t.Errorf("machine was treated as terminated after machine list %d, without a successful deletion", i)
		}
		deletes := slices.ContainsFunc(effects, func(e Effect) bool {
			d, ok := e.(DeleteMachines)
			return ok && slices.Contains(d.Machines, machineNames[0])
		})
		if deletes {
			l.Step(at, MachinesDeleted{Term: 5, Machines: machineNames[:1], Err: errors.New("no answer")})
		}
		if i == 4 && !deletes {
			t.Error("no deletion was requested for the machine that was missing from the lists")
		}
	}
	if l.Step(startTime+8*clock.Second, MachinesDeleted{Term: 5, Machines: machineNames[:1]}); l.inventory.machines[machineNames[0]] != nil ||
		!l.inventory.terminated[machineNames[0]] {
		t.Error("machine was not treated as terminated after a successful deletion")
	}
}

// A task's completion is acknowledged only once it is stored, by a write that no delayed copy of another write can
// revert.
func TestCompletionIsAcknowledgedOnlyOnceStored(t *testing.T) {
	l := newGrantedLeader(t, attemptPagesFor(machineNames[0], 0, 1))
	lease := l.shards.all[shard.ForMachine(machineNames[0], 2)]
	acknowledged := func(effects []Effect) (n int) {
		for _, o := range sentOrders(effects) {
			n += len(o.Persisted)
		}
		return n
	}
	if n := acknowledged(l.Step(startTime, holderUpdate(lease, lease.token, firstTaskEvent(peer.EventCompleted)))); n != 0 {
		t.Error("completion was acknowledged before it was written")
	}
	var write CommitTxn
	for _, e := range l.Step(startTime+jobs.ProgressInterval, Tick{}) {
		if c, ok := e.(CommitTxn); ok {
			if _, isProgress := c.Tag.(progressTag); isProgress {
				write = c
			}
		}
	}
	page := write.Txn.Writes[0].Put
	for _, condition := range []wire.Condition{{Key: Key, Version: 5}, {Key: page}} {
		if !slices.Contains(write.Txn.Conditions, condition) {
			t.Errorf("progress write lacked the condition %v", condition)
		}
	}
	if n := acknowledged(l.Step(startTime+jobs.ProgressInterval, TxnCompleted{Term: 5, Tag: write.Tag,
		Result: store.TxnResult{Ambiguous: true, FailedKeys: []string{page}}})); n != 0 {
		t.Error("completion was acknowledged after its write failed on a condition")
	}
	if n := acknowledged(l.Step(startTime+jobs.ProgressInterval, TxnCompleted{Term: 5, Tag: write.Tag,
		Result: store.TxnResult{Committed: true, Revision: 9}})); n != 1 {
		t.Errorf("%d completions acknowledged after the committed write, want one", n)
	}
}

// While the write of a job's final state is in flight, a deletion of the job's key may come from that write, and must
// not cancel the job.
func TestFinalStateWriteIsNotTakenForCancellation(t *testing.T) {
	l := newGrantedLeader(t, nil)
	j := l.jobs.Get(testJob.Ref)
	for i := range j.Spec.Tasks {
		j.MarkCompleted(i)
	}
	if !j.StartFinishing() {
		t.Fatal("completed job did not start finishing")
	}
	l.Step(startTime, JobsChanged{Term: 5, RequestedAt: startTime, Events: []wire.Event{{Delete: JobPrefix + testJob.Ref, Version: 9}}})
	if j.IsCancelled() {
		t.Error("job was cancelled by the write of its final state")
	}
}
