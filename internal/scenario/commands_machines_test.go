package scenario

// Commands about the cloud, the machines and their workers.

import (
	"fmt"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// cloudCommand has the cloud fail or serve.
func cloudCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	w.faults.cloudDown = d.HasArg("down")
	return ""
}

// zoneCommand cuts a zone off.
func zoneCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	w.faults.partitionedZone, w.faults.partitionedUntil = arg(t, d, "name", ""), w.now+duration(t, d, "for")
	return ""
}

// bootCommand has the next machines boot in so many times the usual time, and the machine list be late.
func bootCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	w.cloud.BootFactor = arg(t, d, "factor", 0.0)
	if lag := duration(t, d, "lag"); lag > 0 {
		w.cloud.ListLag = lag
	}
	return ""
}

// failBootsCommand keeps the next machines from booting, or has them boot and never report.
func failBootsCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	if d.HasArg("no_heartbeat") {
		w.cloud.NextNeverHeartbeat = arg(t, d, "count", 1)
	} else {
		w.cloud.NextNeverBoot = arg(t, d, "count", 1)
	}
	return ""
}

// workerCommand sets what is wrong with machines, or does something to them.
func workerCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	for _, s := range w.workersArg(t, d) {
		s.network = machineNetwork{
			unreachable:    d.HasArg("unreachable"),
			inboundCut:     d.HasArg("inbound_cut"),
			heartbeatsCut:  d.HasArg("heartbeats_cut"),
			heldUntil:      w.now + duration(t, d, "held"),
			duplicateDelay: duration(t, d, "duplicates"),
		}
		s.keepsHeartbeats = d.HasArg("keep_heartbeats")
		s.hungUntil = w.now + duration(t, d, "hung")
		s.FailsTasks = d.HasArg("fails_tasks")
		if d.HasArg("reboot") {
			s.Reboot(w.now)
		}
		if d.HasArg("fail") {
			s.ended = true
			s.instance.Failed = d.HasArg("listed")
		}
		if d.HasArg("preemption_notice") {
			seconds := 10.0
			s.PreemptionNoticeS = &seconds
			s.heartbeatSoon(w)
		}
	}
	return ""
}

// workersArg are the workers that a command names: by their numbers, and of these only the ones that a job is on,
// that a migration begins or ends at, or that have a preemption notice.
func (w *world) workersArg(t *testing.T, d *datadriven.TestData) []*simWorker {
	t.Helper()
	ref := arg(t, d, "job", "")
	migrationEnd := w.migrationEnd(arg(t, d, "migration", ""))
	var named []*simWorker
	for _, s := range w.machines.workers[arg(t, d, "from", 0):arg(t, d, "to", len(w.machines.workers))] {
		switch {
		case d.HasArg("migration") && s.Name != migrationEnd:
		case ref != "" && s.activeTasks(ref) == 0:
		case d.HasArg("with_notice") && s.PreemptionNoticeS == nil:
		default:
			named = append(named, s)
		}
	}
	return named
}

// machinesCommand counts the machines.
func machinesCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	n := 0
	for _, m := range w.cloud.Instances {
		if !m.Deleted {
			n++
		}
	}
	return fmt.Sprint(n)
}

// machineCommand tells whether a machine is there.
func machineCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	if m := w.cloud.Instances[arg(t, d, "name", "")]; m == nil || m.Deleted {
		return "gone"
	}
	return "there"
}

// expiredLeasesCommand tells whether sessions have ended because a lease ran out.
func expiredLeasesCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	for _, s := range w.machines.workers {
		if s.AgentEpoch > 1 {
			return "leases"
		}
	}
	return "none"
}

// activeTasksCommand counts a job's tasks that are on machines.
func activeTasksCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	ref := arg(t, d, "ref", "")
	return fmt.Sprint(w.countActive(ref))
}

// activeMachinesCommand counts the machines that a job is on.
func activeMachinesCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	ref := arg(t, d, "ref", "")
	return fmt.Sprint(len(w.machinesOf(ref)))
}

// awaitActiveCommand tells how soon as many tasks are on machines again.
func awaitActiveCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	ref := arg(t, d, "ref", "")
	n, end := arg(t, d, "tasks", 1), w.now+duration(t, d, "within")
	for w.countActive(ref) < n {
		if w.now >= end {
			return fmt.Sprintf("%d of %d", w.countActive(ref), n)
		}
		w.run(step)
	}
	return "in time"
}

// runCommandsCommand tells how often a task of a job was ordered, wherever.
func runCommandsCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	ref := arg(t, d, "ref", "")
	n, most := 0, arg(t, d, "most", 1)
	for _, s := range w.machines.workers {
		n += s.RunCommands[ref]
	}
	if n > most {
		return fmt.Sprintf("%d, more than %d", n, most)
	}
	return "few"
}
