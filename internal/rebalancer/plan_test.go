package rebalancer

import (
	"math"
	"slices"
	"testing"

	"swiftledge/internal/load"
)

func TestPlanMigratesOffTheFullestMachine(t *testing.T) {
	migrations := New(testParams(), 0).Plan(later, unevenCluster().view)
	if len(migrations) != 1 || migrations[0].From != "m0" || migrations[0].To != "m1" || migrations[0].Task.Index != 0 {
		t.Errorf("migrations %+v, want the first task from m0 to m1", migrations)
	}
}

// Each reason alone keeps the tasks where they are, and is recorded.
func TestPlanRefuses(t *testing.T) {
	change := func(f func(*Task)) func(*Params, *testCluster) {
		return func(_ *Params, c *testCluster) {
			for i := range c.tasks["m0"] {
				f(&c.tasks["m0"][i])
			}
		}
	}
	for _, c := range []struct {
		reason Reason
		change func(*Params, *testCluster)
	}{
		{LeaderChanged, func(p *Params, _ *testCluster) { p.LeaderWarmUp = later + 1 }},
		{StaleView, func(_ *Params, c *testCluster) { c.view.Stale = true }},
		{WorkWaiting, func(_ *Params, c *testCluster) { c.view.WorkWaiting = true }},
		{MigrationBudgetSpent, func(p *Params, _ *testCluster) { p.MigrationBudget = 0 }},
		{OfferPending, func(_ *Params, c *testCluster) { c.machines[0].OfferPending = true }},
		{Overcommitted, func(_ *Params, c *testCluster) { c.machines[0].Used.CPUs = 5 }},
		{InvalidResources, func(_ *Params, c *testCluster) { c.machines[0].Used.CPUs = math.NaN() }},
		{InvalidResources, func(_ *Params, c *testCluster) { c.machines[0].Capacity = load.Resources{} }},
		{InvalidResources, func(_ *Params, c *testCluster) { c.machines[0].Used.Memory = -1 }},
		{OnlyTask, func(_ *Params, c *testCluster) { c.tasks["m0"] = c.tasks["m0"][:1] }},
		{NoCheckpoints, change(func(t *Task) { t.Checkpoints = false })},
		{RecentlyStarted, change(func(t *Task) { t.RunningSince = later - 30*second + 1 })},
		{RecentlyStarted, change(func(t *Task) { t.RunningSince = 0 })},
		{AlmostDone, change(func(t *Task) { t.RemainingS = 29 })},
		{PlacementBound, change(func(t *Task) { t.PlacementBound = true })},
		{ServiceReplica, change(func(t *Task) { t.Service = true })},
		{AlreadyStopping, change(func(t *Task) { t.Stopping = true })},
		{TeamAtLimit, change(func(t *Task) { t.TeamAtLimit = true })},
		{NoTarget, change(func(t *Task) { t.Allows = func(*Machine) bool { return false } })},
		{NotWorthwhile, change(func(t *Task) { t.CheckpointS = 70 })},
		{NotWorthwhile, change(func(t *Task) { t.CheckpointS, t.RemainingS = 20, 39 })},
		{NotWorthwhile, change(func(t *Task) { t.ImageGB = 40 })},
	} {
		t.Run(string(c.reason), func(t *testing.T) {
			params, cluster := testParams(), unevenCluster()
			c.change(&params, cluster)
			r := New(params, 0)
			if migrations := r.Plan(later, cluster.view); len(migrations) != 0 {
				t.Errorf("migrations %+v", migrations)
			}
			if !slices.ContainsFunc(r.Refusals(), func(refusal Refusal) bool { return refusal.Reason == c.reason }) {
				t.Errorf("refusals %+v, want %s", r.Refusals(), c.reason)
			}
		})
	}
}

// A task that was migrated lately stays; the others of its machine may go.
func TestPlanKeepsTheCooldown(t *testing.T) {
	r, c := New(testParams(), 0), unevenCluster()
	for _, task := range c.tasks["m0"] {
		r.migratedAt[task.ID] = later - 120*second + 1
	}
	if migrations := r.Plan(later, c.view); len(migrations) != 0 || r.Refusals()[0].Reason != RecentlyMigrated {
		t.Errorf("migrations %+v, refusals %+v", migrations, r.Refusals())
	}
	if migrations := r.Plan(later+second, c.view); len(migrations) != 1 {
		t.Errorf("migrations %+v after the cooldown", migrations)
	}
}

// A machine that is not schedulable is neither the source nor the target of a migration, and does not count in the
// mean: it is the autoscaler's to empty.
func TestPlanIgnoresUnschedulableMachines(t *testing.T) {
	c := unevenCluster()
	c.machines[0].Schedulable = false
	if migrations := New(testParams(), 0).Plan(later, c.view); len(migrations) != 0 {
		t.Errorf("migrations %+v off a machine that is being emptied", migrations)
	}
	c = unevenCluster()
	for _, machine := range c.machines[1:] {
		machine.Schedulable = false
	}
	if migrations := New(testParams(), 0).Plan(later, c.view); len(migrations) != 0 {
		t.Errorf("migrations %+v to machines that are being emptied", migrations)
	}
}
