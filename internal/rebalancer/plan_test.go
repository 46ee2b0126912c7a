package rebalancer

import (
	"flag"
	"fmt"
	"math"
	"os"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"swiftledge/internal/clock"
)

// TestMain fixes what the property tests draw: the same on every run.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "300", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

const second = clock.Second

func params() Params {
	return Params{Bound: Bound{Relative: 1.5, ImbalanceS: 20}, MoveAbove: 1.75, LeastLoad: 0.1, LeastRun: 30 * second, Pause: 120 * second,
		Calm: 20 * second, MigrationBudget: 0.02, TeamPart: 0.5, GiveUp: 90 * second}
}

// cluster is a fleet whose moves are carried out as the planner advises.
type cluster struct {
	machines []*Machine
	tasks    map[string][]Task // by machine
	view     View
}

func newCluster() *cluster {
	c := &cluster{tasks: map[string][]Task{}}
	c.view = View{Fetch: NewFetchRates(), Tasks: func(m *Machine) []Task { return c.tasks[m.Name] }}
	return c
}

func (c *cluster) machine(name string, cpus float64) *Machine {
	m := &Machine{Name: name, Type: "small", Capacity: Resources{CPUs: cpus, Memory: 2 * cpus}, Serving: true}
	c.machines = append(c.machines, m)
	c.view.Machines = c.machines
	return m
}

func (c *cluster) run(m *Machine, t Task) {
	m.Used = m.Used.Plus(t.Takes)
	c.tasks[m.Name] = append(c.tasks[m.Name], t)
}

func (c *cluster) stop(m *Machine, id TaskID) (t Task) {
	i := slices.IndexFunc(c.tasks[m.Name], func(t Task) bool { return t.ID == id })
	t = c.tasks[m.Name][i]
	c.tasks[m.Name] = slices.Delete(c.tasks[m.Name], i, i+1)
	m.Used = m.Used.Minus(t.Takes)
	return t
}

func (c *cluster) byName(name string) *Machine {
	return c.machines[slices.IndexFunc(c.machines, func(m *Machine) bool { return m.Name == name })]
}

// movable is a task that may be moved.
func movable(i int, cpus float64) Task {
	return Task{ID: TaskID{"j-000001", i}, Team: "red", Takes: Resources{CPUs: cpus, Memory: cpus}, Image: "img", SaveS: 1, Saves: true,
		Running: second, LeftS: 1000, Allows: func(*Machine) bool { return true }}
}

// uneven is a cluster of four machines of which one has everything.
func uneven() *cluster {
	c := newCluster()
	full := c.machine("m0", 4)
	for i := 1; i < 4; i++ {
		c.machine(fmt.Sprint("m", i), 4)
	}
	for i := range 4 {
		c.run(full, movable(i, 1))
	}
	return c
}

const later = 100 * second

func TestMovesOffTheFullestMachine(t *testing.T) {
	moves := New(params(), 0).Plan(later, uneven().view)
	if len(moves) != 1 || moves[0].From != "m0" || moves[0].To != "m1" || moves[0].Task.Index != 0 {
		t.Errorf("moves %+v, want the first task from m0 to m1", moves)
	}
}

// Each protection alone keeps the tasks where they are, and says so.
func TestWhatIsNotMoved(t *testing.T) {
	change := func(f func(*Task)) func(*Params, *cluster) {
		return func(_ *Params, c *cluster) {
			for i := range c.tasks["m0"] {
				f(&c.tasks["m0"][i])
			}
		}
	}
	for _, c := range []struct {
		why    Reason
		change func(*Params, *cluster)
	}{
		{NewLeader, func(p *Params, _ *cluster) { p.Calm = later + 1 }},
		{StaleView, func(_ *Params, c *cluster) { c.view.Stale = true }},
		{WorkWaits, func(_ *Params, c *cluster) { c.view.Waiting = true }},
		{FleetBudget, func(p *Params, _ *cluster) { p.MigrationBudget = 0 }},
		{Unsettled, func(_ *Params, c *cluster) { c.machines[0].Unsettled = true }},
		{Overcommitted, func(_ *Params, c *cluster) { c.machines[0].Used.CPUs = 5 }},
		{ImpossibleFigures, func(_ *Params, c *cluster) { c.machines[0].Used.CPUs = math.NaN() }},
		{ImpossibleFigures, func(_ *Params, c *cluster) { c.machines[0].Capacity = Resources{} }},
		{ImpossibleFigures, func(_ *Params, c *cluster) { c.machines[0].Used.Memory = -1 }},
		{OnlyTask, func(_ *Params, c *cluster) { c.tasks["m0"] = c.tasks["m0"][:1] }},
		{CannotSave, change(func(t *Task) { t.Saves = false })},
		{JustStarted, change(func(t *Task) { t.Running = later - 30*second + 1 })},
		{JustStarted, change(func(t *Task) { t.Running = 0 })},
		{NearlyDone, change(func(t *Task) { t.LeftS = 29 })},
		{GangMember, change(func(t *Task) { t.Gang = true })},
		{Replica, change(func(t *Task) { t.Standing = true })},
		{AlreadyStopping, change(func(t *Task) { t.Stopping = true })},
		{TeamAtLimit, change(func(t *Task) { t.AtLimit = true })},
		{NoTarget, change(func(t *Task) { t.Allows = func(*Machine) bool { return false } })},
		{NotWorth, change(func(t *Task) { t.SaveS = 70 })},
		{NotWorth, change(func(t *Task) { t.SaveS, t.LeftS = 20, 39 })},
		{NotWorth, change(func(t *Task) { t.ImageGB = 40 })},
	} {
		p, cl := params(), uneven()
		c.change(&p, cl)
		b := New(p, 0)
		if moves := b.Plan(later, cl.view); len(moves) != 0 {
			t.Errorf("%s: moves %+v", c.why, moves)
		}
		if !slices.ContainsFunc(b.Refusals(), func(r Refusal) bool { return r.Reason == c.why }) {
			t.Errorf("refusals %+v, want %s", b.Refusals(), c.why)
		}
	}
}

// A task that was moved lately stays; the others of its machine may go.
func TestTaskIsNotMovedAgainSoon(t *testing.T) {
	b, c := New(params(), 0), uneven()
	for _, task := range c.tasks["m0"] {
		b.moved[task.ID] = later - 120*second + 1
	}
	if moves := b.Plan(later, c.view); len(moves) != 0 || b.Refusals()[0].Reason != MovedLately {
		t.Errorf("moves %+v, refusals %+v", moves, b.Refusals())
	}
	if moves := b.Plan(later+second, c.view); len(moves) != 1 {
		t.Errorf("moves %+v once the pause is over", moves)
	}
}

// A machine that does not serve is neither the source nor the target of a move, and does not count in the
// mean: it is for fleet upkeep to empty.
func TestMachinesThatDoNotServeAreLeftAlone(t *testing.T) {
	c := uneven()
	c.machines[0].Serving = false
	if moves := New(params(), 0).Plan(later, c.view); len(moves) != 0 {
		t.Errorf("moves %+v off a machine that is being emptied", moves)
	}
	c = uneven()
	for _, m := range c.machines[1:] {
		m.Serving = false
	}
	if moves := New(params(), 0).Plan(later, c.view); len(moves) != 0 {
		t.Errorf("moves %+v to machines that are being emptied", moves)
	}
}

// A move goes on until its task runs; until then no other concerns its machines, and its preference is told
// only when the old attempt is gone.
func TestStagesOfAMove(t *testing.T) {
	b, c := New(params(), 0), uneven()
	m := b.Plan(later, c.view)[0]
	if b.Preferred(m.Task) != "" {
		t.Error("the task has a preference before its old attempt is gone")
	}
	if again := b.Plan(later+second, c.view); len(again) != 0 || b.Refusals()[0].Reason != MachineBusy {
		t.Errorf("moves %+v, refusals %+v while one is in flight", again, b.Refusals())
	}
	if _, done := b.Runs(m.Task, "m3"); done {
		t.Error("done though its old attempt is not gone")
	}
	b.Gone(later, m.Task)
	if b.Preferred(m.Task) != m.To {
		t.Errorf("prefers %q, want %q", b.Preferred(m.Task), m.To)
	}
	b.Given(m.Task, "m2")
	if _, done := b.Runs(m.Task, "m2"); !done || b.Outcomes() != (Outcomes{Begun: 1, Elsewhere: 1}) || b.Moving(m.Task) {
		t.Errorf("outcomes %+v", b.Outcomes())
	}
	c.run(c.byName("m2"), c.stop(c.byName("m0"), m.Task))
	for _, next := range b.Plan(later+2*second, c.view) {
		if next.Task == m.Task {
			t.Error("the task is moved again at once")
		}
	}
}

// What ends a move otherwise: its job, and time.
func TestMovesThatDoNotArrive(t *testing.T) {
	b, c := New(params(), 0), uneven()
	m := b.Plan(later, c.view)[0]
	b.Forget("j-000002")
	if !b.Moving(m.Task) {
		t.Error("another job's end ended the move")
	}
	b.Forget(m.Task.Job)
	if b.Moving(m.Task) || b.Outcomes().Cancelled != 1 || len(b.moved) != 0 {
		t.Errorf("outcomes %+v, %d tasks remembered after their job ended", b.Outcomes(), len(b.moved))
	}
	b, c = New(params(), 0), uneven()
	m = b.Plan(later, c.view)[0]
	if out := b.Expire(later + 90*second); len(out) != 0 {
		t.Error("given up in time")
	}
	if out := b.Expire(later + 90*second + 1); len(out) != 1 || b.Moving(m.Task) || b.Outcomes().GivenUp != 1 {
		t.Errorf("given up: %+v, outcomes %+v", out, b.Outcomes())
	}
}

// Random fleets of mixed sizes with random tasks, whose moves take their time and end in any way: budgets
// are kept, no task is moved that must not be, nothing is moved back and forth, and it comes to rest.
func TestMovesComeToRest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := params()
		p.MigrationBudget = rapid.SampledFrom([]float64{0.02, 0.1, 0.25}).Draw(t, "part")
		p.Pause = rapid.SampledFrom([]clock.Micros{0, 120 * second}).Draw(t, "pause")
		c := newCluster()
		same := rapid.Bool().Draw(t, "same size")
		for i := range rapid.IntRange(2, 40).Draw(t, "machines") {
			cpus := 8.0
			if !same {
				cpus = rapid.SampledFrom([]float64{4, 8, 16, 64}).Draw(t, "cpus")
			}
			c.machine(fmt.Sprintf("m%02d", i), cpus).Serving = rapid.IntRange(0, 9).Draw(t, "serving") > 0
		}
		fixed := map[TaskID]bool{}
		all := rapid.IntRange(0, 150).Draw(t, "tasks")
		for i := range all {
			task := movable(i, rapid.SampledFrom([]float64{0.25, 1, 2}).Draw(t, "takes"))
			task.Team = rapid.SampledFrom([]string{"red", "blue"}).Draw(t, "team")
			task.Saves = rapid.IntRange(0, 3).Draw(t, "saves") > 0
			fixed[task.ID] = !task.Saves
			// Most of them on the first machines.
			m := c.machines[min(len(c.machines)-1, rapid.IntRange(0, len(c.machines)-1).Draw(t, "on")/rapid.IntRange(1, 6).Draw(t, "crowd"))]
			if task.Takes.Fits(m.Capacity.Minus(m.Used)) {
				c.run(m, task)
			}
		}
		b, now := New(p, 0), later
		onTheWay := map[TaskID]Task{}
		moves, last := 0, map[TaskID]string{}
		quiet := 0
		for round := 0; quiet < 3; round++ {
			if round > 40*(all+2) {
				t.Fatalf("%d moves of %d tasks and no rest", moves, all)
			}
			now += 2 * second
			serving := 0
			for _, m := range c.machines {
				if m.Serving {
					serving++
				}
			}
			for _, m := range b.Plan(now, c.view) {
				moves++
				if fixed[m.Task] || !c.byName(m.To).Serving || !c.byName(m.From).Serving {
					t.Fatalf("%+v must not be", m)
				}
				if last[m.Task] == m.To && p.Pause > 0 {
					t.Fatalf("%s goes back to %s", m.Task, m.To)
				}
				last[m.Task] = m.From
			}
			flight := b.InFlight()
			if len(flight) > b.mostMoves(serving) {
				t.Fatalf("%d moves in flight in a fleet of %d", len(flight), serving)
			}
			byTeam, concerned := map[string]int{}, map[string]bool{}
			for _, m := range flight {
				byTeam[m.Team]++
				if concerned[m.From] || concerned[m.To] {
					t.Fatalf("two moves concern %s or %s", m.From, m.To)
				}
				concerned[m.From], concerned[m.To] = true, true
				if byTeam[m.Team] > max(1, int(float64(b.mostMoves(serving))*p.TeamPart)) {
					t.Fatalf("%d moves of one team", byTeam[m.Team])
				}
			}
			quiet++
			for _, m := range flight {
				quiet = 0
				switch m.Stage {
				case Stopping:
					if rapid.Bool().Draw(t, "stopped") {
						onTheWay[m.Task] = c.stop(c.byName(m.From), m.Task)
						b.Gone(later, m.Task)
					}
				case Stopped:
					if task, ok := onTheWay[m.Task]; ok && rapid.Bool().Draw(t, "starts") {
						to := c.byName(m.To)
						delete(onTheWay, m.Task)
						task.Running = now
						c.run(to, task)
						b.Given(m.Task, to.Name)
						b.Runs(m.Task, to.Name)
					}
				}
			}
		}
		if same {
			// Of machines of one size none loses and gains in turns: each move lowers the unevenness.
			if limit := 4 * all; moves > limit {
				t.Fatalf("%d moves of %d tasks", moves, all)
			}
		}
	})
}
