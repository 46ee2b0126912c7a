package leader

import (
	"maps"
	"slices"

	"swiftledge/internal/clock"
	"swiftledge/internal/peer"
	"swiftledge/internal/rebalancer"
)

// status tells an operator what the leader knows of loads, waiting work and moves.
func (l *Leader) status(now clock.Micros) peer.Status {
	s := peer.Status{Controller: l.self, Term: l.term, Leading: l.leading && l.loaded, Rebalancing: l.rebalancing != nil}
	if !s.Leading {
		return s
	}
	mean, blocks := l.blockLoads()
	s.MeanLoad, s.Shards = mean, blocks
	for _, name := range slices.Sorted(maps.Keys(l.inventory.machines)) {
		if m := l.inventory.machines[name]; m.up {
			s.Machines = append(s.Machines, l.machineStatus(m, mean))
		}
	}
	s.Teams = l.teamStatus()
	s.Suspects = l.suspectStatus(now)
	if l.rebalancing != nil {
		s.Migrations, s.Refusals = moveStatus(now, l.rebalancing.InFlight()), refusalStatus(l.rebalancing.Refusals())
		o := l.rebalancing.Outcomes()
		s.MigrationOutcomes = peer.MigrationOutcomes{Begun: o.Begun, Arrived: o.Arrived, Elsewhere: o.Elsewhere, Cancelled: o.Cancelled, GivenUp: o.GivenUp}
	}
	return s
}

func (m *machine) load() float64 { return m.used().DominantShare(m.capacity()) }

// blockLoads sums up loads by block; the means are of the machines that take work.
func (l *Leader) blockLoads() (float64, []peer.ShardStatus) {
	var all rebalancer.Mean
	means := make([]rebalancer.Mean, len(l.shards.all))
	out := make([]peer.ShardStatus, len(l.shards.all))
	for i, b := range l.shards.all {
		out[i] = peer.ShardStatus{Shard: i, Holder: b.Holder, Granted: b.state == granted, Tasks: len(b.tasks)}
		for _, h := range b.tasks {
			if !h.running {
				out[i].Unstarted++
			}
		}
	}
	for _, m := range l.inventory.machines {
		if !m.up {
			continue
		}
		b := &out[m.shard.ID]
		b.Machines++
		if !m.takesWork() {
			continue
		}
		b.TakeWork++
		b.MostLoad = max(b.MostLoad, m.load())
		all.Add(m.load())
		means[m.shard.ID].Add(m.load())
	}
	for i := range out {
		out[i].MeanLoad = means[i].Value()
	}
	return all.Value(), out
}

func (l *Leader) machineStatus(m *machine, mean float64) peer.MachineStatus {
	s := peer.MachineStatus{Name: m.name, Shard: m.shard.ID, Type: m.option.Type.Name, Zone: m.option.Zone, Load: m.load(), Tasks: m.state.Tasks,
		TakesWork: m.takesWork(), WhyNot: m.whyNoWork()}
	if mean > 0 {
		s.OverMean = s.Load / mean
	}
	return s
}

// whyNoWork says why a machine takes no work; "" if it does.
func (m *machine) whyNoWork() string {
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
			t.AtLimit += j.Waiting()
		}
	}
	var out []peer.TeamStatus
	for _, name := range slices.Sorted(maps.Keys(byTeam)) {
		out = append(out, *byTeam[name])
	}
	return out
}

func moveStatus(now clock.Micros, moves []rebalancer.Migration) (out []peer.MigrationStatus) {
	for _, m := range moves {
		out = append(out, peer.MigrationStatus{Task: m.Task.String(), Team: m.Team, From: m.From, To: m.To, Stage: m.Stage.String(),
			AgeS: (now - m.Since).Seconds(), GainS: m.GainS, CostS: m.CostS})
	}
	return out
}

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

// logState sums up queues and room for whoever reads a debug log.
func (l *Leader) logState(now clock.Micros) {
	waiting, room, fit, full := 0, 0.0, 0, 0
	standing, ordinary, idle := 0, 0, 0
	blocked := 0
	for j := range l.jobs.All() {
		waiting += j.Waiting()
		if j.Spec.IsService() {
			standing += j.Running()
		}
		team := l.teams[j.Spec.Team]
		if !l.usage.Of(team.Name).FitsLimit(&j.Spec, team) {
			blocked += j.Waiting()
		}
	}
	for _, m := range l.inventory.machines {
		if !m.option.Spot {
			ordinary++
		}
		if m.up && m.state.Tasks == 0 {
			idle++
		}
		if m.state.Schedulable && !m.draining && !m.cordoned {
			fit++
			room += m.state.CPUs
		}
	}
	used := 0.0
	for name, u := range l.usage.All() {
		used += u.CPUs
		if u.CPUs > l.teams[name].CPULimit()-1 {
			full++
		}
	}
	l.emit(Log{Debug: true, Message: "state", Attributes: []any{"jobs", l.jobs.Len(), "waiting", waiting, "waiting_at_limit", blocked,
		"teams_at_limit", full, "cpus_held", used, "cpus_free", room, "machines", len(l.inventory.machines), "fit", fit,
		"ordinary", ordinary, "idle", idle, "replicas", standing,
		"failed", l.outcomes.failed, "failed_suspect", l.outcomes.failedSuspect, "preempted", l.outcomes.preempted}})
}
