package scenario

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"swiftledge/internal/clock"
	"swiftledge/internal/config"
	"swiftledge/internal/fake"
	"swiftledge/internal/leader"
	"swiftledge/wire"
)

// TestMain fixes how many worlds the random faults are tried on, and which: the same on every run. A
// longer search is a flag (docs/operations.md).
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "40", "rapid.nofailfile": "true"} {
		must(flag.Set(name, value))
	}
	code := m.Run()
	must(transcripts.writeDigests())
	os.Exit(code)
}

// fault is one trouble of a random world.
type fault struct {
	at, lasts clock.Micros
	kind      string
	who       int     // a controller, or the first of the machines
	many      int     // of the machines
	share     float64 // of what is lost or late
}

func (f fault) String() string {
	return fmt.Sprintf("%.1f s: %s for %.1f s, who %d, many %d, share %.1f", f.at.Seconds(), f.kind, f.lasts.Seconds(), f.who, f.many, f.share)
}

// faultKinds are the troubles that the operators name (docs/meetings.md); each begins and gives what
// ends it.
var faultKinds = map[string]func(w *world, f fault) (end func()){
	"controller ends":             func(w *world, f fault) func() { return w.endControllers(f.node(w)) },
	"leader ends":                 func(w *world, _ fault) func() { return w.endControllers(w.leaders()...) },
	"all controllers end":         func(w *world, _ fault) func() { return w.endControllers(w.nodes...) },
	"controller stands still":     func(w *world, f fault) func() { return w.freeze(f, f.node(w)) },
	"leader stands still":         func(w *world, f fault) func() { return w.freeze(f, w.leaders()...) },
	"all controllers stand still": func(w *world, f fault) func() { return w.freeze(f, w.nodes...) },
	"store refuses one":           func(w *world, f fault) func() { return set(&f.node(w).refused) },
	"store refuses leader":        func(w *world, _ fault) func() { return onLeaders(w, func(n *simNode) *bool { return &n.refused }) },
	"controller loses peers":      func(w *world, f fault) func() { return set(&f.node(w).cut) },
	"leader loses store, peers": func(w *world, _ fault) func() {
		ends := []func(){onLeaders(w, func(n *simNode) *bool { return &n.refused }), onLeaders(w, func(n *simNode) *bool { return &n.cut })}
		return func() { ends[0](); ends[1]() }
	},
	"controller loses workers": func(w *world, f fault) func() { return set(&f.node(w).blind) },
	"watch hangs":              func(w *world, _ fault) func() { return onLeaders(w, func(n *simNode) *bool { return &n.stale }) },
	"requests are held":        func(w *world, f fault) func() { f.node(w).holdUntil = w.now + f.lasts; return func() {} },
	"writes come late":         func(w *world, f fault) func() { return onAll(w, func(n *simNode) *float64 { return &n.late }, f.share) },
	"answers are lost":         func(w *world, f fault) func() { return onAll(w, func(n *simNode) *float64 { return &n.lost }, f.share) },
	"store is out":             func(w *world, _ fault) func() { w.store.Down = true; return func() { w.store.EndOutage(w.now) } },
	"cloud is out":             func(w *world, _ fault) func() { return set(&w.cloudDown) },
	"cloud is late":            func(w *world, f fault) func() { w.cloudLate = f.share; return func() { w.cloudLate = 0 } },
	"commands come late":       func(w *world, f fault) func() { w.commandsLate = f.share; return func() { w.commandsLate = 0 } },
	"zone is cut":              func(w *world, f fault) func() { w.cutZone, w.cutUntil = "b", w.now+f.lasts; return func() {} },
	"machines are cut":         onMachines(func(_ *world, _ fault, s *simWorker) func() { return set(&s.cut) }),
	"machines' traffic is held": onMachines(func(w *world, f fault, s *simWorker) func() {
		s.holdUntil = w.now + f.lasts
		return func() {}
	}),
	"machines hear nothing": onMachines(func(_ *world, _ fault, s *simWorker) func() { return set(&s.deaf) }),
	"machines are mute":     onMachines(func(_ *world, _ fault, s *simWorker) func() { return set(&s.mute) }),
	"machines hang": onMachines(func(w *world, f fault, s *simWorker) func() {
		s.hungUntil = w.now + f.lasts
		return func() {}
	}),
	"machines fail tasks": onMachines(func(_ *world, _ fault, s *simWorker) func() { return set(&s.FailsTasks) }),
	"machines end": onMachines(func(_ *world, _ fault, s *simWorker) func() {
		s.dead, s.rented.Failed = true, true
		return func() {}
	}),
	"machines begin anew": onMachines(func(w *world, _ fault, s *simWorker) func() {
		if !s.dead {
			s.Reboot(w.now)
		}
		return func() {}
	}),
	"copies come late": onMachines(func(_ *world, f fault, s *simWorker) func() {
		s.copies = 25 * clock.Second
		return func() { s.copies = 0 }
	}),
	"reports are kept for the next leader": onMachines(func(_ *world, _ fault, s *simWorker) func() { return set(&s.keeps) }),
	"machines are taken back": onMachines(func(w *world, f fault, s *simWorker) func() {
		left := 12.0
		s.PreemptionNoticeS = &left
		s.changed(w)
		w.after(12*clock.Second, func() { s.rented.Deleted = true })
		return func() {}
	}),
	"jobs are called off": func(w *world, f fault) func() {
		refs := sortedKeys(w.jobs)
		for i := range min(f.many, len(refs)) {
			if n := w.nodes[(f.who+i)%len(w.nodes)]; n.alive && n.frozenUntil <= w.now {
				w.callOff(n, refs[(f.who*7+i*3)%len(refs)])
			}
		}
		return func() {}
	},
	"a mistaken job": func(w *world, f fault) func() {
		ref := w.submitMistaken(f.who, 20+f.many)
		return func() { w.callOffAgain(ref, f.who) }
	},
	"a guest's long job": func(w *world, f fault) func() {
		w.submitGuest(f.who, 20+4*f.many)
		return func() {}
	},
	"machines never report": func(w *world, f fault) func() {
		w.cloud.NextNeverReport = f.many / 4
		return func() { w.cloud.NextNeverReport = 0 }
	},
	"machines boot late or at once": func(w *world, f fault) func() {
		w.cloud.BootFactor = []float64{0.05, 3, 6}[f.who%3]
		return func() { w.cloud.BootFactor = 0 }
	},
	"a burst of jobs": func(w *world, f fault) func() {
		for i := range 3 {
			w.submitRandom(f.who+i, 40+f.many, 6+f.who)
		}
		return func() {}
	},
}

func set(b *bool) func() {
	*b = true
	return func() { *b = false }
}

func onLeaders(w *world, flag func(*simNode) *bool) func() {
	var ends []func()
	for _, n := range w.leaders() {
		ends = append(ends, set(flag(n)))
	}
	return func() {
		for _, end := range ends {
			end()
		}
	}
}

func onAll(w *world, part func(*simNode) *float64, share float64) func() {
	for _, n := range w.nodes {
		*part(n) = share
	}
	return func() {
		for _, n := range w.nodes {
			*part(n) = 0
		}
	}
}

// onMachines does something to as many machines as a fault says, those with most tasks first in
// every other case.
func onMachines(each func(*world, fault, *simWorker) func()) func(*world, fault) func() {
	return func(w *world, f fault) func() {
		var ends []func()
		machines := slices.DeleteFunc(slices.Clone(w.workers), func(s *simWorker) bool { return s.dead || s.rented.Deleted })
		if f.who%2 == 0 {
			slices.SortStableFunc(machines, func(a, b *simWorker) int { return len(b.Tasks) - len(a.Tasks) })
		}
		for i := range min(f.many, len(machines)) {
			ends = append(ends, each(w, f, machines[i]))
		}
		return func() {
			for _, end := range ends {
				end()
			}
		}
	}
}

func (f fault) node(w *world) *simNode { return w.nodes[f.who%len(w.nodes)] }

func (w *world) leaders() (out []*simNode) {
	for _, n := range w.nodes {
		if n.alive && n.elector.Term() > 0 {
			out = append(out, n)
		}
	}
	return out
}

func (w *world) endControllers(ns ...*simNode) func() {
	for _, n := range ns {
		if n.alive {
			n.crash()
		}
	}
	return func() {
		for _, n := range ns {
			if !n.alive {
				n.start()
			}
		}
	}
}

func (w *world) freeze(f fault, ns ...*simNode) func() {
	for _, n := range ns {
		n.frozenUntil = w.now + f.lasts
	}
	return func() {}
}

// submitRandom has a user submit a job to whichever controller takes it.
func (w *world) submitRandom(i, tasks, run int) {
	w.submitted++
	j := wire.Job{Ref: fmt.Sprintf("j-%06d", w.submitted), Class: "l", Team: []string{"red", "blue"}[i%2], Shape: wire.ShapeBatch,
		Priority: []wire.Priority{wire.PriorityStandard, wire.PriorityHigh}[i/2%2], Tasks: tasks, CPUs: 1, MemoryGB: 1,
		Image: fmt.Sprint("img", i%4), ImageGB: 1, Spot: true, EstimateS: float64(run)}
	if i%5 == 4 {
		j.Shape, j.Priority, j.Tasks, j.EstimateS, j.Spot = wire.ShapeService, wire.PriorityProduction, 2+tasks%6, 0, false
	}
	if i%7 == 3 {
		j.CheckpointS, j.SaveS = 4, 2
	}
	if w.cfg.Tuning.Spread.Enabled && !j.IsService() {
		j.CheckpointS, j.SaveS = 2, 1
	}
	w.runS[j.Ref] = float64(run)
	w.submitAgain(j, i)
}

// submitMistaken has a user submit a job that fails on every machine.
func (w *world) submitMistaken(i, tasks int) string {
	w.submitted++
	j := wire.Job{Ref: fmt.Sprintf("j-%06d", w.submitted), Class: "l", Team: []string{"red", "blue"}[i%2], Shape: wire.ShapeBatch,
		Priority: wire.PriorityStandard, Tasks: tasks, CPUs: 1, MemoryGB: 1, Image: "img9", ImageGB: 1, Spot: true, EstimateS: 10}
	w.runS[j.Ref], w.mistaken[j.Ref] = 10, 1
	w.submitAgain(j, i)
	return j.Ref
}

// guestRunS is how long a guest's task runs: longer than the boot times that preemption goes by, and short enough for
// all to end in the calm after the faults.
const guestRunS = 16

// submitGuest has a team without a guarantee and without a limit submit long tasks of low priority.
func (w *world) submitGuest(i, tasks int) {
	w.submitted++
	j := wire.Job{Ref: fmt.Sprintf("j-%06d", w.submitted), Class: "g", Team: "guest", Shape: wire.ShapeBatch, Priority: wire.PriorityBestEffort,
		Tasks: tasks, CPUs: 1, MemoryGB: 1, Image: "img8", ImageGB: 1, Spot: true, EstimateS: guestRunS, CheckpointS: 5, SaveS: 1}
	w.runS[j.Ref] = guestRunS
	w.submitAgain(j, i)
}

// callOffAgain repeats a cancellation until a controller answers it.
func (w *world) callOffAgain(ref string, i int) {
	n := w.nodes[i%len(w.nodes)]
	_, accepted := w.jobs[ref]
	if accepted && n.alive && n.frozenUntil <= w.now && w.callOff(n, ref) == string(wire.JobCancelled) {
		return
	}
	w.after(clock.Second, func() { w.callOffAgain(ref, i+1) })
}

// submitAgain repeats a submission until a controller accepts it.
func (w *world) submitAgain(j wire.Job, i int) {
	body, err := json.Marshal(j)
	must(err)
	w.bodies[j.Ref] = body
	n := w.nodes[i%len(w.nodes)]
	if n.alive && n.frozenUntil <= w.now && strings.HasPrefix(w.submit(n, body), "20") {
		return
	}
	w.after(clock.Second, func() { w.submitAgain(j, i+1) })
}

// randomWorld is a cluster with work for all its machines.
func randomWorld(name string, seed uint64, machines int, spread config.Spread) *world {
	cfg := config.Config{Tuning: config.DefaultTuning()}
	f := &cfg.Facts
	f.InitialSize, f.Zones = 3, []string{"a", "b"}
	for _, name := range []string{"red", "blue"} {
		f.Teams = append(f.Teams, config.Team{Name: name, CPUs: 100, CPUsMax: max(500, float64(machines*4))})
	}
	f.Teams = append(f.Teams, config.Team{Name: "guest"})
	f.Workers.ReportS, f.Workers.LeaseS, f.Workers.CancelS = 3, 17, 40
	f.State.RPS, f.State.WriteRPS, f.State.ValueKB, f.State.TxnOps = 200, 40, 4, 8
	f.Cloud.RPS, f.Cloud.ListLagS = 4, 4
	f.Quota.CPU, f.Quota.MemMB, f.Quota.MaxSockets = 0.2, 250, 3000
	cfg.Tuning.Spread = spread
	w := newWorld(name, cfg, []wire.MachineType{{Name: "small", CPUs: 4, MemoryGB: 8, CacheGB: 40, FetchGBPS: 1, Price: 0.3, SpotPrice: 0.1, BootS: 6, ZoneNames: f.Zones}}, seed)
	w.cloud.Capacity = machines
	for i := range machines / 3 {
		m := w.cloud.CreateInstance(0, "small", f.Zones[i%2], i%4 == 0)
		m.BootedAt, m.ListedAt = 0, 0
	}
	return w
}

const (
	faultsBegin = 12 * clock.Second
	faultsEnd   = 75 * clock.Second
	calmAfter   = 130 * clock.Second
)

// Whatever troubles overlap, no rule of the protocol breaks, and once they are over all that was
// accepted runs to its end. A world that breaks one is made smaller until a few faults are left.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { tryFaults(t, 30, 150, config.DefaultTuning().Spread) })
}

// The same with hundreds of machines and thousands of tasks, in fewer worlds.
func TestRandomFaultsAtSize(t *testing.T) {
	checkPart(t, 8, func(t *rapid.T) { tryFaults(t, 250, 450, config.DefaultTuning().Spread) })
}

// The same with work that is moved as often as can be: tasks are stopped and started again all the time,
// in the midst of the faults.
func TestRandomFaultsWhileTasksAreMoved(t *testing.T) {
	spread := config.Spread{Enabled: true, Bound: 1.05, ImbalanceS: 3600, MigrateAbove: 1.06, IntervalS: 0.25, LeaderCooldownS: 1, MigrationShare: 0.25, TeamShare: 1, TimeoutS: 30}
	moved := 0
	checkPart(t, 2, func(t *rapid.T) { moved += tryFaults(t, 30, 150, spread) })
	if moved == 0 {
		t.Error("no task was moved")
	}
	t.Logf("%d moves by the last leaders of the worlds", moved)
}

// checkPart checks a property on a part of the worlds that rapid is set to try.
func checkPart(t *testing.T, part int, property func(*rapid.T)) {
	checks := flag.Lookup("rapid.checks").Value
	all := checks.String()
	defer func() { must(checks.Set(all)) }()
	n, err := strconv.Atoi(all)
	must(err)
	must(checks.Set(strconv.Itoa(max(n/part, 1))))
	rapid.Check(t, property)
}

// tryFaults draws a cluster and its faults, and plays them. It says how many tasks its last leader has
// moved.
func tryFaults(t *rapid.T, least, most int, spread config.Spread) (moved int) {
	machines := rapid.IntRange(least, most).Draw(t, "machines")
	faults := rapid.SliceOfN(rapid.Custom(drawFault), 1, 14).Draw(t, "faults")
	seed := rapid.Uint64Range(1, 1000).Draw(t, "seed")
	w := randomWorld(t.Name(), seed, machines, spread)
	defer w.stop()
	w.playFaults(faults, machines)
	if len(w.broken) > 0 {
		t.Fatalf("%s", strings.Join(w.broken[:min(len(w.broken), 5)], "\n"))
	}
	return w.status().MigrationOutcomes.Begun
}

// Worlds that the long search has found, with what it showed.
func TestFoundWorlds(t *testing.T) {
	seconds := func(s float64) clock.Micros { return clock.FromSeconds(s) }
	for name, c := range map[string]struct {
		seed     uint64
		machines int
		faults   []fault
	}{
		"workers begin anew within a session, and their tasks are never given back": {26, 30, []fault{
			{at: seconds(12), lasts: seconds(0.2), kind: "machines begin anew", many: 25, share: 0.2}}},
		"a task is stopped for a service while its order has no answer, and never given back": {4, 30, []fault{
			{at: seconds(59.7), lasts: seconds(35), kind: "a burst of jobs", who: 7, many: 3},
			{at: seconds(29.4), lasts: seconds(0.9), kind: "jobs are called off", who: 7, many: 17},
			{at: seconds(14.3), lasts: seconds(33.8), kind: "leader stands still"},
			{at: seconds(56.5), lasts: seconds(0.4), kind: "machines are cut", many: 1},
			{at: seconds(59.2), lasts: seconds(0.2), kind: "machines hear nothing", who: 5, many: 40},
			{at: seconds(57.1), lasts: seconds(0.2), kind: "a burst of jobs", many: 25},
			{at: seconds(14.2), lasts: seconds(0.3), kind: "machines begin anew", many: 31}}},
	} {
		w := randomWorld(fmt.Sprintf("%s/seed-%d", t.Name(), c.seed), c.seed, c.machines, config.DefaultTuning().Spread)
		w.playFaults(c.faults, c.machines)
		w.stop()
		if len(w.broken) > 0 {
			t.Errorf("%s: %v", name, w.broken)
		}
	}
}

func drawFault(t *rapid.T) fault {
	return fault{
		at:    clock.Micros(rapid.Int64Range(int64(faultsBegin/clock.Second)*10, int64(faultsEnd/clock.Second)*10).Draw(t, "at")) * clock.Second / 10,
		lasts: clock.Micros(rapid.Int64Range(2, 350).Draw(t, "lasts")) * clock.Second / 10,
		kind:  rapid.SampledFrom(sortedKeys(faultKinds)).Draw(t, "kind"),
		who:   rapid.IntRange(0, 9).Draw(t, "who"),
		many:  rapid.IntRange(1, 40).Draw(t, "many"),
		share: float64(rapid.IntRange(1, 6).Draw(t, "share")) / 10,
	}
}

// playFaults runs the cluster through the faults and the calm after them.
func (w *world) playFaults(faults []fault, machines int) {
	for i := range 8 {
		w.after(clock.Micros(3+i*7)*clock.Second, func() { w.submitRandom(i, machines*2/3+i*13, 5+i*3) })
	}
	for _, f := range faults {
		w.after(f.at, func() {
			end := faultKinds[f.kind](w, f)
			w.after(f.lasts, end)
		})
	}
	w.run(faultsEnd + 40*clock.Second)
	for _, n := range w.nodes {
		if !n.alive {
			n.start()
		}
	}
	w.run(calmAfter)
	w.judgeEnds()
}

// judgeEnds says whether all that was accepted is known, and every batch has ended.
func (w *world) judgeEnds() {
	for _, ref := range sortedKeys(w.jobs) {
		r := w.hear(ref, w.nodes[0].lookUp(ref))
		j := w.jobs[ref]
		switch {
		case r.Code != 200:
			w.breaks("forgotten: %s is answered %d", ref, r.Code)
		case !j.IsService() && r.Status.State != wire.JobDone && r.Status.State != wire.JobCancelled:
			w.breaks("unfinished: %s is %s", ref, r.Status.State)
		}
		if _, over := w.store.Get(leader.FinalStatePrefix + ref); !over {
			continue
		}
		for _, s := range w.workers {
			if !s.dead && slices.ContainsFunc(s.Tasks, func(t *fake.Task) bool { return t.Job.Ref == ref && t.IsActive() }) {
				w.breaks("goes on: %s on %s", ref, s.Name)
			}
		}
	}
}
