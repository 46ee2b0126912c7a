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

func item(t *testing.T, key string, version uint64, v any) wire.Item {
	t.Helper()
	raw, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return wire.Item{Key: key, Value: raw, Version: version}
}

// ordersOf gathers the orders that the effects send to holders.
func ordersOf(effects []Effect) (orders []peer.ShardOrders) {
	for _, e := range effects {
		if x, ok := e.(SendToHolder); ok {
			orders = append(orders, x.Message.Orders...)
		}
	}
	return orders
}

func countOffers(effects []Effect) (n int) {
	for _, o := range ordersOf(effects) {
		for _, of := range o.Offers {
			n += len(of.TaskIndexes)
		}
	}
	return n
}

const began = 10 * clock.Second

var (
	spec  = wire.Job{Ref: "j-000001", Team: "red", Priority: wire.PriorityStandard, Tasks: 2, CPUs: 1, MemoryGB: 1, EstimateS: 10, Spot: true}
	names = []string{"host-000000", "host-000001", "host-000002", "host-000003", "host-000004", "host-000005"}
)

// leading makes a leader of two shards, both held by n0, whose attempt records are
// not read yet.
func leading(t *testing.T) *Leader {
	t.Helper()
	return leadingWith(t, config.DefaultTuning())
}

// leadingWith is leading with other settings of the operators.
func leadingWith(t *testing.T, tuning config.Tuning) *Leader {
	t.Helper()
	cfg := &config.Config{Tuning: tuning}
	cfg.Name = "n0"
	cfg.Facts.InitialSize = 1
	cfg.Facts.State.TxnOps = 8
	cfg.Facts.Teams = []config.Team{{Name: "red", CPUs: 8, CPUsMax: 16}}
	l := New(cfg, func() bool { return true })
	now := began
	l.Step(now, LeadershipAcquired{Term: 5})
	l.Step(now, LeadershipExtended{Until: now + 100*clock.Second})
	l.Step(now, PeerConnected{Controller: "n0", Link: testLink("link")})
	l.Step(now, StateLoaded{Term: 5, RequestedAt: now, Items: []wire.Item{
		item(t, LayoutKey, 1, LayoutRecord{Shards: 2}),
		item(t, CatalogKey, 1, wire.Catalog{Types: []wire.MachineType{{Name: "small", CPUs: 4, MemoryGB: 8, ZoneNames: []string{"a"}}}}),
		item(t, JobPrefix+spec.Ref, 2, JobRecord{Spec: spec}),
		item(t, InstanceGroupPrefix+"r1", 3, InstanceGroupRecord{Request: wire.ProvisionRequest{Type: "small", Zone: "a"}, Machines: names, Answered: true}),
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

// A new leader hands out nothing before it has read every shard's start
// records: a task that waits in its books may run in a shard not read yet.
func TestNothingIsOfferedBeforeAllRecordsAreRead(t *testing.T) {
	l := leading(t)
	now := began
	up := func(b int) []Effect {
		u := peer.ShardUpdate{Shard: b, FencingToken: l.shards.all[b].token}
		for _, n := range names {
			if shard.ForMachine(n, 2) == b {
				u.Machines = append(u.Machines, peer.MachineState{Name: n, Type: "small", Zone: "a", Schedulable: true, CPUs: 4, MemoryGB: 8})
			}
		}
		now += clock.Second
		return l.Step(now, HolderMessage{Controller: "n0", Link: testLink("link"), Message: &peer.ToLeader{Term: 5, StoreOK: true, Updates: []peer.ShardUpdate{u}}})
	}
	l.Step(now, AttemptsLoaded{Term: 5, Shard: 0, FencingToken: l.shards.all[0].token})
	if n := countOffers(up(0)); n != 0 {
		t.Fatalf("%d tasks offered while block 1 is not read", n)
	}
	effects := l.Step(now, AttemptsLoaded{Term: 5, Shard: 1, FencingToken: l.shards.all[1].token,
		Pages: map[string]peer.AttemptPage{"run/001/1-1": {Machines: names[:1],
			Groups: []peer.AttemptGroup{{Job: spec.Ref, Team: "red", CPUs: 1, Attempts: []int{0, 1, 0}}}}}})
	if n := countOffers(effects); n != 1 {
		t.Errorf("%d tasks offered, want the one that no record names", n)
	}
}

// An abort that is seen while a progress write is under way stops the tasks.
func TestAbortDuringProgressWrite(t *testing.T) {
	l := leading(t)
	page := peer.AttemptPage{Machines: names[:1], Groups: []peer.AttemptGroup{{Job: spec.Ref, Team: "red", CPUs: 1, Attempts: []int{0, 1, 0, 1, 2, 0}}}}
	b := shard.ForMachine(names[0], 2)
	l.Step(began, AttemptsLoaded{Term: 5, Shard: b, FencingToken: l.shards.all[b].token, Pages: map[string]peer.AttemptPage{"p": page}})
	l.Step(began, AttemptsLoaded{Term: 5, Shard: 1 - b, FencingToken: l.shards.all[1-b].token})
	effects := l.Step(began, HolderMessage{Controller: "n0", Link: testLink("link"), Message: &peer.ToLeader{Term: 5,
		Updates: []peer.ShardUpdate{{Shard: b, FencingToken: l.shards.all[b].token,
			Events: []peer.TaskEvent{{Task: peer.Task{Job: spec.Ref, Index: 0}, Kind: peer.EventCompleted, Machine: names[0]}}}}}})
	writes := 0
	for _, e := range append(effects, l.Step(began+jobs.ProgressInterval, Tick{})...) {
		if c, ok := e.(CommitTxn); ok && strings.HasPrefix(c.Txn.Writes[0].Put, jobs.ProgressPrefix) {
			writes++
		}
	}
	if writes != 1 {
		t.Fatalf("%d progress writes under way, want 1", writes)
	}
	var stopped []peer.StopTask
	for _, e := range l.Step(began+jobs.ProgressInterval, JobsChanged{Term: 5, Events: []wire.Event{{Delete: JobPrefix + spec.Ref, Version: 20}}}) {
		if x, ok := e.(SendToHolder); ok {
			for _, o := range x.Message.Orders {
				stopped = append(stopped, o.Stop...)
			}
		}
	}
	// The completed one, too: it must stay listed while a copy of its order can come late.
	if len(stopped) != 2 || stopped[0].Index != 1 || stopped[1].Index != 0 {
		t.Errorf("stops %v, want tasks 1 and 0", stopped)
	}
}

// granting makes a leader whose shards are granted, all machines up and empty.
func granting(t *testing.T, pages map[string]peer.AttemptPage) *Leader {
	t.Helper()
	l := leading(t)
	for b := range l.shards.all {
		m := AttemptsLoaded{Term: 5, Shard: b, FencingToken: l.shards.all[b].token}
		if b == shard.ForMachine(names[0], 2) {
			m.Pages = pages
		}
		l.Step(began, m)
	}
	for b := range l.shards.all {
		u := peer.ShardUpdate{Shard: b, FencingToken: l.shards.all[b].token}
		for _, n := range names {
			if shard.ForMachine(n, 2) == b {
				u.Machines = append(u.Machines, peer.MachineState{Name: n, Type: "small", Zone: "a", Schedulable: true, TokenConfirmed: true, CPUs: 4, MemoryGB: 8})
			}
		}
		l.Step(began, HolderMessage{Controller: "n0", Link: testLink("link"), Message: &peer.ToLeader{Term: 5, StoreOK: true, Updates: []peer.ShardUpdate{u}}})
	}
	return l
}

// A refusal for its form makes what the leader writes smaller.
func TestLeaderWritesSmallerAfterARefusal(t *testing.T) {
	l := granting(t, nil)
	l.valueBytes, l.txnOps = 3600, 8
	l.Step(began, TxnCompleted{Term: 5, Tag: finalStateTag{"j-999999"}, Result: store.TxnResult{Rejected: true}})
	if l.valueBytes != 1800 || l.txnOps != 4 {
		t.Errorf("values of %d bytes, %d operations", l.valueBytes, l.txnOps)
	}
}

// What a new leader finds running of a job that is over is to be stopped by the very message
// that grants its shard: a report answered between the two would renew its lease.
func TestStopsComeWithTheGrant(t *testing.T) {
	l := leading(t)
	over := peer.Task{Job: "j-000009", Index: 4}
	effects := l.Step(began, AttemptsLoaded{Term: 5, Shard: 0, FencingToken: l.shards.all[0].token,
		Pages: map[string]peer.AttemptPage{"run/000/1-1": {Machines: names[:1],
			Groups: []peer.AttemptGroup{{Job: over.Job, Team: "red", CPUs: 3, Attempts: []int{over.Index, 1, 0}}}}}})
	found := false
	for _, e := range effects {
		if x, ok := e.(SendToHolder); ok && len(x.Message.Grants) > 0 {
			for _, o := range x.Message.Orders {
				found = found || o.Shard == 0 && o.FencingToken == l.shards.all[0].token && len(o.Stop) == 1 && o.Stop[0].Task == over
			}
		}
	}
	if !found {
		t.Error("the grant does not say what is to be stopped")
	}
	if l.usage.Of("red").CPUs != 3 {
		t.Errorf("%g processors count, want the 3 of what may still run", l.usage.Of("red").CPUs)
	}
}

// testLink is a link of which only the name matters.
type testLink string

// Send is not reached: the leader's effects are looked at, not carried out.
func (testLink) Send(*peer.FromLeader) {}
