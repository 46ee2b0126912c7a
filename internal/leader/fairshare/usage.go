// Package fairshare decides which job's tasks are dispatched next. It owns the resource usage of the teams, compares
// the usage with the teams' quotas, and orders the waiting jobs: teams by their guarantees, the jobs of a team by
// lateness, priority and slack, with a minimum share for the jobs that would always sort last. The package knows no
// machines and does no I/O. The leader asks it for the next turn, which permits one job to have tasks dispatched, and
// reports how many tasks were dispatched in the turn.
package fairshare

import (
	"iter"
	"maps"

	"swiftledge/internal/config"
	"swiftledge/wire"
)

// tolerance is the permitted rounding error in sums of fractional resources.
const tolerance = 1e-9

// ResourceUsage is the resources that tasks use.
type ResourceUsage struct{ CPUs, GPUs float64 }

// usageOfTasks returns the resources that a number of a job's tasks use.
func usageOfTasks(job *wire.Job, tasks int) ResourceUsage {
	return ResourceUsage{CPUs: float64(tasks) * job.CPUs, GPUs: float64(tasks) * job.GPUs}
}

// Plus returns the sum of two usages.
func (u ResourceUsage) Plus(v ResourceUsage) ResourceUsage {
	return ResourceUsage{u.CPUs + v.CPUs, u.GPUs + v.GPUs}
}

// Minus returns the usage reduced by v.
func (u ResourceUsage) Minus(v ResourceUsage) ResourceUsage {
	return ResourceUsage{u.CPUs - v.CPUs, u.GPUs - v.GPUs}
}

// FitsLimit reports whether one more task of the job keeps the usage within the team's limit.
func (u ResourceUsage) FitsLimit(job *wire.Job, team config.Team) bool {
	return u.fits(job, team.CPULimit(), team.GPULimit())
}

// FitsGuarantee reports whether one more task of the job keeps the usage within the team's guarantee.
func (u ResourceUsage) FitsGuarantee(job *wire.Job, team config.Team) bool {
	return u.fits(job, team.CPUs, team.GPUs)
}

func (u ResourceUsage) fits(job *wire.Job, cpus, gpus float64) bool {
	return u.CPUs+job.CPUs <= cpus+tolerance && u.GPUs+job.GPUs <= gpus+tolerance
}

// Usage is the resource usage of each team's tasks.
type Usage struct {
	byTeam map[string]ResourceUsage
}

// NewUsage returns an empty usage.
func NewUsage() *Usage { return &Usage{byTeam: map[string]ResourceUsage{}} }

// Of returns the usage of a team.
func (u *Usage) Of(team string) ResourceUsage { return u.byTeam[team] }

// All returns the usage of every team that was ever charged, in no particular order.
func (u *Usage) All() iter.Seq2[string, ResourceUsage] { return maps.All(u.byTeam) }

// Charge adds a task to its team's usage.
func (u *Usage) Charge(team string, task ResourceUsage) { u.byTeam[team] = u.byTeam[team].Plus(task) }

// Release removes a task that Charge added.
func (u *Usage) Release(team string, task ResourceUsage) { u.byTeam[team] = u.byTeam[team].Minus(task) }
