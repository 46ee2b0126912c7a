package leader

import (
	"fmt"
	"testing"
	"time"

	"swiftledge/internal/clock"
	"swiftledge/internal/config"
	"swiftledge/internal/peer"
	"swiftledge/internal/shard"
	"swiftledge/wire"
)

// newLeaderOfLargeSite returns a leader of two shards that has granted them and knows machines with room for
// wire.MaxTasksPerHeartbeat tasks each, half of them in each of two zones.
func newLeaderOfLargeSite(t *testing.T, machines int) (*Leader, []peer.ShardUpdate) {
	t.Helper()
	l := newGrantedLeader(t, nil)
	cfg := *l.cfg
	cfg.Facts.Teams = []config.Team{{Name: "red", CPUs: 8, CPUsMax: 1e6}}
	updated := New(&cfg, l.storeOK)
	l.settings = updated.settings
	updates := []peer.ShardUpdate{{Shard: 0, FencingToken: l.shards.all[0].token}, {Shard: 1, FencingToken: l.shards.all[1].token}}
	types := []wire.MachineType{{Name: "large", CPUs: 1000, MemoryGB: 1000, ZoneNames: []string{"a", "b"}}}
	l.setTypes(types)
	groups := map[string]*instanceGroup{}
	for _, zone := range types[0].ZoneNames {
		groups[zone] = &instanceGroup{record: InstanceGroupRecord{Request: wire.ProvisionRequest{Type: "large", Zone: zone}}}
	}
	for i := range machines {
		name, zone := fmt.Sprintf("host-%06d", 1000+i), types[0].ZoneNames[i%2]
		l.addMachine(startTime, name, groups[zone])
		id := shard.ForMachine(name, 2)
		updates[id].Machines = append(updates[id].Machines, peer.MachineState{Name: name, Type: "large", Zone: zone,
			Schedulable: true, TokenConfirmed: true, CPUs: 1000, MemoryGB: 1000})
	}
	return l, updates
}

// grantTimeAtSite is how long a grant lasts at a site like the operators'. A step of the leader that takes longer lets all
// leases run out.
const grantTimeAtSite = 16 * time.Second

// timeStep returns the effects of one step, and fails the test if the step takes so long that leases run out.
func timeStep(t *testing.T, name string, l *Leader, now clock.Micros, message Message) []Effect {
	t.Helper()
	started := time.Now()
	effects := l.Step(now, message)
	if took := time.Since(started); took > grantTimeAtSite {
		t.Errorf("%s: the step took %v, want less than a grant lasts, %v", name, took, grantTimeAtSite)
	}
	return effects
}

// TestLargeArraysKeepLeaderResponsive guards against one accepted job whose tasks restrict each other's placement and that
// keeps the leader in one scheduling pass for minutes, while no lease is renewed.
func TestLargeArraysKeepLeaderResponsive(t *testing.T) {
	const machines = 1000
	for _, c := range []struct {
		name   string
		change func(*wire.Job)
	}{
		{"spread", func(j *wire.Job) { j.Spread = true }},
		{"in one zone", func(j *wire.Job) { j.OneZone = true }},
		{"service", func(j *wire.Job) { j.Shape, j.Tasks = wire.ShapeService, 36000 }},
		{"spread service", func(j *wire.Job) { j.Shape, j.Tasks, j.Spread = wire.ShapeService, 36000, true }},
	} {
		l, updates := newLeaderOfLargeSite(t, machines)
		job := testJob
		job.Ref, job.Tasks, job.CPUs, job.MemoryGB = "j-000077", 48000, 0.05, 0.1
		c.change(&job)
		l.addJob(JobRecord{Spec: job}, 7).EnqueueAll()
		effects := timeStep(t, c.name, l, startTime+clock.Second, HolderMessage{Controller: "n0", Link: testLink("link"),
			Message: &peer.ToLeader{Term: 5, StoreOK: true, Updates: updates}})
		if n := countOffers(effects); n < job.Tasks {
			t.Errorf("%s: %d tasks were offered, want at least %d", c.name, n, job.Tasks)
		}
	}
}

// TestFailingServiceKeepsLeaderResponsive guards against a large service all of whose replicas fail, which keeps the
// leader busy with each failure.
func TestFailingServiceKeepsLeaderResponsive(t *testing.T) {
	l, updates := newLeaderOfLargeSite(t, 100)
	job := testJob
	job.Ref, job.Tasks, job.CPUs, job.MemoryGB, job.Shape = "j-000077", 24000, 0.05, 0.1, wire.ShapeService
	l.addJob(JobRecord{Spec: job}, 7).EnqueueAll()
	now := startTime + clock.Second
	l.Step(now, HolderMessage{Controller: "n0", Link: testLink("link"),
		Message: &peer.ToLeader{Term: 5, StoreOK: true, Updates: updates}})
	for _, kind := range []peer.EventKind{peer.EventRunning, peer.EventFailed} {
		now += clock.Second
		for _, lease := range l.shards.all {
			update := peer.ShardUpdate{Shard: lease.ID, FencingToken: lease.token}
			for task := range lease.tasks {
				update.Events = append(update.Events, peer.TaskEvent{Task: task, Kind: kind, Machine: updates[lease.ID].Machines[0].Name})
			}
			timeStep(t, string(kind), l, now, HolderMessage{Controller: "n0", Link: testLink("link"),
				Message: &peer.ToLeader{Term: 5, StoreOK: true, Updates: []peer.ShardUpdate{update}}})
		}
	}
}
