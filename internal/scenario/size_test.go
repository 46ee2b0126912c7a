package scenario

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"swiftledge/internal/clock"
	"swiftledge/internal/config"
	"swiftledge/wire"
)

// The grown deployments: what a started task and a machine may cost in puts, and what
// the controllers and all they talk to may hold, at hundreds of machines.
func TestCostAtSize(t *testing.T) {
	cfg := config.Config{Tuning: config.DefaultTuning()}
	f := &cfg.Facts
	f.InitialSize = 3
	f.Zones = []string{"a"}
	for i := range 16 {
		f.Teams = append(f.Teams, config.Team{Name: fmt.Sprint("t", i), CPUs: 80, CPUsMax: 700})
	}
	f.Workers.ReportS, f.Workers.LeaseS, f.Workers.CancelS = 4, 22, 52
	f.State.RPS, f.State.WriteRPS, f.State.ValueKB, f.State.TxnOps = 100, 15, 4, 8
	f.Cloud.RPS, f.Cloud.ListLagS = 5, 8
	f.Quota.CPU, f.Quota.MemMB, f.Quota.MaxSockets = 0.1, 125, 1500
	types := []wire.MachineType{{Name: "small", CPUs: 4, MemoryGB: 8, CacheGB: 40, FetchGBPS: 0.6, Price: 0.26, SpotPrice: 0.09, BootS: 25, ZoneNames: []string{"a"}}}
	w := newWorld(cfg, types, 1)
	defer w.stop()
	w.cloud.Capacity = 400
	w.run(3 * clock.Second)
	tasks := 0
	submit := func(i, n int) {
		ref := fmt.Sprintf("j-%06d", i)
		body, err := json.Marshal(wire.Job{Ref: ref, Class: "l", Team: fmt.Sprint("t", i%16), Shape: "batch", Priority: wire.Standard, Tasks: n,
			CPUs: 2, MemoryGB: 3.2, Image: fmt.Sprint("img", i%6), ImageGB: 1.5, Spot: true, EstimateS: 15})
		must(err)
		w.runS[ref] = 15
		if got := w.submit(w.nodes[i%3], body); got != "201 queued" {
			t.Fatalf("submission %d: %s", i, got)
		}
		tasks += n
	}
	for i := range 20 {
		submit(i, 250)
	}
	w.run(60 * clock.Second)
	machines := len(w.cloud.Machines)
	roster, _ := w.store.List("fleet/")
	if machines < 300 || len(roster) == 0 || len(roster) > machines/20 {
		t.Errorf("the roster has %d keys for %d machines", len(roster), machines)
	}
	w.run(90 * clock.Second)
	started := 0
	for _, n := range w.ran {
		started += n
	}
	if started < tasks/2 {
		t.Fatalf("%d of %d tasks have run", started, tasks)
	}
	if per := float64(w.store.Puts) / float64(started); per > 0.5 {
		t.Errorf("%.2f puts for each task that ran (%d for %d)", per, w.store.Puts, started)
	}
	// Tens of thousands of tasks wait.
	for i := range 10 {
		submit(100+i, 10000)
	}
	w.run(20 * clock.Second)
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	if mb := float64(m.HeapAlloc) / (1 << 20); mb > 100 {
		t.Errorf("three controllers, state service, cloud and workers hold %.0f MB", mb)
	}
	if len(w.broken) > 0 {
		t.Errorf("rules: %v", w.broken)
	}
	t.Logf("%d puts, %d tasks ran, %d machines, %d roster keys, %.0f MB", w.store.Puts, started, machines, len(roster), float64(m.HeapAlloc)/(1<<20))
}
