package leader

import (
	"maps"
	"slices"

	"swiftledge/internal/clock"
	"swiftledge/internal/load"
	"swiftledge/internal/peer"
	"swiftledge/internal/rebalancer"
)

// status tells an operator what the leader knows of loads, waiting work and migrations.
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

// load is the dominant share of the machine that its tasks take.
func (m *machine) load() float64 { return m.used().DominantShare(m.capacity()) }

// shardLoads sums up loads by shard. The means are of the machines that take work, the first that of all of them.
func (l *Leader) shardLoads() (float64, []peer.ShardStatus) {
	var all load.Mean
	means := make([]load.Mean, len(l.shards.all))
	out := make([]peer.ShardStatus, len(l.shards.all))
	for i, lease := range l.shards.all {
		out[i] = lease.status()
	}
	for _, m := range l.inventory.machines {
		if !m.up {
			continue
		}
		status := &out[m.shard.ID]
		status.Machines++
		if !m.takesWork() {
			continue
		}
		status.SchedulableMachines++
		status.MaxLoad = max(status.MaxLoad, m.load())
		all.Add(m.load())
		means[m.shard.ID].Add(m.load())
	}
	for i := range out {
		out[i].MeanLoad = means[i].Value()
	}
	return all.Value(), out
}

// status tells who holds the shard, and how many of its tasks have not started.
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

// machineStatus tells how loaded a machine is against the mean, and why it takes no work if it does not.
func (l *Leader) machineStatus(m *machine, mean float64) peer.MachineStatus {
	status := peer.MachineStatus{
		Name: m.name, Shard: m.shard.ID, Type: m.option.Type.Name, Zone: m.option.Zone, Load: m.load(),
		Tasks: m.state.Tasks, Schedulable: m.takesWork(), UnschedulableReason: m.exclusionReason(),
	}
	if mean > 0 {
		status.RelativeLoad = status.Load / mean
	}
	return status
}

// exclusionReason tells an operator why a machine takes no work; "" if it does.
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

// teamStatus sums up what each team holds and what of it waits.
func (l *Leader) teamStatus() []peer.TeamStatus {
	byTeam := map[string]*peer.TeamStatus{}
	for name, t := range l.teams {
		byTeam[name] = &peer.TeamStatus{Team: name, CPUs: l.usage.Of(name).CPUs, Limit: t.CPUsMax}
	}
	for j := range l.jobs.All() {
		s := &j.Spec
		t := byTeam[s.Team]
		if t == nil {
			continue
		}
		t.Waiting += j.Waiting()
		if team := l.teams[s.Team]; !l.usage.Of(s.Team).FitsLimit(s, team) {
			t.WaitingAtLimit += j.Waiting()
		}
	}
	var out []peer.TeamStatus
	for _, name := range slices.Sorted(maps.Keys(byTeam)) {
		out = append(out, *byTeam[name])
	}
	return out
}

// migrationStatus tells of the migrations in flight.
func migrationStatus(now clock.Micros, migrations []rebalancer.Migration) (out []peer.MigrationStatus) {
	for _, m := range migrations {
		out = append(out, peer.MigrationStatus{
			Task: m.Task.String(), Team: m.Team, From: m.From, To: m.To, Stage: m.Stage.String(),
			AgeS: (now - m.StartedAt).Seconds(), GainS: m.GainS, CostS: m.CostS,
		})
	}
	return out
}

// migrationOutcomes tells how the migrations of the term have ended.
func migrationOutcomes(o rebalancer.Outcomes) peer.MigrationOutcomes {
	return peer.MigrationOutcomes{
		Started: o.Started, Arrived: o.Arrived, Diverted: o.Diverted, Cancelled: o.Cancelled, TimedOut: o.TimedOut,
	}
}

// refusalStatus tells why tasks were not migrated.
func refusalStatus(refusals []rebalancer.Refusal) (out []peer.RefusalStatus) {
	for _, r := range refusals {
		s := peer.RefusalStatus{Machine: r.Machine, Reason: string(r.Reason), Tasks: r.Tasks}
		if r.Task.Job != "" {
			s.Task = r.Task.String()
		}
		out = append(out, s)
	}
	return out
}
