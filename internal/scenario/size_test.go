package scenario

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"swiftledge/internal/clock"
	"swiftledge/internal/cluster"
	"swiftledge/internal/config"
	"swiftledge/wire"
)

// fleetSize is a deployment at half as many machines again as its operators name.
type fleetSize struct {
	name               string
	machines           int
	teams              int
	cpus, cpusMax      float64
	report, lease, end float64
	rps, writes        float64
	valueKB            float64
	txnOps             int
	cloudRPS, lag      float64
	cpu, mem           float64
	sockets            int
	zones              []string
	types              []wire.MachineType
	jobs, tasks        int
	taskCPUs, taskMem  float64
	runS               float64
}

func fleetSizes() []fleetSize {
	zones := []string{"a", "b", "c", "d"}
	return []fleetSize{
		{name: "one type", machines: 2240, teams: 16, cpus: 375, cpusMax: 3000, report: 6, lease: 31, end: 61, rps: 300, writes: 40, valueKB: 4, txnOps: 8,
			cloudRPS: 9, lag: 8, cpu: 0.252, mem: 322, sockets: 3925, zones: zones[:1],
			types: []wire.MachineType{{Name: "small", CPUs: 4, MemoryGB: 8, CacheGB: 40, FetchGBPS: 0.6, Price: 0.26, SpotPrice: 0.09, BootS: 25, ZoneNames: zones[:1]}},
			jobs:  40, tasks: 300, taskCPUs: 2, taskMem: 3.2, runS: 15},
		{name: "two types, four zones", machines: 1750, teams: 10, cpus: 1050, cpusMax: 4500, report: 5, lease: 26.5, end: 46.5, rps: 250, writes: 60, valueKB: 16, txnOps: 12,
			cloudRPS: 3, lag: 4, cpu: 0.192, mem: 271, sockets: 2999, zones: zones,
			types: []wire.MachineType{
				{Name: "small", CPUs: 4, MemoryGB: 8, CacheGB: 80, FetchGBPS: 0.2, Price: 0.26, SpotPrice: 0.1, BootS: 50, ZoneNames: zones},
				{Name: "middle", CPUs: 8, MemoryGB: 32, CacheGB: 60, FetchGBPS: 0.5, Price: 0.55, SpotPrice: 0.19, BootS: 50, ZoneNames: zones}},
			jobs: 40, tasks: 600, taskCPUs: 1, taskMem: 1.1, runS: 40},
		// The controllers with least processor time and memory that operators run.
		{name: "small controllers, one type", machines: 750, teams: 16, cpus: 120, cpusMax: 1000, report: 3, lease: 22, end: 52, rps: 100, writes: 15, valueKB: 4, txnOps: 8,
			cloudRPS: 5, lag: 8, cpu: 0.029, mem: 81, sockets: 1500, zones: zones[:1],
			types: []wire.MachineType{{Name: "small", CPUs: 4, MemoryGB: 8, CacheGB: 40, FetchGBPS: 0.6, Price: 0.26, SpotPrice: 0.09, BootS: 25, ZoneNames: zones[:1]}},
			jobs:  30, tasks: 150, taskCPUs: 2, taskMem: 3.2, runS: 15},
		{name: "small controllers, two types, four zones", machines: 900, teams: 10, cpus: 500, cpusMax: 2200, report: 3, lease: 17, end: 37, rps: 120, writes: 30, valueKB: 16, txnOps: 12,
			cloudRPS: 2, lag: 4, cpu: 0.029, mem: 81, sockets: 1500, zones: zones,
			types: []wire.MachineType{
				{Name: "small", CPUs: 4, MemoryGB: 8, CacheGB: 80, FetchGBPS: 0.2, Price: 0.26, SpotPrice: 0.1, BootS: 50, ZoneNames: zones},
				{Name: "middle", CPUs: 8, MemoryGB: 32, CacheGB: 60, FetchGBPS: 0.5, Price: 0.55, SpotPrice: 0.19, BootS: 50, ZoneNames: zones}},
			jobs: 40, tasks: 300, taskCPUs: 1, taskMem: 1.1, runS: 40},
	}
}

func (z *fleetSize) world(name string) *world {
	cfg := config.Config{Tuning: config.DefaultTuning()}
	f := &cfg.Facts
	f.InitialSize, f.Zones = 3, z.zones
	for i := range z.teams {
		f.Teams = append(f.Teams, config.Team{Name: fmt.Sprint("t", i), CPUs: z.cpus, CPUsMax: z.cpusMax})
	}
	f.Workers.ReportS, f.Workers.LeaseS, f.Workers.CancelS = z.report, z.lease, z.end
	f.State.RPS, f.State.WriteRPS, f.State.ValueKB, f.State.TxnOps = z.rps, z.writes, z.valueKB, z.txnOps
	f.Cloud.RPS, f.Cloud.ListLagS = z.cloudRPS, z.lag
	f.Quota.CPU, f.Quota.MemMB, f.Quota.MaxSockets = z.cpu, z.mem, z.sockets
	w := newWorld(name, cfg, z.types, 1)
	w.cloud.Capacity = z.machines
	return w
}

func (w *world) submitTo(t *testing.T, z *fleetSize, i, n int) {
	t.Helper()
	ref := fmt.Sprintf("j-%06d", i)
	w.runS[ref] = z.runS
	w.accepted(t, i, wire.Job{Ref: ref, Class: "l", Team: fmt.Sprint("t", i%z.teams), Shape: wire.ShapeBatch, Priority: wire.PriorityStandard, Tasks: n,
		CPUs: z.taskCPUs, MemoryGB: z.taskMem, Image: fmt.Sprint("img", i%6), ImageGB: 1.5, Spot: true, EstimateS: z.runS})
}

func (w *world) accepted(t *testing.T, i int, j wire.Job) {
	t.Helper()
	body, err := json.Marshal(j)
	must(err)
	if got := w.submit(w.nodes[i%3], body); got != "201 queued" {
		t.Fatalf("submission %d: %s", i, got)
	}
}

func heapMB() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc) / (1 << 20)
}

// What a started task and a machine cost in puts, what a controller holds, and how a
// takeover goes, at the size that the operators may reach.
func TestCostAtSize(t *testing.T) {
	for _, z := range fleetSizes() {
		t.Run(z.name, func(t *testing.T) { costAtSize(t, &z) })
	}
}

func costAtSize(t *testing.T, z *fleetSize) {
	w := z.world(t.Name())
	defer w.stop()
	w.run(3 * clock.Second)
	for i := range z.jobs {
		w.submitTo(t, z, i, z.tasks)
	}
	w.run(75 * clock.Second)
	machines := len(w.cloud.Instances)
	if machines < z.machines*9/10 {
		t.Errorf("%d of %d machines were rented", machines, z.machines)
	}
	roster, _ := w.store.List("fleet/")
	if len(roster) == 0 || len(roster) > machines/20 {
		t.Errorf("the roster has %d keys for %d machines", len(roster), machines)
	}

	// All controllers end and come back: the workers' leases outlast the takeover.
	took := w.restartAll(8 * clock.Second)
	w.keptLeases(t, took)

	for i := range z.jobs {
		w.submitTo(t, z, 1000+i, z.tasks)
	}
	w.run(60 * clock.Second)
	started := 0
	for _, n := range w.ran {
		started += n
	}
	if started < z.jobs*z.tasks*9/10 {
		t.Errorf("%d of %d tasks have run", started, 2*z.jobs*z.tasks)
	}
	if per := float64(w.store.Puts) / float64(started); per > 0.25 {
		t.Errorf("%.2f puts for each task that ran (%d for %d)", per, w.store.Puts, started)
	}
	// Tens of thousands of tasks wait.
	for i := range 20 {
		w.submitTo(t, z, 2000+i, 5000)
	}
	w.run(10 * clock.Second)
	if mb := heapMB(); mb > z.mem/3 {
		t.Errorf("three controllers, state service, cloud and workers hold %.0f MB", mb)
	}
	if len(w.broken) > 0 {
		t.Errorf("rules: %v", w.broken)
	}
	t.Logf("%d machines, %d roster keys, %d tasks ran, %d puts, all answered %.1f s after all controllers were back, %.0f MB",
		machines, len(roster), started, w.store.Puts, took.Seconds(), heapMB())
}

// restartAll ends all controllers, brings them back after a while, and says how long it then
// took until all workers were answered.
func (w *world) restartAll(down clock.Micros) clock.Micros {
	for _, n := range w.nodes {
		n.crash()
	}
	w.run(down)
	for _, n := range w.nodes {
		n.start()
	}
	back := w.now
	for w.unanswered(back) > 0 && w.now < back+clock.Minute {
		w.run(clock.Second / 2)
	}
	return w.now - back
}

func (w *world) keptLeases(t *testing.T, took clock.Micros) {
	t.Helper()
	for _, s := range w.workers {
		if s.AgentEpoch > 1 && !s.dead {
			t.Fatalf("%s lost its lease while the controllers were back after %.1f s", s.Name, took.Seconds())
		}
	}
}

// unanswered counts the workers that have had no answer to a report sent since then.
func (w *world) unanswered(since clock.Micros) (n int) {
	for _, s := range w.workers {
		if !s.dead && s.LeaseRenewedAt() < since {
			n++
		}
	}
	return n
}

// What a thousand replicas that stand cost, between batches that come and go, under lowered
// limits of the state service: pages of start records, puts, memory, and a takeover.
func TestStandingReplicasAtSize(t *testing.T) {
	z := fleetSizes()[1]
	z.machines, z.valueKB, z.txnOps, z.runS = 600, 2, 4, 8
	w := z.world(t.Name())
	defer w.stop()
	w.run(3 * clock.Second)
	const services, replicas = 130, 8
	up := func() (n int) {
		for _, s := range w.workers {
			for _, t := range s.Tasks {
				if t.Job.IsService() && t.IsActive() && !s.dead {
					n++
				}
			}
		}
		return n
	}
	for i := range services {
		if i%5 == 0 {
			w.submitTo(t, &z, i, 300)
		}
		w.accepted(t, i, wire.Job{Ref: fmt.Sprintf("j-%06d", 5000+i), Class: "s", Team: fmt.Sprint("t", i%z.teams), Shape: wire.ShapeService,
			Priority: wire.PriorityProduction, Tasks: replicas, CPUs: 1, MemoryGB: 1.6, Image: fmt.Sprint("img", i%3), ImageGB: 2})
		w.run(clock.Second)
	}
	w.run(120 * clock.Second)
	if n := up(); n != services*replicas {
		t.Fatalf("%d replicas run, want %d", n, services*replicas)
	}
	before := w.store.Puts
	w.run(60 * clock.Second)
	quiet := w.store.Puts - before
	pages, _ := w.store.List("run/")
	bytes := 0
	for _, it := range pages {
		bytes += len(it.Value)
	}
	if bytes > 75<<10 {
		t.Errorf("%d pages of start records hold %d kB", len(pages), bytes>>10)
	}
	if quiet > 10 {
		t.Errorf("%d puts in a minute in which nothing happens", quiet)
	}
	took := w.restartAll(4 * clock.Second)
	w.run(30 * clock.Second)
	if n := up(); n != services*replicas {
		t.Errorf("%d replicas run after a takeover", n)
	}
	w.keptLeases(t, took)
	if len(w.broken) > 0 {
		t.Errorf("rules: %v", w.broken)
	}
	t.Logf("%d replicas: %d pages of %d kB in all, %d puts in a quiet minute, all workers answered %.1f s after all controllers were back, %.0f MB for the whole world",
		services*replicas, len(pages), bytes>>10, quiet, took.Seconds(), heapMB())
}

// At rest, with as many machines as operators may come to have, the controllers say little: a
// report of nothing new wakes nobody but the holder, and the state service is asked for the
// leader's lease alone (a watch each third of a TTL comes on top on real machines).
func TestLittleIsSaidAtRest(t *testing.T) {
	z := fleetSizes()[3]
	z.machines = 300
	w := z.world(t.Name())
	defer w.stop()
	w.run(3 * clock.Second)
	// Long tasks keep the machines up.
	z.runS = 600
	for i := range 12 {
		w.submitTo(t, &z, i, 100)
	}
	w.run(120 * clock.Second)
	if n := len(w.workers); n < 100 {
		t.Fatalf("%d machines are up", n)
	}
	asked, said := w.asked, w.said
	const spell = 60
	w.run(spell * clock.Second)
	asked, said = w.asked-asked, w.said-said
	// Each holder renews its grants every second and is answered.
	if most := spell * 2 * (len(w.nodes) - 1); said > most*5/4 {
		t.Errorf("%d messages between controllers in %d s, want %d and little more", said, spell, most)
	}
	if most := spell * 2; asked > most {
		t.Errorf("%d requests to the state service in %d s, want %d at most", asked, spell, most)
	}
	t.Logf("%d machines: %d messages and %d requests to the state service in %d s", len(w.workers), said, asked, spell)
}

// largestFleet is a fleet of half as many machines again as the largest that is operated.
func largestFleet() fleetSize {
	z := fleetSizes()[0]
	z.machines, z.teams, z.cpus, z.cpusMax = 6000, 16, 1500, 9000
	z.report, z.lease, z.end = 10, 45, 90
	z.rps, z.writes, z.valueKB, z.txnOps = 600, 100, 16, 12
	z.cloudRPS, z.cpu, z.mem, z.sockets = 20, 0.6, 900, 12000
	z.zones = []string{"a", "b", "c"}
	z.types[0].ZoneNames = z.zones
	z.jobs, z.tasks, z.runS = 40, 600, 90
	return z
}

// Six thousand machines: they are rented and used, a zone of two thousand begins anew twice, leaders end in
// the middle of it, and every controller ends. No leader resigns, no rule is broken, all workers are
// answered and work goes on.
func TestSixThousandMachines(t *testing.T) {
	z := largestFleet()
	w := z.world(t.Name())
	defer w.stop()
	w.run(3 * clock.Second)
	for i := range z.jobs {
		w.submitTo(t, &z, i, z.tasks)
	}
	w.run(120 * clock.Second)
	if n := len(w.workers); n < z.machines*9/10 {
		t.Fatalf("%d of %d machines are up", n, z.machines)
	}
	epochs := func() map[cluster.Term]bool {
		led := map[cluster.Term]bool{}
		for _, n := range w.leaders() {
			led[n.elector.Term()] = true
		}
		return led
	}
	before := epochs()
	reboot := func(zone string) (n int) {
		for _, s := range w.workers {
			if s.Zone == zone && !s.dead {
				s.Reboot(w.now)
				n++
			}
		}
		return n
	}
	many := reboot("a")
	w.run(20 * clock.Second)
	many += reboot("a")
	w.run(70 * clock.Second)
	if after := epochs(); len(after) != 1 || len(before) != 1 || fmt.Sprint(after) != fmt.Sprint(before) {
		t.Errorf("epochs %v lead after %d machines began anew, %v before", after, many, before)
	}
	if late := w.unanswered(w.now - clock.FromSeconds(2*z.report)); late > 0 {
		t.Errorf("%d workers had no answer in two report times", late)
	}

	// The leader ends, and a zone begins anew while the next one takes over.
	for _, n := range w.leaders() {
		n.crash()
	}
	w.run(2 * clock.Second)
	many += reboot("b")
	w.run(60 * clock.Second)
	for _, n := range w.nodes {
		if !n.alive {
			n.start()
		}
	}
	w.run(20 * clock.Second)
	took := w.restartAll(8 * clock.Second)
	w.run(120 * clock.Second)
	ran := 0
	for _, n := range w.ran {
		ran += n
	}
	if all := z.jobs * z.tasks; ran < all*9/10 {
		t.Errorf("%d of %d tasks have run", ran, all)
	}
	if len(w.broken) > 0 {
		t.Errorf("rules: %v", w.broken)
	}
	t.Logf("%d machines, %d times one began anew, %d tasks ran, all answered %.1f s after all controllers were back, %.0f MB",
		len(w.workers), many, ran, took.Seconds(), heapMB())
}
