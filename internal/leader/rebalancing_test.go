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

// savable is a job of four tasks that save their progress.
var savable = wire.Job{Ref: "j-000002", Team: "red", Priority: wire.PriorityStandard, Tasks: 4, CPUs: 1, MemoryGB: 1, EstimateS: 1000, Spot: true,
	CheckpointS: 5, SaveS: 1, Image: "img", ImageGB: 1}

// unevenFleet leads six machines of four processors, of which the first holds all four tasks of savable.
func unevenFleet(t *testing.T, spread bool) *Leader {
	t.Helper()
	tuning := config.DefaultTuning()
	tuning.Spread.Enabled = spread
	tuning.Fleet.Reserve = 10
	l := leadingWith(t, tuning)
	l.cfg.Facts.Cloud.RPS = 5
	for _, m := range l.inventory.machines {
		m.option.Spot = true // of which the autoscaler keeps a reserve
	}
	l.finishJob(began, l.jobs.Get(spec.Ref))
	l.addJob(JobRecord{Spec: savable}, 30)
	first := shard.ForMachine(names[0], 2)
	starts := []int{}
	for i := range savable.Tasks {
		starts = append(starts, i, i+1, 0)
	}
	page := peer.AttemptPage{FencingToken: 1, Machines: names[:1], Groups: []peer.AttemptGroup{{Job: savable.Ref,
		Team: "red", CPUs: 1, MemoryGB: 1, CheckpointS: 5, Attempts: starts}}}
	l.Step(began, AttemptsLoaded{Term: 5, Shard: first, FencingToken: l.shards.all[first].token, Pages: map[string]peer.AttemptPage{"p": page}})
	l.Step(began, AttemptsLoaded{Term: 5, Shard: 1 - first, FencingToken: l.shards.all[1-first].token})
	var events []peer.TaskEvent
	for i := range savable.Tasks {
		events = append(events, peer.TaskEvent{Task: peer.Task{Job: savable.Ref, Index: i}, Kind: peer.EventRunning, Machine: names[0]})
	}
	tell(l, began, events, func(s *peer.MachineState) {
		if s.Name == names[0] {
			s.CPUs, s.MemoryGB, s.Tasks, s.Images = 0, 4, 4, []string{"img"}
		}
	})
	return l
}

// tell brings word of all machines, which are free but for what change says, and of events.
func tell(l *Leader, now clock.Micros, events []peer.TaskEvent, change func(*peer.MachineState)) []Effect {
	up := &peer.ToLeader{Term: 5, StoreOK: true}
	for b := range l.shards.all {
		u := peer.ShardUpdate{Shard: b, FencingToken: l.shards.all[b].token, SettledOfferSeq: l.shards.all[b].offerSeq}
		if b == shard.ForMachine(names[0], 2) {
			u.Events = events
		}
		for _, n := range names {
			if shard.ForMachine(n, 2) == b {
				s := peer.MachineState{Name: n, Type: "small", Zone: "a", Schedulable: true, TokenConfirmed: true, CPUs: 4, MemoryGB: 8}
				change(&s)
				u.Machines = append(u.Machines, s)
			}
		}
		up.Updates = append(up.Updates, u)
	}
	return l.Step(now, HolderMessage{Controller: "n0", Link: testLink("link"), Message: up})
}

// stops lets time pass until tasks may be moved, and gives those that are told to stop.
func stops(l *Leader) (out []peer.StopTask, effects []Effect) {
	for now := began + 90*clock.Second; now < began+94*clock.Second; now += clock.Second / 2 {
		l.authorityEnds, l.jobsViewedAt, l.shards.controllers["n0"].lastHeartbeat = now+clock.Minute, now, now
		step := l.Step(now, Tick{})
		effects = append(effects, step...)
		for _, o := range ordersOf(step) {
			out = append(out, o.Stop...)
		}
	}
	return out, effects
}

func TestTaskIsToldToSaveAndStop(t *testing.T) {
	l := unevenFleet(t, true)
	got, _ := stops(l)
	if len(got) != 1 || !got[0].Checkpoint || got[0].Job != savable.Ref {
		t.Fatalf("stops %v, want one task with time to save", got)
	}
	// Nothing starts elsewhere before the old attempt is proven gone; then the task is offered to the shard of
	// the machine that it is to move to.
	id := taskID(got[0].Task)
	to := l.inventory.machines[l.rebalancing.InFlight()[0].To]
	now := began + 95*clock.Second
	l.authorityEnds, l.jobsViewedAt = now+clock.Minute, now
	effects := tell(l, now, nil, func(*peer.MachineState) {})
	if n := countOffers(effects); n != 0 {
		t.Errorf("%d tasks offered before the old attempt is gone", n)
	}
	effects = tell(l, now, []peer.TaskEvent{{Task: got[0].Task, Kind: peer.EventReleased, Machine: names[0]}}, func(*peer.MachineState) {})
	told := ordersOf(effects)
	if len(told) != 1 || told[0].Shard != to.shard.ID || len(told[0].Offers) != 1 || told[0].Offers[0].TaskIndexes[0] != id.Index {
		t.Errorf("told %+v, want the task offered to block %d", told, to.shard.ID)
	}
	if told[0].Offers[0].Job.FleetLoad <= 0 {
		t.Error("the offer does not tell the mean load")
	}
}

// A move never puts a task aside for other work: while any waits that could take its free capacity, nothing moves.
func TestNothingIsMovedWhileWorkWaits(t *testing.T) {
	waiting := wire.Job{Ref: "j-000003", Team: "red", Priority: wire.PriorityBestEffort, Tasks: 1, CPUs: 1, MemoryGB: 1,
		Types: []string{"not to be had"}, Spot: true, EstimateS: 10}
	l := unevenFleet(t, true)
	l.addJob(JobRecord{Spec: waiting}, 31).AwaitAll()
	if got, _ := stops(l); len(got) != 0 || l.rebalancing.Refusals()[0].Reason != rebalancer.WorkWaiting {
		t.Errorf("stops %v, refusals %v", got, l.rebalancing.Refusals())
	}
	// At the team's limit its own other work would take the place.
	l = unevenFleet(t, true)
	waiting.CPUs = 13
	l.addJob(JobRecord{Spec: waiting}, 31).AwaitAll()
	if got, _ := stops(l); len(got) != 0 || l.rebalancing.Refusals()[0].Reason != rebalancer.TeamAtLimit {
		t.Errorf("stops %v, refusals %v", got, l.rebalancing.Refusals())
	}
}

func TestNothingIsMovedWithoutSpreading(t *testing.T) {
	l := unevenFleet(t, false)
	if got, _ := stops(l); len(got) != 0 {
		t.Errorf("stops %v", got)
	}
	if s := l.status(began); s.Rebalancing || len(s.Machines) != len(names) || s.Machines[0].Load != 1 {
		t.Errorf("status %+v", s)
	}
}

// A holder that says a task is on a machine of another shard costs only itself: the task is not moved, and
// the leader goes on.
func TestTaskOnAnotherBlocksMachineIsNotMoved(t *testing.T) {
	l := unevenFleet(t, true)
	for _, h := range l.inventory.machines[names[0]].shard.tasks {
		for _, n := range names {
			if l.inventory.machines[n].shard != l.inventory.machines[names[0]].shard {
				h.machine = n
				l.inventory.machines[n].state.CPUs, l.inventory.machines[names[0]].state.CPUs = 0, 4
				break
			}
		}
	}
	if got, _ := stops(l); len(got) != 0 {
		t.Errorf("stops %v", got)
	}
}

// A machine that a task is to move to is not returned meanwhile, though it is idle and not needed.
func TestTargetOfAMoveIsKept(t *testing.T) {
	l := unevenFleet(t, true)
	stops(l)
	to := l.rebalancing.InFlight()[0].To
	l.cfg.Tuning.Fleet.Reserve = 0
	returned := map[string]bool{}
	for now := began + 95*clock.Second; now < began+125*clock.Second; now += clock.Second {
		l.authorityEnds, l.jobsViewedAt, l.shards.controllers["n0"].lastHeartbeat = now+clock.Minute, now, now
		for _, e := range l.Step(now, Tick{}) {
			if d, ok := e.(DeleteMachines); ok {
				for _, n := range d.Machines {
					returned[n] = true
				}
				l.inventory.deletionsInFlight = 0
			}
		}
	}
	if len(returned) == 0 || returned[to] {
		t.Errorf("returned %v, want others than %s", returned, to)
	}
}

// The autoscaler goes before rebalancing: a machine that it wants empty takes no task, neither a new one nor
// one that is moved, though it has the least load.
func TestMachinesAtRestAreNotFilled(t *testing.T) {
	l := unevenFleet(t, true)
	for _, n := range names[1:] {
		l.inventory.machines[n].deprioritized = true
	}
	l.autoscaler.plannedAt = began + clock.Minute*10 // the autoscaler's word stays as it is
	if got, _ := stops(l); len(got) != 0 {
		t.Errorf("stops %v to move to machines at rest", got)
	}
	// One that is not at rest has free capacity, but over the bound: it goes before those at rest all the same.
	l.rebalancing.bound.MaxRelativeLoad = 1.05
	m := l.inventory.machines[names[1]]
	m.deprioritized, m.state.CPUs, m.state.MemoryGB = false, 1, 7
	told := ordersForNewJob(l, began+95*clock.Second, wire.Job{CPUs: 1, MemoryGB: 7})
	if len(told) != 1 || told[0].Shard != m.shard.ID || len(told[0].Include) != 0 {
		t.Errorf("told %+v, want the task offered for the fuller machine that is not at rest", told)
	}
}

// ordersForNewJob submits a job of one task and gives what holders are told at once.
func ordersForNewJob(l *Leader, now clock.Micros, j wire.Job) []peer.ShardOrders {
	j.Ref, j.Team, j.Priority, j.Tasks, j.Spot = "j-000003", "red", wire.PriorityStandard, 1, true
	l.addJob(JobRecord{Spec: j}, 31).AwaitAll()
	return ordersOfPass(l, now)
}

// ordersOfPass gives what holders are told when the leader looks for free capacity.
func ordersOfPass(l *Leader, now clock.Micros) []peer.ShardOrders {
	l.scheduling.requested, l.authorityEnds, l.jobsViewedAt = true, now+clock.Minute, now
	return ordersOf(l.Step(now, PeerConnected{Controller: "n9", Link: testLink("other")}))
}

// Room within the bound in a shard that has an offer out is waited for, but not for long.
func TestRoomWithinTheBoundIsWaitedFor(t *testing.T) {
	l := unevenFleet(t, true)
	full := l.inventory.machines[names[0]].shard
	for _, m := range l.inventory.machines {
		if m.shard != full {
			m.shard.offerPending = true
		} else if m.name != names[0] {
			m.state.CPUs = 1 // with one task more it is over the bound
		}
	}
	now := began + 95*clock.Second
	if told := ordersForNewJob(l, now, wire.Job{CPUs: 1, MemoryGB: 1}); len(told) != 0 {
		t.Fatalf("told %+v while another block has room within the bound in a moment", told)
	}
	if told := ordersOfPass(l, now+pendingPatience+clock.Millisecond); len(told) != 1 || told[0].Shard != full.ID {
		t.Errorf("told %+v, want the task offered beyond the bound after %v", told, pendingPatience)
	}
}

// A machine whose figures cannot be true is excluded from migrations, and is logged once.
func TestImpossibleFiguresAreLoggedOnce(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*peer.MachineState)
		logs   int
	}{
		"more free than there is":     {func(s *peer.MachineState) { s.MemoryGB = 900 }, 1},
		"not the type that was hired": {func(s *peer.MachineState) { s.Type = "other" }, 1},
		// After a takeover stale records count beside live ones.
		"more taken than there is": {func(s *peer.MachineState) { s.CPUs = -3 }, 0},
	} {
		l := unevenFleet(t, true)
		tell(l, began, nil, func(s *peer.MachineState) {
			if s.Name == names[0] {
				s.CPUs, s.MemoryGB, s.Tasks = 0, 4, 4
				c.change(s)
			}
		})
		got, effects := stops(l)
		logged := 0
		for _, e := range effects {
			if x, ok := e.(Log); ok && x.Message == "machine excluded from migrations" && fmt.Sprint(x.Attributes[1]) == names[0] {
				logged++
			}
		}
		if len(got) != 0 || logged != c.logs {
			t.Errorf("%s: stops %v, logged %d times", name, got, logged)
		}
	}
}

// What operators are told: loads, why a machine takes no work, moves and refusals.
func TestStatus(t *testing.T) {
	l := unevenFleet(t, true)
	l.inventory.machines[names[5]].draining, l.inventory.machines[names[5]].state.Tasks = true, 1
	stops(l)
	s := l.status(began + 95*clock.Second)
	if !s.IsLeader || !s.Rebalancing || len(s.Shards) != 2 || len(s.Machines) != len(names) || len(s.Migrations) != 1 || s.MigrationOutcomes.Started != 1 {
		t.Fatalf("status %+v", s)
	}
	if m := s.Machines[0]; m.Load != 1 || m.RelativeLoad < 2 || !m.Schedulable {
		t.Errorf("the full machine: %+v", m)
	}
	if m := s.Machines[5]; m.Schedulable || m.UnschedulableReason != "drained" {
		t.Errorf("the drained machine: %+v", m)
	}
	if s.Migrations[0].From != names[0] || s.Migrations[0].Stage != "stopping" || len(s.Refusals) == 0 {
		t.Errorf("moves %+v, refusals %+v", s.Migrations, s.Refusals)
	}
	if len(s.Teams) != 1 || s.Teams[0].CPUs != 4 {
		t.Errorf("teams %+v", s.Teams)
	}
	l.Step(began+96*clock.Second, LeadershipLost{})
	if s := l.status(began + 96*clock.Second); s.IsLeader || len(s.Machines) > 0 {
		t.Errorf("status %+v of a controller that does not lead", s)
	}
}
