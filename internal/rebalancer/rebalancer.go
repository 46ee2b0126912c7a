// Package rebalancer decides which running tasks are worth migrating off machines whose load is far above the mean,
// and follows these migrations until their tasks run again.
//
// A Rebalancer belongs to one leader. It owns the migrations in flight and when each task was last migrated, as soft
// state: a leader that loses it loses preferences only. A View of the machines and what is seen of tasks go in; the
// migrations to begin, and the reasons against others, come out. The package performs no I/O, reads no clock and has
// no authority: the leader stops and places the tasks by its ordinary commands.
package rebalancer

import (
	"maps"
	"slices"

	"swiftledge/internal/clock"
	"swiftledge/internal/load"
)

// Params are the operators' settings of migrations.
type Params struct {
	Bound           load.Bound
	MigrateAbove    float64      // tasks leave machines above this many times the mean load
	MinLoad         float64      // but not machines at or below this load
	MinRuntime      clock.Micros // nor within this of a task's start, or when less is left of it
	Cooldown        clock.Micros // nor a task again within this
	LeaderWarmUp    clock.Micros // nor within this of a change of leader
	MigrationBudget float64      // migrations in flight, as a part of the machines that take work
	TeamShare       float64      // the part of these that one team may have
	Timeout         clock.Micros // a migration that has not ended by then has failed
}

// Rebalancer keeps the migrations of one leader.
type Rebalancer struct {
	params     Params
	startedAt  clock.Micros
	migrations map[TaskID]*Migration
	migratedAt map[TaskID]clock.Micros // when a task's last migration began
	refusals   []Refusal
	outcomes   Outcomes
}

// New returns the rebalancer of a leader whose term began at that time.
func New(params Params, startedAt clock.Micros) *Rebalancer {
	return &Rebalancer{
		params:     params,
		startedAt:  startedAt,
		migrations: map[TaskID]*Migration{},
		migratedAt: map[TaskID]clock.Micros{},
	}
}

func (r *Rebalancer) start(migration Migration) {
	r.migrations[migration.Task] = &migration
	r.migratedAt[migration.Task] = migration.StartedAt
	r.outcomes.Started++
}

// refuse records why something is not migrated, once for each machine and reason.
func (r *Rebalancer) refuse(machine string, reason Reason, task TaskID) {
	for i := range r.refusals {
		if refusal := &r.refusals[i]; refusal.Machine == machine && refusal.Reason == reason {
			refusal.Tasks++
			return
		}
	}
	r.refusals = append(r.refusals, Refusal{Machine: machine, Reason: reason, Task: task, Tasks: 1})
}

// AttemptTerminated records that a task's old attempt is proven to be gone: from now on it may start elsewhere.
func (r *Rebalancer) AttemptTerminated(now clock.Micros, task TaskID) {
	if migration := r.migrations[task]; migration != nil {
		migration.Stage, migration.TerminatedAt = Terminated, now
	}
}

// TaskAssigned records that a task was given to a machine.
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

// PreferredMachine returns the machine that a task is to migrate to, once it may start again; "" for none.
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

// Refusals returns the refusals of the latest plan.
func (r *Rebalancer) Refusals() []Refusal { return r.refusals }

// Outcomes returns how migrations have ended since the leader's term began.
func (r *Rebalancer) Outcomes() Outcomes { return r.outcomes }
