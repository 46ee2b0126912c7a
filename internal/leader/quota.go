package leader

import "swiftledge/wire"

// quotaUsage owns what the teams' tasks take.
type quotaUsage struct {
	byTeam map[string]*resourceUsage
}

// resourceUsage is what the tasks of a team take.
type resourceUsage struct{ cpus, gpus float64 }

// takes reports whether one more task of s keeps the usage within what is given.
func (u *resourceUsage) takes(s *wire.Job, cpus, gpus float64) bool {
	return u.cpus+s.CPUs <= cpus+1e-9 && u.gpus+s.GPUs <= gpus+1e-9
}

// of returns the usage of a team.
func (q *quotaUsage) of(team string) *resourceUsage {
	u := q.byTeam[team]
	if u == nil {
		u = &resourceUsage{}
		q.byTeam[team] = u
	}
	return u
}

// charge counts a task for its team; with the sign -1 it takes the task back.
func (q *quotaUsage) charge(h *grantedTask, sign float64) {
	u := q.of(h.team)
	u.cpus += sign * h.cpus
	u.gpus += sign * h.gpus
}
