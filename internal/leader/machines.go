package leader

import (
	"cmp"
	"slices"
	"strings"

	"swiftledge/internal/autoscaler"
	"swiftledge/internal/clock"
	"swiftledge/internal/failures"
	"swiftledge/internal/peer"
	"swiftledge/wire"
)

// machine is one of the inventory, as the cloud and its holder see it.
type machine struct {
	name          string
	group         string // the key of its instance group
	option        autoscaler.Option
	shard         *shardLease
	address       string
	up            bool // its agent was heard
	cordoned      bool // not worth new tasks
	deprioritized bool // not needed for new tasks while others have free capacity
	excluded      bool // its holder was told to leave it out
	draining      bool
	deleting      bool
	state         peer.MachineState // as its holder sees it
	idleSince     clock.Micros      // since when it has no task
	failures      failures.Machine
	cloudListing
	offerable
}

// cloudListing is what the cloud's lists say of a machine.
type cloudListing struct {
	firstSeenAt  clock.Micros
	booting      bool
	failed       bool         // it stopped by itself
	listedAt     clock.Micros // last seen in a list; 0: never
	runningSince clock.Micros // since when lists say that it is up; 0: they do not
	missingLists int          // how many lists in a row lacked it
}

// offerable is the capacity that is left of a machine while offers are made; what its holder says in state is not
// touched.
type offerable struct {
	freeCPUs, freeGPUs, freeMemory float64
}

// addMachine takes a machine of an instance group in, unless it is known.
func (l *Leader) addMachine(now clock.Micros, name string, group *instanceGroup) {
	if l.inventory.machines[name] != nil {
		return
	}
	l.inventory.machines[name] = &machine{
		name: name, group: group.key, option: l.option(group.record.Request), shard: l.shardOfMachine(name),
		idleSince: now, cloudListing: cloudListing{firstSeenAt: now},
	}
	delete(l.inventory.discovered, name)
	if lease := l.shardOfMachine(name); lease.state == granted {
		lease.orders.Added = append(lease.orders.Added, name)
	}
}

// machineReported takes in how a holder sees a machine.
func (l *Leader) machineReported(now clock.Micros, s peer.MachineState) {
	m := l.inventory.machines[s.Name]
	if m == nil {
		if l.inventory.terminated[s.Name] {
			lease := l.shardOfMachine(s.Name)
			lease.orders.Terminated = append(lease.orders.Terminated, s.Name)
		} else if s.Type != "" && s.TokenConfirmed {
			// What is only heard of may be a late copy of a heartbeat of a machine long
			// deleted; one that has seen our token is there, and so is one that is listed.
			l.inventory.discovered[s.Name] = wire.Machine{Name: s.Name, Type: s.Type, Zone: s.Zone, Spot: s.Spot}
		}
		return
	}
	if s.Terminated {
		l.markTerminated(s.Name)
		return
	}
	if s.Type == "" {
		// Known by name only, not heard yet. One that was up under its former holder,
		// and ended while the shard changed hands, would never be missed otherwise.
		m.state.Silent = m.up && s.Silent
		return
	}
	if !m.up {
		delete(l.autoscaler.bootFailures, m.option.Key())
	}
	m.up = true
	m.address = s.Address
	if s.Tasks > 0 || m.state.Tasks > 0 {
		m.idleSince = now
	}
	noticed := s.PreemptionNotice && !m.state.PreemptionNotice
	m.state = s
	if noticed {
		l.checkpointTasks(now, m)
	}
}

// checkpointTasks stops the tasks that can save their progress before their machine goes.
func (l *Leader) checkpointTasks(now clock.Micros, m *machine) {
	lease := m.shard
	var capacity *freeCapacity
	var on []peer.Task
	for t, h := range lease.tasks {
		if h.machine == m.name && l.jobs.Get(t.Job) != nil {
			on = append(on, t)
		}
	}
	slices.SortFunc(on, func(a, c peer.Task) int { return cmp.Or(strings.Compare(a.Job, c.Job), a.Index-c.Index) })
	for _, t := range on {
		h, j := lease.tasks[t], l.jobs.Get(t.Job)
		// A replica moves at once if there is room for it; else it runs to the end here.
		moves := false
		if j.Spec.IsService() && m.state.PreemptionNotice {
			if capacity == nil {
				capacity = l.freeCapacity(now)
			}
			to, _ := l.machineFor(j, capacity)
			moves = to != nil && to != m
		}
		if moves {
			h.stopReason, h.stoppedAt = "notice", now
		}
		if moves || j.Spec.CheckpointS > 0 && !j.Spec.IsService() {
			lease.orders.Stop = append(lease.orders.Stop, peer.StopTask{Task: t, Checkpoint: true})
		}
	}
}

// drainMachine has a machine emptied: it gets no new tasks, and those that can save do so and leave.
func (l *Leader) drainMachine(now clock.Micros, m *machine, reason string) {
	m.draining = true
	lease := m.shard
	lease.orders.Drain = append(lease.orders.Drain, m.name)
	l.checkpointTasks(now, m)
	l.info("draining machine", "machine", m.name, "reason", reason)
}

// machinesListed takes in the cloud's list of machines.
func (l *Leader) machinesListed(now clock.Micros, list []wire.Machine) {
	seen := map[string]bool{}
	for _, w := range list {
		seen[w.Name] = true
		m := l.inventory.machines[w.Name]
		if m == nil {
			if !l.inventory.terminated[w.Name] {
				l.inventory.discovered[w.Name] = w
			}
			continue
		}
		if m.listedAt == 0 {
			m.firstSeenAt = min(m.firstSeenAt, now-clock.FromSeconds(w.AgeS))
		}
		m.listedAt, m.missingLists, m.address = now, 0, w.Address
		m.booting = w.State == wire.MachineStarting
		if w.State != wire.MachineRunning {
			m.runningSince = 0
		} else if m.runningSince == 0 {
			m.runningSince = now
		}
		m.failed = w.State == wire.MachineFailed
	}
	for _, m := range l.inventory.machines {
		if m.listedAt > 0 && !seen[m.name] {
			m.missingLists++
		}
	}
}

// machinesDeleted takes in the end of a deletion.
func (l *Leader) machinesDeleted(deletion MachinesDeleted) {
	l.inventory.deletionsInFlight = max(0, l.inventory.deletionsInFlight-1)
	for _, name := range deletion.Machines {
		m := l.inventory.machines[name]
		if m == nil {
			continue
		}
		if deletion.Err != nil {
			m.deleting = false
			continue
		}
		l.markTerminated(name)
	}
}

// markTerminated takes out a machine that is deleted.
func (l *Leader) markTerminated(name string) {
	delete(l.inventory.machines, name)
	l.inventory.terminated[name] = true
	if lease := l.shardOfMachine(name); lease.state == granted {
		lease.orders.Terminated = append(lease.orders.Terminated, name)
	}
}
