package leader

import (
	"maps"
	"slices"

	"swiftledge/internal/clock"
	"swiftledge/internal/load"
	"swiftledge/internal/peer"
	"swiftledge/internal/rebalancer"
)

// status returns the operator status: what the leader knows about loads, waiting work and migrations.
func (l *Leader) status(now clock.Micros) peer.Status {
	status := peer.Status{
		Controller: l.self, Term: l.term, IsLeader: l.leading && l.loaded, Rebalancing: l.rebalancing != nil,
	}
	if !status.IsLeader {
		return status
	}
	status.MeanLoad, status.Shards = l.shardLoads()
	for _, name := range slices.Sorted(maps.Keys(l.inventory.machines)) {
		if m := l.inventory.machines[name]; m.up {
			status.Machines = append(status.Machines, l.machineStatus(m, status.MeanLoad))
		}
	}
	status.Teams = l.teamStatus()
	status.Suspects = l.suspectStatus(now)
	if l.rebalancing != nil {
		status.Migrations = migrationStatus(now, l.rebalancing.InFlight())
		status.Refusals = refusalStatus(l.rebalancing.Refusals())
		status.MigrationOutcomes = migrationOutcomes(l.rebalancing.Outcomes())
	}
	return status
}

// load returns the dominant share of the machine's capacity that its tasks take.
func (m *machine) load() float64 { return m.used().DominantShare(m.capacity()) }

// shardLoads returns the mean load of all machines that accept new tasks, and the status of each shard, whose mean
// covers the same machines.
func (l *Leader) shardLoads() (float64, []peer.ShardStatus) {
	var total load.Mean
	means := make([]load.Mean, len(l.shards.all))
	statuses := make([]peer.ShardStatus, len(l.shards.all))
	for i, lease := range l.shards.all {
		statuses[i] = lease.status()
	}
	for _, m := range l.inventory.machines {
		if !m.up {
			continue
		}
		status := &statuses[m.shard.ID]
		status.Machines++
		if !m.acceptsNewTasks() {
			continue
		}
		status.SchedulableMachines++
		status.MaxLoad = max(status.MaxLoad, m.load())
		total.Add(m.load())
		means[m.shard.ID].Add(m.load())
	}
	for i := range statuses {
		statuses[i].MeanLoad = means[i].Value()
	}
	return total.Value(), statuses
}

// status describes the shard for the operator status: its holder, and how many of its tasks have not started.
func (lease *shardLease) status() peer.ShardStatus {
	status := peer.ShardStatus{
		Shard: lease.ID, Holder: lease.Holder, Granted: lease.state == granted, Tasks: len(lease.tasks),
	}
	for _, task := range lease.tasks {
		if !task.running {
			status.Unstarted++
		}
	}
	return status
}

// machineStatus describes the load of a machine relative to the mean, and why it accepts no new tasks if it does not.
func (l *Leader) machineStatus(m *machine, mean float64) peer.MachineStatus {
	status := peer.MachineStatus{
		Name: m.name, Shard: m.shard.ID, Type: m.option.Type.Name, Zone: m.option.Zone, Load: m.load(),
		Tasks: m.state.Tasks, Schedulable: m.acceptsNewTasks(), UnschedulableReason: m.exclusionReason(),
	}
	if mean > 0 {
		status.RelativeLoad = status.Load / mean
	}
	return status
}

// exclusionReason returns why a machine accepts no new tasks, for operators; "" if it accepts them.
func (m *machine) exclusionReason() string {
	switch {
	case m.shard.state != granted:
		return "its block has no holder"
	case m.deleting:
		return "being returned"
	case m.draining:
		return "drained"
	case m.state.PreemptionNotice:
		return "the cloud takes it back"
	case !m.state.Schedulable:
		return "not in touch"
	case m.cordoned:
		return "not worth its price"
	case m.deprioritized:
		return "not needed"
	}
	return ""
}

// teamStatus describes what each team uses and how many of its tasks wait.
func (l *Leader) teamStatus() []peer.TeamStatus {
	byTeam := map[string]*peer.TeamStatus{}
	for name, team := range l.teams {
		byTeam[name] = &peer.TeamStatus{Team: name, CPUs: l.usage.Of(name).CPUs, Limit: team.CPUsMax}
	}
	for job := range l.jobs.All() {
		spec := &job.Spec
		status := byTeam[spec.Team]
		if status == nil {
			continue
		}
		status.Waiting += job.Waiting()
		if team := l.teams[spec.Team]; !l.usage.Of(spec.Team).FitsLimit(spec, team) {
			status.WaitingAtLimit += job.Waiting()
		}
	}
	var statuses []peer.TeamStatus
	for _, name := range slices.Sorted(maps.Keys(byTeam)) {
		statuses = append(statuses, *byTeam[name])
	}
	return statuses
}

// migrationStatus describes the migrations in flight.
func migrationStatus(now clock.Micros, migrations []rebalancer.Migration) (statuses []peer.MigrationStatus) {
	for _, migration := range migrations {
		statuses = append(statuses, peer.MigrationStatus{
			Task: migration.Task.String(), Team: migration.Team, From: migration.From, To: migration.To,
			Stage: migration.Stage.String(), AgeS: (now - migration.StartedAt).Seconds(),
			GainS: migration.GainS, CostS: migration.CostS,
		})
	}
	return statuses
}

// migrationOutcomes returns how many migrations of the term ended in each way.
func migrationOutcomes(o rebalancer.Outcomes) peer.MigrationOutcomes {
	return peer.MigrationOutcomes{
		Begun: o.Started, Arrived: o.Arrived, Elsewhere: o.Diverted, Cancelled: o.Cancelled, GivenUp: o.TimedOut,
	}
}

// refusalStatus describes why tasks were not migrated.
func refusalStatus(refusals []rebalancer.Refusal) (statuses []peer.RefusalStatus) {
	for _, refusal := range refusals {
		status := peer.RefusalStatus{Machine: refusal.Machine, Reason: string(refusal.Reason), Tasks: refusal.Tasks}
		if refusal.Task.Job != "" {
			status.Task = refusal.Task.String()
		}
		statuses = append(statuses, status)
	}
	return statuses
}
