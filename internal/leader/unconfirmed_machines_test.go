package leader

import (
	"slices"
	"testing"

	"swiftledge/internal/clock"
	"swiftledge/internal/peer"
	"swiftledge/internal/shard"
	"swiftledge/internal/store"
	"swiftledge/wire"
)

// instanceGroupWrite returns the write of an instance group's record among the effects.
func instanceGroupWrite(t *testing.T, effects []Effect, key string) CommitTxn {
	t.Helper()
	for _, e := range effects {
		if c, ok := e.(CommitTxn); ok && c.Txn.Writes[0].Put == key {
			return c
		}
	}
	t.Fatalf("no write of %s among %v", key, effects)
	return CommitTxn{}
}

// instanceGroupCondition returns the record version on which a write of an instance group's record is conditional.
func instanceGroupCondition(t *testing.T, write CommitTxn, key string) uint64 {
	t.Helper()
	for _, condition := range write.Txn.Conditions {
		if condition.Key == key {
			return condition.Version
		}
	}
	t.Fatalf("write of %s was not conditional on the version of the key", key)
	return 0
}

// The answers to both writes of an instance group's record are lost. The first write was applied. The second write was
// not applied, because it was conditional on a version that the first write had replaced. The failed condition was
// mistaken for a success, and the machines were used without a durable record: the next leader did not know the
// machines, assumed that their tasks had ended, and started the tasks on other machines.
func TestMachinesAreNotUsedBeforeTheirRecordIsStored(t *testing.T) {
	l := newLeader(t)
	request := wire.ProvisionRequest{RequestID: "r-5-1", Type: "small", Zone: "a", Spot: true, Count: 1}
	key := InstanceGroupPrefix + request.RequestID
	l.inventory.groups[key] = &instanceGroup{key: key, record: InstanceGroupRecord{Request: request}, busy: true}
	machine := "host-000009"

	// The first write was applied without an answer, as version 20. Its retry fails on the condition.
	lostAnswer := store.TxnResult{FailedKeys: []string{key}, Ambiguous: true}
	l.Step(startTime, TxnCompleted{Term: 5, Tag: instanceGroupTag{key}, Result: lostAnswer})
	l.Step(startTime, KeyRead{Term: 5, Tag: instanceGroupTag{key}, Found: true, Item: storeItem(t, key, 20, InstanceGroupRecord{Request: request})})
	second := instanceGroupWrite(t, l.Step(startTime, MachinesProvisioned{Term: 5, RequestID: request.RequestID, Machines: []string{machine}}), key)
	if got := instanceGroupCondition(t, second, key); got != 20 {
		t.Errorf("second write was conditional on version %d of the record, want 20", got)
	}

	// A failed condition of the second write does not prove that this write was applied.
	effects := l.Step(startTime, TxnCompleted{Term: 5, Tag: instanceGroupTag{key}, Result: lostAnswer})
	stored := storeItem(t, key, 21, InstanceGroupRecord{Request: request})
	effects = append(effects, l.Step(startTime, KeyRead{Term: 5, Tag: instanceGroupTag{key}, Found: true, Item: stored})...)
	if l.inventory.machines[machine] != nil {
		t.Error("machine was added to the inventory although its stored record did not contain it")
	}
	third := instanceGroupWrite(t, effects, key)
	if got := instanceGroupCondition(t, third, key); got != 21 {
		t.Errorf("third write was conditional on version %d of the record, want 21", got)
	}
	l.Step(startTime, TxnCompleted{Term: 5, Tag: instanceGroupTag{key}, Result: store.TxnResult{Committed: true, Revision: 22}})
	if l.inventory.machines[machine] == nil {
		t.Error("machine was not added to the inventory although its record was stored")
	}
}

// ordersForShard returns the machines that the effects name to the holder of a shard: machines to drain, terminated
// machines, and machines in the grant.
func ordersForShard(effects []Effect, shardID int) (drained, terminated, inGrant []string) {
	for _, o := range sentOrders(effects) {
		if o.Shard == shardID {
			drained, terminated = append(drained, o.Drain...), append(terminated, o.Terminated...)
		}
	}
	for _, e := range effects {
		send, ok := e.(SendToHolder)
		if !ok {
			continue
		}
		for _, g := range send.Message.Grants {
			for _, m := range g.Machines {
				if g.Shard == shardID {
					inGrant = append(inGrant, m.Name)
				}
			}
		}
	}
	return drained, terminated, inGrant
}

// A leader of the version in production may use machines whose record is not stored. While a provision request of a
// former leader is unanswered, a machine that only attempt records name is granted as drained. Otherwise the shard's
// holder would consider the tasks of that machine ended, and they would be started on other machines.
func TestMachinesOfUnansweredProvisionRequestKeepTheirTasks(t *testing.T) {
	unknown := "host-000009"
	for _, answer := range []struct {
		machines   []string
		terminated bool
	}{{[]string{unknown}, false}, {[]string{"host-000010"}, true}} {
		l := newLeader(t)
		request := wire.ProvisionRequest{RequestID: "r-3-1", Type: "small", Zone: "a", Spot: true, Count: 1}
		key := InstanceGroupPrefix + request.RequestID
		l.loadInstanceGroup(startTime, storeItem(t, key, 3, InstanceGroupRecord{Request: request}), InstanceGroupRecord{Request: request})
		shardID := shard.ForMachine(unknown, 2)
		effects := l.Step(startTime, AttemptsLoaded{Term: 5, Shard: shardID, FencingToken: l.shards.all[shardID].token, Pages: attemptPagesFor(unknown, 0)})
		drained, _, inGrant := ordersForShard(effects, shardID)
		if !slices.Contains(inGrant, unknown) || !slices.Contains(drained, unknown) {
			t.Errorf("granted machines %v, drained machines %v, want %s in both", inGrant, drained, unknown)
		}
		effects = l.Step(startTime, MachinesProvisioned{Term: 5, RequestID: request.RequestID, Machines: answer.machines})
		effects = append(effects, l.Step(startTime, TxnCompleted{Term: 5, Tag: instanceGroupTag{key}, Result: store.TxnResult{Committed: true, Revision: 9}})...)
		drained, terminated, _ := ordersForShard(effects, shardID)
		if slices.Contains(terminated, unknown) != answer.terminated || slices.Contains(drained, unknown) == answer.terminated {
			t.Errorf("answer with machines %v: %v reported terminated and %v drained, want the unknown machine drained if the answer has it, else terminated",
				answer.machines, terminated, drained)
		}
	}
}

// While the record of an instance group cannot be read, a machine that only attempt records name is granted as drained,
// too: any machine that the unreadable record names may be in use.
func TestMachinesOfUnreadableInstanceGroupKeepTheirTasks(t *testing.T) {
	l := newLeader(t)
	l.Step(startTime, LeadershipLost{})
	l.Step(startTime, LeadershipAcquired{Term: 7})
	l.Step(startTime, LeadershipExtended{Until: startTime + 100*clock.Second})
	l.Step(startTime, PeerConnected{Controller: "n0", Link: testLink("link")})
	l.Step(startTime, StateLoaded{Term: 7, RequestedAt: startTime, Items: []wire.Item{storeItem(t, LayoutKey, 1, LayoutRecord{Shards: 1}),
		{Key: InstanceGroupPrefix + "r-3-1", Version: 3, Value: []byte(`{"machines":"host-000009"}`)}}})
	for _, e := range l.Step(startTime, Tick{}) {
		if c, ok := e.(CommitTxn); ok {
			if tag, ok := c.Tag.(shardsTag); ok {
				l.Step(startTime, TxnCompleted{Term: 7, Tag: tag, Result: store.TxnResult{Committed: true, Revision: 9}})
			}
		}
	}
	effects := l.Step(startTime, AttemptsLoaded{Term: 7, FencingToken: l.shards.all[0].token, Pages: attemptPagesFor("host-000009", 0)})
	if drained, _, inGrant := ordersForShard(effects, 0); !slices.Contains(inGrant, "host-000009") || !slices.Contains(drained, "host-000009") {
		t.Errorf("granted machines %v, drained machines %v, want host-000009 in both", inGrant, drained)
	}
}

// Without an unanswered provision request the inventory is complete. A machine that the inventory does not contain was
// removed after its proven end, and the leader does not wait for its tasks.
func TestMachinesRemovedFromInventoryAreNotGranted(t *testing.T) {
	l := newLeader(t)
	shardID := shard.ForMachine("host-000009", 2)
	effects := l.Step(startTime, AttemptsLoaded{Term: 5, Shard: shardID, FencingToken: l.shards.all[shardID].token, Pages: attemptPagesFor("host-000009", 0)})
	if _, _, inGrant := ordersForShard(effects, shardID); slices.Contains(inGrant, "host-000009") {
		t.Errorf("granted machines %v, want no machine that was removed from the inventory", inGrant)
	}
}

// Attempt records, events and updates that name unknown tasks or shards are counted or ignored, and the rest is
// processed.
func TestUnknownTasksAreIgnored(t *testing.T) {
	page := peer.AttemptPage{Machines: machineNames[:1], Groups: []peer.AttemptGroup{{Job: testJob.Ref, Team: "red", CPUs: 1,
		Attempts: []int{900, 1, 0, -1, 2, 0, 1, 3, 0}}}}
	l := newGrantedLeader(t, map[string]peer.AttemptPage{"p": page})
	lease := l.shards.all[shard.ForMachine(machineNames[0], 2)]
	if len(lease.tasks) != 3 || l.jobs.Get(testJob.Ref).GrantCount(1) != 1 || l.jobs.Get(testJob.Ref).Dispatched() != 1 {
		t.Errorf("%d tasks in the grant, %d tasks of the job dispatched, want three in the grant and only existing task 1 dispatched",
			len(lease.tasks), l.jobs.Get(testJob.Ref).Dispatched())
	}
	var events []peer.TaskEvent
	for _, index := range []int{900, -1, 2, 64} {
		for _, kind := range []peer.EventKind{peer.EventAssigned, peer.EventRunning, peer.EventAttemptRemains,
			peer.EventCompleted, peer.EventFailed, peer.EventReleased} {
			events = append(events, peer.TaskEvent{Task: peer.Task{Job: testJob.Ref, Index: index}, Kind: kind, Machine: machineNames[0]})
		}
	}
	l.Step(startTime+clock.Second, HolderMessage{Controller: "n0", Link: testLink("link"), Message: &peer.ToLeader{Term: 5, Updates: []peer.ShardUpdate{
		{Shard: -1, FencingToken: lease.token}, {Shard: 99, FencingToken: lease.token}, {Shard: lease.ID, FencingToken: lease.token, Events: events}}}})
	for task := range lease.tasks {
		if task.Index < 0 || task.Index >= testJob.Tasks {
			t.Errorf("task %d, which its job does not have, was still in the grant after its end", task.Index)
		}
	}
	if l.jobs.Get(testJob.Ref).Completed() != 0 || lease.tasks[peer.Task{Job: testJob.Ref, Index: 1}] == nil {
		t.Errorf("%d tasks completed, tasks in the grant: %v, want none completed and task 1 in the grant", l.jobs.Get(testJob.Ref).Completed(), lease.tasks)
	}
}
