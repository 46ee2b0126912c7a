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

// electionTime is the time that a new cluster gets to elect its leader.
const electionTime = 3 * clock.Second

// heapMiB returns the size of the heap in use in MiB, after a garbage collection.
func heapMiB() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc) / (1 << 20)
}

// checkNoViolations fails the test if a rule was violated.
func (w *world) checkNoViolations(t *testing.T) {
	t.Helper()
	if len(w.rules.violations) > 0 {
		t.Errorf("rules were violated, want none: %v", w.rules.violations)
	}
}

// completedTasks counts the completions of all tasks. A task that completed twice counts twice.
func (w *world) completedTasks() (count int) {
	for _, times := range w.rules.completions {
		count += times
	}
	return count
}

// TestCostAtSize limits the puts for each completed task, the inventory keys for the machines, and the memory of the
// controllers, at the size that operators' clusters may reach. No agent lease may expire while a new leader takes over.
func TestCostAtSize(t *testing.T) {
	for _, d := range deployments() {
		t.Run(d.name, func(t *testing.T) { checkCostAtSize(t, &d) })
	}
}

func checkCostAtSize(t *testing.T, d *deployment) {
	w := d.world(t.Name())
	t.Cleanup(w.stop)
	w.run(electionTime)
	w.mustSubmitLoad(t, d, 0)
	w.run(75 * clock.Second)
	machines := len(w.cloud.Instances)
	if machines < d.machines*9/10 {
		t.Errorf("%d of %d machines were provisioned, want at least 9/10 of them", machines, d.machines)
	}
	inventory, _ := w.store.List(leader.InstanceGroupPrefix)
	if len(inventory) == 0 || len(inventory) > machines/20 {
		t.Errorf("inventory had %d keys for %d machines, want at least 1 key and at most a twentieth of the number of machines", len(inventory), machines)
	}

	// All controllers crash and restart: the agents' leases must outlast the takeover.
	recovery := w.restartControllers(8 * clock.Second)
	w.checkLeasesKept(t, recovery)

	w.mustSubmitLoad(t, d, 1000)
	w.run(60 * clock.Second)
	completed, perLoad := w.completedTasks(), d.load.jobs*d.load.tasks
	if completed < perLoad*9/10 {
		t.Errorf("%d of %d tasks were completed, want at least 45%%", completed, 2*perLoad)
	}
	if putsPerTask := float64(w.store.Writes) / float64(completed); putsPerTask > 0.25 {
		t.Errorf("the store got %.2f puts for each completed task (%d for %d), want at most 0.25", putsPerTask, w.store.Writes, completed)
	}
	w.checkMemory(t, d)
	w.checkNoViolations(t)
	t.Logf("%d machines, %d inventory keys, %d completed tasks, %d puts, all agents got a reply %.1f s after all controllers restarted, %.0f MiB",
		machines, len(inventory), completed, w.store.Writes, recovery.Seconds(), heapMiB())
}

// checkMemory queues a hundred thousand tasks and checks that the heap of the whole world stays within a third of one
// controller's memory quota.
func (w *world) checkMemory(t *testing.T, d *deployment) {
	t.Helper()
	for i := range 20 {
		w.mustSubmitBatch(t, d, 2000+i, 5000)
	}
	w.run(10 * clock.Second)
	if heap := heapMiB(); heap > d.settings.Facts.Quota.MemMB/3 {
		t.Errorf("heap of three controllers, state service, cloud and agents had %.0f MiB, want at most a third of a controller's quota", heap)
	}
}

// restartControllers crashes all controllers and starts them after a downtime. It returns the time from the start until
// all agents got a reply to a newer heartbeat, at most about a minute.
func (w *world) restartControllers(downtime clock.Micros) clock.Micros {
	for _, c := range w.controllers {
		c.crash()
	}
	w.run(downtime)
	w.startControllers()
	restartedAt := w.now
	for w.unansweredAgents(restartedAt) > 0 && w.now < restartedAt+clock.Minute {
		w.run(clock.Second / 2)
	}
	return w.now - restartedAt
}

// startControllers starts the controllers that have crashed.
func (w *world) startControllers() {
	for _, c := range w.controllers {
		if !c.running {
			c.start()
		}
	}
}

// checkLeasesKept checks that no agent's lease has expired.
func (w *world) checkLeasesKept(t *testing.T, recovery clock.Micros) {
	t.Helper()
	for _, s := range w.machines.agents {
		if s.AgentEpoch > 1 && !s.terminated {
			t.Fatalf("agent lease of %s expired, want it kept; all agents got a reply %.1f s after all controllers restarted",
				s.Name, recovery.Seconds())
		}
	}
}

// unansweredAgents counts the agents that have got no reply to any heartbeat that they sent since a time.
func (w *world) unansweredAgents(since clock.Micros) (count int) {
	for _, s := range w.machines.agents {
		if !s.terminated && s.LeaseRenewedAt() < since {
			count++
		}
	}
	return count
}

// activeReplicas counts the active replicas of all services.
func (w *world) activeReplicas() (count int) {
	for _, s := range w.machines.agents {
		for _, t := range s.Tasks {
			if t.Job.IsService() && t.IsActive() && !s.terminated {
				count++
			}
		}
	}
	return count
}

// TestServicesAtSize limits what a thousand long-running replicas cost under low limits of the state service, with batch
// jobs between them: the size of the attempt pages and the puts at rest. A takeover must keep all replicas running.
func TestServicesAtSize(t *testing.T) {
	const services, replicas = 130, 8
	d := twoTypesDeployment()
	d.machines, d.load.runSeconds = 600, 8
	d.settings.Facts.State.ValueKB, d.settings.Facts.State.TxnOps = 2, 4
	w := d.world(t.Name())
	t.Cleanup(w.stop)
	w.run(electionTime)
	w.submitServices(t, &d, services, replicas)
	w.run(120 * clock.Second)
	if n := w.activeReplicas(); n != services*replicas {
		t.Fatalf("%d replicas were active, want %d", n, services*replicas)
	}
	putsBefore := w.store.Writes
	w.run(60 * clock.Second)
	idlePuts := w.store.Writes - putsBefore
	pages, _ := w.store.List(attemptPrefix)
	bytes := 0
	for _, page := range pages {
		bytes += len(page.Value)
	}
	if bytes > 75<<10 {
		t.Errorf("%d attempt pages had %d KiB in total, want at most 75 KiB", len(pages), bytes>>10)
	}
	if idlePuts > 10 {
		t.Errorf("the store got %d puts in an idle minute, want at most 10", idlePuts)
	}
	recovery := w.restartControllers(4 * clock.Second)
	w.run(30 * clock.Second)
	if n := w.activeReplicas(); n != services*replicas {
		t.Errorf("%d replicas were active after a takeover, want as many as before", n)
	}
	w.checkLeasesKept(t, recovery)
	w.checkNoViolations(t)
	t.Logf("%d replicas: %d attempt pages with %d KiB in total, %d puts in an idle minute", services*replicas, len(pages), bytes>>10, idlePuts)
	t.Logf("all agents got a reply %.1f s after all controllers restarted, %.0f MiB for the whole world", recovery.Seconds(), heapMiB())
}

// submitServices submits a service every second, and a batch job with every fifth service.
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

// TestMessagesAtRest limits the messages of controllers at rest, with as many machines as operators may run. A heartbeat
// without changes must cause work only at the shard holder, and all requests to the state service must be renewals of
// the leader's lease. On real machines, a watch request every third of a TTL comes on top.
func TestMessagesAtRest(t *testing.T) {
	d := smallControllersTwoTypesDeployment()
	d.machines = 300
	w := d.world(t.Name())
	t.Cleanup(w.stop)
	w.run(electionTime)
	d.load.runSeconds = 600 // long tasks keep the machines up
	for i := range 12 {
		w.mustSubmitBatch(t, &d, i, 100)
	}
	w.run(120 * clock.Second)
	if n := len(w.machines.agents); n < 100 {
		t.Fatalf("%d machines were up, want at least 100", n)
	}
	before := w.traffic
	const seconds = 60
	w.run(seconds * clock.Second)
	messages := w.traffic.peerMessages - before.peerMessages
	requests := w.traffic.storeRequests - before.storeRequests
	// Each holder on a follower sends the leader a renewal of its grants every second and gets a reply.
	if expected := seconds * 2 * (len(w.controllers) - 1); messages > expected*5/4 {
		t.Errorf("controllers sent each other %d messages in %d s, want at most 5/4 of %d", messages, seconds, expected)
	}
	if limit := seconds * 2; requests > limit {
		t.Errorf("controllers sent the state service %d requests in %d s, want at most %d", requests, seconds, limit)
	}
	t.Logf("%d machines: %d messages and %d requests to the state service in %d s",
		len(w.machines.agents), messages, requests, seconds)
}

// leaderTerms returns the terms in which controllers lead now.
func (w *world) leaderTerms() map[cluster.Term]bool {
	terms := map[cluster.Term]bool{}
	for _, c := range w.leaders() {
		terms[c.elector.Term()] = true
	}
	return terms
}

// rebootZone reboots all machines of a zone and returns their number.
func (w *world) rebootZone(zone string) (count int) {
	for _, s := range w.machines.agents {
		if s.Zone == zone && !s.terminated {
			s.Reboot(w.now)
			count++
		}
	}
	return count
}

// TestSixThousandMachines reboots a zone of two thousand machines twice, crashes the leader while another zone reboots,
// and then crashes all controllers. The reboots alone must not make the leader resign, no rule may be violated, all
// agents must get replies, and the tasks must complete.
func TestSixThousandMachines(t *testing.T) {
	d := largestDeployment()
	w := d.world(t.Name())
	t.Cleanup(w.stop)
	w.run(electionTime)
	w.mustSubmitLoad(t, &d, 0)
	w.run(120 * clock.Second)
	if n := len(w.machines.agents); n < d.machines*9/10 {
		t.Fatalf("%d of %d machines were up, want at least 9/10 of them", n, d.machines)
	}
	before := w.leaderTerms()
	rebooted := w.rebootZone("a")
	w.run(20 * clock.Second)
	rebooted += w.rebootZone("a")
	w.run(70 * clock.Second)
	if after := w.leaderTerms(); len(after) != 1 || !maps.Equal(before, after) {
		t.Errorf("leader terms were %v after %d machines rebooted, want one term, the same as before: %v", after, rebooted, before)
	}
	if n := w.unansweredAgents(w.now - clock.FromSeconds(2*d.settings.Facts.Workers.ReportS)); n > 0 {
		t.Errorf("%d agents got no reply within two heartbeat intervals, want a reply for each agent", n)
	}

	// The leader crashes, and a zone reboots while the next leader takes over.
	crashControllers(w.leaders()...)
	w.run(2 * clock.Second)
	rebooted += w.rebootZone("b")
	w.run(60 * clock.Second)
	w.startControllers()
	w.run(20 * clock.Second)
	recovery := w.restartControllers(8 * clock.Second)
	w.run(120 * clock.Second)
	completed := w.completedTasks()
	if total := d.load.jobs * d.load.tasks; completed < total*9/10 {
		t.Errorf("%d of %d tasks were completed, want at least 9/10 of them", completed, total)
	}
	w.checkNoViolations(t)
	t.Logf("%d machines, %d reboots, %d completed tasks, all agents got a reply %.1f s after all controllers restarted, %.0f MiB",
		len(w.machines.agents), rebooted, completed, recovery.Seconds(), heapMiB())
}
