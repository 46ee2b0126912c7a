package leader

import (
	"encoding/json"
	"strings"
	"testing"

	"swiftledge/internal/clock"
	"swiftledge/internal/config"
	"swiftledge/internal/leader/jobs"
	"swiftledge/internal/peer"
	"swiftledge/internal/shard"
	"swiftledge/internal/store"
	"swiftledge/wire"
)

func storeItem(t *testing.T, key string, version uint64, v any) wire.Item {
	t.Helper()
	raw, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return wire.Item{Key: key, Value: raw, Version: version}
}

// sentOrders returns the orders that the effects send to shard holders.
func sentOrders(effects []Effect) (orders []peer.ShardOrders) {
	for _, e := range effects {
		if x, ok := e.(SendToHolder); ok {
			orders = append(orders, x.Message.Orders...)
		}
	}
	return orders
}

func countOffers(effects []Effect) (n int) {
	for _, orders := range sentOrders(effects) {
		for _, offer := range orders.Offers {
			n += len(offer.TaskIndexes)
		}
	}
	return n
}

const startTime = 10 * clock.Second

var (
	testJob      = wire.Job{Ref: "j-000001", Team: "red", Priority: wire.PriorityStandard, Tasks: 2, CPUs: 1, MemoryGB: 1, EstimateS: 10, Spot: true}
	machineNames = []string{"host-000000", "host-000001", "host-000002", "host-000003", "host-000004", "host-000005"}
)

// newLeader returns a leader of two shards, both held by n0, whose attempt records are not read yet.
func newLeader(t *testing.T) *Leader {
	t.Helper()
	return newLeaderWithTuning(t, config.DefaultTuning())
}

// newLeaderWithTuning is newLeader with the given operator settings.
func newLeaderWithTuning(t *testing.T, tuning config.Tuning) *Leader {
	t.Helper()
	cfg := &config.Config{Tuning: tuning}
	cfg.Name = "n0"
	cfg.Facts.InitialSize = 1
	cfg.Facts.State.TxnOps = 8
	cfg.Facts.Teams = []config.Team{{Name: "red", CPUs: 8, CPUsMax: 16}}
	l := New(cfg, func() bool { return true })
	now := startTime
	l.Step(now, LeadershipAcquired{Term: 5})
	l.Step(now, LeadershipExtended{Until: now + 100*clock.Second})
	l.Step(now, PeerConnected{Controller: "n0", Link: testLink("link")})
	l.Step(now, StateLoaded{Term: 5, RequestedAt: now, Items: []wire.Item{
		storeItem(t, LayoutKey, 1, LayoutRecord{Shards: 2}),
		storeItem(t, CatalogKey, 1, wire.Catalog{Types: []wire.MachineType{{Name: "small", CPUs: 4, MemoryGB: 8, ZoneNames: []string{"a"}}}}),
		storeItem(t, JobPrefix+testJob.Ref, 2, JobRecord{Spec: testJob}),
		storeItem(t, InstanceGroupPrefix+"r1", 3, InstanceGroupRecord{
			Request: wire.ProvisionRequest{Type: "small", Zone: "a"}, Machines: machineNames, Answered: true}),
	}})
	effects := l.Step(now, Tick{})
	for _, e := range effects {
		if c, ok := e.(CommitTxn); ok {
			if tag, ok := c.Tag.(shardsTag); ok {
				l.Step(now, TxnCompleted{Term: 5, Tag: tag, Result: store.TxnResult{Committed: true, Revision: 9}})
			}
		}
	}
	return l
}

// A new leader offers no task before it has read the attempt records of every shard: a task that counts as waiting may
// run in a shard whose records are not read yet.
func TestNoTaskIsOfferedBeforeAllAttemptRecordsAreRead(t *testing.T) {
	l := newLeader(t)
	now := startTime
	reportShard := func(shardID int) []Effect {
		update := peer.ShardUpdate{Shard: shardID, FencingToken: l.shards.all[shardID].token}
		for _, n := range machineNames {
			if shard.ForMachine(n, 2) == shardID {
				update.Machines = append(update.Machines, peer.MachineState{Name: n, Type: "small", Zone: "a", Schedulable: true, CPUs: 4, MemoryGB: 8})
			}
		}
		now += clock.Second
		return l.Step(now, HolderMessage{Controller: "n0", Link: testLink("link"),
			Message: &peer.ToLeader{Term: 5, StoreOK: true, Updates: []peer.ShardUpdate{update}}})
	}
	l.Step(now, AttemptsLoaded{Term: 5, Shard: 0, FencingToken: l.shards.all[0].token})
	if n := countOffers(reportShard(0)); n != 0 {
		t.Fatalf("%d tasks offered before the attempt records of shard 1 were read, want none", n)
	}
	effects := l.Step(now, AttemptsLoaded{Term: 5, Shard: 1, FencingToken: l.shards.all[1].token,
		Pages: map[string]peer.AttemptPage{"run/001/1-1": {Machines: machineNames[:1],
			Groups: []peer.AttemptGroup{{Job: testJob.Ref, Team: "red", CPUs: 1, Attempts: []int{0, 1, 0}}}}}})
	if n := countOffers(effects); n != 1 {
		t.Errorf("%d tasks offered, want only the task without an attempt record", n)
	}
}

// A job that is cancelled while a progress write is in flight has its tasks stopped.
func TestCancellationDuringProgressWrite(t *testing.T) {
	l := newLeader(t)
	page := peer.AttemptPage{Machines: machineNames[:1], Groups: []peer.AttemptGroup{{Job: testJob.Ref, Team: "red", CPUs: 1, Attempts: []int{0, 1, 0, 1, 2, 0}}}}
	shardID := shard.ForMachine(machineNames[0], 2)
	l.Step(startTime, AttemptsLoaded{Term: 5, Shard: shardID, FencingToken: l.shards.all[shardID].token, Pages: map[string]peer.AttemptPage{"p": page}})
	l.Step(startTime, AttemptsLoaded{Term: 5, Shard: 1 - shardID, FencingToken: l.shards.all[1-shardID].token})
	effects := l.Step(startTime, HolderMessage{Controller: "n0", Link: testLink("link"), Message: &peer.ToLeader{Term: 5,
		Updates: []peer.ShardUpdate{{Shard: shardID, FencingToken: l.shards.all[shardID].token,
			Events: []peer.TaskEvent{{Task: peer.Task{Job: testJob.Ref, Index: 0}, Kind: peer.EventCompleted, Machine: machineNames[0]}}}}}})
	writes := 0
	for _, e := range append(effects, l.Step(startTime+jobs.ProgressInterval, Tick{})...) {
		if c, ok := e.(CommitTxn); ok && strings.HasPrefix(c.Txn.Writes[0].Put, jobs.ProgressPrefix) {
			writes++
		}
	}
	if writes != 1 {
		t.Fatalf("%d progress writes in flight, want 1", writes)
	}
	var stopped []peer.StopTask
	for _, e := range l.Step(startTime+jobs.ProgressInterval, JobsChanged{Term: 5, Events: []wire.Event{{Delete: JobPrefix + testJob.Ref, Version: 20}}}) {
		if x, ok := e.(SendToHolder); ok {
			for _, o := range x.Message.Orders {
				stopped = append(stopped, o.Stop...)
			}
		}
	}
	// The completed task is stopped, too: it must stay listed while a delayed copy of its command can still arrive.
	if len(stopped) != 2 || stopped[0].Index != 1 || stopped[1].Index != 0 {
		t.Errorf("stop orders %v, want one for task 1, then one for task 0", stopped)
	}
}

// newGrantedLeader returns a leader whose shards are granted and whose machines are all up and report no tasks. pages
// are the attempt pages of the first machine's shard.
func newGrantedLeader(t *testing.T, pages map[string]peer.AttemptPage) *Leader {
	t.Helper()
	l := newLeader(t)
	for shardID := range l.shards.all {
		loaded := AttemptsLoaded{Term: 5, Shard: shardID, FencingToken: l.shards.all[shardID].token}
		if shardID == shard.ForMachine(machineNames[0], 2) {
			loaded.Pages = pages
		}
		l.Step(startTime, loaded)
	}
	for shardID := range l.shards.all {
		update := peer.ShardUpdate{Shard: shardID, FencingToken: l.shards.all[shardID].token}
		for _, n := range machineNames {
			if shard.ForMachine(n, 2) == shardID {
				update.Machines = append(update.Machines, peer.MachineState{Name: n, Type: "small", Zone: "a",
					Schedulable: true, TokenConfirmed: true, CPUs: 4, MemoryGB: 8})
			}
		}
		l.Step(startTime, HolderMessage{Controller: "n0", Link: testLink("link"),
			Message: &peer.ToLeader{Term: 5, StoreOK: true, Updates: []peer.ShardUpdate{update}}})
	}
	return l
}

// A write that the store rejects as malformed makes the leader's later writes smaller.
func TestLeaderReducesWriteSizeAfterRejection(t *testing.T) {
	l := newGrantedLeader(t, nil)
	l.valueBytes, l.txnOps = 3600, 8
	l.Step(startTime, TxnCompleted{Term: 5, Tag: finalStateTag{"j-999999"}, Result: store.TxnResult{Rejected: true}})
	if l.valueBytes != 1800 || l.txnOps != 4 {
		t.Errorf("limits of %d bytes for a value and %d operations for a transaction, want 1800 and 4", l.valueBytes, l.txnOps)
	}
}

// A new leader stops the running tasks of a finished job in the same message that grants their shard. A heartbeat
// answered between two messages would renew the agent's lease.
func TestGrantMessageContainsStops(t *testing.T) {
	l := newLeader(t)
	finishedTask := peer.Task{Job: "j-000009", Index: 4}
	effects := l.Step(startTime, AttemptsLoaded{Term: 5, Shard: 0, FencingToken: l.shards.all[0].token,
		Pages: map[string]peer.AttemptPage{"run/000/1-1": {Machines: machineNames[:1],
			Groups: []peer.AttemptGroup{{Job: finishedTask.Job, Team: "red", CPUs: 3, Attempts: []int{finishedTask.Index, 1, 0}}}}}})
	found := false
	for _, e := range effects {
		if x, ok := e.(SendToHolder); ok && len(x.Message.Grants) > 0 {
			for _, o := range x.Message.Orders {
				found = found || o.Shard == 0 && o.FencingToken == l.shards.all[0].token && len(o.Stop) == 1 && o.Stop[0].Task == finishedTask
			}
		}
	}
	if !found {
		t.Error("grant message did not contain the order to stop the task of the finished job")
	}
	if l.usage.Of("red").CPUs != 3 {
		t.Errorf("team usage of %g processors, want the 3 of the task that may still run", l.usage.Of("red").CPUs)
	}
}

// testLink is a link that only has a name.
type testLink string

// Send is never called: the tests inspect the effects and do not carry them out.
func (testLink) Send(*peer.FromLeader) {}
