package rebalancer

import "testing"

func isMigrating(r *Rebalancer, task TaskID) bool { return r.migrations[task] != nil }

// A migration is in flight until its task runs. Until then no other migration involves its machines. The task has a
// preferred machine only once its old attempt is gone.
func TestMigrationStages(t *testing.T) {
	r, c := New(testParams(), 0), imbalancedCluster()
	migration := r.Plan(afterLeaderCooldown, c.view)[0]
	task := migration.Task
	if r.PreferredMachine(task) != "" {
		t.Error("the task had a preferred machine before its old attempt was gone")
	}
	if more := r.Plan(afterLeaderCooldown+second, c.view); len(more) != 0 || r.Refusals()[0].Reason != MachineMigrating {
		t.Errorf("planned %+v with refusals %+v during a migration, want only a refusal off its machine", more, r.Refusals())
	}
	if _, ended := r.TaskRunning(task, "m3"); ended {
		t.Error("the migration ended before the task's old attempt was gone")
	}
	r.AttemptTerminated(afterLeaderCooldown, task)
	if r.PreferredMachine(task) != migration.To {
		t.Errorf("preferred machine %q, want %q", r.PreferredMachine(task), migration.To)
	}
	r.TaskAssigned(task, "m2")
	_, ended := r.TaskRunning(task, "m2")
	if !ended || r.Outcomes() != (Outcomes{Started: 1, Diverted: 1}) || isMigrating(r, task) {
		t.Errorf("outcomes are %+v, want 1 started and 1 diverted, and no migration of the task", r.Outcomes())
	}
	c.startTask(c.machine("m2"), c.stopTask(c.machine("m0"), task))
	for _, next := range r.Plan(afterLeaderCooldown+2*second, c.view) {
		if next.Task == task {
			t.Error("the task was migrated again within the cooldown")
		}
	}
}

// A migration ends when its job ends, and when it times out.
func TestCancelledAndTimedOutMigrations(t *testing.T) {
	r, c := New(testParams(), 0), imbalancedCluster()
	task := r.Plan(afterLeaderCooldown, c.view)[0].Task
	r.JobEnded("j-000002")
	if !isMigrating(r, task) {
		t.Error("the end of another job ended the migration")
	}
	r.JobEnded(task.Job)
	if isMigrating(r, task) || r.Outcomes().Cancelled != 1 || len(r.migratedAt) != 0 {
		t.Errorf("outcomes %+v and %d migration times after the job ended, want 1 cancelled and 0", r.Outcomes(), len(r.migratedAt))
	}
	r, c = New(testParams(), 0), imbalancedCluster()
	task = r.Plan(afterLeaderCooldown, c.view)[0].Task
	if timedOut := r.Expire(afterLeaderCooldown + 90*second); len(timedOut) != 0 {
		t.Error("the migration timed out too early")
	}
	timedOut := r.Expire(afterLeaderCooldown + 90*second + 1)
	if len(timedOut) != 1 || isMigrating(r, task) || r.Outcomes().TimedOut != 1 {
		t.Errorf("migrations %+v timed out with outcomes %+v, want one that timed out and ended", timedOut, r.Outcomes())
	}
}
