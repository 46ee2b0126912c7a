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

// rebalancingView is what moves are decided on.
func (l *Leader) rebalancingView(now clock.Micros) rebalancer.View {
	v := rebalancer.View{Stale: !l.viewIsFresh(now), FetchRates: l.rebalancing.fetches}
	atLimit := l.waitingAtLimit(now, &v)
	for _, name := range slices.Sorted(maps.Keys(l.inventory.machines)) {
		m := l.inventory.machines[name]
		if !m.up || m.state.Silent || m.state.PreemptionNotice {
			continue
		}
		bm := &rebalancer.Machine{Name: name, Type: m.option.Type.Name, Capacity: m.capacity(), Used: m.used(),
			Schedulable: m.takesWork(), OfferPending: m.shard.offerPending, Images: m.state.Images}
		if m.state.Type != m.option.Type.Name {
			bm.Capacity = load.Resources{} // it is not what was rented
		}
		v.Machines = append(v.Machines, bm)
	}
	var on map[string][]heldTask
	v.Tasks = func(m *rebalancer.Machine) []rebalancer.Task {
		if on == nil {
			on = l.tasksByMachine()
		}
		return l.movableTasks(now, on[m.Name], atLimit)
	}
	return v
}

// waitingAtLimit notes whether work waits that would take the free capacity of a stopped task, and names the teams
// that have some waiting at their limit.
func (l *Leader) waitingAtLimit(now clock.Micros, v *rebalancer.View) map[string]bool {
	moving := map[string]int{}
	for _, m := range l.rebalancing.InFlight() {
		if m.Stage == rebalancer.Terminated {
			moving[m.Task.Job]++
		}
	}
	atLimit := map[string]bool{}
	for j := range l.jobs.All() {
		s := &j.Spec
		team := l.teams[s.Team]
		switch {
		case j.Waiting() <= moving[j.Spec.Ref] || j.IsCancelled() || j.Failures.InBackoff(now):
		case l.usage.Of(s.Team).FitsLimit(s, team):
			v.WorkWaiting = true
		default:
			atLimit[s.Team] = true
		}
	}
	return atLimit
}

// heldTask is a task in a shard's grant.
type heldTask struct {
	task    peer.Task
	granted *grantedTask
}

// tasksByMachine lists the tasks in grants by the machine that they are on. A holder that names a machine
// of another shard is not believed.
func (l *Leader) tasksByMachine() map[string][]heldTask {
	on := map[string][]heldTask{}
	for _, b := range l.shards.all {
		for t, h := range b.tasks {
			if m := l.inventory.machines[h.machine]; m != nil && m.shard == b {
				on[h.machine] = append(on[h.machine], heldTask{t, h})
			}
		}
	}
	return on
}

// movableTasks describes a machine's tasks to the planner, in a fixed order.
func (l *Leader) movableTasks(now clock.Micros, on []heldTask, atLimit map[string]bool) []rebalancer.Task {
	var out []rebalancer.Task
	for _, t := range on {
		if j := l.jobs.Get(t.task.Job); j != nil {
			out = append(out, l.movable(now, t.task, t.granted, j, atLimit[t.granted.team]))
		}
	}
	slices.SortFunc(out, rebalancer.Task.Compare)
	return out
}

// movable describes a task to the planner.
func (l *Leader) movable(now clock.Micros, t peer.Task, h *grantedTask, j *jobs.Job, atLimit bool) rebalancer.Task {
	s := &j.Spec
	out := rebalancer.Task{
		ID: taskID(t), Team: s.Team, Request: resourcesOf(s), Image: s.Image, ImageGB: s.ImageGB, CheckpointS: s.SaveS,
		Checkpoints:    s.CheckpointS > 0,
		PlacementBound: s.OneZone || s.Spread, Service: s.IsService(),
		Stopping: h.stopReason != "" || j.IsCancelled(), TeamAtLimit: atLimit,
		Allows: func(m *rebalancer.Machine) bool {
			to := l.inventory.machines[m.Name]
			_, failedThere := j.Failures.FailedOn(m.Name)
			return !failedThere && to.allowed(now, j)
		},
	}
	if h.running {
		out.RunningSince = h.runningSince
		out.RemainingS = l.jobs.RunSeconds(j) - (now - h.runningSince).Seconds()
	}
	return out
}
