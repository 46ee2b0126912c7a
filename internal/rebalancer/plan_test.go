package rebalancer

import (
	"math"
	"slices"
	"testing"

	"swiftledge/internal/load"
)

func TestPlanMigratesOffTheFullestMachine(t *testing.T) {
	migrations := New(testParams(), 0).Plan(afterLeaderCooldown, imbalancedCluster().view)
	if len(migrations) != 1 || migrations[0].From != "m0" || migrations[0].To != "m1" || migrations[0].Task.Index != 0 {
		t.Errorf("planned %+v, want one migration, of task 0 from m0 to m1", migrations)
	}
}

// Each reason alone prevents all migrations, and is recorded as a refusal.
func TestPlanRefusals(t *testing.T) {
	changeTasks := func(change func(*Task)) func(*Params, *testCluster) {
		return func(_ *Params, c *testCluster) {
			for i := range c.tasks["m0"] {
				change(&c.tasks["m0"][i])
			}
		}
	}
	for _, c := range []struct {
		reason Reason
		change func(*Params, *testCluster)
	}{
		{LeaderChanged, func(p *Params, _ *testCluster) { p.LeaderCooldown = afterLeaderCooldown + 1 }},
		{StaleView, func(_ *Params, c *testCluster) { c.view.Stale = true }},
		{WorkWaiting, func(_ *Params, c *testCluster) { c.view.WorkWaiting = true }},
		{MigrationBudgetSpent, func(p *Params, _ *testCluster) { p.MigrationBudget = 0 }},
		{OfferPending, func(_ *Params, c *testCluster) { c.machines[0].OfferPending = true }},
		{Overcommitted, func(_ *Params, c *testCluster) { c.machines[0].Used.CPUs = 5 }},
		{InvalidResources, func(_ *Params, c *testCluster) { c.machines[0].Used.CPUs = math.NaN() }},
		{InvalidResources, func(_ *Params, c *testCluster) { c.machines[0].Capacity = load.Resources{} }},
		{InvalidResources, func(_ *Params, c *testCluster) { c.machines[0].Used.Memory = -1 }},
		{OnlyTask, func(_ *Params, c *testCluster) { c.tasks["m0"] = c.tasks["m0"][:1] }},
		{NoCheckpoints, changeTasks(func(t *Task) { t.Checkpoints = false })},
		{RecentlyStarted, changeTasks(func(t *Task) { t.RunningSince = afterLeaderCooldown - 30*second + 1 })},
		{RecentlyStarted, changeTasks(func(t *Task) { t.RunningSince = 0 })},
		{AlmostDone, changeTasks(func(t *Task) { t.RemainingS = 29 })},
		{PlacementBound, changeTasks(func(t *Task) { t.PlacementBound = true })},
		{ServiceReplica, changeTasks(func(t *Task) { t.Service = true })},
		{AlreadyStopping, changeTasks(func(t *Task) { t.Stopping = true })},
		{TeamAtLimit, changeTasks(func(t *Task) { t.TeamAtLimit = true })},
		{NoTarget, changeTasks(func(t *Task) { t.Allows = func(*Machine) bool { return false } })},
		{NotWorthwhile, changeTasks(func(t *Task) { t.CheckpointS = 70 })},
		{NotWorthwhile, changeTasks(func(t *Task) { t.CheckpointS, t.RemainingS = 20, 39 })},
		{NotWorthwhile, changeTasks(func(t *Task) { t.ImageGB = 40 })},
	} {
		t.Run(string(c.reason), func(t *testing.T) {
			params, cluster := testParams(), imbalancedCluster()
			c.change(&params, cluster)
			r := New(params, 0)
			if migrations := r.Plan(afterLeaderCooldown, cluster.view); len(migrations) != 0 {
				t.Errorf("planned %+v, want no migration", migrations)
			}
			if !slices.ContainsFunc(r.Refusals(), func(refusal Refusal) bool { return refusal.Reason == c.reason }) {
				t.Errorf("refusals %+v, want one with the reason %q", r.Refusals(), c.reason)
			}
		})
	}
}

// A task is not migrated again before the end of the cooldown, and may be migrated afterwards.
func TestPlanRespectsCooldown(t *testing.T) {
	r, c := New(testParams(), 0), imbalancedCluster()
	for _, task := range c.tasks["m0"] {
		r.migratedAt[task.ID] = afterLeaderCooldown - 120*second + 1
	}
	if migrations := r.Plan(afterLeaderCooldown, c.view); len(migrations) != 0 || r.Refusals()[0].Reason != RecentlyMigrated {
		t.Errorf("planned %+v with refusals %+v during the cooldown, want only refusals as recently migrated", migrations, r.Refusals())
	}
	if migrations := r.Plan(afterLeaderCooldown+second, c.view); len(migrations) != 1 {
		t.Errorf("planned %+v after the cooldown, want one migration", migrations)
	}
}

// A machine that is not schedulable is neither the source nor the target of a migration, and does not count in the
// mean load, because the autoscaler is responsible for draining it.
func TestPlanIgnoresUnschedulableMachines(t *testing.T) {
	c := imbalancedCluster()
	c.machines[0].Schedulable = false
	if migrations := New(testParams(), 0).Plan(afterLeaderCooldown, c.view); len(migrations) != 0 {
		t.Errorf("planned %+v off an unschedulable machine, want no migration", migrations)
	}
	c = imbalancedCluster()
	for _, machine := range c.machines[1:] {
		machine.Schedulable = false
	}
	if migrations := New(testParams(), 0).Plan(afterLeaderCooldown, c.view); len(migrations) != 0 {
		t.Errorf("planned %+v to unschedulable machines, want no migration", migrations)
	}
}
