package scenario

import (
	"fmt"
	"maps"
	"runtime"
	"testing"

	"swiftledge/internal/clock"
	"swiftledge/internal/cluster"
	"swiftledge/internal/leader"
	"swiftledge/wire"
)

// electionTime is how long a new cluster needs until a controller leads.
const electionTime = 3 * clock.Second

// heapMB is the memory that is in use.
func heapMB() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc) / (1 << 20)
}

// checkNoViolations fails the test if a rule was violated.
func (w *world) checkNoViolations(t *testing.T) {
	t.Helper()
	if len(w.rules.violations) > 0 {
		t.Errorf("rules: %v", w.rules.violations)
	}
}

// completedTasks counts the completions of all tasks.
func (w *world) completedTasks() (count int) {
	for _, times := range w.rules.completions {
		count += times
	}
	return count
}

// What a started task and a machine cost in puts, what a controller holds, and how a
// takeover goes, at the size that the operators may reach.
func TestCostAtSize(t *testing.T) {
	for _, d := range deployments() {
		t.Run(d.name, func(t *testing.T) { costAtSize(t, &d) })
	}
}

func costAtSize(t *testing.T, d *deployment) {
	w := d.world(t.Name())
	t.Cleanup(w.stop)
	w.run(electionTime)
	w.mustSubmitLoad(t, d, 0)
	w.run(75 * clock.Second)
	machines := len(w.cloud.Instances)
	if machines < d.machines*9/10 {
		t.Errorf("%d of %d machines were provisioned", machines, d.machines)
	}
	inventory, _ := w.store.List(leader.InstanceGroupPrefix)
	if len(inventory) == 0 || len(inventory) > machines/20 {
		t.Errorf("the inventory has %d keys for %d machines", len(inventory), machines)
	}

	// All controllers end and come back: the workers' leases outlast the takeover.
	took := w.restartControllers(8 * clock.Second)
	w.checkLeasesKept(t, took)

	w.mustSubmitLoad(t, d, 1000)
	w.run(60 * clock.Second)
	started, perLoad := w.completedTasks(), d.load.jobs*d.load.tasks
	if started < perLoad*9/10 {
		t.Errorf("%d of %d tasks have run", started, 2*perLoad)
	}
	if putsPerTask := float64(w.store.Writes) / float64(started); putsPerTask > 0.25 {
		t.Errorf("%.2f puts for each task that ran (%d for %d)", putsPerTask, w.store.Writes, started)
	}
	w.checkMemory(t, d)
	w.checkNoViolations(t)
	t.Logf("%d machines, %d inventory keys, %d tasks ran, %d puts, all answered %.1f s after all controllers were back, %.0f MB",
		machines, len(inventory), started, w.store.Writes, took.Seconds(), heapMB())
}

// checkMemory lets tens of thousands of tasks wait, and judges what the whole world then holds by what one
// controller may.
func (w *world) checkMemory(t *testing.T, d *deployment) {
	t.Helper()
	for i := range 20 {
		w.mustSubmitBatch(t, d, 2000+i, 5000)
	}
	w.run(10 * clock.Second)
	if mb := heapMB(); mb > d.settings.Facts.Quota.MemMB/3 {
		t.Errorf("three controllers, state service, cloud and workers hold %.0f MB", mb)
	}
}

// restartControllers crashes all controllers, starts them after a while, and says how long it then
// took until all workers were answered.
func (w *world) restartControllers(down clock.Micros) clock.Micros {
	for _, c := range w.controllers {
		c.crash()
	}
	w.run(down)
	w.startControllers()
	back := w.now
	for w.unansweredWorkers(back) > 0 && w.now < back+clock.Minute {
		w.run(clock.Second / 2)
	}
	return w.now - back
}

// startControllers starts the controllers that have ended.
func (w *world) startControllers() {
	for _, c := range w.controllers {
		if !c.running {
			c.start()
		}
	}
}

// checkLeasesKept judges that no worker's lease has expired.
func (w *world) checkLeasesKept(t *testing.T, took clock.Micros) {
	t.Helper()
	for _, s := range w.machines.workers {
		if s.AgentEpoch > 1 && !s.ended {
			t.Fatalf("%s lost its lease while the controllers were back after %.1f s", s.Name, took.Seconds())
		}
	}
}

// unansweredWorkers counts the workers that have had no answer to a heartbeat sent since then.
func (w *world) unansweredWorkers(since clock.Micros) (count int) {
	for _, s := range w.machines.workers {
		if !s.ended && s.LeaseRenewedAt() < since {
			count++
		}
	}
	return count
}

// activeReplicas counts the replicas of services on machines.
func (w *world) activeReplicas() (count int) {
	for _, s := range w.machines.workers {
		for _, t := range s.Tasks {
			if t.Job.IsService() && t.IsActive() && !s.ended {
				count++
			}
		}
	}
	return count
}

// What a thousand replicas that run on cost, between batches that come and go, under lowered
// limits of the state service: pages of attempt records, puts, memory, and a takeover.
func TestServicesAtSize(t *testing.T) {
	const services, replicas = 130, 8
	d := twoTypes()
	d.machines, d.load.runSeconds = 600, 8
	d.settings.Facts.State.ValueKB, d.settings.Facts.State.TxnOps = 2, 4
	w := d.world(t.Name())
	t.Cleanup(w.stop)
	w.run(electionTime)
	w.submitServices(t, &d, services, replicas)
	w.run(120 * clock.Second)
	if n := w.activeReplicas(); n != services*replicas {
		t.Fatalf("%d replicas run, want %d", n, services*replicas)
	}
	before := w.store.Writes
	w.run(60 * clock.Second)
	quiet := w.store.Writes - before
	pages, _ := w.store.List(attemptPrefix)
	bytes := 0
	for _, page := range pages {
		bytes += len(page.Value)
	}
	if bytes > 75<<10 {
		t.Errorf("%d pages of attempt records hold %d kB", len(pages), bytes>>10)
	}
	if quiet > 10 {
		t.Errorf("%d puts in a minute in which nothing happens", quiet)
	}
	took := w.restartControllers(4 * clock.Second)
	w.run(30 * clock.Second)
	if n := w.activeReplicas(); n != services*replicas {
		t.Errorf("%d replicas run after a takeover", n)
	}
	w.checkLeasesKept(t, took)
	w.checkNoViolations(t)
	t.Logf("%d replicas: %d pages of %d kB in all, %d puts in a quiet minute", services*replicas, len(pages), bytes>>10, quiet)
	t.Logf("all workers answered %.1f s after all controllers were back, %.0f MB for the whole world", took.Seconds(), heapMB())
}

// submitServices submits a service every second, and a batch beside each fifth.
func (w *world) submitServices(t *testing.T, d *deployment, services, replicas int) {
	t.Helper()
	for i := range services {
		if i%5 == 0 {
			w.mustSubmitBatch(t, d, i, 300)
		}
		w.mustSubmit(t, i, wire.Job{
			Ref:      fmt.Sprintf("j-%06d", 5000+i),
			Class:    "s",
			Team:     d.teamName(i),
			Shape:    wire.ShapeService,
			Priority: wire.PriorityProduction,
			Tasks:    replicas,
			CPUs:     1,
			MemoryGB: 1.6,
			Image:    fmt.Sprint("img", i%3),
			ImageGB:  2,
		})
		w.run(clock.Second)
	}
}

// At rest, with as many machines as operators may come to have, the controllers say little: a
// heartbeat of nothing new wakes nobody but the holder, and the state service is asked for the
// leader's lease alone (a watch each third of a TTL comes on top on real machines).
func TestMessagesAtRest(t *testing.T) {
	d := smallControllersTwoTypes()
	d.machines = 300
	w := d.world(t.Name())
	t.Cleanup(w.stop)
	w.run(electionTime)
	d.load.runSeconds = 600 // long tasks keep the machines up
	for i := range 12 {
		w.mustSubmitBatch(t, &d, i, 100)
	}
	w.run(120 * clock.Second)
	if n := len(w.machines.workers); n < 100 {
		t.Fatalf("%d machines are up", n)
	}
	before := w.traffic
	const seconds = 60
	w.run(seconds * clock.Second)
	messages := w.traffic.peerMessages - before.peerMessages
	requests := w.traffic.storeRequests - before.storeRequests
	// Each holder renews its grants every second and is answered.
	if most := seconds * 2 * (len(w.controllers) - 1); messages > most*5/4 {
		t.Errorf("%d messages between controllers in %d s, want %d and little more", messages, seconds, most)
	}
	if most := seconds * 2; requests > most {
		t.Errorf("%d requests to the state service in %d s, want %d at most", requests, seconds, most)
	}
	t.Logf("%d machines: %d messages and %d requests to the state service in %d s",
		len(w.machines.workers), messages, requests, seconds)
}

// leaderTerms are the terms in which controllers lead now.
func (w *world) leaderTerms() map[cluster.Term]bool {
	terms := map[cluster.Term]bool{}
	for _, c := range w.leaders() {
		terms[c.elector.Term()] = true
	}
	return terms
}

// rebootZone reboots all machines of a zone, and says how many these are.
func (w *world) rebootZone(zone string) (count int) {
	for _, s := range w.machines.workers {
		if s.Zone == zone && !s.ended {
			s.Reboot(w.now)
			count++
		}
	}
	return count
}

// Six thousand machines: they are provisioned and used, a zone of two thousand reboots twice, leaders crash in
// the middle of it, and every controller crashes. No leader resigns, no rule is violated, all workers are
// answered and work goes on.
func TestSixThousandMachines(t *testing.T) {
	d := largestDeployment()
	w := d.world(t.Name())
	t.Cleanup(w.stop)
	w.run(electionTime)
	w.mustSubmitLoad(t, &d, 0)
	w.run(120 * clock.Second)
	if n := len(w.machines.workers); n < d.machines*9/10 {
		t.Fatalf("%d of %d machines are up", n, d.machines)
	}
	before := w.leaderTerms()
	rebooted := w.rebootZone("a")
	w.run(20 * clock.Second)
	rebooted += w.rebootZone("a")
	w.run(70 * clock.Second)
	if after := w.leaderTerms(); len(after) != 1 || !maps.Equal(before, after) {
		t.Errorf("terms %v lead after %d machines rebooted, %v before", after, rebooted, before)
	}
	if late := w.unansweredWorkers(w.now - clock.FromSeconds(2*d.settings.Facts.Workers.ReportS)); late > 0 {
		t.Errorf("%d workers had no answer in two heartbeat intervals", late)
	}

	// The leader crashes, and a zone reboots while the next one takes over.
	crash(w.leaders()...)
	w.run(2 * clock.Second)
	rebooted += w.rebootZone("b")
	w.run(60 * clock.Second)
	w.startControllers()
	w.run(20 * clock.Second)
	took := w.restartControllers(8 * clock.Second)
	w.run(120 * clock.Second)
	completed := w.completedTasks()
	if all := d.load.jobs * d.load.tasks; completed < all*9/10 {
		t.Errorf("%d of %d tasks have run", completed, all)
	}
	w.checkNoViolations(t)
	t.Logf("%d machines, %d reboots, %d tasks ran, all answered %.1f s after all controllers were back, %.0f MB",
		len(w.machines.workers), rebooted, completed, took.Seconds(), heapMB())
}
