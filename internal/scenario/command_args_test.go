package scenario

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"swiftledge/internal/clock"
	"swiftledge/internal/config"
	"swiftledge/wire"
)

// arg returns the value of a command's argument. The value passed in is the default.
func arg[T any](t *testing.T, d *datadriven.TestData, key string, value T) T {
	t.Helper()
	d.MaybeScanArgs(t, key, &value)
	return value
}

// duration returns the value of a command's argument that is a duration. The default is zero.
func duration(t *testing.T, d *datadriven.TestData, key string) clock.Micros {
	t.Helper()
	value, err := time.ParseDuration(arg(t, d, key, "0s"))
	if err != nil {
		d.Fatalf(t, "%s: %v", key, err)
	}
	return clock.Micros(value / time.Microsecond)
}

// controllerArg returns the controller that a command selects by its index.
func (w *world) controllerArg(t *testing.T, d *datadriven.TestData) *simController {
	t.Helper()
	return w.controllers[arg(t, d, "controller", 0)]
}

// controllersArg returns the controllers that a command selects with who=: the controller with the given name, "leader"
// (every controller that leads), "others" (all running controllers that do not lead) or "all".
func (w *world) controllersArg(t *testing.T, d *datadriven.TestData) []*simController {
	t.Helper()
	selector := arg(t, d, "who", "all")
	var selected []*simController
	for _, c := range w.controllers {
		isOther := c.running && !c.leads()
		if selector == "all" || selector == c.name || selector == "leader" && c.leads() || selector == "others" && isOther {
			selected = append(selected, c)
		}
	}
	if len(selected) == 0 {
		d.Fatalf(t, "no controller matches who=%s", selector)
	}
	return selected
}

// clusterWorld creates the cluster that the arguments of the cluster command describe.
func clusterWorld(t *testing.T, d *datadriven.TestData) *world {
	t.Helper()
	cfg := clusterConfig(t, d)
	w := newWorld(t.Name(), cfg, clusterTypes(t, d), uint64(arg(t, d, "seed", 1)))
	w.cloud.Capacity = arg(t, d, "capacity", 0)
	if d.HasArg("old_version") {
		for _, c := range w.controllers {
			c.runsOldVersion = true
			c.start()
		}
	}
	for i := range arg(t, d, "machines", 0) {
		w.addMachine("small", cfg.Facts.Zones[i%2], d.HasArg("spot"))
	}
	for range arg(t, d, "big", 0) {
		w.addMachine("big", "a", d.HasArg("spot"))
	}
	return w
}

// clusterConfig returns the settings of the cluster that the arguments of the cluster command describe.
func clusterConfig(t *testing.T, d *datadriven.TestData) config.Config {
	t.Helper()
	cfg := config.Config{Tuning: config.DefaultTuning()}
	f := &cfg.Facts
	f.InitialSize = arg(t, d, "controllers", 3)
	f.Zones = []string{"a", "b"}
	limit := float64(arg(t, d, "limit", 16))
	for _, name := range []string{"red", "blue"} {
		f.Teams = append(f.Teams, config.Team{Name: name, CPUs: 8, CPUsMax: limit})
	}
	if d.HasArg("guest") {
		f.Teams = append(f.Teams, config.Team{Name: "guest"}) // no guarantee, no limit
	}
	f.Workers.ReportS, f.Workers.LeaseS, f.Workers.CancelS = 3, 20, 45
	f.State.RPS, f.State.WriteRPS = 100, 20
	f.State.ValueKB, f.State.TxnOps = float64(arg(t, d, "value_kb", 4)), 8
	if d.HasArg("next_limits") {
		f.State.Next = &config.Next{WriteRPS: 15, ValueKB: 2, TxnOps: 4}
	}
	f.Cloud.RPS, f.Cloud.ListLagS = 4, 4
	f.Quota.CPU, f.Quota.MemMB, f.Quota.MaxSockets = 0.1, 125, 1500

	tuning := &cfg.Tuning
	tuning.Election.TTLS = float64(arg(t, d, "ttl", 3))
	tuning.Fleet.ReserveRatio = arg(t, d, "reserve", tuning.Fleet.ReserveRatio)
	if d.HasArg("rebalance") {
		tuning.Spread.Enabled = true
		tuning.Spread.LeaderCooldownS = float64(arg(t, d, "leader_cooldown", 5))
		tuning.Spread.MinRunS = float64(arg(t, d, "min_run", 5))
		tuning.Spread.TaskCooldownS = float64(arg(t, d, "task_cooldown", 60))
	}
	return cfg
}

// clusterTypes returns the machine types of the cluster that the arguments of the cluster command describe.
func clusterTypes(t *testing.T, d *datadriven.TestData) []wire.MachineType {
	t.Helper()
	small := wire.MachineType{
		Name:      "small",
		CPUs:      4,
		MemoryGB:  8,
		CacheGB:   40,
		FetchGBPS: 1,
		Price:     0.3,
		SpotPrice: 0.1,
		BootS:     float64(arg(t, d, "boot", 10)),
		ZoneNames: []string{"a", "b"},
	}
	big := small
	big.Name, big.CPUs, big.MemoryGB = "big", 16, 64
	big.Price, big.SpotPrice = 1.3, 0.5
	big.ZoneNames = []string{"a"}
	return []wire.MachineType{small, big}
}

// imageArg returns the name of the image of the job that a command describes. image_length and image_letter give a name
// of a repeated letter.
func imageArg(t *testing.T, d *datadriven.TestData) string {
	t.Helper()
	if length := arg(t, d, "image_length", 0); length > 0 {
		return strings.Repeat(arg(t, d, "image_letter", "i"), length)
	}
	return "img"
}

// submissionBody encodes the submission that a command describes. It also sets how long the job's tasks really run
// and which of them fail, which the simulated agents look up.
func (w *world) submissionBody(t *testing.T, d *datadriven.TestData, ref string) []byte {
	t.Helper()
	runSeconds := arg(t, d, "run", 10)
	job := wire.Job{
		Ref:         ref,
		Class:       arg(t, d, "class", "l"),
		Team:        arg(t, d, "team", "red"),
		Shape:       wire.Shape(arg(t, d, "shape", string(wire.ShapeBatch))),
		Priority:    wire.Priority(arg(t, d, "priority", string(wire.PriorityStandard))),
		Tasks:       arg(t, d, "tasks", 1),
		CPUs:        arg(t, d, "cpus", 1.0),
		MemoryGB:    arg(t, d, "memory", 1.0),
		Image:       imageArg(t, d),
		ImageGB:     1,
		OneZone:     d.HasArg("one_zone"),
		Spread:      d.HasArg("spread_zones"),
		Spot:        !d.HasArg("no_spot"),
		EstimateS:   float64(arg(t, d, "estimate", runSeconds)),
		CheckpointS: float64(arg(t, d, "checkpoint", 0)),
		SaveS:       2,
	}
	if machineType := arg(t, d, "type", ""); machineType != "" {
		job.Types = []string{machineType}
	}
	if deadline := float64(arg(t, d, "deadline", 0)); deadline > 0 {
		job.DeadlineS = &deadline
	}
	body, err := json.Marshal(job)
	must(err)
	w.users.submissions[ref] = body
	w.users.failEveryNth[ref] = arg(t, d, "fails_each", 0)
	w.users.runSeconds[ref] = float64(runSeconds)
	if job.IsService() {
		w.users.runSeconds[ref] = float64(arg(t, d, "ends", 0))
	}
	return body
}
