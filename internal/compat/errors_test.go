package compat

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"os"
	"path/filepath"
	"slices"
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

// settingsErrorCase is a mistake in the settings, and what an operator is told of it.
type settingsErrorCase struct {
	name     string
	part, by string // of the platform's file: what is replaced, and by what
	tuning   string // the operators' file
	want     string
}

// platformErrorCases are mistakes in the platform's file.
func platformErrorCases() []settingsErrorCase {
	return []settingsErrorCase{
		{
			name: "no name",
			part: `"host_name":"c0"`,
			by:   `"host_name":""`,
			want: "settings FILE: host_name is missing or invalid (required)",
		},
		{
			name: "peer without a name",
			part: `"host_name":"c1"`,
			by:   `"host_name":""`,
			want: "settings FILE: others[0].host_name is missing or invalid (required)",
		},
		{
			name: "endpoint",
			part: "127.0.0.1:5",
			by:   "nowhere",
			want: "settings FILE: endpoints.state is missing or invalid (hostname_port)",
		},
		{
			name: "team",
			part: `"cpus":1,"cpus_max"`,
			by:   `"cpus":-1,"cpus_max"`,
			want: "settings FILE: facts.teams[0].cpus is missing or invalid (min=0)",
		},
		{
			name: "worker",
			part: `"lease_s":22`,
			by:   `"lease_s":0`,
			want: "settings FILE: facts.workers.lease_s is missing or invalid (gt=0)",
		},
		{
			name: "later limit",
			part: `"write_rps":10`,
			by:   `"write_rps":-1`,
			want: "settings FILE: facts.state.next.write_rps is missing or invalid (gt=0)",
		},
		{
			name: "form",
			part: `"host_name":"c0"`,
			by:   `"host_name":7`,
			want: "settings FILE: json: cannot unmarshal number into Go struct field Settings.host_name of type string",
		},
		{
			name: "form of a team",
			part: `"name":"vision"`,
			by:   `"name":7`,
			want: "settings FILE: json: cannot unmarshal number into Go struct field Team.facts.teams.name of type string",
		},
		{
			name: "form of an objective",
			part: `"kind":"wait"`,
			by:   `"kind":7`,
			want: "settings FILE: json: cannot unmarshal number into Go struct field Objective.facts.objectives.kind of type string",
		},
	}
}

// tuningErrorCases are mistakes in the operators' file.
func tuningErrorCases() []settingsErrorCase {
	return []settingsErrorCase{
		{
			name:   "unknown section",
			tuning: "placing: {k: 1}",
			want:   "operators' settings FILE: yaml: unmarshal errors: line 1: field placing not found in type config.Tuning",
		},
		{
			name:   "unknown key",
			tuning: "placement: {q: 1}",
			want:   "operators' settings FILE: yaml: unmarshal errors: line 1: field q not found in type config.Placement",
		},
		{
			name:   "unknown key of queues",
			tuning: "queues: {q: 1}",
			want:   "operators' settings FILE: yaml: unmarshal errors: line 1: field q not found in type config.Queues",
		},
		{
			name:   "unknown key of grants",
			tuning: "grants: {q: 1}",
			want:   "operators' settings FILE: yaml: unmarshal errors: line 1: field q not found in type config.Grants",
		},
		{
			name:   "unknown key of election",
			tuning: "election: {q: 1}",
			want:   "operators' settings FILE: yaml: unmarshal errors: line 1: field q not found in type config.Election",
		},
		{
			name:   "unknown key of fleet",
			tuning: "fleet: {q: 1}",
			want:   "operators' settings FILE: yaml: unmarshal errors: line 1: field q not found in type config.Fleet",
		},
		{
			name:   "unknown key of spread",
			tuning: "spread: {q: 1}",
			want:   "operators' settings FILE: yaml: unmarshal errors: line 1: field q not found in type config.Spread",
		},
		{
			name:   "unknown key of trace",
			tuning: "trace: {q: 1}",
			want:   "operators' settings FILE: yaml: unmarshal errors: line 1: field q not found in type config.Trace",
		},
		{
			name:   "section",
			tuning: "placement: 1",
			want:   "operators' settings FILE: yaml: unmarshal errors: line 1: cannot unmarshal !!int `1` into config.Placement",
		},
		{
			name:   "whole number",
			tuning: "grants: {blocks: 1.5}",
			want:   "operators' settings FILE: line 1: 1.5 is no whole number",
		},
		{
			name:   "range",
			tuning: "grants: {time_s: 0}",
			want:   "operators' settings FILE: grants.time_s is missing or invalid (gte=2)",
		},
		{
			name:   "order",
			tuning: "spread: {bound: 2}",
			want:   "operators' settings FILE: spread.move_above is missing or invalid (gtfield=Bound)",
		},
		{
			name:   "budget",
			tuning: "election: {ttl_s: 29}",
			want:   "workers.cancel_s 52 leaves 0.0 s for a grant, after workers.lease_s 22 and election.ttl_s 29; at least 2 s are needed",
		},
	}
}

// What an operator is told of settings that cannot be used. Some of it has Go names: of types and,
// for a rule that compares two fields, of a field.
func TestTextsOfSettingsErrors(t *testing.T) {
	for _, c := range slices.Concat(platformErrorCases(), tuningErrorCases()) {
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
	cache := api.NewJobCache(cfg, func() clock.Micros { return 0 })
	go cache.Run(t.Context())
	answer := func(*wire.Heartbeat) shard.HeartbeatReply { return shard.HeartbeatReply{Status: 200} }
	service := api.New(api.Options{
		Config:          cfg,
		Jobs:            cache,
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
		{
			name: "job of another form",
			path: "/api/jobs",
			body: `{"lots":"many"}`,
			code: 400,
			want: `{"error":"not a job: json: cannot unmarshal string into Go struct field JobForm.lots of type int"}`,
		},
		{
			name: "no object",
			path: "/api/jobs",
			body: `[]`,
			code: 400,
			want: `{"error":"not a job: json: cannot unmarshal array into Go value of type wire.JobForm"}`,
		},
		{
			name: "no ref",
			path: "/api/jobs",
			body: `{}`,
			code: 400,
			want: `{"error":"ref is missing or invalid (required)"}`,
		},
		{
			name: "bad ref",
			path: "/api/jobs",
			body: strings.Replace(string(exactJob(t)), "j-000412", "j-1", 1),
			code: 400,
			want: `{"error":"ref is missing or invalid (jobref)"}`,
		},
		{
			name: "report of another form",
			path: "/agent/beat",
			body: `{"tally":"x"}`,
			code: 400,
			want: `{"error":"report: json: cannot unmarshal string into Go struct field Report.tally of type uint64"}`,
		},
		{
			name: "report of a task of another form",
			path: "/agent/beat",
			body: `{"lots":[{"try":"x"}]}`,
			code: 400,
			want: `{"error":"report: json: cannot unmarshal string into Go struct field Report.lots.0.try of type uint64"}`,
		},
		{
			name: "report that is no object",
			path: "/agent/beat",
			body: `[]`,
			code: 400,
			want: `{"error":"report: json: cannot unmarshal array into Go value of type wire.Report"}`,
		},
		{
			name: "answer without orders",
			path: "/agent/beat",
			body: `{}`,
			code: 200,
			want: `{"baton":0,"orders":null}`,
		},
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
