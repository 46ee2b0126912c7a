// Package rebalancer decides which running tasks are worth migrating off machines whose load is far above the mean,
// and tracks these migrations until their tasks run again.
//
// A Rebalancer belongs to one leader. It owns the migrations in flight and the time of each task's last migration. Both
// are soft state: if they are lost, only placement preferences are lost. From a View of the machines and the events of
// tasks, the Rebalancer determines the migrations to start and the reasons against others. The package performs no I/O
// and reads no clock. A Rebalancer only makes decisions: the leader stops and places the tasks by its ordinary
// commands.
package rebalancer

import (
	"maps"
	"slices"

	"swiftledge/internal/clock"
	"swiftledge/internal/load"
)

// Params are the operators' settings for migrations.
type Params struct {
	Bound           load.Bound
	MigrateAbove    float64      // tasks are migrated off machines above this multiple of the mean load
	MinLoad         float64      // no task is migrated off a machine at or below this load
	MinRuntime      clock.Micros // a task is not migrated until it has run this long, nor if less run time remains
	TaskCooldown    clock.Micros // minimum time between the starts of two migrations of a task
	LeaderCooldown  clock.Micros // no task is migrated for this long after a change of leader
	MigrationBudget float64      // maximum migrations in flight, relative to the schedulable machines
	TeamShare       float64      // maximum share of these migrations for one team; at least one migration
	Timeout         clock.Micros // a migration that has not ended after this time has failed
}

// Rebalancer plans and tracks the migrations of one leader.
type Rebalancer struct {
	params        Params
	termStartedAt clock.Micros
	migrations    map[TaskID]*Migration
	migratedAt    map[TaskID]clock.Micros // start time of each task's last migration
	refusals      []Refusal
	outcomes      Outcomes
}

// New returns the rebalancer of a leader whose term started at termStartedAt.
func New(params Params, termStartedAt clock.Micros) *Rebalancer {
	return &Rebalancer{
		params:        params,
		termStartedAt: termStartedAt,
		migrations:    map[TaskID]*Migration{},
		migratedAt:    map[TaskID]clock.Micros{},
	}
}

func (r *Rebalancer) recordStart(migration Migration) {
	r.migrations[migration.Task] = &migration
	r.migratedAt[migration.Task] = migration.StartedAt
	r.outcomes.Started++
}

// refuse counts a refused migration under its machine and reason.
func (r *Rebalancer) refuse(machine string, reason Reason, task TaskID) {
	for i := range r.refusals {
		if refusal := &r.refusals[i]; refusal.Machine == machine && refusal.Reason == reason {
			refusal.Tasks++
			return
		}
	}
	r.refusals = append(r.refusals, Refusal{Machine: machine, Reason: reason, Task: task, Tasks: 1})
}

// AttemptTerminated records that the old attempt of a task is proven to be gone, so that the task may start elsewhere.
func (r *Rebalancer) AttemptTerminated(now clock.Micros, task TaskID) {
	if migration := r.migrations[task]; migration != nil {
		migration.Stage, migration.TerminatedAt = Terminated, now
	}
}

// TaskAssigned records that a task was assigned to a machine.
func (r *Rebalancer) TaskAssigned(task TaskID, machine string) {
	if migration := r.migrations[task]; migration != nil && migration.Stage == Terminated {
		migration.Stage, migration.Assigned = Assigned, machine
	}
}

// TaskRunning records that a task runs on a machine, and returns the migration that this ends, if any.
func (r *Rebalancer) TaskRunning(task TaskID, machine string) (ended Migration, ok bool) {
	migration := r.migrations[task]
	if migration == nil || migration.Stage == Stopping {
		return Migration{}, false
	}
	delete(r.migrations, task)
	migration.Assigned = machine
	if machine == migration.To {
		r.outcomes.Arrived++
	} else {
		r.outcomes.Diverted++
	}
	return *migration, true
}

// TaskEnded records that a task will not run again, and returns the migration that this ends, if any.
func (r *Rebalancer) TaskEnded(task TaskID) (ended Migration, ok bool) {
	delete(r.migratedAt, task)
	migration := r.migrations[task]
	if migration == nil {
		return Migration{}, false
	}
	delete(r.migrations, task)
	r.outcomes.Cancelled++
	return *migration, true
}

// JobEnded records that a job has ended or was cancelled, and returns the migrations that this ends.
func (r *Rebalancer) JobEnded(job string) (ended []Migration) {
	for _, migration := range r.InFlight() {
		if migration.Task.Job == job {
			r.TaskEnded(migration.Task)
			ended = append(ended, migration)
		}
	}
	maps.DeleteFunc(r.migratedAt, func(task TaskID, _ clock.Micros) bool { return task.Job == job })
	return ended
}

// Expire ends the migrations that have timed out, and returns them.
func (r *Rebalancer) Expire(now clock.Micros) (timedOut []Migration) {
	for _, migration := range r.InFlight() {
		if now-migration.StartedAt > r.params.Timeout {
			delete(r.migrations, migration.Task)
			r.outcomes.TimedOut++
			timedOut = append(timedOut, migration)
		}
	}
	return timedOut
}

// PreferredMachine returns the target of a task's migration once the task may start again, or "" if there is none.
func (r *Rebalancer) PreferredMachine(task TaskID) string {
	if migration := r.migrations[task]; migration != nil && migration.Stage == Terminated {
		return migration.To
	}
	return ""
}

// InFlight returns the migrations in flight, ordered by task.
func (r *Rebalancer) InFlight() []Migration {
	migrations := make([]Migration, 0, len(r.migrations))
	for _, task := range slices.SortedFunc(maps.Keys(r.migrations), TaskID.compare) {
		migrations = append(migrations, *r.migrations[task])
	}
	return migrations
}

// Refusals returns the refused migrations of the latest plan.
func (r *Rebalancer) Refusals() []Refusal { return r.refusals }

// Outcomes returns the outcomes of migrations since the start of the leader's term.
func (r *Rebalancer) Outcomes() Outcomes { return r.outcomes }
