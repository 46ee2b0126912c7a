package rebalancer

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"swiftledge/internal/clock"
)

// simulation plans in rounds on a random cluster, in which migrations take a random time.
type simulation struct {
	*testCluster
	rebalancer    *Rebalancer
	now           clock.Micros
	taskCount     int  // number of drawn tasks, some of which fit on no machine
	sameSize      bool // whether all machines have the same capacity
	notMigratable map[TaskID]bool
	stopped       map[TaskID]Task // tasks stopped on the source and not yet started on the target
	migrations    int
	lastSources   map[TaskID]string // by task: source of its last migration
}

func drawSimulation(t *rapid.T) *simulation {
	params := testParams()
	params.MigrationBudget = rapid.SampledFrom([]float64{0.02, 0.1, 0.25}).Draw(t, "migration budget")
	params.TaskCooldown = rapid.SampledFrom([]clock.Micros{0, 120 * second}).Draw(t, "task cooldown")
	run := &simulation{testCluster: newTestCluster(), rebalancer: New(params, 0), now: afterLeaderCooldown,
		notMigratable: map[TaskID]bool{}, stopped: map[TaskID]Task{}, lastSources: map[TaskID]string{}}
	run.sameSize = rapid.Bool().Draw(t, "same size")
	for i := range rapid.IntRange(2, 40).Draw(t, "machines") {
		cpus := 8.0
		if !run.sameSize {
			cpus = rapid.SampledFrom([]float64{4, 8, 16, 64}).Draw(t, "cpus")
		}
		machine := run.addMachine(fmt.Sprintf("m%02d", i), cpus)
		machine.Schedulable = rapid.IntRange(0, 9).Draw(t, "schedulable") > 0
	}
	run.taskCount = rapid.IntRange(0, 150).Draw(t, "tasks")
	for i := range run.taskCount {
		task := migratableTask(i, rapid.SampledFrom([]float64{0.25, 1, 2}).Draw(t, "requested cpus"))
		task.Team = rapid.SampledFrom([]string{"red", "blue"}).Draw(t, "team")
		task.Checkpoints = rapid.IntRange(0, 3).Draw(t, "checkpoints") > 0
		run.notMigratable[task.ID] = !task.Checkpoints
		// Most tasks start on the first machines.
		position := rapid.IntRange(0, len(run.machines)-1).Draw(t, "machine") / rapid.IntRange(1, 6).Draw(t, "skew")
		machine := run.machines[min(len(run.machines)-1, position)]
		if task.Request.Fits(machine.Capacity.Minus(machine.Used)) {
			run.startTask(machine, task)
		}
	}
	return run
}

// plan makes a plan and checks its migrations.
func (r *simulation) plan(t *rapid.T) {
	t.Helper()
	for _, migration := range r.rebalancer.Plan(r.now, r.view) {
		r.migrations++
		from, to := r.machine(migration.From), r.machine(migration.To)
		if r.notMigratable[migration.Task] || !to.Schedulable || !from.Schedulable {
			t.Fatalf("planned %+v, want only migratable tasks and schedulable machines", migration)
		}
		if r.lastSources[migration.Task] == migration.To && r.rebalancer.params.TaskCooldown > 0 {
			t.Fatalf("task %s was migrated back to %s, the source of its last migration", migration.Task, migration.To)
		}
		r.lastSources[migration.Task] = migration.From
	}
}

// checkBudgets checks the number of migrations in flight: in total, by team and by machine.
func (r *simulation) checkBudgets(t *rapid.T, inFlight []Migration) {
	t.Helper()
	limit := r.rebalancer.maxMigrations(r.countSchedulable())
	teamLimit := max(1, int(float64(limit)*r.rebalancer.params.TeamShare))
	if len(inFlight) > limit {
		t.Fatalf("%d migrations in flight with %d schedulable machines, more than the budget", len(inFlight), r.countSchedulable())
	}
	byTeam, involved := map[string]int{}, map[string]bool{}
	for _, migration := range inFlight {
		byTeam[migration.Team]++
		if involved[migration.From] || involved[migration.To] {
			t.Fatalf("second migration in flight that involves %s or %s, want at most one per machine", migration.From, migration.To)
		}
		involved[migration.From], involved[migration.To] = true, true
		if byTeam[migration.Team] > teamLimit {
			t.Fatalf("%d migrations of one team in flight, more than the budget of a team", byTeam[migration.Team])
		}
	}
}

// advance randomly moves a migration to its next stage.
func (r *simulation) advance(t *rapid.T, migration Migration) {
	t.Helper()
	switch migration.Stage {
	case Stopping:
		if rapid.Bool().Draw(t, "stopped") {
			r.stopped[migration.Task] = r.stopTask(r.machine(migration.From), migration.Task)
			r.rebalancer.AttemptTerminated(afterLeaderCooldown, migration.Task)
		}
	case Terminated:
		if task, ok := r.stopped[migration.Task]; ok && rapid.Bool().Draw(t, "starts") {
			delete(r.stopped, migration.Task)
			task.RunningSince = r.now
			r.startTask(r.machine(migration.To), task)
			r.rebalancer.TaskAssigned(migration.Task, migration.To)
			r.rebalancer.TaskRunning(migration.Task, migration.To)
		}
	case Assigned:
		t.Fatalf("migration %+v still in flight after its task started to run", migration)
	}
}

// Migrations stay within their budgets, only migratable tasks are migrated, no task is migrated back and forth, and
// rebalancing ends after a bounded number of migrations.
func TestRebalancingConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		run := drawSimulation(t)
		idleRounds := 0 // consecutive rounds without a migration in flight
		for round := 0; idleRounds < 3; round++ {
			if round > 40*(run.taskCount+2) {
				t.Fatalf("rebalancing did not end after %d migrations of %d tasks", run.migrations, run.taskCount)
			}
			run.now += 2 * second
			run.plan(t)
			inFlight := run.rebalancer.InFlight()
			run.checkBudgets(t, inFlight)
			idleRounds++
			for _, migration := range inFlight {
				idleRounds = 0
				run.advance(t, migration)
			}
		}
		// On machines of the same size each migration reduces the imbalance, so no machine loses and gains tasks in turns.
		if limit := 4 * run.taskCount; run.sameSize && run.migrations > limit {
			t.Fatalf("%d migrations of %d tasks, want at most four for each task", run.migrations, run.taskCount)
		}
	})
}
