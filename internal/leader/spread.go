package leader

import (
	"maps"
	"slices"

	"swiftledge/internal/clock"
	"swiftledge/internal/config"
	"swiftledge/internal/leader/jobs"
	"swiftledge/internal/peer"
	"swiftledge/internal/rebalancer"
	"swiftledge/internal/shard"
	"swiftledge/wire"
)

// moved is why a task was told to stop that is to run on another machine.
const moved = "moved"

// rebalancing is the leader's part in keeping work even: it bounds the room that is offered, and has
// running tasks moved. It is soft state; nil while spreading is off.
type rebalancing struct {
	*rebalancer.Balancer
	bound   rebalancer.Bound
	fetches *rebalancer.FetchRates
	every   clock.Micros
	looked  clock.Micros
	// machines whose figures cannot be true and that were logged
	impossible map[string]bool
}

func newRebalancing(s config.Spread, now clock.Micros) *rebalancing {
	if !s.Enabled {
		return nil
	}
	bound := rebalancer.Bound{Relative: s.Bound, ImbalanceS: s.ImbalanceS}
	p := rebalancer.Params{
		Bound: bound, MoveAbove: s.MigrateAbove, LeastLoad: s.MinLoad, MigrationBudget: s.MigrationShare, TeamPart: s.TeamShare,
		LeastRun: clock.FromSeconds(s.MinRunS), Pause: clock.FromSeconds(s.TaskCooldownS),
		Calm: clock.FromSeconds(s.LeaderCooldownS), GiveUp: clock.FromSeconds(s.TimeoutS),
	}
	return &rebalancing{Balancer: rebalancer.New(p, now), bound: bound, fetches: rebalancer.NewFetchRates(),
		every: clock.FromSeconds(s.IntervalS), impossible: map[string]bool{}}
}

func taskID(t peer.Task) rebalancer.TaskID { return rebalancer.TaskID{Job: t.Job, Index: t.Index} }

func takes(s *wire.Job) rebalancer.Resources {
	return rebalancer.Resources{CPUs: s.CPUs, GPUs: s.GPUs, Memory: s.MemoryGB}
}

func (m *machine) capacity() rebalancer.Resources {
	t := &m.option.Type
	return rebalancer.Resources{CPUs: t.CPUs, GPUs: t.GPUs, Memory: t.MemoryGB}
}

// used is what the holder says is taken of the machine, by what is ordered and runs.
func (m *machine) used() rebalancer.Resources {
	return m.capacity().Minus(rebalancer.Resources{CPUs: m.state.CPUs, GPUs: m.state.GPUs, Memory: m.state.MemoryGB})
}

// takesWork says whether new tasks are to go to the machine: it serves, and fleet upkeep does not empty
// it. Spreading neither counts nor fills a machine that upkeep wants empty, so the two do not work
// against each other.
func (m *machine) takesWork() bool { return m.serves() && m.reserve() == 0 }

// evenness bounds the room of one round of offers by the load of machines.
type evenness struct {
	bound   rebalancer.Bound
	fetches *rebalancer.FetchRates
	mean    rebalancer.Mean
}

// evenness of the machines that take work, as a round of offers begins; nil while spreading is off.
func (l *Leader) evenness() *evenness {
	if l.rebalancing == nil {
		return nil
	}
	e := &evenness{bound: l.rebalancing.bound, fetches: l.rebalancing.fetches}
	for _, m := range l.inventory.machines {
		if m.takesWork() {
			e.mean.Add(m.load())
		}
	}
	return e
}

// offered is what is taken of the machine with what was offered in this round.
func (m *machine) offered() rebalancer.Resources {
	return m.capacity().Minus(rebalancer.Resources{CPUs: m.freeCPUs, GPUs: m.freeGPUs, Memory: m.freeMemory})
}

// loadWith is the machine's load with what was offered in this round and one more task.
func (m *machine) loadWith(s *wire.Job) float64 {
	return m.offered().Plus(takes(s)).DominantShare(m.capacity())
}

// within says whether one more task keeps the machine within the bound. One that upkeep wants empty never
// is: it is for what finds no room elsewhere, not for what is to be spread.
func (e *evenness) within(m *machine, s *wire.Job) bool {
	if e == nil {
		return true
	}
	if m.reserve() > 0 {
		return false
	}
	c := rebalancer.Candidate{Load: m.loadWith(s), Alone: takes(s).DominantShare(m.capacity())}
	if slices.Contains(m.state.Images, s.Image) {
		c.SavedS = e.fetches.Seconds(m.option.Type.Name, s.ImageGB)
	}
	return e.bound.Allows(c, e.mean.Value())
}

// take takes a task's room off the machine, for the rest of the round.
func (e *evenness) take(m *machine, s *wire.Job) {
	before := m.offered()
	m.freeCPUs -= s.CPUs
	m.freeGPUs -= s.GPUs
	m.freeMemory -= s.MemoryGB
	if e != nil && m.reserve() == 0 {
		e.mean.Change(before.DominantShare(m.capacity()), m.offered().DominantShare(m.capacity()))
	}
}

// tell adds to offers the mean load that they lead to, which a holder of a few machines cannot know.
func (e *evenness) tell(offers []peer.TaskOffer) {
	if e == nil {
		return
	}
	for i := range offers {
		offers[i].Job.FleetLoad = e.mean.Value()
	}
}

// preferred gives the machine that the next task of a job is to move to, if it has room within the bound.
func (l *Leader) preferred(j *jobs.Job, room *freeRoom) *machine {
	if l.rebalancing == nil {
		return nil
	}
	m := l.inventory.machines[l.rebalancing.Preferred(rebalancer.TaskID{Job: j.Spec.Ref, Index: j.FirstWaiting()})]
	s := &j.Spec
	if m == nil || !room.has(m) || !m.holds(s) || !m.allowed(room.now, j) || !room.even.within(m, s) {
		return nil
	}
	return m
}

// moveTargets names the machines that tasks are on their way to: upkeep does not return them meanwhile.
func (l *Leader) moveTargets() map[string]bool {
	if l.rebalancing == nil {
		return nil
	}
	targets := map[string]bool{}
	for _, m := range l.rebalancing.InFlight() {
		targets[m.To] = true
	}
	return targets
}

// moveTasks has running tasks moved off machines that have far more than the mean.
func (l *Leader) moveTasks(now clock.Micros) {
	s := l.rebalancing
	if s == nil || now-s.looked < s.every {
		return
	}
	s.looked = now
	for _, m := range s.Expire(now) {
		l.emit(Log{Debug: true, Message: "move given up", Attributes: []any{"task", m.Task.String(), "stage", m.Stage.String()}})
		l.traceMigration(now, m, "given up")
	}
	for _, t := range l.autoscaler.catalog {
		s.fetches.Published(t.Name, t.FetchGBPS)
	}
	for _, m := range s.Plan(now, l.balanceView(now)) {
		l.moveTask(now, m)
	}
	l.logImpossible()
}

// moveTask tells a task to stop with time to save. It waits like any other once its attempt is proven
// gone.
func (l *Leader) moveTask(now clock.Micros, m rebalancer.Migration) {
	t := peer.Task{Job: m.Task.Job, Index: m.Task.Index}
	b := l.inventory.machines[m.From].shard
	h := b.tasks[t]
	h.stopped, h.stoppedAt = moved, now
	b.orders.Stop = append(b.orders.Stop, peer.StopTask{Task: t, Checkpoint: true})
	l.emit(Log{Debug: true, Message: "moving task", Attributes: []any{"task", shard.TaskName(t), "from", m.From, "to", m.To, "gain_s", m.GainS, "cost_s", m.CostS}})
}

// logImpossible tells once of each machine whose figures cannot be true.
func (l *Leader) logImpossible() {
	for _, r := range l.rebalancing.Refusals() {
		if r.Reason == rebalancer.ImpossibleFigures && !l.rebalancing.impossible[r.Machine] {
			l.rebalancing.impossible[r.Machine] = true
			m := l.inventory.machines[r.Machine]
			l.info("machine gets no moves", "machine", r.Machine, "why", r.Reason, "type", m.state.Type, "rented", m.option.Type.Name,
				"cpus_free", m.state.CPUs, "ram_gb_free", m.state.MemoryGB)
		}
	}
}

// balanceView is what moves are decided on.
func (l *Leader) balanceView(now clock.Micros) rebalancer.View {
	v := rebalancer.View{Stale: !l.current(now), Fetch: l.rebalancing.fetches}
	atLimit := l.waitingAtLimit(now, &v)
	for _, name := range slices.Sorted(maps.Keys(l.inventory.machines)) {
		m := l.inventory.machines[name]
		if !m.up || m.state.Silent || m.state.PreemptionNotice {
			continue
		}
		bm := &rebalancer.Machine{Name: name, Type: m.option.Type.Name, Capacity: m.capacity(), Used: m.used(),
			Serving: m.takesWork(), Unsettled: m.shard.offerPending, Images: m.state.Images}
		if m.state.Type != m.option.Type.Name {
			bm.Capacity = rebalancer.Resources{} // it is not what was rented
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

// waitingAtLimit notes whether work waits that would take the room of a stopped task, and names the teams
// that have some waiting at their limit.
func (l *Leader) waitingAtLimit(now clock.Micros, v *rebalancer.View) map[string]bool {
	moving := map[string]int{}
	for _, m := range l.rebalancing.InFlight() {
		if m.Stage == rebalancer.Stopped {
			moving[m.Task.Job]++
		}
	}
	atLimit := map[string]bool{}
	for j := range l.jobs.All() {
		s := &j.Spec
		team := l.teams[s.Team]
		switch {
		case j.Waiting() <= moving[j.Spec.Ref] || j.IsCancelled() || j.Failures.Waits(now):
		case l.usage.Of(s.Team).FitsLimit(s, team):
			v.Waiting = true
		default:
			atLimit[s.Team] = true
		}
	}
	return atLimit
}

// heldTask is a task in a block's grant.
type heldTask struct {
	task peer.Task
	held *grantedTask
}

// tasksByMachine lists the tasks in grants by the machine that they are on. A holder that names a machine
// of another block is not believed.
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
			out = append(out, l.movable(now, t.task, t.held, j, atLimit[t.held.team]))
		}
	}
	slices.SortFunc(out, rebalancer.Task.Compare)
	return out
}

// movable describes a task to the planner.
func (l *Leader) movable(now clock.Micros, t peer.Task, h *grantedTask, j *jobs.Job, atLimit bool) rebalancer.Task {
	s := &j.Spec
	out := rebalancer.Task{
		ID: taskID(t), Team: s.Team, Takes: takes(s), Image: s.Image, ImageGB: s.ImageGB, SaveS: s.SaveS, Saves: s.CheckpointS > 0,
		Gang: s.OneZone || s.Spread, Standing: s.IsService(), Stopping: h.stopped != "" || j.IsCancelled(), AtLimit: atLimit,
		Allows: func(m *rebalancer.Machine) bool {
			to := l.inventory.machines[m.Name]
			_, failedThere := j.Failures.FailedOn(m.Name)
			return !failedThere && to.allowed(now, j)
		},
	}
	if h.running {
		out.Running = h.since
		out.LeftS = l.jobs.RunSeconds(j) - (now - h.since).Seconds()
	}
	return out
}

// noteStarted takes in that a task was given to a machine, and that it runs there.
func (l *Leader) noteStarted(now clock.Micros, t peer.Task, h *grantedTask) {
	h.givenAt = now
	if l.rebalancing == nil {
		return
	}
	if m, j := l.inventory.machines[h.machine], l.jobs.Get(t.Job); m != nil && j != nil {
		h.cached = slices.Contains(m.state.Images, j.Spec.Image)
	}
	l.rebalancing.Given(taskID(t), h.machine)
}

// noteRunning takes in that a task runs.
func (l *Leader) noteRunning(now clock.Micros, t peer.Task, h *grantedTask) {
	l.traceStarted(now, t, h)
	if l.rebalancing == nil {
		return
	}
	if m, j := l.inventory.machines[h.machine], l.jobs.Get(t.Job); m != nil && j != nil && h.givenAt > 0 && !h.cached {
		l.rebalancing.fetches.Saw(m.option.Type.Name, j.Spec.ImageGB, now-h.givenAt)
	}
	if m, ok := l.rebalancing.Runs(taskID(t), h.machine); ok {
		l.emit(Log{Debug: true, Message: "task moved", Attributes: []any{"task", shard.TaskName(t), "from", m.From, "to", h.machine, "meant", m.To,
			"took_s", (now - m.Since).Seconds()}})
		l.traceMigration(now, m, "done")
	}
}

// noteEnded takes in that an attempt has ended: one that was moved may start elsewhere now.
func (l *Leader) noteEnded(now clock.Micros, e peer.TaskEvent, h *grantedTask) {
	if l.rebalancing == nil {
		return
	}
	switch {
	case e.Kind == peer.EventCompleted:
		if m, ok := l.rebalancing.Ended(taskID(e.Task)); ok {
			l.traceMigration(now, m, "its task completed")
		}
	case h != nil && h.stopped == moved:
		l.rebalancing.Gone(now, taskID(e.Task))
		l.scheduling.urgent = true
	}
}

// jobOver takes in that a job is done or cancelled.
func (l *Leader) jobOver(now clock.Micros, j *jobs.Job, state wire.JobState) {
	l.traceJob(now, j, state)
	if l.rebalancing == nil {
		return
	}
	for _, m := range l.rebalancing.Forget(j.Spec.Ref) {
		l.traceMigration(now, m, "its job is "+string(state))
	}
}
