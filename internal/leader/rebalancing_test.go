package leader

import (
	"fmt"
	"testing"

	"swiftledge/internal/clock"
	"swiftledge/internal/config"
	"swiftledge/internal/peer"
	"swiftledge/internal/rebalancer"
	"swiftledge/internal/shard"
	"swiftledge/wire"
)

// checkpointJob is a job of four tasks with checkpoints.
var checkpointJob = wire.Job{Ref: "j-000002", Team: "red", Priority: wire.PriorityStandard, Tasks: 4, CPUs: 1, MemoryGB: 1, EstimateS: 1000, Spot: true,
	CheckpointS: 5, SaveS: 1, Image: "img", ImageGB: 1}

// newUnbalancedLeader returns a leader of six machines with four processors each. The first machine runs all four
// tasks of checkpointJob.
func newUnbalancedLeader(t *testing.T, rebalance bool) *Leader {
	t.Helper()
	tuning := config.DefaultTuning()
	tuning.Spread.Enabled = rebalance
	tuning.Fleet.ReserveRatio = 10
	l := newLeaderWithTuning(t, tuning)
	l.cfg.Facts.Cloud.RPS = 5
	for _, m := range l.inventory.machines {
		m.option.Spot = true // the autoscaler keeps a reserve of spot machines
	}
	l.finishJob(startTime, l.jobs.Get(testJob.Ref))
	l.addJob(JobRecord{Spec: checkpointJob}, 30)
	firstShard := shard.ForMachine(machineNames[0], 2)
	attempts := []int{}
	for i := range checkpointJob.Tasks {
		attempts = append(attempts, i, i+1, 0)
	}
	page := peer.AttemptPage{FencingToken: 1, Machines: machineNames[:1], Groups: []peer.AttemptGroup{{Job: checkpointJob.Ref,
		Team: "red", CPUs: 1, MemoryGB: 1, CheckpointS: 5, Attempts: attempts}}}
	l.Step(startTime, AttemptsLoaded{Term: 5, Shard: firstShard, FencingToken: l.shards.all[firstShard].token, Pages: map[string]peer.AttemptPage{"p": page}})
	l.Step(startTime, AttemptsLoaded{Term: 5, Shard: 1 - firstShard, FencingToken: l.shards.all[1-firstShard].token})
	var events []peer.TaskEvent
	for i := range checkpointJob.Tasks {
		events = append(events, peer.TaskEvent{Task: peer.Task{Job: checkpointJob.Ref, Index: i}, Kind: peer.EventRunning, Machine: machineNames[0]})
	}
	reportMachines(l, startTime, events, func(s *peer.MachineState) {
		if s.Name == machineNames[0] {
			s.CPUs, s.MemoryGB, s.Tasks, s.Images = 0, 4, 4, []string{"img"}
		}
	})
	return l
}

// reportMachines sends the leader a holder message with all machines and the given events of the first machine's shard.
// A machine is reported as empty unless change alters its state.
func reportMachines(l *Leader, now clock.Micros, events []peer.TaskEvent, change func(*peer.MachineState)) []Effect {
	message := &peer.ToLeader{Term: 5, StoreOK: true}
	for shardID := range l.shards.all {
		update := peer.ShardUpdate{Shard: shardID, FencingToken: l.shards.all[shardID].token, SettledOfferSeq: l.shards.all[shardID].offerSeq}
		if shardID == shard.ForMachine(machineNames[0], 2) {
			update.Events = events
		}
		for _, n := range machineNames {
			if shard.ForMachine(n, 2) == shardID {
				state := peer.MachineState{Name: n, Type: "small", Zone: "a", Schedulable: true, TokenConfirmed: true, CPUs: 4, MemoryGB: 8}
				change(&state)
				update.Machines = append(update.Machines, state)
			}
		}
		message.Updates = append(message.Updates, update)
	}
	return l.Step(now, HolderMessage{Controller: "n0", Link: testLink("link"), Message: message})
}

// collectStops advances the time until tasks may be migrated, and returns the stop orders and all effects that the
// leader gave meanwhile.
func collectStops(l *Leader) (stops []peer.StopTask, effects []Effect) {
	for now := startTime + 90*clock.Second; now < startTime+94*clock.Second; now += clock.Second / 2 {
		l.authorityEnds, l.jobsViewedAt, l.shards.controllers["n0"].lastHeartbeat = now+clock.Minute, now, now
		tickEffects := l.Step(now, Tick{})
		effects = append(effects, tickEffects...)
		for _, orders := range sentOrders(tickEffects) {
			stops = append(stops, orders.Stop...)
		}
	}
	return stops, effects
}

func TestMigratedTaskIsCheckpointedAndStopped(t *testing.T) {
	l := newUnbalancedLeader(t, true)
	stops, _ := collectStops(l)
	if len(stops) != 1 || !stops[0].Checkpoint || stops[0].Job != checkpointJob.Ref {
		t.Fatalf("stop orders %v, want one for a task of checkpointJob with time for a checkpoint", stops)
	}
	// The task is not offered again before its old attempt has provably ended. Then the task is offered to the shard of
	// the target machine.
	migrated := taskID(stops[0].Task)
	target := l.inventory.machines[l.rebalancing.InFlight()[0].To]
	now := startTime + 95*clock.Second
	l.authorityEnds, l.jobsViewedAt = now+clock.Minute, now
	effects := reportMachines(l, now, nil, func(*peer.MachineState) {})
	if n := countOffers(effects); n != 0 {
		t.Errorf("%d tasks offered before the old attempt had ended, want none", n)
	}
	effects = reportMachines(l, now, []peer.TaskEvent{{Task: stops[0].Task, Kind: peer.EventReleased, Machine: machineNames[0]}}, func(*peer.MachineState) {})
	orders := sentOrders(effects)
	if len(orders) != 1 || orders[0].Shard != target.shard.ID || len(orders[0].Offers) != 1 || orders[0].Offers[0].TaskIndexes[0] != migrated.Index {
		t.Errorf("orders %+v, want only an offer of the migrated task to shard %d", orders, target.shard.ID)
	}
	if orders[0].Offers[0].Job.FleetLoad <= 0 {
		t.Error("offer of the migrated task lacked the mean load")
	}
}

// A migration must not displace waiting work: while a task waits that could use the free capacity, no task is
// migrated.
func TestNoTaskIsMigratedWhileTasksWait(t *testing.T) {
	waiting := wire.Job{Ref: "j-000003", Team: "red", Priority: wire.PriorityBestEffort, Tasks: 1, CPUs: 1, MemoryGB: 1,
		Types: []string{"no-such-type"}, Spot: true, EstimateS: 10}
	l := newUnbalancedLeader(t, true)
	l.addJob(JobRecord{Spec: waiting}, 31).EnqueueAll()
	if got, _ := collectStops(l); len(got) != 0 || l.rebalancing.Refusals()[0].Reason != rebalancer.WorkWaiting {
		t.Errorf("stop orders %v, refusals %v, want no stop order because other work waits", got, l.rebalancing.Refusals())
	}
	// A task that waits at its team's limit would take the quota that a migrated task of the team releases.
	l = newUnbalancedLeader(t, true)
	waiting.CPUs = 13
	l.addJob(JobRecord{Spec: waiting}, 31).EnqueueAll()
	if got, _ := collectStops(l); len(got) != 0 || l.rebalancing.Refusals()[0].Reason != rebalancer.TeamAtLimit {
		t.Errorf("stop orders %v, refusals %v, want no stop order because the team is at its limit", got, l.rebalancing.Refusals())
	}
}

func TestNoTaskIsMigratedWithRebalancingDisabled(t *testing.T) {
	l := newUnbalancedLeader(t, false)
	if got, _ := collectStops(l); len(got) != 0 {
		t.Errorf("stop orders %v, want none", got)
	}
	if s := l.status(startTime); s.Rebalancing || len(s.Machines) != len(machineNames) || s.Machines[0].Load != 1 {
		t.Errorf("status %+v, want rebalancing disabled and all machines with their loads", s)
	}
}

// A holder that reports a task on a machine of another shard affects only that task: the task is not migrated, and
// the leader continues.
func TestTaskOnMachineOfAnotherShardIsNotMigrated(t *testing.T) {
	l := newUnbalancedLeader(t, true)
	for _, grant := range l.inventory.machines[machineNames[0]].shard.tasks {
		for _, name := range machineNames {
			if l.inventory.machines[name].shard != l.inventory.machines[machineNames[0]].shard {
				grant.machine = name
				l.inventory.machines[name].state.CPUs, l.inventory.machines[machineNames[0]].state.CPUs = 0, 4
				break
			}
		}
	}
	if got, _ := collectStops(l); len(got) != 0 {
		t.Errorf("stop orders %v, want none", got)
	}
}

// The target machine of a migration is not deleted during the migration, even if it is idle and not needed.
func TestMigrationTargetIsNotDeleted(t *testing.T) {
	l := newUnbalancedLeader(t, true)
	collectStops(l)
	target := l.rebalancing.InFlight()[0].To
	l.cfg.Tuning.Fleet.ReserveRatio = 0
	deleted := map[string]bool{}
	for now := startTime + 95*clock.Second; now < startTime+125*clock.Second; now += clock.Second {
		l.authorityEnds, l.jobsViewedAt, l.shards.controllers["n0"].lastHeartbeat = now+clock.Minute, now, now
		for _, e := range l.Step(now, Tick{}) {
			if d, ok := e.(DeleteMachines); ok {
				for _, name := range d.Machines {
					deleted[name] = true
				}
				l.inventory.deletionsInFlight = 0
			}
		}
	}
	if len(deleted) == 0 || deleted[target] {
		t.Errorf("deleted machines %v, want idle machines other than the migration target %s", deleted, target)
	}
}

// The autoscaler takes precedence over rebalancing: a machine that the autoscaler wants to empty gets no new or
// migrated task, even if it has the lowest load.
func TestDeprioritizedMachinesGetNoTasks(t *testing.T) {
	l := newUnbalancedLeader(t, true)
	for _, name := range machineNames[1:] {
		l.inventory.machines[name].deprioritized = true
	}
	l.autoscaler.plannedAt = startTime + clock.Minute*10 // no new autoscaler decision
	if got, _ := collectStops(l); len(got) != 0 {
		t.Errorf("stop orders %v, want no migration to deprioritized machines", got)
	}
	// A machine that is not deprioritized has free capacity, but only beyond the load bound. It is still preferred to
	// the deprioritized machines.
	l.rebalancing.bound.MaxRelativeLoad = 1.05
	m := l.inventory.machines[machineNames[1]]
	m.deprioritized, m.state.CPUs, m.state.MemoryGB = false, 1, 7
	orders := ordersForNewJob(l, startTime+95*clock.Second, wire.Job{CPUs: 1, MemoryGB: 7})
	if len(orders) != 1 || orders[0].Shard != m.shard.ID || len(orders[0].Include) != 0 {
		t.Errorf("orders %+v, want only an offer to the shard of the fuller machine that is not deprioritized", orders)
	}
}

// ordersForNewJob submits a job of one task and returns the orders of the next scheduling pass.
func ordersForNewJob(l *Leader, now clock.Micros, j wire.Job) []peer.ShardOrders {
	j.Ref, j.Team, j.Priority, j.Tasks, j.Spot = "j-000003", "red", wire.PriorityStandard, 1, true
	l.addJob(JobRecord{Spec: j}, 31).EnqueueAll()
	return ordersOfSchedulingPass(l, now)
}

// ordersOfSchedulingPass triggers a scheduling pass and returns its orders.
func ordersOfSchedulingPass(l *Leader, now clock.Micros) []peer.ShardOrders {
	l.scheduling.requested, l.authorityEnds, l.jobsViewedAt = true, now+clock.Minute, now
	return sentOrders(l.Step(now, PeerConnected{Controller: "n9", Link: testLink("other")}))
}

// A task waits for free capacity within the load bound in a shard that has a pending offer, but only for a short
// time.
func TestTaskWaitsForPendingOfferWithinLoadBound(t *testing.T) {
	l := newUnbalancedLeader(t, true)
	loadedShard := l.inventory.machines[machineNames[0]].shard
	for _, m := range l.inventory.machines {
		if m.shard != loadedShard {
			m.shard.offerPending = true
		} else if m.name != machineNames[0] {
			m.state.CPUs = 1 // one more task exceeds the bound
		}
	}
	now := startTime + 95*clock.Second
	if orders := ordersForNewJob(l, now, wire.Job{CPUs: 1, MemoryGB: 1}); len(orders) != 0 {
		t.Fatalf("orders %+v, want none while the offer to a shard with free capacity within the bound is pending", orders)
	}
	if orders := ordersOfSchedulingPass(l, now+maxPendingOfferWait+clock.Millisecond); len(orders) != 1 || orders[0].Shard != loadedShard.ID {
		t.Errorf("orders %+v, want one offer beyond the load bound after %v", orders, maxPendingOfferWait)
	}
}

// A machine that reports impossible resources is excluded from migrations. The exclusion is logged once.
func TestImpossibleResourcesAreLoggedOnce(t *testing.T) {
	for name, c := range map[string]struct {
		change   func(*peer.MachineState)
		wantLogs int
	}{
		"more free than the machine has": {func(s *peer.MachineState) { s.MemoryGB = 900 }, 1},
		"not the provisioned type":       {func(s *peer.MachineState) { s.Type = "other" }, 1},
		// This is possible: after a takeover, stale attempt records count in addition to running attempts.
		"more in use than the machine has": {func(s *peer.MachineState) { s.CPUs = -3 }, 0},
	} {
		l := newUnbalancedLeader(t, true)
		reportMachines(l, startTime, nil, func(s *peer.MachineState) {
			if s.Name == machineNames[0] {
				s.CPUs, s.MemoryGB, s.Tasks = 0, 4, 4
				c.change(s)
			}
		})
		stops, effects := collectStops(l)
		logged := 0
		for _, e := range effects {
			if entry, ok := e.(Log); ok && entry.Message == "machine excluded from migrations" && fmt.Sprint(entry.Attributes[1]) == machineNames[0] {
				logged++
			}
		}
		if len(stops) != 0 || logged != c.wantLogs {
			t.Errorf("%s: stop orders %v, exclusion from migrations logged %d times, want no stop order, and one log line only if the reported resources are impossible",
				name, stops, logged)
		}
	}
}

// The operator status shows the loads, why a machine gets no tasks, the migrations, and why other tasks are not
// migrated (refusals).
func TestStatus(t *testing.T) {
	l := newUnbalancedLeader(t, true)
	l.inventory.machines[machineNames[5]].draining, l.inventory.machines[machineNames[5]].state.Tasks = true, 1
	collectStops(l)
	s := l.status(startTime + 95*clock.Second)
	if !s.IsLeader || !s.Rebalancing || len(s.Shards) != 2 || len(s.Machines) != len(machineNames) || len(s.Migrations) != 1 || s.MigrationOutcomes.Begun != 1 {
		t.Fatalf("status %+v, want the leader's shards, machines and one migration", s)
	}
	if m := s.Machines[0]; m.Load != 1 || m.RelativeLoad < 2 || !m.Schedulable {
		t.Errorf("status of the full machine %+v, want load 1, a relative load of at least 2, and schedulable", m)
	}
	if m := s.Machines[5]; m.Schedulable || m.UnschedulableReason != "drained" {
		t.Errorf("status of the drained machine %+v, want not schedulable because it is drained", m)
	}
	if s.Migrations[0].From != machineNames[0] || s.Migrations[0].Stage != "stopping" || len(s.Refusals) == 0 {
		t.Errorf("migrations %+v, refusals %+v, want a task of the first machine stopping, and at least one refusal", s.Migrations, s.Refusals)
	}
	if len(s.Teams) != 1 || s.Teams[0].CPUs != 4 {
		t.Errorf("team status %+v, want one team with 4 processors", s.Teams)
	}
	l.Step(startTime+96*clock.Second, LeadershipLost{})
	if s := l.status(startTime + 96*clock.Second); s.IsLeader || len(s.Machines) > 0 {
		t.Errorf("status %+v of a controller that is not the leader, want one without machines", s)
	}
}
