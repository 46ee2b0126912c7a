package leader

import (
	"testing"

	"swiftledge/internal/clock"
	"swiftledge/internal/leader/jobs"
	"swiftledge/internal/peer"
	"swiftledge/internal/shard"
	"swiftledge/wire"
)

// Attempt records can name two attempts of a replica, because the records of a former grant are erased late. When one
// attempt completes, the other attempt may still run: the replica is not offered again and its running attempt is not
// stopped before the holder reports that the last attempt has ended.
func TestReplicaIsNotOfferedBeforeItsLastAttemptEnds(t *testing.T) {
	page := peer.AttemptPage{Machines: machineNames[:1], Groups: []peer.AttemptGroup{{
		Job: testJob.Ref, Team: "red", CPUs: 1, Attempts: []int{0, 1, 0, 0, 2, 0, 1, 3, 0}}}}
	l := newGrantedLeader(t, map[string]peer.AttemptPage{"p": page})
	l.jobs.Get(testJob.Ref).Spec.Shape = wire.ShapeService
	lease := l.shards.all[shard.ForMachine(machineNames[0], 2)]
	replica := peer.Task{Job: testJob.Ref, Index: 0}
	reportEvents := func(kinds ...peer.EventKind) []Effect {
		update := peer.ShardUpdate{Shard: lease.ID, FencingToken: lease.token}
		for _, kind := range kinds {
			update.Events = append(update.Events, peer.TaskEvent{Task: replica, Kind: kind, Machine: machineNames[0]})
		}
		return l.Step(startTime+clock.Second, HolderMessage{Controller: "n0", Link: testLink("link"),
			Message: &peer.ToLeader{Term: 5, Updates: []peer.ShardUpdate{update}}})
	}
	effects := reportEvents(peer.EventAttemptRemains, peer.EventCompleted)
	stops := 0
	for _, o := range sentOrders(effects) {
		stops += len(o.Stop)
	}
	if n := countOffers(effects); n != 0 || stops != 0 || lease.tasks[replica] == nil {
		t.Errorf("%d tasks offered, %d stopped, replica in grant: %v, want 0, 0 and true while another attempt may run", n, stops, lease.tasks[replica] != nil)
	}
	if n := countOffers(reportEvents(peer.EventReleased)); n != 1 {
		t.Errorf("%d tasks offered after the last attempt ended, want only the replica", n)
	}
}

// A replica that ends as done runs again. Its agent is ordered to forget the ended attempt only under a higher fencing
// token: otherwise a delayed copy of the attempt's run command would start the old attempt in addition to the new one.
func TestDoneReplicaRunsAgain(t *testing.T) {
	page := peer.AttemptPage{Machines: machineNames[:1], Groups: []peer.AttemptGroup{{Job: testJob.Ref, Team: "red", CPUs: 1, Attempts: []int{0, 1, 0, 1, 2, 0}}}}
	l := newGrantedLeader(t, map[string]peer.AttemptPage{"p": page})
	j := l.jobs.Get(testJob.Ref)
	j.Spec.Shape = wire.ShapeService
	lease := l.shards.all[shard.ForMachine(machineNames[0], 2)]
	replica := peer.Task{Job: testJob.Ref, Index: 0}
	effects := l.Step(startTime+clock.Second, HolderMessage{Controller: "n0", Link: testLink("link"),
		Message: &peer.ToLeader{Term: 5, Updates: []peer.ShardUpdate{{Shard: lease.ID, FencingToken: lease.token,
			Events: []peer.TaskEvent{{Task: replica, Kind: peer.EventCompleted, Machine: machineNames[0]}}}}}})
	stopped, persisted := false, false
	for _, o := range sentOrders(effects) {
		stopped = stopped || len(o.Stop) == 1 && o.Stop[0].Task == replica
		persisted = persisted || len(o.Persisted) == 1 && o.Persisted[0] == replica
	}
	if !stopped || !persisted || j.Completed() != 0 {
		t.Errorf("orders to stop the replica: %v, to treat its completion as persisted: %v, %d tasks completed, want both orders and no completed task",
			stopped, persisted, j.Completed())
	}
	if n := countOffers(effects); n != 1 {
		t.Errorf("%d tasks offered after the replica ended, want only the replica again", n)
	}
}

// A machine is faulty, and drained, if replicas of a service fail on it while another replica runs well on another
// machine.
func TestMachineThatFailsReplicasIsDrained(t *testing.T) {
	page := peer.AttemptPage{Machines: machineNames[:1], Groups: []peer.AttemptGroup{{Job: testJob.Ref, Team: "red", CPUs: 1, Attempts: []int{0, 1, 0}}}}
	l := newGrantedLeader(t, map[string]peer.AttemptPage{"p": page})
	j := l.jobs.Get(testJob.Ref)
	j.Spec.Shape = wire.ShapeService
	lease := l.shards.all[shard.ForMachine(machineNames[0], 2)]
	l.Step(startTime, HolderMessage{Controller: "n0", Link: testLink("link"), Message: &peer.ToLeader{Term: 5,
		Updates: []peer.ShardUpdate{{Shard: lease.ID, FencingToken: lease.token,
			Events: []peer.TaskEvent{{Task: peer.Task{Job: testJob.Ref, Index: 0}, Kind: peer.EventRunning, Machine: machineNames[0]}}}}}})
	l.taskFailed(startTime+2*jobs.StableAfter, j, peer.TaskEvent{Task: peer.Task{Job: testJob.Ref, Index: 1}, Machine: machineNames[1]}, &grantedTask{})
	if l.inventory.machines[machineNames[1]].draining {
		t.Error("machine drained after a single failure of a replica on it")
	}
	l.taskFailed(startTime+2*jobs.StableAfter, j, peer.TaskEvent{Task: peer.Task{Job: testJob.Ref, Index: 1}, Machine: machineNames[1]}, &grantedTask{})
	if !l.inventory.machines[machineNames[1]].draining {
		t.Error("machine not drained after two failures while another replica was running")
	}
}
