package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"go.yaml.in/yaml/v3"
)

// validSettings is a valid settings file of the platform.
const validSettings = `{"host_name":"c0","site":"a","serve_on":"127.0.0.1:1","back":"127.0.0.1:2","others":[],"novelty":1,
"endpoints":{"cloud":"127.0.0.1:3","state":"127.0.0.1:4"},
"facts":{"initial_size":1,"zones":["a"],"teams":[{"name":"t","cpus":1,"cpus_max":2,"gpus":0,"gpus_max":0}],
"workers":{"report_s":3,"lease_s":20,"cancel_s":40},"state":{"rps":100,"write_rps":10,"value_kb":4,"txn_ops":8},
"cloud":{"rps":5,"list_lag_s":4},"quota":{"cpu":0.1,"mem_mb":125,"max_sockets":100},"skew_ms":10}}`

// writeFile writes a file into a temporary directory and returns its path.
func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestLoad(t *testing.T) {
	cases := []struct{ name, settings, tuning, want string }{
		{"valid", validSettings, "", ""},
		{"valid with tuning", validSettings, "placement: {k: 0.5}", ""},
		{"valid without tuning", validSettings, "", ""},
		// Unknown fields are ignored, also those that differ from a known one in case alone.
		{"unknown field", strings.Replace(validSettings, `"site":"a"`, `"site":"a","Site":7,"FACTS":{},"endpointS":0`, 1), "", ""},
		{"field in another case", strings.Replace(validSettings, `"host_name"`, `"Host_Name"`, 1), "", "host_name"},
		{"no host name", strings.Replace(validSettings, `"host_name":"c0",`, "", 1), "", "host_name"},
		{"invalid address", strings.Replace(validSettings, "127.0.0.1:4", "nowhere", 1), "", "endpoints.state"},
		{"no teams", strings.Replace(validSettings, `"teams"`, `"crews"`, 1), "", "facts.teams"},
		{"two errors", strings.Replace(strings.Replace(validSettings, `"rps":100`, `"rps":0`, 1), `"txn_ops":8`, `"txn_ops":0`, 1), "", "facts.state.txn_ops"},
		{"next limits", strings.Replace(validSettings, `"txn_ops":8`, `"txn_ops":8,"next":{"value_kb":2,"txn_ops":4,"write_rps":15}`, 1), "", ""},
		{"invalid next limits",
			strings.Replace(validSettings, `"txn_ops":8`, `"txn_ops":8,"next":{"value_kb":0.5,"txn_ops":4}`, 1),
			"", "facts.state.next.value_kb"},
		{"invalid JSON", "{", "", "unexpected end"},
		{"unknown key", validSettings, "placement: {q: 1}", "q"},
		{"out of range", validSettings, "grants: {time_s: 0}", "grants.time_s"},
		{"wrong type", validSettings, "grants: {blocks: many}", "many"},
		{"not an integer", validSettings, "grants: {blocks: 1.5}", "1.5"},
	}
	for _, c := range cases {
		var tuning []string
		if c.tuning != "" {
			tuning = append(tuning, writeFile(t, "t.yaml", c.tuning))
		}
		_, err := Load(writeFile(t, "s.json", c.settings), tuning...)
		switch {
		case c.want == "" && err != nil:
			t.Errorf("%s: error %v, want none", c.name, err)
		case c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n")):
			t.Errorf("%s: error is %v, want one line that contains %s", c.name, err, c.want)
		}
	}
}

// The files in deploy, from which operators start, contain every setting with its default value. The version in
// production rejects unknown keys, so newer sections have their own files, which also enable the feature.
func TestDeployedTuningMatchesDefaults(t *testing.T) {
	var got Tuning
	for _, file := range []string{"swiftledge.yaml", "spread.yaml", "trace.yaml"} {
		raw, err := os.ReadFile("../../deploy/" + file)
		if err != nil {
			t.Fatal(err)
		}
		if err := yaml.Unmarshal(raw, &got); err != nil {
			t.Fatal(err)
		}
		if file == "swiftledge.yaml" && (got.Spread != (Spread{}) || got.Trace != (Trace{})) {
			t.Error("deploy/swiftledge.yaml has a section that the version in production rejects")
		}
	}
	want := DefaultTuning()
	want.Spread.Enabled, want.Trace.File = true, "swiftledge-trace.jsonl"
	if got != want {
		t.Errorf("the files in deploy contain %+v, want %+v", got, want)
	}
}

// A later file changes only the settings that it names. The error for a bad value is one line that names the file
// with that value.
func TestLaterTuningFileOverridesOnlyItsKeys(t *testing.T) {
	platform := writeFile(t, "s.json", validSettings)
	base := writeFile(t, "base.yaml", "placement: {k: 0.5, eta: 0.1}\nfleet: {idle_s: 7}")
	cfg, err := Load(platform, base, writeFile(t, "over.yaml", "placement: {eta: 0.2}\nspread: {enabled: true}"))
	if err != nil {
		t.Fatal(err)
	}
	want := DefaultTuning()
	want.Placement.AffinityDecay, want.Placement.MinAffinity, want.Fleet.IdleTimeoutS, want.Spread.Enabled = 0.5, 0.2, 7, true
	if cfg.Tuning != want {
		t.Errorf("tuning is %+v, want %+v", cfg.Tuning, want)
	}
	for _, bad := range []struct{ name, text, want string }{
		{"range.yaml", "spread: {bound: 0.5}", "spread.bound"},
		{"unknown.yaml", "spread: {bond: 2}", "bond"},
		{"order.yaml", "spread: {bound: 2}", "spread.move_above"},
		{"form.yaml", "spread: [", "yaml"},
	} {
		file := writeFile(t, bad.name, bad.text)
		_, err := Load(platform, base, file)
		if err == nil || !strings.Contains(err.Error(), bad.want) || !strings.Contains(err.Error(), file) ||
			strings.Contains(err.Error(), base) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error is %v, want one line that contains the file name and %s", bad.name, err, bad.want)
		}
	}
	if _, err := Load(platform, base, "nowhere.yaml"); err == nil || !strings.Contains(err.Error(), "nowhere.yaml") || strings.Contains(err.Error(), "\n") {
		t.Errorf("error for a missing file is %v, want one line that contains its name", err)
	}
}

// The next limits may take effect at any moment, so writes observe the smaller of both limits from the start.
func TestSmallerStoreLimitsApply(t *testing.T) {
	var cfg Config
	cfg.Facts.State.ValueKB, cfg.Facts.State.TxnOps = 4, 8
	if cfg.MaxValueBytes() != 4096 || cfg.MaxTxnWrites() != 8 {
		t.Errorf("limits are %d bytes and %d writes without next limits, want 4096 and 8", cfg.MaxValueBytes(), cfg.MaxTxnWrites())
	}
	cfg.Facts.State.Next = &Next{ValueKB: 2, TxnOps: 4}
	if cfg.MaxValueBytes() != 2048 || cfg.TargetValueBytes() >= 2048 || cfg.MaxTxnWrites() != 4 {
		t.Errorf("limits are %d bytes (target %d) and %d writes with smaller next limits, want 2048 (target below) and 4",
			cfg.MaxValueBytes(), cfg.TargetValueBytes(), cfg.MaxTxnWrites())
	}
	cfg.Facts.State.Next = &Next{ValueKB: 64}
	if cfg.MaxValueBytes() != 4096 || cfg.MaxTxnWrites() != 8 {
		t.Errorf("limits are %d bytes and %d writes with larger next limits, want 4096 and 8", cfg.MaxValueBytes(), cfg.MaxTxnWrites())
	}
}

// The maximum age of the leader's view, a grant and an agent's lease in sequence, plus clock drift, end within
// cancel_s for all of the operators' settings. Load returns an error if no time is left for a grant.
func TestGrantTimeFitsCancellationTime(t *testing.T) {
	for _, ttl := range []float64{1, 3, 8, 12} {
		for _, leaseAndCancelS := range [][2]float64{{22, 52}, {17, 37}, {31, 61}, {26.5, 46.5}} {
			cfg := Config{Tuning: DefaultTuning()}
			cfg.Tuning.Grants.DurationS, cfg.Tuning.Election.TTLS = 120, ttl
			cfg.Facts.Workers.LeaseS, cfg.Facts.Workers.CancelS = leaseAndCancelS[0], leaseAndCancelS[1]
			totalS := float64(cfg.MaxViewAge()+cfg.GrantTime()+cfg.AgentLeaseTime()) / 1e6
			if totalS += 0.0005*leaseAndCancelS[1] + 0.5; totalS > leaseAndCancelS[1] {
				t.Errorf("ttl %g, lease %g, cancel %g: tasks may run for %.2f s, want at most cancel_s", ttl, leaseAndCancelS[0], leaseAndCancelS[1], totalS)
			}
			if cfg.LongestGrantTime() < cfg.GrantTime() {
				t.Error("LongestGrantTime is shorter than GrantTime: a shard could be granted again before a silent holder's grant has ended")
			}
		}
	}
	_, err := Load(writeFile(t, "s.json", validSettings), writeFile(t, "t.yaml", "election: {ttl_s: 18}"))
	if err == nil || !strings.Contains(err.Error(), "cancel_s") {
		t.Errorf("error is %v, want one that says that cancel_s leaves no time for a grant", err)
	}
}
