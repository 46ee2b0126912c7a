package scenario

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"swiftledge/internal/clock"
	"swiftledge/internal/config"
	"swiftledge/internal/fake"
	"swiftledge/wire"
)

// TestScenarios plays every file in testdata. Each begins with a cluster
// command; go test ./internal/scenario -args -rewrite renews expected output,
// which is then to be read like code.
func TestScenarios(t *testing.T) {
	known := commands()
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var w *world
		defer func() {
			if w != nil {
				w.stop()
			}
		}()
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "cluster" {
				if w != nil {
					w.stop()
				}
				w = clusterWorld(t, d)
				return ""
			}
			c, ok := known[d.Cmd]
			if !ok {
				d.Fatalf(t, "unknown command %s", d.Cmd)
			}
			return c(t, w, d)
		})
	})
}

func arg[T any](t *testing.T, d *datadriven.TestData, key string, v T) T {
	d.MaybeScanArgs(t, key, &v)
	return v
}

func span(t *testing.T, d *datadriven.TestData, key string) clock.Micros {
	v, err := time.ParseDuration(arg(t, d, key, "0s"))
	if err != nil {
		d.Fatalf(t, "%s: %v", key, err)
	}
	return clock.Micros(v / time.Microsecond)
}

func clusterWorld(t *testing.T, d *datadriven.TestData) *world {
	cfg := config.Config{Tuning: config.DefaultTuning()}
	f := &cfg.Facts
	f.InitialSize = arg(t, d, "nodes", 3)
	f.Zones = []string{"a", "b"}
	limit := arg(t, d, "limit", 16)
	for _, name := range []string{"red", "blue"} {
		f.Teams = append(f.Teams, config.Team{Name: name, CPUs: 8, CPUsMax: float64(limit)})
	}
	if d.HasArg("guest") {
		f.Teams = append(f.Teams, config.Team{Name: "guest"}) // no guarantee, no limit
	}
	f.Workers.ReportS, f.Workers.LeaseS, f.Workers.CancelS = 3, 20, 45
	cfg.Tuning.Election.TTLS = float64(arg(t, d, "ttl", 3))
	if d.HasArg("spread") {
		spread := &cfg.Tuning.Spread
		spread.Enabled = true
		spread.LeaderCooldownS, spread.MinRunS = float64(arg(t, d, "calm", 5)), float64(arg(t, d, "least_run", 5))
		spread.TaskCooldownS = float64(arg(t, d, "pause", 60))
	}
	cfg.Tuning.Fleet.Reserve = arg(t, d, "reserve", cfg.Tuning.Fleet.Reserve)
	f.State.RPS, f.State.WriteRPS = 100, 20
	f.State.ValueKB, f.State.TxnOps = float64(arg(t, d, "value_kb", 4)), 8
	if d.HasArg("next") {
		f.State.Next = &config.Next{WriteRPS: 15, ValueKB: 2, TxnOps: 4}
	}
	f.Cloud.RPS, f.Cloud.ListLagS = 4, 4
	f.Quota.CPU, f.Quota.MemMB, f.Quota.MaxSockets = 0.1, 125, 1500
	boot := float64(arg(t, d, "boot", 10))
	types := []wire.MachineType{
		{Name: "small", CPUs: 4, MemoryGB: 8, CacheGB: 40, FetchGBPS: 1, Price: 0.3, SpotPrice: 0.1, BootS: boot, ZoneNames: []string{"a", "b"}},
		{Name: "big", CPUs: 16, MemoryGB: 64, CacheGB: 40, FetchGBPS: 1, Price: 1.3, SpotPrice: 0.5, BootS: boot, ZoneNames: []string{"a"}},
	}
	w := newWorld(t.Name(), cfg, types, uint64(arg(t, d, "seed", 1)))
	w.cloud.Capacity = arg(t, d, "capacity", 0)
	if d.HasArg("old") {
		for _, n := range w.nodes {
			n.old = true
			n.start()
		}
	}
	for i := range arg(t, d, "machines", 0) {
		m := w.cloud.CreateInstance(0, "small", f.Zones[i%2], d.HasArg("spot"))
		m.BootedAt, m.ListedAt = 0, 0
	}
	for range arg(t, d, "big", 0) {
		m := w.cloud.CreateInstance(0, "big", "a", d.HasArg("spot"))
		m.BootedAt, m.ListedAt = 0, 0
	}
	return w
}

func (w *world) submit(n *simNode, body []byte) string {
	r := n.submit(body)
	var j wire.Job
	if json.Unmarshal(body, &j) == nil {
		w.hear(j.Ref, r)
	}
	if r.Code >= 400 {
		return fmt.Sprintf("%d %s", r.Code, r.Reason)
	}
	must(json.Unmarshal(body, &j))
	w.jobs[j.Ref] = j
	if _, ok := w.sent[j.Ref]; !ok {
		w.sent[j.Ref] = w.now
	}
	return fmt.Sprintf("%d %s", r.Code, r.Status.State)
}

// body is a submission as the command says.
func (w *world) body(t *testing.T, d *datadriven.TestData, ref string) []byte {
	due := any(nil)
	if v := arg(t, d, "due", 0); v > 0 {
		due = v
	}
	var types any
	if v := arg(t, d, "type", ""); v != "" {
		types = []string{v}
	}
	body, err := json.Marshal(map[string]any{"ref": ref, "lane": arg(t, d, "class", "l"), "owner": arg(t, d, "team", "red"), "shape": arg(t, d, "shape", "batch"),
		"rank": arg(t, d, "rank", "standard"), "lots": arg(t, d, "tasks", 1), "cpus": arg(t, d, "cpus", 1.0), "accelerators": 0.0,
		"ramGb": arg(t, d, "mem", 1.0), "kit": "img", "imageGb": 1.0, "breeds": types, "paddock": nil,
		"together": d.HasArg("together"), "scatter": d.HasArg("scatter"), "stray": !d.HasArg("nospot"),
		"reckonS": float64(arg(t, d, "reckon", arg(t, d, "run", 10))), "waypointS": float64(arg(t, d, "waypoint", 0)), "stashS": 2.0, "dueS": due})
	must(err)
	w.bodies[ref] = body
	w.mistaken[ref] = arg(t, d, "mistaken", 0)
	w.runS[ref] = float64(arg(t, d, "run", 10))
	if arg(t, d, "shape", string(wire.ShapeBatch)) == string(wire.ShapeService) {
		w.runS[ref] = float64(arg(t, d, "ends", 0))
	}
	return body
}

// callOff cancels a job and gives its state, or the code of the answer.
func (w *world) callOff(n *simNode, ref string) string {
	r := w.hear(ref, n.cancel(ref))
	if r.Code != 200 {
		return fmt.Sprint(r.Code)
	}
	if _, ok := w.aborted[ref]; !ok && r.Status.State == wire.JobCancelled {
		w.aborted[ref] = w.now
	}
	return string(r.Status.State)
}

// command carries out one line of a scenario.
type command func(t *testing.T, w *world, d *datadriven.TestData) string

// commands are all that scenarios may say, by name.
func commands() map[string]command {
	return map[string]command{
		"abort":       abortCommand,
		"await":       awaitCommand,
		"back":        backCommand,
		"begun":       begunCommand,
		"boot":        bootCommand,
		"call_off":    callOffCommand,
		"catalog":     catalogCommand,
		"cloud":       cloudCommand,
		"crash":       crashCommand,
		"even":        evenCommand,
		"flood":       floodCommand,
		"forget":      forgetCommand,
		"keys":        keysCommand,
		"known":       knownCommand,
		"largest":     largestCommand,
		"leader":      leaderCommand,
		"limits":      limitsCommand,
		"load":        loadCommand,
		"looks":       looksCommand,
		"lost":        lostCommand,
		"machine":     machineCommand,
		"machines":    machinesCommand,
		"moves":       movesCommand,
		"moving":      movingCommand,
		"noboot":      nobootCommand,
		"node":        nodeCommand,
		"on":          onCommand,
		"on_machines": onMachinesCommand,
		"paused":      pausedCommand,
		"ran":         ranCommand,
		"raw":         rawCommand,
		"ready":       readyCommand,
		"refused":     refusedCommand,
		"rules":       rulesCommand,
		"run":         runCommand,
		"served":      servedCommand,
		"start":       startCommand,
		"status":      statusCommand,
		"store":       storeCommand,
		"submit":      submitCommand,
		"suspects":    suspectsCommand,
		"tries":       triesCommand,
		"worker":      workerCommand,
		"zone":        zoneCommand,
	}
}

// nodeOf is the controller that a command names.
func (w *world) nodeOf(t *testing.T, d *datadriven.TestData) *simNode {
	return w.nodes[arg(t, d, "node", 0)]
}

// pick names controllers: one by number, "leader", "others" or "all".
func (w *world) pick(t *testing.T, d *datadriven.TestData) []*simNode {
	who := arg(t, d, "who", "all")
	var out []*simNode
	for _, n := range w.nodes {
		leads := n.alive && n.elector.Term() > 0
		if who == "all" || who == n.name || who == "leader" && leads || who == "others" && n.alive && !leads {
			out = append(out, n)
		}
	}
	if len(out) == 0 {
		d.Fatalf(t, "nobody is %s", who)
	}
	return out
}

// where lists the machines that a job's tasks are on.
func (w *world) where(ref string) (out []*simWorker) {
	for _, s := range w.workers {
		if !s.dead && slices.ContainsFunc(s.Tasks, func(t *fake.Task) bool { return t.Job.Ref == ref && t.IsActive() }) {
			out = append(out, s)
		}
	}
	return out
}

// on counts a job's tasks that are on machines.
func (w *world) on(ref string) (n int) {
	for _, s := range w.workers {
		for _, t := range s.Tasks {
			if t.Job.Ref == ref && t.IsActive() && !s.dead {
				n++
			}
		}
	}
	return n
}

func (w *world) await(n *simNode, ref, state string, within clock.Micros) string {
	for end := w.now + within; w.now < end; {
		if state == "off" { // the last task has ended, at this very step
			if w.run(step); w.on(ref) == 0 {
				return state
			}
			continue
		}
		w.run(clock.Second / 4)
		if r := w.hear(ref, n.lookUp(ref)); r.Code == 200 && string(r.Status.State) == state {
			return state
		}
	}
	return "not in time"
}
