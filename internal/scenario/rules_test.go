package scenario

import (
	"fmt"
	"slices"

	"swiftledge/internal/clock"
	"swiftledge/internal/fake"
)

// rules holds the violations of the users' rules and the state that the checks need.
type rules struct {
	violations    []string
	malformedTxns int      // number of transactions that the state service rejected as malformed
	history       *history // events on the machines and the stored state

	activeTasks  map[string][]activeTask // by team: the tasks of the team that were active at the last start of one of them
	completions  map[string]int          // by task: number of completions
	firstStartAt map[string]clock.Micros // by job: when its first task started
	lastStartAt  map[string]clock.Micros // by job: when one of its tasks last started
	lateLaunch   map[string]clock.Micros // by job: how long after the confirmed cancellation an agent last executed a run command
	waitingSince map[string]clock.Micros // by job: since when it waits although there is free capacity for it
}

func newRules(w *world) rules {
	return rules{
		history:      newHistory(w),
		activeTasks:  map[string][]activeTask{},
		completions:  map[string]int{},
		firstStartAt: map[string]clock.Micros{},
		lastStartAt:  map[string]clock.Micros{},
		lateLaunch:   map[string]clock.Micros{},
		waitingSince: map[string]clock.Micros{},
	}
}

// roundingError is the tolerance for sums of CPUs.
const roundingError = 1e-9

// activeTask is a task that is active on a machine.
type activeTask struct {
	agent *simAgent
	task  *fake.Task
}

// reportViolation records the violation of a rule. A text that was recorded before is not recorded again.
func (w *world) reportViolation(format string, args ...any) {
	violation := fmt.Sprintf(format, args...)
	if !slices.Contains(w.rules.violations, violation) {
		w.rules.violations = append(w.rules.violations, violation)
	}
}

// checkStart checks the rules that the start of a task can violate.
func (w *world) checkStart(agent *simAgent, t *fake.Task) {
	ref := t.Job.Ref
	w.rules.history.checkStart(agent.Name, t)
	w.rules.lastStartAt[ref] = w.now
	if _, ok := w.rules.firstStartAt[ref]; !ok {
		w.rules.firstStartAt[ref] = w.now
	}
	if cancelledAt, ok := w.users.cancelledAt[ref]; ok && w.now-cancelledAt > w.cancelTime() {
		w.reportViolation("ran_cancelled: task %s started on %s later than cancel_s after its job was cancelled", t.Task, agent.Name)
	}
	if !agent.allowsJob(&t.Job) {
		w.reportViolation("wrong_place: task %s started on %s, which the constraints of its job do not allow", t.Task, agent.Name)
	}
	active := append(w.rules.activeTasks[t.Job.Team], activeTask{agent, t})
	active = slices.DeleteFunc(active, func(a activeTask) bool {
		return a.agent.terminated || !a.task.IsActive() || a.agent.leaseExpired(w.now)
	})
	w.rules.activeTasks[t.Job.Team] = active
	for _, other := range active {
		if other.task.Task == t.Task && other.task != t {
			w.reportViolation("ran_twice: task %s was active on %s and on %s at the same time", t.Task, other.agent.Name, agent.Name)
		}
	}
	w.checkQuota(t, active)
	w.checkZones(t, active)
}

// checkQuota checks that a team's tasks stay within its limit.
func (w *world) checkQuota(t *fake.Task, active []activeTask) {
	cpus := 0.0
	for _, a := range active {
		cpus += a.task.Job.CPUs
	}
	if team, _ := w.cfg.Team(t.Job.Team); cpus > team.CPULimit()+roundingError {
		w.reportViolation("quota: the active tasks of team %s used %.0f CPUs, more than the team's limit", t.Job.Team, cpus)
	}
}

// checkZones checks that the zones of a job's tasks meet its constraints: one zone, or at most half the tasks in each.
func (w *world) checkZones(t *fake.Task, active []activeTask) {
	tasksByZone := map[string]int{}
	for _, a := range active {
		if a.task.Job.Ref == t.Job.Ref {
			tasksByZone[a.agent.Zone]++
		}
	}
	if t.Job.OneZone && len(tasksByZone) > 1 {
		w.reportViolation("wrong_place: the tasks of job %s were active in several zones, want one zone", t.Job.Ref)
	}
	for zone, tasks := range tasksByZone {
		if t.Job.Spread && tasks > (t.Job.Tasks+1)/2 {
			w.reportViolation("wrong_place: job %s had %d active tasks in zone %s, want at most half of its tasks", t.Job.Ref, tasks, zone)
		}
	}
}

// cancelTime returns how long after its cancellation a job's tasks may still run.
func (w *world) cancelTime() clock.Micros { return clock.FromSeconds(w.cfg.Facts.Workers.CancelS) }

// checkCancelledJobs checks that no task runs longer than cancelTime after the user got the response that its job is
// cancelled.
func (w *world) checkCancelledJobs() {
	for _, ref := range sortedKeys(w.users.cancelledAt) {
		if w.now-w.users.cancelledAt[ref] <= w.cancelTime() {
			continue
		}
		for _, s := range w.machines.agents {
			for _, t := range s.Tasks {
				if t.Job.Ref == ref && t.IsActive() && !s.terminated {
					w.reportViolation("ran_cancelled: task %s was active on %s later than cancel_s after its job was cancelled", t.Task, s.Name)
				}
			}
		}
	}
}
