package leader

import (
	"testing"

	"swiftledge/internal/clock"
	"swiftledge/internal/leader/jobs"
	"swiftledge/internal/peer"
	"swiftledge/internal/shard"
	"swiftledge/wire"
)

// Start records name two attempts of a replica, as those of a former grant are erased late. That one
// of them has completed is no end of the other: the replica is not offered again, and what runs of
// it is not told to stop, before the holder says that the last attempt has ended.
func TestReplicaWaitsForItsLastAttempt(t *testing.T) {
	page := peer.AttemptPage{Machines: names[:1], Groups: []peer.AttemptGroup{{Job: spec.Ref, Team: "red", CPUs: 1, Attempts: []int{0, 1, 0, 0, 2, 0, 1, 3, 0}}}}
	l := granting(t, map[string]peer.AttemptPage{"p": page})
	l.jobs.Get(spec.Ref).Spec.Shape = wire.ShapeService
	b := l.shards.all[shard.ForMachine(names[0], 2)]
	one := peer.Task{Job: spec.Ref, Index: 0}
	say := func(kinds ...peer.EventKind) []Effect {
		u := peer.ShardUpdate{Shard: b.ID, FencingToken: b.token}
		for _, kind := range kinds {
			u.Events = append(u.Events, peer.TaskEvent{Task: one, Kind: kind, Machine: names[0]})
		}
		return l.Step(began+clock.Second, HolderMessage{Controller: "n0", Link: testLink("link"), Message: &peer.ToLeader{Term: 5, Updates: []peer.ShardUpdate{u}}})
	}
	effects := say(peer.EventAttemptRemains, peer.EventCompleted)
	stops := 0
	for _, o := range ordersOf(effects) {
		stops += len(o.Stop)
	}
	if n := countOffers(effects); n != 0 || stops != 0 || b.tasks[one] == nil {
		t.Errorf("%d tasks offered, %d stopped, counted %v while another attempt may run", n, stops, b.tasks[one] != nil)
	}
	if n := countOffers(say(peer.EventReleased)); n != 1 {
		t.Errorf("%d tasks offered after the last attempt, want the replica", n)
	}
}

// A replica that ends with done runs again, and its worker is told to forget it only after
// a higher token: a late copy of its order would start it beside the new attempt.
func TestDoneReplicaRunsAgain(t *testing.T) {
	page := peer.AttemptPage{Machines: names[:1], Groups: []peer.AttemptGroup{{Job: spec.Ref, Team: "red", CPUs: 1, Attempts: []int{0, 1, 0, 1, 2, 0}}}}
	l := granting(t, map[string]peer.AttemptPage{"p": page})
	j := l.jobs.Get(spec.Ref)
	j.Spec.Shape = wire.ShapeService
	b := l.shards.all[shard.ForMachine(names[0], 2)]
	one := peer.Task{Job: spec.Ref, Index: 0}
	effects := l.Step(began+clock.Second, HolderMessage{Controller: "n0", Link: testLink("link"),
		Message: &peer.ToLeader{Term: 5, Updates: []peer.ShardUpdate{{Shard: b.ID, FencingToken: b.token,
			Events: []peer.TaskEvent{{Task: one, Kind: peer.EventCompleted, Machine: names[0]}}}}}})
	stopped, stored := false, false
	for _, o := range ordersOf(effects) {
		stopped = stopped || len(o.Stop) == 1 && o.Stop[0].Task == one
		stored = stored || len(o.Persisted) == 1 && o.Persisted[0] == one
	}
	if !stopped || !stored || j.Completed() != 0 {
		t.Errorf("told to keep it listed %v, that it is settled %v, %d tasks done", stopped, stored, j.Completed())
	}
	if n := countOffers(effects); n != 1 {
		t.Errorf("%d tasks offered, want the replica again", n)
	}
}

// A machine is faulty that fails replicas of a service which run well elsewhere.
func TestMachineThatFailsReplicasIsDrained(t *testing.T) {
	page := peer.AttemptPage{Machines: names[:1], Groups: []peer.AttemptGroup{{Job: spec.Ref, Team: "red", CPUs: 1, Attempts: []int{0, 1, 0}}}}
	l := granting(t, map[string]peer.AttemptPage{"p": page})
	j := l.jobs.Get(spec.Ref)
	j.Spec.Shape = wire.ShapeService
	b := l.shards.all[shard.ForMachine(names[0], 2)]
	l.Step(began, HolderMessage{Controller: "n0", Link: testLink("link"), Message: &peer.ToLeader{Term: 5,
		Updates: []peer.ShardUpdate{{Shard: b.ID, FencingToken: b.token,
			Events: []peer.TaskEvent{{Task: peer.Task{Job: spec.Ref, Index: 0}, Kind: peer.EventRunning, Machine: names[0]}}}}}})
	l.taskFailed(began+2*jobs.StableAfter, j, peer.TaskEvent{Task: peer.Task{Job: spec.Ref, Index: 1}, Machine: names[1]}, &grantedTask{})
	if l.inventory.machines[names[1]].draining {
		t.Error("drained after a single failure")
	}
	l.taskFailed(began+2*jobs.StableAfter, j, peer.TaskEvent{Task: peer.Task{Job: spec.Ref, Index: 1}, Machine: names[1]}, &grantedTask{})
	if !l.inventory.machines[names[1]].draining {
		t.Error("not drained after two failures while another replica runs")
	}
}
