// Package fairshare decides whose tasks are dispatched next. It owns what the teams' tasks take of the cluster,
// compares that with the teams' quotas, and orders the jobs that wait: the teams by their guarantees, the jobs of a
// team by lateness, priority and slack, with a least share for what would always come last. It knows no machines and
// does no I/O; the leader asks it for the next turn and tells it how many tasks were dispatched.
package fairshare

import (
	"iter"
	"maps"

	"swiftledge/internal/config"
	"swiftledge/wire"
)

// tolerance is by how much sums of fractions of processors may be off.
const tolerance = 1e-9

// ResourceUsage is what tasks take.
type ResourceUsage struct{ CPUs, GPUs float64 }

// Plus returns the sum of two usages.
func (u ResourceUsage) Plus(v ResourceUsage) ResourceUsage {
	return ResourceUsage{u.CPUs + v.CPUs, u.GPUs + v.GPUs}
}

// Minus returns the usage without v.
func (u ResourceUsage) Minus(v ResourceUsage) ResourceUsage {
	return ResourceUsage{u.CPUs - v.CPUs, u.GPUs - v.GPUs}
}

// FitsLimit reports whether one more task of the job keeps the usage within the team's limit.
func (u ResourceUsage) FitsLimit(job *wire.Job, team config.Team) bool {
	return u.fits(job, team.CPULimit(), team.GPULimit())
}

// FitsGuarantee reports whether one more task of the job keeps the usage within what the team is guaranteed.
func (u ResourceUsage) FitsGuarantee(job *wire.Job, team config.Team) bool {
	return u.fits(job, team.CPUs, team.GPUs)
}

func (u ResourceUsage) fits(job *wire.Job, cpus, gpus float64) bool {
	return u.CPUs+job.CPUs <= cpus+tolerance && u.GPUs+job.GPUs <= gpus+tolerance
}

// Usage is what each team's tasks take.
type Usage struct {
	byTeam map[string]ResourceUsage
}

// NewUsage returns the usage of teams that run nothing.
func NewUsage() *Usage { return &Usage{byTeam: map[string]ResourceUsage{}} }

// Of returns the usage of a team.
func (u *Usage) Of(team string) ResourceUsage { return u.byTeam[team] }

// All returns the usage of all teams that a task was ever charged for, in no order.
func (u *Usage) All() iter.Seq2[string, ResourceUsage] { return maps.All(u.byTeam) }

// Charge counts a task for its team.
func (u *Usage) Charge(team string, task ResourceUsage) { u.byTeam[team] = u.byTeam[team].Plus(task) }

// Release takes back what Charge counted.
func (u *Usage) Release(team string, task ResourceUsage) { u.byTeam[team] = u.byTeam[team].Minus(task) }
