package scenario

import (
	"fmt"
	"slices"

	"swiftledge/internal/clock"
	"swiftledge/internal/fake"
)

// rules is what the users' rules are judged by, and which of them were violated.
type rules struct {
	violations    []string
	malformedTxns int      // transactions that the state service refused for their form
	history       *history // of the state service and of attempts

	activeTasks  map[string][]activeTask // by team: what was on machines when last looked at
	completions  map[string]int          // by task
	firstStartAt map[string]clock.Micros // by job: when its first task ran
	lastStartAt  map[string]clock.Micros // by job: when a task of it last began to run
	waitingSince map[string]clock.Micros // by job: since when it waits beside free capacity for it
}

func newRules(w *world) rules {
	return rules{
		history:      newHistory(w),
		activeTasks:  map[string][]activeTask{},
		completions:  map[string]int{},
		firstStartAt: map[string]clock.Micros{},
		lastStartAt:  map[string]clock.Micros{},
		waitingSince: map[string]clock.Micros{},
	}
}

// roundingError is how far sums of processors may be off.
const roundingError = 1e-9

// activeTask is a task on a machine.
type activeTask struct {
	agent *simAgent
	task  *fake.Task
}

// reportViolation notes that a rule is violated, once for each text.
func (w *world) reportViolation(format string, args ...any) {
	violation := fmt.Sprintf(format, args...)
	if !slices.Contains(w.rules.violations, violation) {
		w.rules.violations = append(w.rules.violations, violation)
	}
}

// checkStart judges the rules that can be violated when a task begins to run.
func (w *world) checkStart(on *simAgent, t *fake.Task) {
	ref := t.Job.Ref
	w.rules.history.checkStart(on.Name, t)
	w.rules.lastStartAt[ref] = w.now
	if _, ok := w.rules.firstStartAt[ref]; !ok {
		w.rules.firstStartAt[ref] = w.now
	}
	if at, ok := w.users.cancelledAt[ref]; ok && w.now-at > w.cancelTime() {
		w.reportViolation("ran_cancelled: %s starts on %s", t.Task, on.Name)
	}
	if !on.allows(&t.Job) {
		w.reportViolation("wrong_place: %s on %s", t.Task, on.Name)
	}
	active := append(w.rules.activeTasks[t.Job.Team], activeTask{on, t})
	active = slices.DeleteFunc(active, func(a activeTask) bool {
		return a.agent.terminated || !a.task.IsActive() || a.agent.leaseExpired(w.now)
	})
	w.rules.activeTasks[t.Job.Team] = active
	for _, other := range active {
		if other.task.Task == t.Task && other.task != t {
			w.reportViolation("ran_twice: %s on %s and %s", t.Task, other.agent.Name, on.Name)
		}
	}
	w.checkQuota(t, active)
	w.checkZones(t, active)
}

// checkQuota judges whether a team's tasks stay within its limit.
func (w *world) checkQuota(t *fake.Task, active []activeTask) {
	cpus := 0.0
	for _, a := range active {
		cpus += a.task.Job.CPUs
	}
	if team, _ := w.cfg.Team(t.Job.Team); cpus > team.CPULimit()+roundingError {
		w.reportViolation("quota: %s uses %.0f cpus", t.Job.Team, cpus)
	}
}

// checkZones judges whether a job's tasks are in as many zones as it asks for.
func (w *world) checkZones(t *fake.Task, active []activeTask) {
	tasksByZone := map[string]int{}
	for _, a := range active {
		if a.task.Job.Ref == t.Job.Ref {
			tasksByZone[a.agent.Zone]++
		}
	}
	if t.Job.OneZone && len(tasksByZone) > 1 {
		w.reportViolation("wrong_place: %s is in several zones", t.Job.Ref)
	}
	for zone, tasks := range tasksByZone {
		if t.Job.Spread && tasks > (t.Job.Tasks+1)/2 {
			w.reportViolation("wrong_place: %s has %d tasks in %s", t.Job.Ref, tasks, zone)
		}
	}
}

// cancelTime is how long after its cancellation a job's tasks may run.
func (w *world) cancelTime() clock.Micros { return clock.FromSeconds(w.cfg.Facts.Workers.CancelS) }

// checkCancelledJobs judges that no task of a job runs for long after its user was told that it is cancelled.
func (w *world) checkCancelledJobs() {
	for _, ref := range sortedKeys(w.users.cancelledAt) {
		if w.now-w.users.cancelledAt[ref] <= w.cancelTime() {
			continue
		}
		for _, s := range w.machines.agents {
			for _, t := range s.Tasks {
				if t.Job.Ref == ref && t.IsActive() && !s.terminated {
					w.reportViolation("ran_cancelled: %s on %s", t.Task, s.Name)
				}
			}
		}
	}
}
