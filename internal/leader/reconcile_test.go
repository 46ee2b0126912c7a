package leader

import (
	"fmt"
	"testing"

	"swiftledge/internal/autoscaler"
	"swiftledge/internal/clock"
	"swiftledge/internal/config"
	"swiftledge/internal/leader/fairshare"
	"swiftledge/internal/peer"
	"swiftledge/internal/store"
	"swiftledge/wire"
)

// A machine that is only heard of may be a late copy's ghost: it is not taken into
// the roster before it is listed or has shown a holder's token.
func TestGhostIsNotAdopted(t *testing.T) {
	l := leading(t)
	s := peer.MachineState{Name: "host-000900", Type: "small", Zone: "a"}
	if l.machineReported(began, s); len(l.inventory.discovered) != 0 {
		t.Error("a machine that no token reached counts as found")
	}
	s.TokenConfirmed = true
	if l.machineReported(began, s); len(l.inventory.discovered) != 1 {
		t.Error("a machine that has shown its holder's token is not found")
	}
}

// What a former leader has deleted leaves the roster on its holder's word.
func TestHolderTellsOfDeletedMachine(t *testing.T) {
	l := leading(t)
	l.machineReported(began, peer.MachineState{Name: names[0], Terminated: true})
	if l.inventory.machines[names[0]] != nil || !l.inventory.terminated[names[0]] || l.inventory.machines[names[1]] == nil {
		t.Error("the deleted machine, and no other, must leave the books")
	}
}

// Ordinary machines that the queue is not worth get no work, so that they can be
// returned; while the cloud answers nothing they serve like those at rest, or all would
// wait beside idle machines.
func TestOrdinaryMachinesServeWhileTheCloudIsAway(t *testing.T) {
	b := &shardLease{state: granted}
	m := &machine{name: "m", shard: b}
	l := &Leader{termState: termState{inventory: inventory{machines: map[string]*machine{"m": m}}}}
	d := autoscaler.Decision{Cordon: []string{"m"}}
	if l.applyExclusions(d, false); !m.cordoned || m.deprioritized {
		t.Errorf("cordoned %v, at rest %v; want cordoned", m.cordoned, m.deprioritized)
	}
	if l.applyExclusions(d, true); m.cordoned || !m.deprioritized {
		t.Errorf("cordoned %v, at rest %v while the cloud is away; want at rest", m.cordoned, m.deprioritized)
	}
}

// Room for services is rented before they come: for what came lately while a machine boots,
// and some for a class that is expected sooner than that and of which nothing is known.
func TestRoomIsRentedAheadForServices(t *testing.T) {
	l := leading(t)
	l.setTypes([]wire.MachineType{{Name: "small", CPUs: 4, MemoryGB: 8, BootS: 30, ZoneNames: []string{"a"}}})
	if l.unseenClassReserve() != nil {
		t.Error("room is kept though nothing is awaited")
	}
	cfg := *l.cfg
	cfg.Facts.Objectives = []config.Objective{{Kind: "wait", Class: "web", WithinS: 20}, {Kind: "wait", Class: "batch",
		WithinS: 4}, {Kind: "deadline", Class: "batch"}}
	l.startSLO = New(&cfg, l.storeOK).startSLO
	if l.unseenClassReserve() != nil {
		t.Error("room is kept on a site where nothing runs")
	}
	l.usage.Charge("red", fairshare.ResourceUsage{CPUs: 1000})
	if w := l.unseenClassReserve(); w == nil || w.Tasks != unseenClassCPUs {
		t.Errorf("room kept for an awaited class: %+v", w)
	}
	s := spec
	s.Ref, s.Class, s.Shape, s.Tasks = "j-300000", "web", wire.ShapeService, 6
	j := l.addJob(JobRecord{Spec: s, AcceptedAt: began}, 3)
	if l.unseenClassReserve() != nil {
		t.Error("room is kept for a class that has come")
	}
	n := &demandSet{byKey: map[demandKey]*autoscaler.Demand{}}
	if l.addArrivalReserve(began, n); len(n.list) != 1 || n.list[0].Tasks <= 6 {
		t.Errorf("room kept for services like one of 6 replicas that has just come: %+v, want for more than as many", n.list)
	}
	total := 0
	for _, need := range l.capacityDemand(began) {
		total += need.Tasks
	}
	if total <= 6+spec.Tasks {
		t.Errorf("%d slots wanted in all", total)
	}
	// What must be spread over zones needs room in each.
	l.setTypes([]wire.MachineType{{Name: "small", CPUs: 4, MemoryGB: 8, BootS: 30, ZoneNames: []string{"a", "b", "c"}}})
	j.Spec.Spread = true
	n = &demandSet{byKey: map[demandKey]*autoscaler.Demand{}}
	l.addServiceDemand(began, n, j, 6)
	for _, need := range n.list {
		if need.Tasks != 2 || need.Zone == "" {
			t.Errorf("%d slots wanted in zone %q, want 2 in each of three", need.Tasks, need.Zone)
		}
	}
	if len(n.list) != 3 {
		t.Errorf("%d needs, want one for each zone", len(n.list))
	}
}

// Roster records fit into a value: what is found is taken in pieces, and one of the time when
// values could be larger is left alone until less is left of it.
func TestRosterRecordsFit(t *testing.T) {
	l := granting(t, nil)
	l.valueBytes = 1800
	var many []string
	for i := range 200 {
		name := fmt.Sprintf("host-%06d", 1000+i)
		many = append(many, name)
		l.inventory.discovered[name] = wire.Machine{Name: name, Type: "small", Zone: "a"}
	}
	l.effects = nil
	l.adoptDiscovered()
	n := 0
	for _, e := range l.effects {
		if c, ok := e.(CommitTxn); ok {
			n++
			if len(c.Txn.Writes[0].Value) > l.valueBytes {
				t.Errorf("a record of %d bytes", len(c.Txn.Writes[0].Value))
			}
		}
	}
	if n < 2 {
		t.Errorf("%d records for 200 machines", n)
	}
	rt := &instanceGroup{key: "fleet/old", keyVersion: 3, record: InstanceGroupRecord{Machines: many, Answered: true}}
	l.inventory.terminated[many[0]] = true
	l.effects = nil
	if l.pruneInstanceGroup(began+clock.Minute, rt); len(l.effects) > 0 {
		t.Error("a record that is too large is written as it is")
	}
	for _, name := range many[:150] {
		l.inventory.terminated[name] = true
	}
	if l.pruneInstanceGroup(began+2*clock.Minute, rt); len(l.effects) != 1 || len(rt.record.Machines) != 50 {
		t.Errorf("%d machines left in the record, written %d times", len(rt.record.Machines), len(l.effects))
	}
}

// A rental that a former leader recorded, and whose answer was lost with it, is asked for again
// under its name, which gives the same machines: they may be up already and have shown themselves.
func TestRentalOfAFormerLeaderIsAskedAgain(t *testing.T) {
	l := leading(t)
	rental := wire.ProvisionRequest{RequestID: "r-3-1", Type: "small", Zone: "a", Spot: true, Count: 2}
	l.Step(began, LeadershipLost{})
	l.Step(began, LeadershipAcquired{Term: 7})
	l.Step(began, LeadershipExtended{Until: began + 100*clock.Second})
	effects := l.Step(began, StateLoaded{Term: 7, RequestedAt: began, Items: []wire.Item{item(t, LayoutKey, 1, LayoutRecord{Shards: 2}),
		item(t, InstanceGroupPrefix+rental.RequestID, 3, InstanceGroupRecord{Request: rental})}})
	asked := 0
	for _, e := range effects {
		if r, ok := e.(ProvisionMachines); ok && r.Request == rental {
			asked++
		}
	}
	if asked != 1 {
		t.Errorf("asked %d times for what a former leader has rented", asked)
	}
	// Its machines are in the roster once they are written there, and not before.
	l.Step(began, MachinesProvisioned{Term: 7, RequestID: rental.RequestID, Machines: names[:2]})
	if l.inventory.machines[names[0]] != nil {
		t.Error("used before the roster has it")
	}
	l.Step(began, TxnCompleted{Term: 7, Tag: instanceGroupTag{InstanceGroupPrefix + rental.RequestID}, Result: store.TxnResult{Committed: true, Revision: 9}})
	if l.inventory.machines[names[0]] == nil || l.inventory.machines[names[1]] == nil {
		t.Error("not in the roster once that is written")
	}
}

// Lists that contradict each other, or that lack a machine for long, cost none that runs work and reports; an idle one
// is given up when no list has it any more, and a silent one soon.
func TestListsAloneCostNoMachineThatRunsWork(t *testing.T) {
	l := granting(t, nil)
	works, idle, silent := l.inventory.machines[names[0]], l.inventory.machines[names[1]], l.inventory.machines[names[2]]
	all := []wire.Machine{{Name: works.name, State: wire.MachineRunning}, {Name: idle.name, State: wire.MachineRunning},
		{Name: silent.name, State: wire.MachineRunning}}
	l.machinesListed(began, all)
	for _, m := range []*machine{works, idle, silent} {
		m.up, m.state.Silent = true, m == silent
	}
	works.state.Tasks, silent.state.Tasks = 3, 3
	at := began
	for i := range 20 {
		at += 4 * clock.Second
		if i%5 == 4 && at < began+40*clock.Second {
			l.machinesListed(at, all) // an older list once more
		} else {
			l.machinesListed(at, nil)
		}
	}
	for _, c := range []struct {
		m    *machine
		want removalReason
	}{{works, removalNone}, {idle, removalUnlisted}, {silent, removalUnlisted}} {
		if reason := l.removalReason(at, c.m, shardSilence{up: 2, silent: 2}); reason != c.want {
			t.Errorf("%s: %q, want %q", c.m.name, reason, c.want)
		}
	}
}
