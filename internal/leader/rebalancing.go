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

// stoppedForMigration is the stop reason of a task that is migrated to another machine.
const stoppedForMigration = "moved"

// rebalancing is the leader's state for keeping the load of the machines even: the leader bounds the free capacity that
// it offers, and migrates running tasks. The state is not stored, and nil while rebalancing is off.
type rebalancing struct {
	*rebalancer.Rebalancer
	bound     load.Bound
	fetches   *load.FetchRates
	interval  clock.Micros
	plannedAt clock.Micros
	// loggedInvalid has the machines whose impossible resource figures are already logged.
	loggedInvalid map[string]bool
}

// newRebalancing returns the rebalancing state of a new term, or nil if rebalancing is off.
func newRebalancing(s config.Spread, now clock.Micros) *rebalancing {
	if !s.Enabled {
		return nil
	}
	bound := load.Bound{MaxRelativeLoad: s.Bound, ImbalanceCostS: s.ImbalanceCostS}
	params := rebalancer.Params{
		Bound: bound, MigrateAbove: s.MigrateAbove, MinLoad: s.MinLoad, MigrationBudget: s.MigrationShare,
		TeamShare:  s.TeamShare,
		MinRuntime: clock.FromSeconds(s.MinRunS), TaskCooldown: clock.FromSeconds(s.TaskCooldownS),
		LeaderCooldown: clock.FromSeconds(s.LeaderCooldownS), Timeout: clock.FromSeconds(s.TimeoutS),
	}
	return &rebalancing{Rebalancer: rebalancer.New(params, now), bound: bound, fetches: load.NewFetchRates(),
		interval: clock.FromSeconds(s.IntervalS), loggedInvalid: map[string]bool{}}
}

// migrationTarget returns the machine to which the next task of a job migrates, if that machine has free capacity
// within the load bound, and nil otherwise.
func (l *Leader) migrationTarget(job *jobs.Job, capacity *freeCapacity) *machine {
	if l.rebalancing == nil {
		return nil
	}
	m := l.inventory.machines[l.rebalancing.PreferredMachine(rebalancer.TaskID{
		Job: job.Spec.Ref, Index: job.FirstWaiting(),
	})]
	spec := &job.Spec
	if m == nil || !capacity.isOfferable(m) || !m.fits(spec) || !m.allowed(capacity.now, job) ||
		!capacity.bound.allows(m, spec) {
		return nil
	}
	return m
}

// migrationTargets returns the machines to which tasks are migrating. The autoscaler does not delete these machines
// during the migrations.
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

// rebalance migrates running tasks off machines whose load is far above the mean.
func (l *Leader) rebalance(now clock.Micros) {
	state := l.rebalancing
	if state == nil || now-state.plannedAt < state.interval {
		return
	}
	state.plannedAt = now
	for _, m := range state.Expire(now) {
		l.debug("migration given up", "task", m.Task.String(), "stage", m.Stage.String())
		l.traceMigration(now, m, "given up")
	}
	for _, t := range l.autoscaler.catalog {
		state.fetches.SetPublished(t.Name, t.FetchGBPS)
	}
	for _, m := range state.Plan(now, l.rebalancingView(now)) {
		l.startMigration(now, m)
	}
	l.logInvalidResources()
}

// startMigration orders a task to stop with time to save a checkpoint. Once the task's attempt is proven to have ended,
// the task waits like any other task.
func (l *Leader) startMigration(now clock.Micros, m rebalancer.Migration) {
	t := peer.Task{Job: m.Task.Job, Index: m.Task.Index}
	lease := l.inventory.machines[m.From].shard
	task := lease.tasks[t]
	task.stopReason, task.stoppedAt = stoppedForMigration, now
	lease.orders.Stop = append(lease.orders.Stop, peer.StopTask{Task: t, Checkpoint: true})
	l.debug("migrating task", "task", shard.TaskName(t), "from", m.From, "to", m.To, "gain_s", m.GainS, "cost_s", m.CostS)
}

// logInvalidResources logs, once for each machine, that a machine reports impossible resource figures.
func (l *Leader) logInvalidResources() {
	for _, refusal := range l.rebalancing.Refusals() {
		if refusal.Reason == rebalancer.InvalidResources && !l.rebalancing.loggedInvalid[refusal.Machine] {
			l.rebalancing.loggedInvalid[refusal.Machine] = true
			m := l.inventory.machines[refusal.Machine]
			l.info("machine excluded from migrations", "machine", refusal.Machine, "reason", refusal.Reason,
				"type", m.state.Type, "provisioned_type", m.option.Type.Name,
				"cpus_free", m.state.CPUs, "memory_gb_free", m.state.MemoryGB)
		}
	}
}
