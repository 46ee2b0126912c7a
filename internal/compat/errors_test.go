package compat

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"

	"swiftledge/internal/api"
	"swiftledge/internal/clock"
	"swiftledge/internal/config"
	"swiftledge/internal/shard"
	"swiftledge/wire"
)

// faultySettings is the platform's file with one part of it replaced.
func faultySettings(t *testing.T, part, by string) string {
	t.Helper()
	raw, err := json.Marshal(platformSettings())
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(raw), part) {
		t.Fatalf("the settings have no %s", part)
	}
	return strings.Replace(string(raw), part, by, 1)
}

// What an operator is told of settings that cannot be used. Some of it has Go names: of types and,
// for a rule that compares two fields, of a field.
func TestTextsOfSettingsErrors(t *testing.T) {
	cases := []struct{ name, part, by, tuning, want string }{
		{"no name", `"host_name":"c0"`, `"host_name":""`, "", "settings FILE: host_name is missing or invalid (required)"},
		{"peer without a name", `"host_name":"c1"`, `"host_name":""`, "", "settings FILE: others[0].host_name is missing or invalid (required)"},
		{"endpoint", "127.0.0.1:5", "nowhere", "", "settings FILE: endpoints.state is missing or invalid (hostname_port)"},
		{"team", `"cpus":1,"cpus_max"`, `"cpus":-1,"cpus_max"`, "", "settings FILE: facts.teams[0].cpus is missing or invalid (min=0)"},
		{"worker", `"lease_s":22`, `"lease_s":0`, "", "settings FILE: facts.workers.lease_s is missing or invalid (gt=0)"},
		{"later limit", `"write_rps":10`, `"write_rps":-1`, "", "settings FILE: facts.state.next.write_rps is missing or invalid (gt=0)"},
		{"form", `"host_name":"c0"`, `"host_name":7`, "", "settings FILE: json: cannot unmarshal number into Go struct field Settings.host_name of type string"},
		{"form of a team", `"name":"vision"`, `"name":7`, "", "settings FILE: json: cannot unmarshal number into Go struct field Team.facts.teams.name of type string"},
		{"form of an objective", `"kind":"wait"`, `"kind":7`, "", "settings FILE: json: cannot unmarshal number into Go struct field Objective.facts.objectives.kind of type string"},
		{"unknown section", "", "", "placing: {k: 1}", "operators' settings FILE: yaml: unmarshal errors: line 1: field placing not found in type config.Tuning"},
		{"unknown key", "", "", "placement: {q: 1}", "operators' settings FILE: yaml: unmarshal errors: line 1: field q not found in type config.Placement"},
		{"unknown key of queues", "", "", "queues: {q: 1}", "operators' settings FILE: yaml: unmarshal errors: line 1: field q not found in type config.Queues"},
		{"unknown key of grants", "", "", "grants: {q: 1}", "operators' settings FILE: yaml: unmarshal errors: line 1: field q not found in type config.Grants"},
		{"unknown key of election", "", "", "election: {q: 1}", "operators' settings FILE: yaml: unmarshal errors: line 1: field q not found in type config.Election"},
		{"unknown key of fleet", "", "", "fleet: {q: 1}", "operators' settings FILE: yaml: unmarshal errors: line 1: field q not found in type config.Fleet"},
		{"unknown key of spread", "", "", "spread: {q: 1}", "operators' settings FILE: yaml: unmarshal errors: line 1: field q not found in type config.Spread"},
		{"unknown key of trace", "", "", "trace: {q: 1}", "operators' settings FILE: yaml: unmarshal errors: line 1: field q not found in type config.Trace"},
		{"section", "", "", "placement: 1", "operators' settings FILE: yaml: unmarshal errors: line 1: cannot unmarshal !!int `1` into config.Placement"},
		{"whole number", "", "", "grants: {blocks: 1.5}", "operators' settings FILE: line 1: 1.5 is no whole number"},
		{"range", "", "", "grants: {time_s: 0}", "operators' settings FILE: grants.time_s is missing or invalid (gte=2)"},
		{"order", "", "", "spread: {bound: 2}", "operators' settings FILE: spread.move_above is missing or invalid (gtfield=Bound)"},
		{"budget", "", "", "election: {ttl_s: 29}", "workers.cancel_s 52 leaves 0.0 s for a grant, after workers.lease_s 22 and election.ttl_s 29; at least 2 s are needed"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			platform, tuning := filepath.Join(t.TempDir(), "settings"), filepath.Join(t.TempDir(), "tuning")
			if err := os.WriteFile(platform, []byte(faultySettings(t, c.part, c.by)), 0o600); err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(tuning, []byte(c.tuning), 0o600); err != nil {
				t.Fatal(err)
			}
			_, err := config.Load(platform, tuning)
			if err == nil {
				t.Fatal("taken as they are")
			}
			if got := strings.NewReplacer(platform, "FILE", tuning, "FILE").Replace(err.Error()); got != c.want {
				t.Errorf("told %q, want %q", got, c.want)
			}
		})
	}
}

// serveAPI serves users and workers and gives the address.
func serveAPI(t *testing.T) string {
	t.Helper()
	cfg := &config.Config{Settings: platformSettings()}
	directory := api.NewJobCache(cfg, func() clock.Micros { return 0 })
	go directory.Run(t.Context())
	answer := func(*wire.Heartbeat) shard.HeartbeatReply { return shard.HeartbeatReply{Status: 200} }
	service := api.New(api.Options{
		Config:          cfg,
		Jobs:            directory,
		StoreHealthy:    func() bool { return true },
		HandleHeartbeat: answer,
	})
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() { _ = service.Serve(t.Context(), l) }()
	return l.Addr().String()
}

// post sends a body and gives the status and the body of the answer.
func post(t *testing.T, address, path, body string) (int, string) {
	t.Helper()
	c, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	head := "POST " + path + " HTTP/1.1\r\nHost: a\r\nContent-Type: application/json\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n"
	if _, err := io.WriteString(c, head+body); err != nil {
		t.Fatal(err)
	}
	var res fasthttp.Response
	if err := res.Read(bufio.NewReader(c)); err != nil {
		t.Fatal(err)
	}
	return res.StatusCode(), string(res.Body())
}

// What users and workers are told of bodies that cannot be read or used. The decoder names Go types.
func TestTextsOfRefusals(t *testing.T) {
	address := serveAPI(t)
	cases := []struct {
		name, path, body string
		code             int
		want             string
	}{
		{"job of another form", "/api/jobs", `{"lots":"many"}`, 400, `{"error":"not a job: json: cannot unmarshal string into Go struct field JobForm.lots of type int"}`},
		{"no object", "/api/jobs", `[]`, 400, `{"error":"not a job: json: cannot unmarshal array into Go value of type wire.JobForm"}`},
		{"no ref", "/api/jobs", `{}`, 400, `{"error":"ref is missing or invalid (required)"}`},
		{"bad ref", "/api/jobs", strings.Replace(string(exactJob(t)), "j-000412", "j-1", 1), 400, `{"error":"ref is missing or invalid (jobref)"}`},
		{"report of another form", "/agent/beat", `{"tally":"x"}`, 400, `{"error":"report: json: cannot unmarshal string into Go struct field Report.tally of type uint64"}`},
		{"report of a task of another form", "/agent/beat", `{"lots":[{"try":"x"}]}`, 400, `{"error":"report: json: cannot unmarshal string into Go struct field Report.lots.0.try of type uint64"}`},
		{"report that is no object", "/agent/beat", `[]`, 400, `{"error":"report: json: cannot unmarshal array into Go value of type wire.Report"}`},
		{"answer without orders", "/agent/beat", `{}`, 200, `{"baton":0,"orders":null}`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if code, got := post(t, address, c.path, c.body); code != c.code || got != c.want {
				t.Errorf("answered %d %s, want %d %s", code, got, c.code, c.want)
			}
		})
	}
}

// exactJob is a submission.
func exactJob(t *testing.T) []byte {
	t.Helper()
	raw, err := json.Marshal(batch)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}
