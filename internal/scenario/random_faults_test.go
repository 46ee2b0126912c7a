package scenario

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"swiftledge/internal/clock"
	"swiftledge/internal/config"
	"swiftledge/internal/leader"
	"swiftledge/wire"
)

// TestMain sets the number of random worlds and their seed, so that every run tests the same worlds. A flag extends
// the search (docs/operations.md).
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "40", "rapid.nofailfile": "true"} {
		must(flag.Set(name, value))
	}
	code := m.Run()
	must(transcripts.writeDigests())
	os.Exit(code)
}

// randomWorld creates a cluster for random jobs and faults. A third of its machines are up at the start.
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
	small := wire.MachineType{
		Name:      "small",
		CPUs:      4,
		MemoryGB:  8,
		CacheGB:   40,
		FetchGBPS: 1,
		Price:     0.3,
		SpotPrice: 0.1,
		BootS:     6,
		ZoneNames: f.Zones,
	}
	w := newWorld(name, cfg, []wire.MachineType{small}, seed)
	w.cloud.Capacity = machines
	for i := range machines / 3 {
		w.addMachine(small.Name, f.Zones[i%2], i%4 == 0)
	}
	return w
}

const (
	// earliestFault and latestFault bound the start times of random faults.
	earliestFault = 12 * clock.Second
	latestFault   = 75 * clock.Second
	// recoveryTime is how long a world runs without faults, so that all accepted batch jobs can end.
	recoveryTime = 130 * clock.Second
)

// TestRandomFaults verifies that overlapping faults violate no rule of the protocol, and that all accepted batch jobs
// reach a final state after the faults. Rapid shrinks a world that violates a rule to a few faults.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { runRandomFaults(t, 30, 150, config.DefaultTuning().Spread) })
}

// TestRandomFaultsAtSize runs the check of TestRandomFaults in fewer worlds, with hundreds of machines and thousands of
// tasks.
func TestRandomFaultsAtSize(t *testing.T) {
	checkFraction(t, 8, func(t *rapid.T) { runRandomFaults(t, 250, 450, config.DefaultTuning().Spread) })
}

// TestRandomFaultsDuringMigrations runs the check of TestRandomFaults with settings that migrate tasks as often as
// possible, so that tasks are continually stopped and restarted during the faults.
func TestRandomFaultsDuringMigrations(t *testing.T) {
	spread := config.Spread{
		Enabled:         true,
		Bound:           1.05,
		ImbalanceCostS:  3600,
		MigrateAbove:    1.06,
		IntervalS:       0.25,
		LeaderCooldownS: 1,
		MigrationShare:  0.25,
		TeamShare:       1,
		TimeoutS:        30,
	}
	migrations := 0
	checkFraction(t, 2, func(t *rapid.T) { migrations += runRandomFaults(t, 30, 150, spread) })
	if migrations == 0 {
		t.Error("no migration was started in any world, want at least one")
	}
	t.Logf("the last leaders of the worlds started %d migrations", migrations)
}

// checkFraction checks a property in a fraction of the worlds that rapid is set to check: their number divided by
// divisor, but at least one.
func checkFraction(t *testing.T, divisor int, property func(*rapid.T)) {
	checks := flag.Lookup("rapid.checks").Value
	original := checks.String()
	defer func() { must(checks.Set(original)) }()
	n, err := strconv.Atoi(original)
	must(err)
	must(checks.Set(strconv.Itoa(max(n/divisor, 1))))
	rapid.Check(t, property)
}

// runRandomFaults draws a cluster and its faults, runs the cluster, and fails the test if a rule was violated. It
// returns how many migrations the last leader has started.
func runRandomFaults(t *rapid.T, minMachines, maxMachines int, spread config.Spread) (migrations int) {
	machines := rapid.IntRange(minMachines, maxMachines).Draw(t, "machines")
	faults := rapid.SliceOfN(rapid.Custom(drawFault), 1, 14).Draw(t, "faults")
	seed := rapid.Uint64Range(1, 1000).Draw(t, "seed")
	w := randomWorld(t.Name(), seed, machines, spread)
	defer w.stop()
	w.runFaults(faults, machines)
	if len(w.rules.violations) > 0 {
		t.Fatalf("rules were violated, want none:\n%s", strings.Join(w.rules.violations[:min(len(w.rules.violations), 5)], "\n"))
	}
	return w.leaderStatus().MigrationOutcomes.Begun
}

// TestRandomFaultRegressions runs random worlds in which a longer search once found that the scheduler violated a rule.
// The key of each case says what went wrong then.
func TestRandomFaultRegressions(t *testing.T) {
	seconds := func(s float64) clock.Micros { return clock.FromSeconds(s) }
	for name, c := range map[string]struct {
		seed     uint64
		machines int
		faults   []fault
	}{
		"agents restart with the same agent epoch, and their tasks are never returned to the queue": {26, 30, []fault{
			{startAt: seconds(12), duration: seconds(0.2), kind: "machines reboot", count: 25, share: 0.2}}},
		"a task is preempted for a service before its run command gets a response, and never returned to the queue": {4, 30, []fault{
			{startAt: seconds(59.7), duration: seconds(35), kind: "burst of jobs", target: 7, count: 3},
			{startAt: seconds(29.4), duration: seconds(0.9), kind: "jobs are cancelled", target: 7, count: 17},
			{startAt: seconds(14.3), duration: seconds(33.8), kind: "leader pauses"},
			{startAt: seconds(56.5), duration: seconds(0.4), kind: "machines are unreachable", count: 1},
			{startAt: seconds(59.2), duration: seconds(0.2), kind: "machines' inbound messages are lost", target: 5, count: 40},
			{startAt: seconds(57.1), duration: seconds(0.2), kind: "burst of jobs", count: 25},
			{startAt: seconds(14.2), duration: seconds(0.3), kind: "machines reboot", count: 31}}},
	} {
		w := randomWorld(fmt.Sprintf("%s/seed-%d", t.Name(), c.seed), c.seed, c.machines, config.DefaultTuning().Spread)
		w.runFaults(c.faults, c.machines)
		w.stop()
		if len(w.rules.violations) > 0 {
			t.Errorf("%s: rules were violated, want none: %v", name, w.rules.violations)
		}
	}
}

// drawFault draws a fault with times in tenths of a second.
func drawFault(t *rapid.T) fault {
	const tenth = clock.Second / 10
	return fault{
		startAt:  clock.Micros(rapid.Int64Range(int64(earliestFault/tenth), int64(latestFault/tenth)).Draw(t, "at")) * tenth,
		duration: clock.Micros(rapid.Int64Range(2, 350).Draw(t, "duration")) * tenth,
		kind:     rapid.SampledFrom(faultKindNames()).Draw(t, "kind"),
		target:   rapid.IntRange(0, 9).Draw(t, "target"),
		count:    rapid.IntRange(1, 40).Draw(t, "count"),
		share:    float64(rapid.IntRange(1, 6).Draw(t, "share")) / 10,
	}
}

// runFaults submits jobs, injects the faults, runs the cluster through them and the recovery time, and checks the final
// states of the jobs.
func (w *world) runFaults(faults []fault, machines int) {
	for i := range 8 {
		w.after(clock.Micros(3+i*7)*clock.Second, func() { w.submitRandom(i, machines*2/3+i*13, 5+i*3) })
	}
	for _, f := range faults {
		w.after(f.startAt, func() { w.injectFault(f) })
	}
	w.run(latestFault + 40*clock.Second)
	w.startControllers()
	w.run(recoveryTime)
	w.checkFinalStates()
}

// checkFinalStates checks that every accepted job is known, that every batch job has a final state, and that no task of
// a job with a final state is active.
func (w *world) checkFinalStates() {
	for _, ref := range sortedKeys(w.users.jobs) {
		r := w.checkReply(ref, w.controllers[0].lookUpJob(ref))
		j := w.users.jobs[ref]
		switch {
		case r.Code != 200:
			w.reportViolation("forgotten: query of accepted job %s got response %d, want 200", ref, r.Code)
		case !j.IsService() && !isFinal(r.Status.State):
			w.reportViolation("unfinished: batch job %s was %s after the recovery time, want a final state", ref, r.Status.State)
		}
		if _, ended := w.store.Get(leader.FinalStatePrefix + ref); !ended {
			continue
		}
		for _, s := range w.machines.agents {
			if s.activeTasks(ref) > 0 {
				w.reportViolation("goes on: a task of %s was active on %s after the final state of the job was stored", ref, s.Name)
			}
		}
	}
}
