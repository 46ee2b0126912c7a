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

// instanceGroupWrite is the write of a rental's record among the effects.
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

// instanceGroupCondition is the version that a write of a rental's record expects of it.
func instanceGroupCondition(t *testing.T, c CommitTxn, key string) uint64 {
	t.Helper()
	for _, g := range c.Txn.Conditions {
		if g.Key == key {
			return g.Version
		}
	}
	t.Fatalf("the write of %s is not guarded on its version", key)
	return 0
}

// The answers to both writes of a rental's record are lost. The first was carried out; the second
// never was, as it was guarded on a version that the first had replaced. Its failed guard was taken
// for a try that went through, and the machines were used without a durable record: the next leader
// did not know them, took their tasks for gone, and started these on other machines.
func TestMachinesAreNotUsedBeforeTheirRecordIsStored(t *testing.T) {
	l := leading(t)
	asked := wire.ProvisionRequest{RequestID: "r-5-1", Type: "small", Zone: "a", Spot: true, Count: 1}
	key := InstanceGroupPrefix + asked.RequestID
	l.inventory.groups[key] = &instanceGroup{key: key, record: InstanceGroupRecord{Request: asked}, busy: true}
	machine := "host-000009"

	// The first write was carried out without an answer, as version 20: its repeat fails on the key.
	lost := store.TxnResult{FailedKeys: []string{key}, Ambiguous: true}
	l.Step(began, TxnCompleted{Term: 5, Tag: instanceGroupTag{key}, Result: lost})
	l.Step(began, KeyRead{Term: 5, Tag: instanceGroupTag{key}, Found: true, Item: item(t, key, 20, InstanceGroupRecord{Request: asked})})
	second := instanceGroupWrite(t, l.Step(began, MachinesProvisioned{Term: 5, RequestID: asked.RequestID, Machines: []string{machine}}), key)
	if got := instanceGroupCondition(t, second, key); got != 20 {
		t.Errorf("the second write expects version %d of the record, which is at 20", got)
	}

	// Nor does a failed guard of the second prove that it went through.
	effects := l.Step(began, TxnCompleted{Term: 5, Tag: instanceGroupTag{key}, Result: lost})
	stored := item(t, key, 21, InstanceGroupRecord{Request: asked})
	effects = append(effects, l.Step(began, KeyRead{Term: 5, Tag: instanceGroupTag{key}, Found: true, Item: stored})...)
	if l.inventory.machines[machine] != nil {
		t.Error("a machine is used whose durable record does not name it")
	}
	third := instanceGroupWrite(t, effects, key)
	if got := instanceGroupCondition(t, third, key); got != 21 {
		t.Errorf("the third write expects version %d of the record, which is at 21", got)
	}
	l.Step(began, TxnCompleted{Term: 5, Tag: instanceGroupTag{key}, Result: store.TxnResult{Committed: true, Revision: 22}})
	if l.inventory.machines[machine] == nil {
		t.Error("not used although its record is stored")
	}
}

// orderedOf gathers what the effects tell the holder of a block.
func orderedOf(effects []Effect, b int) (drained, gone, listed []string) {
	for _, o := range ordersOf(effects) {
		if o.Shard == b {
			drained, gone = append(drained, o.Drain...), append(gone, o.Terminated...)
		}
	}
	for _, e := range effects {
		x, ok := e.(SendToHolder)
		if !ok {
			continue
		}
		for _, g := range x.Message.Grants {
			for _, m := range g.Machines {
				if g.Shard == b {
					listed = append(listed, m.Name)
				}
			}
		}
	}
	return drained, gone, listed
}

// A leader of the version in production may use machines whose record is not stored. While a rental
// of a former leader is without an answer, a machine that only start records name is granted,
// drained: a holder would take its tasks for gone and have them started elsewhere.
func TestMachinesOfAnUnansweredRentalKeepTheirTasks(t *testing.T) {
	unknown := "host-000009"
	for _, answer := range []struct {
		machines []string
		gone     bool
	}{{[]string{unknown}, false}, {[]string{"host-000010"}, true}} {
		l := leading(t)
		asked := wire.ProvisionRequest{RequestID: "r-3-1", Type: "small", Zone: "a", Spot: true, Count: 1}
		key := InstanceGroupPrefix + asked.RequestID
		l.loadInstanceGroup(began, item(t, key, 3, InstanceGroupRecord{Request: asked}), InstanceGroupRecord{Request: asked})
		b := shard.ForMachine(unknown, 2)
		effects := l.Step(began, AttemptsLoaded{Term: 5, Shard: b, FencingToken: l.shards.all[b].token, Pages: recordsOf(unknown, 0)})
		drained, _, listed := orderedOf(effects, b)
		if !slices.Contains(listed, unknown) || !slices.Contains(drained, unknown) {
			t.Errorf("granted %v, drained %v: %s is missing", listed, drained, unknown)
		}
		effects = l.Step(began, MachinesProvisioned{Term: 5, RequestID: asked.RequestID, Machines: answer.machines})
		effects = append(effects, l.Step(began, TxnCompleted{Term: 5, Tag: instanceGroupTag{key}, Result: store.TxnResult{Committed: true, Revision: 9}})...)
		drained, gone, _ := orderedOf(effects, b)
		if slices.Contains(gone, unknown) != answer.gone || slices.Contains(drained, unknown) == answer.gone {
			t.Errorf("the rental has %v: told that %v are gone and %v drained", answer.machines, gone, drained)
		}
	}
}

// So it is while an instance group's record cannot be read: whatever machines it names may work.
func TestMachinesOfAnUnreadableRecordKeepTheirTasks(t *testing.T) {
	l := leading(t)
	l.Step(began, LeadershipLost{})
	l.Step(began, LeadershipAcquired{Term: 7})
	l.Step(began, LeadershipExtended{Until: began + 100*clock.Second})
	l.Step(began, PeerConnected{Controller: "n0", Link: testLink("link")})
	l.Step(began, StateLoaded{Term: 7, RequestedAt: began, Items: []wire.Item{item(t, LayoutKey, 1, LayoutRecord{Shards: 1}),
		{Key: InstanceGroupPrefix + "r-3-1", Version: 3, Value: []byte(`{"machines":"host-000009"}`)}}})
	for _, e := range l.Step(began, Tick{}) {
		if c, ok := e.(CommitTxn); ok {
			if tag, ok := c.Tag.(shardsTag); ok {
				l.Step(began, TxnCompleted{Term: 7, Tag: tag, Result: store.TxnResult{Committed: true, Revision: 9}})
			}
		}
	}
	effects := l.Step(began, AttemptsLoaded{Term: 7, FencingToken: l.shards.all[0].token, Pages: recordsOf("host-000009", 0)})
	if drained, _, listed := orderedOf(effects, 0); !slices.Contains(listed, "host-000009") || !slices.Contains(drained, "host-000009") {
		t.Errorf("granted %v, drained %v", listed, drained)
	}
}

// Without such a request the inventory is complete: what it does not name left it after its proven end,
// and its tasks are not waited for.
func TestMachinesThatLeftTheRosterAreNotGranted(t *testing.T) {
	l := leading(t)
	b := shard.ForMachine("host-000009", 2)
	effects := l.Step(began, AttemptsLoaded{Term: 5, Shard: b, FencingToken: l.shards.all[b].token, Pages: recordsOf("host-000009", 0)})
	if _, _, listed := orderedOf(effects, b); slices.Contains(listed, "host-000009") {
		t.Errorf("granted %v", listed)
	}
}

// Records, events and updates that name what is not there are counted or left alone; the rest goes on.
func TestTasksThatAreNotThere(t *testing.T) {
	page := peer.AttemptPage{Machines: names[:1], Groups: []peer.AttemptGroup{{Job: spec.Ref, Team: "red", CPUs: 1,
		Attempts: []int{900, 1, 0, -1, 2, 0, 1, 3, 0}}}}
	l := granting(t, map[string]peer.AttemptPage{"p": page})
	b := l.shards.all[shard.ForMachine(names[0], 2)]
	if len(b.tasks) != 3 || l.jobs.Get(spec.Ref).GrantCount(1) != 1 || l.jobs.Get(spec.Ref).Dispatched() != 1 {
		t.Errorf("%d tasks counted, %d dispatched: want all three, of which the job has one", len(b.tasks), l.jobs.Get(spec.Ref).Dispatched())
	}
	var events []peer.TaskEvent
	for _, index := range []int{900, -1, 2, 64} {
		for _, kind := range []peer.EventKind{peer.EventAssigned, peer.EventRunning, peer.EventAttemptRemains,
			peer.EventCompleted, peer.EventFailed, peer.EventReleased} {
			events = append(events, peer.TaskEvent{Task: peer.Task{Job: spec.Ref, Index: index}, Kind: kind, Machine: names[0]})
		}
	}
	l.Step(began+clock.Second, HolderMessage{Controller: "n0", Link: testLink("link"), Message: &peer.ToLeader{Term: 5, Updates: []peer.ShardUpdate{
		{Shard: -1, FencingToken: b.token}, {Shard: 99, FencingToken: b.token}, {Shard: b.ID, FencingToken: b.token, Events: events}}}})
	for task := range b.tasks {
		if task.Index < 0 || task.Index >= spec.Tasks {
			t.Errorf("task %d counts after its end", task.Index)
		}
	}
	if l.jobs.Get(spec.Ref).Completed() != 0 || b.tasks[peer.Task{Job: spec.Ref, Index: 1}] == nil {
		t.Errorf("%d tasks done, the one that is there counts: %v", l.jobs.Get(spec.Ref).Completed(), b.tasks)
	}
}
