package rebalancer

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"swiftledge/internal/clock"
)

// randomRun plays rounds of plans on a random cluster, whose migrations take their time and end in any way.
type randomRun struct {
	*testCluster
	rebalancer   *Rebalancer
	now          clock.Micros
	tasks        int  // drawn, some of which found no machine
	sameSize     bool // all machines have the same capacity
	fixed        map[TaskID]bool
	stopped      map[TaskID]Task // neither on their old machine nor on a new one
	migrations   int
	lastMachines map[TaskID]string // from which a task was last migrated
}

func drawRun(t *rapid.T) *randomRun {
	params := testParams()
	params.MigrationBudget = rapid.SampledFrom([]float64{0.02, 0.1, 0.25}).Draw(t, "part")
	params.Cooldown = rapid.SampledFrom([]clock.Micros{0, 120 * second}).Draw(t, "pause")
	run := &randomRun{testCluster: newTestCluster(), rebalancer: New(params, 0), now: later,
		fixed: map[TaskID]bool{}, stopped: map[TaskID]Task{}, lastMachines: map[TaskID]string{}}
	run.sameSize = rapid.Bool().Draw(t, "same size")
	for i := range rapid.IntRange(2, 40).Draw(t, "machines") {
		cpus := 8.0
		if !run.sameSize {
			cpus = rapid.SampledFrom([]float64{4, 8, 16, 64}).Draw(t, "cpus")
		}
		machine := run.addMachine(fmt.Sprintf("m%02d", i), cpus)
		machine.Schedulable = rapid.IntRange(0, 9).Draw(t, "serving") > 0
	}
	run.tasks = rapid.IntRange(0, 150).Draw(t, "tasks")
	for i := range run.tasks {
		task := movableTask(i, rapid.SampledFrom([]float64{0.25, 1, 2}).Draw(t, "takes"))
		task.Team = rapid.SampledFrom([]string{"red", "blue"}).Draw(t, "team")
		task.Checkpoints = rapid.IntRange(0, 3).Draw(t, "saves") > 0
		run.fixed[task.ID] = !task.Checkpoints
		// Most of them on the first machines.
		on := rapid.IntRange(0, len(run.machines)-1).Draw(t, "on") / rapid.IntRange(1, 6).Draw(t, "crowd")
		machine := run.machines[min(len(run.machines)-1, on)]
		if task.Request.Fits(machine.Capacity.Minus(machine.Used)) {
			run.startTask(machine, task)
		}
	}
	return run
}

// plan makes a plan and checks each of its migrations.
func (r *randomRun) plan(t *rapid.T) {
	t.Helper()
	for _, migration := range r.rebalancer.Plan(r.now, r.view) {
		r.migrations++
		from, to := r.machine(migration.From), r.machine(migration.To)
		if r.fixed[migration.Task] || !to.Schedulable || !from.Schedulable {
			t.Fatalf("%+v must not be", migration)
		}
		if r.lastMachines[migration.Task] == migration.To && r.rebalancer.params.Cooldown > 0 {
			t.Fatalf("%s goes back to %s", migration.Task, migration.To)
		}
		r.lastMachines[migration.Task] = migration.From
	}
}

// checkBudgets checks how many migrations are in flight: in all, by team and by machine.
func (r *randomRun) checkBudgets(t *rapid.T, inFlight []Migration) {
	t.Helper()
	limit := r.rebalancer.maxMigrations(r.schedulable())
	teamLimit := max(1, int(float64(limit)*r.rebalancer.params.TeamShare))
	if len(inFlight) > limit {
		t.Fatalf("%d migrations in flight in a fleet of %d", len(inFlight), r.schedulable())
	}
	byTeam, involved := map[string]int{}, map[string]bool{}
	for _, migration := range inFlight {
		byTeam[migration.Team]++
		if involved[migration.From] || involved[migration.To] {
			t.Fatalf("two migrations involve %s or %s", migration.From, migration.To)
		}
		involved[migration.From], involved[migration.To] = true, true
		if byTeam[migration.Team] > teamLimit {
			t.Fatalf("%d migrations of one team", byTeam[migration.Team])
		}
	}
}

// advance lets a migration come to its next stage, or not.
func (r *randomRun) advance(t *rapid.T, migration Migration) {
	t.Helper()
	switch migration.Stage {
	case Stopping:
		if rapid.Bool().Draw(t, "stopped") {
			r.stopped[migration.Task] = r.stopTask(r.machine(migration.From), migration.Task)
			r.rebalancer.AttemptTerminated(later, migration.Task)
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
		t.Fatalf("%+v is in flight though its task runs", migration)
	}
}

// Budgets are kept, no task is migrated that must not be, nothing is migrated back and forth, and the migrations come
// to an end.
func TestMigrationsComeToAnEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		run := drawRun(t)
		quiet := 0 // rounds in a row without a migration in flight
		for round := 0; quiet < 3; round++ {
			if round > 40*(run.tasks+2) {
				t.Fatalf("%d migrations of %d tasks and no end", run.migrations, run.tasks)
			}
			run.now += 2 * second
			run.plan(t)
			inFlight := run.rebalancer.InFlight()
			run.checkBudgets(t, inFlight)
			quiet++
			for _, migration := range inFlight {
				quiet = 0
				run.advance(t, migration)
			}
		}
		// Of machines of one size none loses and gains in turns: each migration lowers the imbalance.
		if limit := 4 * run.tasks; run.sameSize && run.migrations > limit {
			t.Fatalf("%d migrations of %d tasks", run.migrations, run.tasks)
		}
	})
}
