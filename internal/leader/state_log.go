package leader

import "swiftledge/internal/clock"

// stateLogInterval is the time between two log lines that summarise the state.
const stateLogInterval = 10 * clock.Second

// stateSummary has the figures on queues, machines and teams that logState writes to the debug log.
type stateSummary struct {
	waiting, waitingAtLimit, replicas int
	onDemand, idle, schedulable       int
	freeCPUs, heldCPUs                float64
	teamsAtLimit                      int
}

// logState logs a summary of the state.
func (l *Leader) logState() {
	var s stateSummary
	l.summariseJobs(&s)
	l.summariseMachines(&s)
	l.summariseTeams(&s)
	l.debug("state", "jobs", l.jobs.Len(), "waiting", s.waiting, "waiting_at_limit", s.waitingAtLimit,
		"teams_at_limit", s.teamsAtLimit, "cpus_held", s.heldCPUs, "cpus_free", s.freeCPUs,
		"machines", len(l.inventory.machines), "schedulable", s.schedulable, "on_demand", s.onDemand, "idle", s.idle,
		"replicas", s.replicas, "failed", l.outcomes.failed, "failed_suspect", l.outcomes.failedSuspect,
		"preempted", l.outcomes.preempted)
}

func (l *Leader) summariseJobs(s *stateSummary) {
	for job := range l.jobs.All() {
		s.waiting += job.Waiting()
		if job.Spec.IsService() {
			s.replicas += job.Running()
		}
		team := l.teams[job.Spec.Team]
		if !l.usage.Of(team.Name).FitsLimit(&job.Spec, team) {
			s.waitingAtLimit += job.Waiting()
		}
	}
}

func (l *Leader) summariseMachines(s *stateSummary) {
	for _, m := range l.inventory.machines {
		if !m.option.Spot {
			s.onDemand++
		}
		if m.up && m.state.Tasks == 0 {
			s.idle++
		}
		if m.state.Schedulable && !m.draining && !m.cordoned {
			s.schedulable++
			s.freeCPUs += m.state.CPUs
		}
	}
}

func (l *Leader) summariseTeams(s *stateSummary) {
	for name, usage := range l.usage.All() {
		s.heldCPUs += usage.CPUs
		if usage.CPUs > l.teams[name].CPULimit()-1 {
			s.teamsAtLimit++
		}
	}
}
