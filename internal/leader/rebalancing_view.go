package leader

import (
	"maps"
	"slices"

	"swiftledge/internal/clock"
	"swiftledge/internal/leader/jobs"
	"swiftledge/internal/load"
	"swiftledge/internal/peer"
	"swiftledge/internal/rebalancer"
)

// rebalancingView returns the view of machines and tasks on which migrations are decided.
func (l *Leader) rebalancingView(now clock.Micros) rebalancer.View {
	view := rebalancer.View{Stale: !l.viewIsFresh(now), FetchRates: l.rebalancing.fetches}
	atLimit := l.teamsWaitingAtLimit(now, &view)
	for _, name := range slices.Sorted(maps.Keys(l.inventory.machines)) {
		m := l.inventory.machines[name]
		if !m.up || m.state.Silent || m.state.PreemptionNotice {
			continue
		}
		entry := &rebalancer.Machine{Name: name, Type: m.option.Type.Name, Capacity: m.capacity(), Used: m.used(),
			Schedulable: m.acceptsNewTasks(), OfferPending: m.shard.offerPending, Images: m.state.Images}
		if m.state.Type != m.option.Type.Name {
			entry.Capacity = load.Resources{} // the machine is not of the type that was provisioned
		}
		view.Machines = append(view.Machines, entry)
	}
	var byMachine map[string][]placedTask
	view.Tasks = func(m *rebalancer.Machine) []rebalancer.Task {
		if byMachine == nil {
			byMachine = l.tasksByMachine()
		}
		return l.rebalancerTasks(now, byMachine[m.Name], atLimit)
	}
	return view
}

// teamsWaitingAtLimit returns the teams that have waiting tasks and are at their limit. It also sets WorkWaiting in the
// view if a job waits whose team is not at its limit, as that job would take the capacity that a stopped task frees.
func (l *Leader) teamsWaitingAtLimit(now clock.Micros, view *rebalancer.View) map[string]bool {
	migrating := map[string]int{}
	for _, m := range l.rebalancing.InFlight() {
		if m.Stage == rebalancer.Terminated {
			migrating[m.Task.Job]++
		}
	}
	atLimit := map[string]bool{}
	for job := range l.jobs.All() {
		spec := &job.Spec
		team := l.teams[spec.Team]
		switch {
		case job.Waiting() <= migrating[job.Spec.Ref] || job.IsCancelled() || job.Failures.InBackoff(now):
		case l.usage.Of(spec.Team).FitsLimit(spec, team):
			view.WorkWaiting = true
		default:
			atLimit[spec.Team] = true
		}
	}
	return atLimit
}

// placedTask is a task in a shard grant, with its ID.
type placedTask struct {
	id      peer.Task
	granted *grantedTask
}

// tasksByMachine returns the tasks in shard grants by the machine that they are assigned to. It ignores tasks that a
// holder reports on a machine of another shard.
func (l *Leader) tasksByMachine() map[string][]placedTask {
	byMachine := map[string][]placedTask{}
	for _, lease := range l.shards.all {
		for t, task := range lease.tasks {
			if m := l.inventory.machines[task.machine]; m != nil && m.shard == lease {
				byMachine[task.machine] = append(byMachine[task.machine], placedTask{t, task})
			}
		}
	}
	return byMachine
}

// rebalancerTasks describes a machine's tasks to the rebalancer, in a fixed order.
func (l *Leader) rebalancerTasks(now clock.Micros, tasks []placedTask, atLimit map[string]bool) []rebalancer.Task {
	var described []rebalancer.Task
	for _, t := range tasks {
		if job := l.jobs.Get(t.id.Job); job != nil {
			described = append(described, l.rebalancerTask(now, t.id, t.granted, job, atLimit[t.granted.team]))
		}
	}
	slices.SortFunc(described, rebalancer.Task.Compare)
	return described
}

// rebalancerTask describes a task to the rebalancer.
func (l *Leader) rebalancerTask(
	now clock.Micros, t peer.Task, task *grantedTask, job *jobs.Job, atLimit bool,
) rebalancer.Task {
	spec := &job.Spec
	described := rebalancer.Task{
		ID: taskID(t), Team: spec.Team, Request: resourcesOf(spec), Image: spec.Image, ImageGB: spec.ImageGB,
		CheckpointS:    spec.SaveS,
		Checkpoints:    spec.CheckpointS > 0,
		PlacementBound: spec.OneZone || spec.Spread, Service: spec.IsService(),
		Stopping: task.stopReason != "" || job.IsCancelled(), TeamAtLimit: atLimit,
		Allows: func(m *rebalancer.Machine) bool {
			target := l.inventory.machines[m.Name]
			_, failedOnTarget := job.Failures.FailedOn(m.Name)
			return !failedOnTarget && target.allowed(now, job)
		},
	}
	if task.running {
		described.RunningSince = task.runningSince
		described.RemainingS = l.jobs.RunSeconds(job) - (now - task.runningSince).Seconds()
	}
	return described
}
