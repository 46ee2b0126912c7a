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

// machine is a machine of the inventory, as the cloud and its shard holder see it.
type machine struct {
	name          string
	group         string // the key of its instance group
	option        autoscaler.Option
	shard         *shardLease
	address       string
	up            bool // its agent has sent a heartbeat
	cordoned      bool // not worth its price: for services and jobs that have waited too long only
	deprioritized bool // not needed for new tasks while other machines have free capacity
	excluded      bool // its shard holder was ordered to exclude the machine from scheduling
	draining      bool
	deleting      bool
	state         peer.MachineState // as its shard holder sees it
	idleSince     clock.Micros      // since when the machine has no tasks
	failures      failures.Machine
	cloudListing
	offerable
}

// cloudListing is what the cloud's machine lists say about a machine.
type cloudListing struct {
	firstSeenAt  clock.Micros
	booting      bool
	failed       bool         // the machine stopped without being deleted
	listedAt     clock.Micros // when a list last had the machine; 0: never
	runningSince clock.Micros // since when lists show the machine as running; 0: they do not
	missingLists int          // number of consecutive lists that lacked the machine
}

// offerable is the capacity of a machine that remains free while offers are made. The free capacity that its holder
// reports in state stays unchanged.
type offerable struct {
	freeCPUs, freeGPUs, freeMemory float64
	freeTasks                      int // number of further tasks, however small
}

// addMachine adds a machine of an instance group to the inventory, unless it is known already.
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

// machineReported applies the state of a machine that its shard holder reports.
func (l *Leader) machineReported(now clock.Micros, state peer.MachineState) {
	m := l.inventory.machines[state.Name]
	if m == nil {
		if l.inventory.terminated[state.Name] {
			lease := l.shardOfMachine(state.Name)
			lease.orders.Terminated = append(lease.orders.Terminated, state.Name)
		} else if state.Type != "" && state.TokenConfirmed {
			// A report alone may stem from a delayed heartbeat of a machine that was deleted long ago. A machine exists
			// if it has confirmed a fencing token of this term or is in a machine list.
			l.inventory.discovered[state.Name] = wire.Machine{
				Name: state.Name, Type: state.Type, Zone: state.Zone, Spot: state.Spot,
			}
		}
		return
	}
	if state.Terminated {
		l.markTerminated(state.Name)
		return
	}
	if state.Type == "" {
		// The holder knows the machine by name only and has no heartbeat of it yet. A machine that was up under the
		// former holder may have ended while the shard moved to the new holder. Unless the machine counted as silent,
		// it would never be missed.
		m.state.Silent = m.up && state.Silent
		return
	}
	if !m.up {
		delete(l.autoscaler.bootFailures, m.option.Key())
	}
	m.up = true
	m.address = state.Address
	if state.Tasks > 0 || m.state.Tasks > 0 {
		m.idleSince = now
	}
	noticed := state.PreemptionNotice && !m.state.PreemptionNotice
	m.state = state
	if noticed {
		l.checkpointTasks(now, m)
	}
}

// checkpointTasks stops the tasks of a machine that ends soon if they can save their progress. At a preemption notice
// it also stops the replicas of services that find free capacity on other machines.
func (l *Leader) checkpointTasks(now clock.Micros, m *machine) {
	lease := m.shard
	var capacity *freeCapacity
	var tasks []peer.Task
	for t, task := range lease.tasks {
		if task.machine == m.name && l.jobs.Get(t.Job) != nil {
			tasks = append(tasks, t)
		}
	}
	slices.SortFunc(tasks, func(a, b peer.Task) int { return cmp.Or(strings.Compare(a.Job, b.Job), a.Index-b.Index) })
	for _, t := range tasks {
		task, job := lease.tasks[t], l.jobs.Get(t.Job)
		// A replica moves at once if there is free capacity for it on another machine. Otherwise it runs on this
		// machine until the machine ends.
		moves := false
		if job.Spec.IsService() && m.state.PreemptionNotice {
			if capacity == nil {
				capacity = l.freeCapacity(now)
			}
			target, _ := l.machineFor(job, capacity)
			moves = target != nil && target != m
		}
		if moves {
			task.stopReason, task.stoppedAt = "notice", now
		}
		if moves || job.Spec.CheckpointS > 0 && !job.Spec.IsService() {
			lease.orders.Stop = append(lease.orders.Stop, peer.StopTask{Task: t, Checkpoint: true})
		}
	}
}

// drainMachine drains a machine: the machine gets no new tasks, and its tasks that can save a checkpoint do so and
// stop.
func (l *Leader) drainMachine(now clock.Micros, m *machine, reason string) {
	m.draining = true
	lease := m.shard
	lease.orders.Drain = append(lease.orders.Drain, m.name)
	l.checkpointTasks(now, m)
	l.info("draining machine", "machine", m.name, "reason", reason)
}

// machinesListed applies the cloud's list of machines to the inventory.
func (l *Leader) machinesListed(now clock.Micros, list []wire.Machine) {
	seen := map[string]bool{}
	for _, listed := range list {
		seen[listed.Name] = true
		m := l.inventory.machines[listed.Name]
		if m == nil {
			if !l.inventory.terminated[listed.Name] {
				l.inventory.discovered[listed.Name] = listed
			}
			continue
		}
		if m.listedAt == 0 {
			m.firstSeenAt = min(m.firstSeenAt, now-clock.FromSeconds(listed.AgeS))
		}
		m.listedAt, m.missingLists, m.address = now, 0, listed.Address
		m.booting = listed.State == wire.MachineStarting
		if listed.State != wire.MachineRunning {
			m.runningSince = 0
		} else if m.runningSince == 0 {
			m.runningSince = now
		}
		m.failed = listed.State == wire.MachineFailed
	}
	for _, m := range l.inventory.machines {
		if m.listedAt > 0 && !seen[m.name] {
			m.missingLists++
		}
	}
}

// machinesDeleted handles the outcome of a deletion.
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

// markTerminated removes a machine from the inventory, as its end is proven, and reports the end to its shard holder.
func (l *Leader) markTerminated(name string) {
	delete(l.inventory.machines, name)
	l.inventory.terminated[name] = true
	if lease := l.shardOfMachine(name); lease.state == granted {
		lease.orders.Terminated = append(lease.orders.Terminated, name)
	}
}
