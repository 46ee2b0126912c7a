package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"go.yaml.in/yaml/v3"
)

// validSettings is a file of the platform.
const validSettings = `{"host_name":"c0","site":"a","serve_on":"127.0.0.1:1","back":"127.0.0.1:2","others":[],"novelty":1,
"endpoints":{"cloud":"127.0.0.1:3","state":"127.0.0.1:4"},
"facts":{"initial_size":1,"zones":["a"],"teams":[{"name":"t","cpus":1,"cpus_max":2,"gpus":0,"gpus_max":0}],
"workers":{"report_s":3,"lease_s":20,"cancel_s":40},"state":{"rps":100,"write_rps":10,"value_kb":4,"txn_ops":8},
"cloud":{"rps":5,"list_lag_s":4},"quota":{"cpu":0.1,"mem_mb":125,"max_sockets":100},"skew_ms":10}}`

// writeFile writes a file of the test and returns its path.
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
		{"good", validSettings, "", ""},
		{"tuned", validSettings, "placement: {k: 0.5}", ""},
		{"empty tuning", validSettings, "", ""},
		{"no host name", strings.Replace(validSettings, `"host_name":"c0",`, "", 1), "", "host_name"},
		{"bad address", strings.Replace(validSettings, "127.0.0.1:4", "nowhere", 1), "", "endpoints.state"},
		{"no teams", strings.Replace(validSettings, `"teams"`, `"crews"`, 1), "", "facts.teams"},
		{"two faults", strings.Replace(strings.Replace(validSettings, `"rps":100`, `"rps":0`, 1), `"txn_ops":8`, `"txn_ops":0`, 1), "", "facts.state.txn_ops"},
		{"limits of later", strings.Replace(validSettings, `"txn_ops":8`, `"txn_ops":8,"next":{"value_kb":2,"txn_ops":4,"write_rps":15}`, 1), "", ""},
		{"unusable limits of later",
			strings.Replace(validSettings, `"txn_ops":8`, `"txn_ops":8,"next":{"value_kb":0.5,"txn_ops":4}`, 1),
			"", "facts.state.next.value_kb"},
		{"broken", "{", "", "unexpected end"},
		{"unknown key", validSettings, "placement: {q: 1}", "q"},
		{"out of range", validSettings, "grants: {time_s: 0}", "grants.time_s"},
		{"wrong form", validSettings, "grants: {blocks: many}", "many"},
		{"no whole number", validSettings, "grants: {blocks: 1.5}", "1.5"},
	}
	for _, c := range cases {
		var tuning []string
		if c.tuning != "" {
			tuning = append(tuning, writeFile(t, "t.yaml", c.tuning))
		}
		_, err := Load(writeFile(t, "s.json", c.settings), tuning...)
		switch {
		case c.want == "" && err != nil:
			t.Errorf("%s: %v", c.name, err)
		case c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n")):
			t.Errorf("%s: error %v, want one line naming %s", c.name, err, c.want)
		}
	}
}

// The files that operators start from state the defaults, all of them. The version in production refuses
// keys that it does not know, so those that came later are in files of their own, which turn on what
// they are about.
func TestDeployedTuningIsTheDefault(t *testing.T) {
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
			t.Error("deploy/swiftledge.yaml says something that came later")
		}
	}
	want := DefaultTuning()
	want.Spread.Enabled, want.Trace.File = true, "swiftledge-trace.jsonl"
	if got != want {
		t.Errorf("the files in deploy say %+v, the defaults are %+v", got, want)
	}
}

// Several files: the later one changes what it names and nothing else, and a bad value is told in one line
// with the file that brought it.
func TestLaterFilesChangeWhatTheyName(t *testing.T) {
	platform := writeFile(t, "s.json", validSettings)
	base := writeFile(t, "base.yaml", "placement: {k: 0.5, eta: 0.1}\nfleet: {idle_s: 7}")
	c, err := Load(platform, base, writeFile(t, "over.yaml", "placement: {eta: 0.2}\nspread: {enabled: true}"))
	if err != nil {
		t.Fatal(err)
	}
	want := DefaultTuning()
	want.Placement.AffinityDecay, want.Placement.MinAffinity, want.Fleet.IdleTimeoutS, want.Spread.Enabled = 0.5, 0.2, 7, true
	if c.Tuning != want {
		t.Errorf("got %+v, want %+v", c.Tuning, want)
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
			t.Errorf("%s: error %v, want one line with the file and %s", bad.name, err, bad.want)
		}
	}
	if _, err := Load(platform, base, "nowhere.yaml"); err == nil || !strings.Contains(err.Error(), "nowhere.yaml") || strings.Contains(err.Error(), "\n") {
		t.Errorf("error %v for a file that is not there", err)
	}
}

// Limits may fall at any moment: what is written fits the smaller of both from the start.
func TestTheSmallerLimitsHold(t *testing.T) {
	var c Config
	c.Facts.State.ValueKB, c.Facts.State.TxnOps = 4, 8
	if c.MaxValueBytes() != 4096 || c.MaxTxnWrites() != 8 {
		t.Errorf("%d bytes and %d operations without limits of later", c.MaxValueBytes(), c.MaxTxnWrites())
	}
	c.Facts.State.Next = &Next{ValueKB: 2, TxnOps: 4}
	if c.MaxValueBytes() != 2048 || c.TargetValueBytes() >= 2048 || c.MaxTxnWrites() != 4 {
		t.Errorf("%d bytes, %d used, and %d operations", c.MaxValueBytes(), c.TargetValueBytes(), c.MaxTxnWrites())
	}
	c.Facts.State.Next = &Next{ValueKB: 64}
	if c.MaxValueBytes() != 4096 || c.MaxTxnWrites() != 8 {
		t.Errorf("%d bytes and %d operations with larger limits of later", c.MaxValueBytes(), c.MaxTxnWrites())
	}
}

// The time budget of a cancellation: the leader's view, a grant and a worker's lease, with
// what clocks drift apart, end within cancel_s whatever the operators set; where nothing is
// left for a grant, the program says so.
func TestGrantFitsTheBudgetOfACancellation(t *testing.T) {
	for _, ttl := range []float64{1, 3, 8, 12} {
		for _, s := range [][2]float64{{22, 52}, {17, 37}, {31, 61}, {26.5, 46.5}} {
			c := Config{Tuning: DefaultTuning()}
			c.Tuning.Grants.TimeS, c.Tuning.Election.TTLS = 120, ttl
			c.Facts.Workers.LeaseS, c.Facts.Workers.CancelS = s[0], s[1]
			all := float64(c.MaxViewAge()+c.GrantTime()+c.AgentLeaseTime()) / 1e6
			if all += 0.0005*s[1] + 0.5; all > s[1] {
				t.Errorf("ttl %g, lease %g, cancel %g: tasks may go on for %.2f s", ttl, s[0], s[1], all)
			}
			if c.LongestGrantTime() < c.GrantTime() {
				t.Error("silence is taken for proof before a grant has ended")
			}
		}
	}
	_, err := Load(writeFile(t, "s.json", validSettings), writeFile(t, "t.yaml", "election: {ttl_s: 18}"))
	if err == nil || !strings.Contains(err.Error(), "cancel_s") {
		t.Errorf("error %v, want one that says that nothing is left for a grant", err)
	}
}
