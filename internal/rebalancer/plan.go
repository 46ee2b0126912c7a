package rebalancer

import (
	"slices"

	"swiftledge/internal/clock"
	"swiftledge/internal/load"
)

const (
	// minMigrations is the number of migrations that may be in flight even in the smallest fleet.
	minMigrations = 2
	// minRemainingPerCost is the minimum ratio of a task's remaining run time to the cost of its migration.
	minRemainingPerCost = 2
	// maxTargets is the maximum number of target machines that are evaluated for a task, the least loaded first.
	maxTargets = 16
)

// planner is the state of one planning run.
type planner struct {
	*Rebalancer
	now             clock.Micros
	view            View
	mean            float64
	schedulable     []*Machine      // the highest load first
	targets         []*Machine      // the lowest load first
	involved        map[string]bool // machines of migrations in flight
	remainingBudget int             // migrations that may still be started
	inFlightByTeam  map[string]int  // migrations in flight, by team
	teamBudget      int             // maximum migrations in flight of one team
}

// Plan decides which tasks to migrate now, and records these migrations as in flight.
func (r *Rebalancer) Plan(now clock.Micros, view View) []Migration {
	r.refusals = nil
	if reason := r.reasonAgainstAll(now, &view); reason != noReason {
		r.refuse("", reason, TaskID{})
		return nil
	}
	p := r.newPlanner(now, view)
	var migrations []Migration
	for _, machine := range p.overloaded() {
		if p.remainingBudget <= 0 {
			r.refuse(machine.Name, MigrationBudgetSpent, TaskID{})
			break
		}
		migration, ok := p.bestMigrationFrom(machine)
		if !ok {
			continue
		}
		r.recordStart(migration)
		p.deductFromBudgets(&migration)
		migrations = append(migrations, migration)
	}
	return migrations
}

// reasonAgainstAll returns the reason why no task is migrated now, or noReason.
func (r *Rebalancer) reasonAgainstAll(now clock.Micros, view *View) Reason {
	switch {
	case now-r.termStartedAt < r.params.LeaderCooldown:
		return LeaderChanged
	case view.Stale:
		return StaleView
	case view.WorkWaiting:
		return WorkWaiting
	}
	return noReason
}

func (r *Rebalancer) newPlanner(now clock.Micros, view View) *planner {
	p := &planner{Rebalancer: r, now: now, view: view, involved: map[string]bool{}, inFlightByTeam: map[string]int{}}
	var mean load.Mean
	for _, machine := range view.Machines {
		switch {
		case !load.Plausible(machine.Used, machine.Capacity):
			r.refuse(machine.Name, InvalidResources, TaskID{})
		case !machine.Used.Fits(machine.Capacity):
			r.refuse(machine.Name, Overcommitted, TaskID{})
		case machine.Schedulable:
			mean.Add(machine.Load())
			p.schedulable = append(p.schedulable, machine)
		}
	}
	p.mean = mean.Value()
	slices.SortFunc(p.schedulable, (*Machine).compareLoadDescending)
	for _, machine := range p.schedulable {
		if !machine.OfferPending {
			p.targets = append(p.targets, machine)
		}
	}
	slices.SortFunc(p.targets, (*Machine).compareLoad)
	for _, migration := range r.InFlight() {
		p.involved[migration.From], p.involved[migration.To] = true, true
		p.involved[migration.Assigned] = true
		p.inFlightByTeam[migration.Team]++
	}
	limit := r.maxMigrations(len(p.schedulable))
	p.remainingBudget = limit - len(r.migrations)
	p.teamBudget = r.maxTeamMigrations(limit)
	return p
}

// maxMigrations returns the maximum number of migrations in flight in a fleet with the given number of machines.
func (r *Rebalancer) maxMigrations(machines int) int {
	if r.params.MigrationBudget <= 0 {
		return 0
	}
	return max(minMigrations, int(float64(machines)*r.params.MigrationBudget))
}

// maxTeamMigrations returns the maximum number of migrations in flight of one team.
func (r *Rebalancer) maxTeamMigrations(limit int) int {
	return max(1, int(float64(limit)*r.params.TeamShare))
}

// deductFromBudgets deducts a new migration from the budgets, and marks its machines as involved.
func (p *planner) deductFromBudgets(migration *Migration) {
	p.involved[migration.From], p.involved[migration.To] = true, true
	p.inFlightByTeam[migration.Team]++
	p.remainingBudget--
}

// overloaded returns the machines that tasks should be migrated off, the highest load first.
func (p *planner) overloaded() []*Machine {
	end := slices.IndexFunc(p.schedulable, func(machine *Machine) bool {
		return machine.Load() <= p.params.MigrateAbove*p.mean || machine.Load() <= p.params.MinLoad
	})
	if end < 0 {
		end = len(p.schedulable)
	}
	return p.schedulable[:end]
}

// bestMigrationFrom returns the migration off a machine with the highest benefit, if there is any.
func (p *planner) bestMigrationFrom(machine *Machine) (best Migration, found bool) {
	switch {
	case machine.OfferPending:
		p.refuse(machine.Name, OfferPending, TaskID{})
		return Migration{}, false
	case p.involved[machine.Name]:
		p.refuse(machine.Name, MachineMigrating, TaskID{})
		return Migration{}, false
	}
	tasks := p.view.Tasks(machine)
	if len(tasks) < 2 {
		p.refuse(machine.Name, OnlyTask, TaskID{})
		return Migration{}, false
	}
	for i := range tasks {
		task := &tasks[i]
		if reason := p.reasonAgainstTask(task); reason != noReason {
			p.refuse(machine.Name, reason, task.ID)
			continue
		}
		migration, reason := p.bestMigrationOf(task, machine)
		if reason != noReason {
			p.refuse(machine.Name, reason, task.ID)
			continue
		}
		if !found || migration.compareBenefit(&best) < 0 {
			best, found = migration, true
		}
	}
	return best, found
}

// reasonAgainstTask returns the reason why a task is not migrated to any target, or noReason.
func (p *planner) reasonAgainstTask(task *Task) Reason {
	migratedAt, migrated := p.migratedAt[task.ID]
	switch {
	case task.Stopping:
		return AlreadyStopping
	case task.Service:
		return ServiceReplica
	case task.PlacementBound:
		return PlacementBound
	case !task.Checkpoints:
		return NoCheckpoints
	case task.RunningSince == 0 || p.now-task.RunningSince < p.params.MinRuntime:
		return RecentlyStarted
	case task.RemainingS < p.params.MinRuntime.Seconds():
		return AlmostDone
	case migrated && p.now-migratedAt < p.params.TaskCooldown:
		return RecentlyMigrated
	case task.TeamAtLimit:
		return TeamAtLimit
	case p.inFlightByTeam[task.Team] >= p.teamBudget:
		return TeamBudgetSpent
	}
	return noReason
}

// bestMigrationOf returns the migration of a task with the highest benefit among the migrations to the least loaded
// machines, or the reason why there is no such migration.
func (p *planner) bestMigrationOf(task *Task, from *Machine) (best Migration, reason Reason) {
	reason = NoTarget
	evaluated := 0
	for _, to := range p.targets {
		if to.Load() > p.params.Bound.MaxRelativeLoad*p.mean {
			break // the remaining targets have a higher load
		}
		if to == from || !p.isTarget(task, to) {
			continue
		}
		migration := p.evaluate(task, from, to)
		switch {
		case !isWorthwhile(task, &migration):
			if reason == NoTarget {
				reason = NotWorthwhile
			}
		case reason != noReason || migration.compareBenefit(&best) < 0:
			best, reason = migration, noReason
		}
		if evaluated++; evaluated == maxTargets {
			break
		}
	}
	return best, reason
}

// isTarget reports whether a task could be placed on a machine within the bound.
func (p *planner) isTarget(task *Task, to *Machine) bool {
	if p.involved[to.Name] || !task.Allows(to) || !task.Request.Fits(to.Capacity.Minus(to.Used)) {
		return false
	}
	candidate := load.Candidate{Load: loadWith(task, to), TaskLoad: task.Request.DominantShare(to.Capacity)}
	return p.params.Bound.Allows(candidate, p.mean)
}

// loadWith returns the load of a machine with an additional task.
func loadWith(task *Task, machine *Machine) float64 {
	return machine.Used.Plus(task.Request).DominantShare(machine.Capacity)
}

// evaluate returns a migration with its gain and its cost, both in seconds of image fetch. The gain is the value of the
// reduced imbalance. The cost is the time to save a checkpoint and to fetch the image.
func (p *planner) evaluate(task *Task, from, to *Machine) Migration {
	cost := task.CheckpointS
	if !slices.Contains(to.Images, task.Image) {
		cost += p.view.FetchRates.FetchSeconds(to.Type, task.ImageGB)
	}
	gain := (from.Load() - loadWith(task, to)) / p.mean * p.params.Bound.ImbalanceCostS
	return Migration{
		Task: task.ID, Team: task.Team, From: from.Name, To: to.Name, StartedAt: p.now, GainS: gain, CostS: cost,
	}
}

// isWorthwhile reports whether a migration gains more than it costs, and the task has enough remaining run time.
func isWorthwhile(task *Task, migration *Migration) bool {
	return migration.GainS > migration.CostS && task.RemainingS >= minRemainingPerCost*migration.CostS
}
