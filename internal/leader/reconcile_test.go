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

// A holder's report of an unknown machine may stem from a delayed message. The machine counts as discovered only once
// the cloud lists the machine, or the machine has confirmed its holder's fencing token.
func TestUnconfirmedMachineIsNotDiscovered(t *testing.T) {
	l := newLeader(t)
	state := peer.MachineState{Name: "host-000900", Type: "small", Zone: "a"}
	if l.machineReported(startTime, state); len(l.inventory.discovered) != 0 {
		t.Error("unknown machine without a confirmed token counted as discovered")
	}
	state.TokenConfirmed = true
	if l.machineReported(startTime, state); len(l.inventory.discovered) != 1 {
		t.Error("unknown machine with a confirmed token did not count as discovered")
	}
}

// A machine that a former leader has deleted leaves the inventory when its holder reports it as terminated.
func TestHolderReportsDeletedMachine(t *testing.T) {
	l := newLeader(t)
	l.machineReported(startTime, peer.MachineState{Name: machineNames[0], Terminated: true})
	if l.inventory.machines[machineNames[0]] != nil || !l.inventory.terminated[machineNames[0]] || l.inventory.machines[machineNames[1]] == nil {
		t.Error("machine reported as terminated was not removed from the inventory, or another machine was")
	}
}

// On-demand machines that are not worth their price for the queue are cordoned, so that they become idle and can be
// deleted. While the cloud does not answer they are used like deprioritized machines, because otherwise all tasks would
// wait although machines are idle.
func TestOnDemandMachinesAreUsedDuringCloudOutage(t *testing.T) {
	lease := &shardLease{state: granted}
	m := &machine{name: "m", shard: lease}
	l := &Leader{termState: termState{inventory: inventory{machines: map[string]*machine{"m": m}}}}
	decision := autoscaler.Decision{Cordon: []string{"m"}}
	if l.applyExclusions(decision, false); !m.cordoned || m.deprioritized {
		t.Errorf("machine cordoned: %v, deprioritized: %v, want cordoned only", m.cordoned, m.deprioritized)
	}
	if l.applyExclusions(decision, true); m.cordoned || !m.deprioritized {
		t.Errorf("machine cordoned: %v, deprioritized: %v during a cloud outage, want deprioritized only", m.cordoned, m.deprioritized)
	}
}

// Capacity for services is provisioned before the services are submitted: for as many as recently arrived within a
// machine's boot time, and a limited reserve for a class whose jobs must start sooner than a machine boots and of which
// no job has arrived yet.
func TestCapacityIsReservedForServices(t *testing.T) {
	l := newLeader(t)
	l.setTypes([]wire.MachineType{{Name: "small", CPUs: 4, MemoryGB: 8, BootS: 30, ZoneNames: []string{"a"}}})
	if l.unseenClassReserve() != nil {
		t.Error("capacity was reserved although no class must start sooner than a machine boots")
	}
	cfg := *l.cfg
	cfg.Facts.Objectives = []config.Objective{{Kind: "wait", Class: "web", WithinS: 20}, {Kind: "wait", Class: "batch",
		WithinS: 4}, {Kind: "deadline", Class: "batch"}}
	l.startSLO = New(&cfg, l.storeOK).startSLO
	if l.unseenClassReserve() != nil {
		t.Error("capacity was reserved on a site without running tasks")
	}
	l.usage.Charge("red", fairshare.ResourceUsage{CPUs: 1000})
	if reserve := l.unseenClassReserve(); reserve == nil || reserve.Tasks != unseenClassCPUs {
		t.Errorf("reserve %+v for a class without jobs, want one of unseenClassCPUs tasks", reserve)
	}
	service := testJob
	service.Ref, service.Class, service.Shape, service.Tasks = "j-300000", "web", wire.ShapeService, 6
	j := l.addJob(JobRecord{Spec: service, AcceptedAt: startTime}, 3)
	if l.unseenClassReserve() != nil {
		t.Error("capacity was reserved for an unseen class although a job of the class had arrived")
	}
	demands := &demandSet{byKey: map[demandKey]*autoscaler.Demand{}}
	if l.addArrivalReserve(startTime, demands); len(demands.list) != 1 || demands.list[0].Tasks <= 6 {
		t.Errorf("reserve %+v after a service of 6 replicas arrived, want one demand of more than 6 tasks", demands.list)
	}
	total := 0
	for _, demand := range l.capacityDemand(startTime) {
		total += demand.Tasks
	}
	if total <= 6+testJob.Tasks {
		t.Errorf("total demand of %d tasks, want more than both jobs have", total)
	}
	// A service that is spread over zones needs capacity in each zone.
	l.setTypes([]wire.MachineType{{Name: "small", CPUs: 4, MemoryGB: 8, BootS: 30, ZoneNames: []string{"a", "b", "c"}}})
	j.Spec.Spread = true
	demands = &demandSet{byKey: map[demandKey]*autoscaler.Demand{}}
	l.addServiceDemand(startTime, demands, j, 6)
	for _, demand := range demands.list {
		if demand.Tasks != 2 || demand.Zone == "" {
			t.Errorf("demand of %d tasks in zone %q, want 2 in each of three zones", demand.Tasks, demand.Zone)
		}
	}
	if len(demands.list) != 3 {
		t.Errorf("%d demands for the spread service, want one for each of three zones", len(demands.list))
	}
}

// Instance group records fit into a value. Discovered machines are recorded in several groups, and a record from when
// the maximum value size was larger is not written before enough of its machines are gone.
func TestInstanceGroupRecordsFitIntoValue(t *testing.T) {
	l := newGrantedLeader(t, nil)
	l.valueBytes = 1800
	var discovered []string
	for i := range 200 {
		name := fmt.Sprintf("host-%06d", 1000+i)
		discovered = append(discovered, name)
		l.inventory.discovered[name] = wire.Machine{Name: name, Type: "small", Zone: "a"}
	}
	l.effects = nil
	l.adoptDiscovered()
	records := 0
	for _, e := range l.effects {
		if c, ok := e.(CommitTxn); ok {
			records++
			if len(c.Txn.Writes[0].Value) > l.valueBytes {
				t.Errorf("instance group record of %d bytes was written, which exceeds the maximum value size", len(c.Txn.Writes[0].Value))
			}
		}
	}
	if records < 2 {
		t.Errorf("%d instance group records for 200 machines, want several", records)
	}
	group := &instanceGroup{key: "fleet/old", keyVersion: 3, record: InstanceGroupRecord{Machines: discovered, Answered: true}}
	l.inventory.terminated[discovered[0]] = true
	l.effects = nil
	if l.pruneInstanceGroup(startTime+clock.Minute, group); len(l.effects) > 0 {
		t.Error("instance group record that exceeds the maximum value size was written")
	}
	for _, name := range discovered[:150] {
		l.inventory.terminated[name] = true
	}
	if l.pruneInstanceGroup(startTime+2*clock.Minute, group); len(l.effects) != 1 || len(group.record.Machines) != 50 {
		t.Errorf("instance group record with %d machines, written %d times, want 50 machines and one write", len(group.record.Machines), len(l.effects))
	}
}

// A provision request that a former leader recorded, and whose answer was lost with that leader, is repeated under the
// same request ID. The cloud then returns the same machines, which may be up already and may have sent heartbeats.
func TestUnansweredProvisionRequestIsRepeated(t *testing.T) {
	l := newLeader(t)
	request := wire.ProvisionRequest{RequestID: "r-3-1", Type: "small", Zone: "a", Spot: true, Count: 2}
	l.Step(startTime, LeadershipLost{})
	l.Step(startTime, LeadershipAcquired{Term: 7})
	l.Step(startTime, LeadershipExtended{Until: startTime + 100*clock.Second})
	effects := l.Step(startTime, StateLoaded{Term: 7, RequestedAt: startTime, Items: []wire.Item{storeItem(t, LayoutKey, 1, LayoutRecord{Shards: 2}),
		storeItem(t, InstanceGroupPrefix+request.RequestID, 3, InstanceGroupRecord{Request: request})}})
	repeats := 0
	for _, e := range effects {
		if r, ok := e.(ProvisionMachines); ok && r.Request == request {
			repeats++
		}
	}
	if repeats != 1 {
		t.Errorf("provision request of the former leader was sent %d times, want once", repeats)
	}
	// The machines of the request are in the inventory only once their record is stored.
	l.Step(startTime, MachinesProvisioned{Term: 7, RequestID: request.RequestID, Machines: machineNames[:2]})
	if l.inventory.machines[machineNames[0]] != nil {
		t.Error("machine was added to the inventory before its record was stored")
	}
	l.Step(startTime, TxnCompleted{Term: 7, Tag: instanceGroupTag{InstanceGroupPrefix + request.RequestID}, Result: store.TxnResult{Committed: true, Revision: 9}})
	if l.inventory.machines[machineNames[0]] == nil || l.inventory.machines[machineNames[1]] == nil {
		t.Error("machines were not in the inventory after their record was stored")
	}
}

// Machine lists that contradict each other, or that lack a machine for long, do not cause the removal of a machine that
// runs tasks and sends heartbeats. An idle machine is removed once it has been missing from the lists for long, and a
// silent machine sooner.
func TestBusyMachineIsNotRemovedBecauseOfLists(t *testing.T) {
	l := newGrantedLeader(t, nil)
	busy, idle, silent := l.inventory.machines[machineNames[0]], l.inventory.machines[machineNames[1]], l.inventory.machines[machineNames[2]]
	all := []wire.Machine{{Name: busy.name, State: wire.MachineRunning}, {Name: idle.name, State: wire.MachineRunning},
		{Name: silent.name, State: wire.MachineRunning}}
	l.machinesListed(startTime, all)
	for _, m := range []*machine{busy, idle, silent} {
		m.up, m.state.Silent = true, m == silent
	}
	busy.state.Tasks, silent.state.Tasks = 3, 3
	at := startTime
	for i := range 20 {
		at += 4 * clock.Second
		if i%5 == 4 && at < startTime+40*clock.Second {
			l.machinesListed(at, all) // an older list, delivered again
		} else {
			l.machinesListed(at, nil)
		}
	}
	for _, c := range []struct {
		m    *machine
		want removalReason
	}{{busy, removalNone}, {idle, removalUnlisted}, {silent, removalUnlisted}} {
		if reason := l.removalReason(at, c.m, shardSilence{up: 2, silent: 2}); reason != c.want {
			t.Errorf("%s: removal reason %q, want %q", c.m.name, reason, c.want)
		}
	}
}
