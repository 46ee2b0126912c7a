package leader

import (
	"swiftledge/internal/clock"
	"swiftledge/internal/config"
	"swiftledge/internal/leader/jobs"
	"swiftledge/internal/load"
	"swiftledge/internal/peer"
	"swiftledge/internal/rebalancer"
	"swiftledge/internal/shard"
)

// stoppedForMigration is why a task was told to stop that is to run on another machine.
const stoppedForMigration = "moved"

// rebalancing is the leader's part in keeping work even: it bounds the free capacity that is offered, and has
// running tasks moved. It is soft state; nil while rebalancing is off.
type rebalancing struct {
	*rebalancer.Rebalancer
	bound     load.Bound
	fetches   *load.FetchRates
	interval  clock.Micros
	plannedAt clock.Micros
	// machines whose figures cannot be true and that were logged
	loggedImpossible map[string]bool
}

func newRebalancing(s config.Spread, now clock.Micros) *rebalancing {
	if !s.Enabled {
		return nil
	}
	bound := load.Bound{MaxRelativeLoad: s.Bound, ImbalanceCostS: s.ImbalanceS}
	p := rebalancer.Params{
		Bound: bound, MigrateAbove: s.MigrateAbove, MinLoad: s.MinLoad, MigrationBudget: s.MigrationShare,
		TeamShare:  s.TeamShare,
		MinRuntime: clock.FromSeconds(s.MinRunS), Cooldown: clock.FromSeconds(s.TaskCooldownS),
		LeaderWarmUp: clock.FromSeconds(s.LeaderCooldownS), Timeout: clock.FromSeconds(s.TimeoutS),
	}
	return &rebalancing{Rebalancer: rebalancer.New(p, now), bound: bound, fetches: load.NewFetchRates(),
		interval: clock.FromSeconds(s.IntervalS), loggedImpossible: map[string]bool{}}
}

// migrationTarget gives the machine that the next task of a job is to move to, if it has free capacity within the
// bound.
func (l *Leader) migrationTarget(j *jobs.Job, capacity *freeCapacity) *machine {
	if l.rebalancing == nil {
		return nil
	}
	m := l.inventory.machines[l.rebalancing.PreferredMachine(rebalancer.TaskID{Job: j.Spec.Ref, Index: j.FirstWaiting()})]
	s := &j.Spec
	if m == nil || !capacity.isFree(m) || !m.fits(s) || !m.allowed(capacity.now, j) || !capacity.bound.allows(m, s) {
		return nil
	}
	return m
}

// migrationTargets names the machines that tasks are on their way to: the autoscaler does not return them meanwhile.
func (l *Leader) migrationTargets() map[string]bool {
	if l.rebalancing == nil {
		return nil
	}
	targets := map[string]bool{}
	for _, m := range l.rebalancing.InFlight() {
		targets[m.To] = true
	}
	return targets
}

// rebalance has running tasks moved off machines that have far more than the mean.
func (l *Leader) rebalance(now clock.Micros) {
	s := l.rebalancing
	if s == nil || now-s.plannedAt < s.interval {
		return
	}
	s.plannedAt = now
	for _, m := range s.Expire(now) {
		l.debug("migration given up", "task", m.Task.String(), "stage", m.Stage.String())
		l.traceMigration(now, m, "given up")
	}
	for _, t := range l.autoscaler.catalog {
		s.fetches.SetPublished(t.Name, t.FetchGBPS)
	}
	for _, m := range s.Plan(now, l.rebalancingView(now)) {
		l.startMigration(now, m)
	}
	l.logImpossibleFigures()
}

// startMigration tells a task to stop with time to save. It waits like any other once its attempt is proven
// gone.
func (l *Leader) startMigration(now clock.Micros, m rebalancer.Migration) {
	t := peer.Task{Job: m.Task.Job, Index: m.Task.Index}
	b := l.inventory.machines[m.From].shard
	h := b.tasks[t]
	h.stopReason, h.stoppedAt = stoppedForMigration, now
	b.orders.Stop = append(b.orders.Stop, peer.StopTask{Task: t, Checkpoint: true})
	l.debug("migrating task", "task", shard.TaskName(t), "from", m.From, "to", m.To, "gain_s", m.GainS, "cost_s", m.CostS)
}

// logImpossibleFigures tells once of each machine whose figures cannot be true.
func (l *Leader) logImpossibleFigures() {
	for _, r := range l.rebalancing.Refusals() {
		if r.Reason == rebalancer.InvalidResources && !l.rebalancing.loggedImpossible[r.Machine] {
			l.rebalancing.loggedImpossible[r.Machine] = true
			m := l.inventory.machines[r.Machine]
			l.info("machine excluded from migrations", "machine", r.Machine, "reason", r.Reason, "type", m.state.Type,
				"provisioned_type", m.option.Type.Name, "cpus_free", m.state.CPUs, "memory_gb_free", m.state.MemoryGB)
		}
	}
}
