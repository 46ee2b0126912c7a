package scenario

// Commands about the cloud, the machines and their agents.

import (
	"fmt"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// cloudCommand begins or ends an outage of the cloud.
func cloudCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	w.faults.cloudDown = d.HasArg("down")
	return ""
}

// zoneCommand partitions a zone from everything else.
func zoneCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	w.faults.partitionedZone, w.faults.partitionedUntil = arg(t, d, "name", ""), w.now+duration(t, d, "for")
	return ""
}

// bootCommand multiplies the boot time of the next machines by a factor, and sets the lag of the machine list.
func bootCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	w.cloud.BootFactor = arg(t, d, "factor", 0.0)
	if lag := duration(t, d, "lag"); lag > 0 {
		w.cloud.ListLag = lag
	}
	return ""
}

// failBootsCommand makes the next machines fail to boot, or boot without an agent that sends heartbeats.
func failBootsCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	if d.HasArg("no_heartbeat") {
		w.cloud.NextNeverHeartbeat = arg(t, d, "count", 1)
	} else {
		w.cloud.NextNeverBoot = arg(t, d, "count", 1)
	}
	return ""
}

// workerCommand sets the faults of machines and their agents that its arguments name, and clears all other faults of
// these machines. It can also reboot the machines, make them fail or give them a preemption notice.
func workerCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	for _, s := range w.agentsArg(t, d) {
		s.network = machineNetwork{
			unreachable:       d.HasArg("unreachable"),
			inboundDropped:    d.HasArg("inbound_cut"),
			heartbeatsDropped: d.HasArg("heartbeats_cut"),
			delayedUntil:      w.now + duration(t, d, "held"),
			duplicateDelay:    duration(t, d, "duplicates"),
		}
		s.capturesHeartbeats = d.HasArg("keep_heartbeats")
		s.hungUntil = w.now + duration(t, d, "hung")
		s.FailsTasks = d.HasArg("fails_tasks")
		if d.HasArg("reboot") {
			s.reboot(w)
		}
		if d.HasArg("fail") {
			s.terminated = true
			s.instance.Failed = d.HasArg("listed")
		}
		if d.HasArg("preemption_notice") {
			seconds := 10.0
			s.PreemptionNoticeS = &seconds
			s.scheduleHeartbeat(w)
		}
	}
	return ""
}

// agentsArg returns the agents that a command selects by a range of indexes. Further arguments restrict the
// selection to the agents that run tasks of a job, to the source or target machine of the first migration, or to the
// machines that have a preemption notice.
func (w *world) agentsArg(t *testing.T, d *datadriven.TestData) []*simAgent {
	t.Helper()
	ref := arg(t, d, "job", "")
	migrationMachine := w.migrationMachine(arg(t, d, "migration", ""))
	var selected []*simAgent
	for _, s := range w.machines.agents[arg(t, d, "from", 0):arg(t, d, "to", len(w.machines.agents))] {
		switch {
		case d.HasArg("migration") && s.Name != migrationMachine:
		case ref != "" && s.activeTasks(ref) == 0:
		case d.HasArg("with_notice") && s.PreemptionNoticeS == nil:
		default:
			selected = append(selected, s)
		}
	}
	return selected
}

// machinesCommand counts the machines that are not deleted.
func machinesCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	n := 0
	for _, m := range w.cloud.Instances {
		if !m.Deleted {
			n++
		}
	}
	return fmt.Sprint(n)
}

// machineCommand tells whether a machine exists: it was created and is not deleted.
func machineCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	if m := w.cloud.Instances[arg(t, d, "name", "")]; m == nil || m.Deleted {
		return "gone"
	}
	return "there"
}

// expiredLeasesCommand tells whether any agent has begun a new epoch because its lease expired.
func expiredLeasesCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	for _, s := range w.machines.agents {
		if s.AgentEpoch > 1 {
			return "leases"
		}
	}
	return "none"
}

// activeTasksCommand counts a job's active tasks.
func activeTasksCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	ref := arg(t, d, "ref", "")
	return fmt.Sprint(w.countActive(ref))
}

// activeMachinesCommand counts the machines with active tasks of a job.
func activeMachinesCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	ref := arg(t, d, "ref", "")
	return fmt.Sprint(len(w.agentsRunning(ref)))
}

// awaitActiveCommand runs the cluster until a number of a job's tasks are active, or until a timeout.
func awaitActiveCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	ref := arg(t, d, "ref", "")
	n, end := arg(t, d, "tasks", 1), w.now+duration(t, d, "within")
	for w.countActive(ref) < n {
		if w.now >= end {
			return fmt.Sprintf("%d of %d", w.countActive(ref), n)
		}
		w.run(tickInterval)
	}
	return "in time"
}

// runCommandsCommand tells whether all agents together have executed at most a number of run commands for a job since
// their last boot.
func runCommandsCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	ref := arg(t, d, "ref", "")
	n, limit := 0, arg(t, d, "most", 1)
	for _, s := range w.machines.agents {
		n += s.RunCommands[ref]
	}
	if n > limit {
		return fmt.Sprintf("%d, more than %d", n, limit)
	}
	return "few"
}
