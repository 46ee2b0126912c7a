package rebalancer

import "testing"

func isMigrating(r *Rebalancer, task TaskID) bool { return r.migrations[task] != nil }

// A migration goes on until its task runs. Until then no other involves its machines, and the task has a preferred
// machine only once the old attempt is gone.
func TestMigrationStages(t *testing.T) {
	r, c := New(testParams(), 0), unevenCluster()
	migration := r.Plan(later, c.view)[0]
	task := migration.Task
	if r.PreferredMachine(task) != "" {
		t.Error("the task has a preferred machine before its old attempt is gone")
	}
	if more := r.Plan(later+second, c.view); len(more) != 0 || r.Refusals()[0].Reason != MachineMigrating {
		t.Errorf("migrations %+v, refusals %+v while one is in flight", more, r.Refusals())
	}
	if _, ended := r.TaskRunning(task, "m3"); ended {
		t.Error("ended though its old attempt is not gone")
	}
	r.AttemptTerminated(later, task)
	if r.PreferredMachine(task) != migration.To {
		t.Errorf("prefers %q, want %q", r.PreferredMachine(task), migration.To)
	}
	r.TaskAssigned(task, "m2")
	_, ended := r.TaskRunning(task, "m2")
	if !ended || r.Outcomes() != (Outcomes{Started: 1, Diverted: 1}) || isMigrating(r, task) {
		t.Errorf("outcomes %+v", r.Outcomes())
	}
	c.startTask(c.machine("m2"), c.stopTask(c.machine("m0"), task))
	for _, next := range r.Plan(later+2*second, c.view) {
		if next.Task == task {
			t.Error("the task is migrated again at once")
		}
	}
}

// The end of its job ends a migration, and so does its timeout.
func TestMigrationsThatDoNotArrive(t *testing.T) {
	r, c := New(testParams(), 0), unevenCluster()
	task := r.Plan(later, c.view)[0].Task
	r.JobEnded("j-000002")
	if !isMigrating(r, task) {
		t.Error("another job's end ended the migration")
	}
	r.JobEnded(task.Job)
	if isMigrating(r, task) || r.Outcomes().Cancelled != 1 || len(r.migratedAt) != 0 {
		t.Errorf("outcomes %+v, %d tasks remembered after their job ended", r.Outcomes(), len(r.migratedAt))
	}
	r, c = New(testParams(), 0), unevenCluster()
	task = r.Plan(later, c.view)[0].Task
	if timedOut := r.Expire(later + 90*second); len(timedOut) != 0 {
		t.Error("timed out too soon")
	}
	timedOut := r.Expire(later + 90*second + 1)
	if len(timedOut) != 1 || isMigrating(r, task) || r.Outcomes().TimedOut != 1 {
		t.Errorf("timed out: %+v, outcomes %+v", timedOut, r.Outcomes())
	}
}
