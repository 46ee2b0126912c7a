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

// faultySettings returns the text of the platform's settings file with one part of it replaced.
func faultySettings(t *testing.T, part, replacement string) string {
	t.Helper()
	raw, err := json.Marshal(platformSettings())
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(raw), part) {
		t.Fatalf("the platform's settings do not contain %s, which the test replaces", part)
	}
	return strings.Replace(string(raw), part, replacement, 1)
}

// settingsErrorCase is a mistake in the settings, and the error that the operator gets.
type settingsErrorCase struct {
	name              string
	part, replacement string // a part of the platform's settings file, and what replaces it
	tuning            string // the text of the operators' settings file
	want              string // the error text, with FILE for the path of the file
}

// platformErrorCases returns mistakes in the platform's settings file.
func platformErrorCases() []settingsErrorCase {
	return []settingsErrorCase{
		{
			name:        "missing name",
			part:        `"host_name":"c0"`,
			replacement: `"host_name":""`,
			want:        "settings FILE: host_name is missing or invalid (required)",
		},
		{
			name:        "missing name of a peer",
			part:        `"host_name":"c1"`,
			replacement: `"host_name":""`,
			want:        "settings FILE: others[0].host_name is missing or invalid (required)",
		},
		{
			name:        "invalid endpoint",
			part:        "127.0.0.1:5",
			replacement: "nowhere",
			want:        "settings FILE: endpoints.state is missing or invalid (hostname_port)",
		},
		{
			name:        "negative guarantee of a team",
			part:        `"cpus":1,"cpus_max"`,
			replacement: `"cpus":-1,"cpus_max"`,
			want:        "settings FILE: facts.teams[0].cpus is missing or invalid (min=0)",
		},
		{
			name:        "lease of zero",
			part:        `"lease_s":22`,
			replacement: `"lease_s":0`,
			want:        "settings FILE: facts.workers.lease_s is missing or invalid (gt=0)",
		},
		{
			name:        "negative announced limit",
			part:        `"write_rps":10`,
			replacement: `"write_rps":-1`,
			want:        "settings FILE: facts.state.next.write_rps is missing or invalid (gt=0)",
		},
		{
			name:        "wrong type",
			part:        `"host_name":"c0"`,
			replacement: `"host_name":7`,
			want:        "settings FILE: json: cannot unmarshal number into Go struct field Settings.host_name of type string",
		},
		{
			name:        "wrong type in a team",
			part:        `"name":"vision"`,
			replacement: `"name":7`,
			want:        "settings FILE: json: cannot unmarshal number into Go struct field Team.facts.teams.name of type string",
		},
		{
			name:        "wrong type in an objective",
			part:        `"kind":"wait"`,
			replacement: `"kind":7`,
			want:        "settings FILE: json: cannot unmarshal number into Go struct field Objective.facts.objectives.kind of type string",
		},
	}
}

// tuningErrorCases returns mistakes in the operators' settings file.
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
			name:   "wrong type of a section",
			tuning: "placement: 1",
			want:   "operators' settings FILE: yaml: unmarshal errors: line 1: cannot unmarshal !!int `1` into config.Placement",
		},
		{
			name:   "fraction for a whole number",
			tuning: "grants: {blocks: 1.5}",
			want:   "operators' settings FILE: line 1: 1.5 is no whole number",
		},
		{
			name:   "value below the minimum",
			tuning: "grants: {time_s: 0}",
			want:   "operators' settings FILE: grants.time_s is missing or invalid (gte=2)",
		},
		{
			name:   "move_above below bound",
			tuning: "spread: {bound: 2}",
			want:   "operators' settings FILE: spread.move_above is missing or invalid (gtfield=Bound)",
		},
		{
			name:   "no time left for a grant",
			tuning: "election: {ttl_s: 29}",
			want:   "workers.cancel_s 52 leaves 0.0 s for a grant, after workers.lease_s 22 and election.ttl_s 29; at least 2 s are needed",
		},
	}
}

// TestSettingsErrorTexts checks the error texts for settings that cannot be used. Some texts contain Go names: names of
// types and, for a rule that compares two fields, the name of a field.
func TestSettingsErrorTexts(t *testing.T) {
	for _, c := range slices.Concat(platformErrorCases(), tuningErrorCases()) {
		t.Run(c.name, func(t *testing.T) {
			platform, tuning := filepath.Join(t.TempDir(), "settings"), filepath.Join(t.TempDir(), "tuning")
			if err := os.WriteFile(platform, []byte(faultySettings(t, c.part, c.replacement)), 0o600); err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(tuning, []byte(c.tuning), 0o600); err != nil {
				t.Fatal(err)
			}
			_, err := config.Load(platform, tuning)
			if err == nil {
				t.Fatal("invalid settings were accepted, want an error")
			}
			if got := strings.NewReplacer(platform, "FILE", tuning, "FILE").Replace(err.Error()); got != c.want {
				t.Errorf("error was %q, want %q", got, c.want)
			}
		})
	}
}

// serveAPI starts the API for users and agents, and returns its address.
func serveAPI(t *testing.T) string {
	t.Helper()
	cfg := &config.Config{Settings: platformSettings()}
	cache := api.NewJobCache(cfg, func() clock.Micros { return 0 })
	go cache.Run(t.Context())
	handleHeartbeat := func(*wire.Heartbeat) shard.HeartbeatReply { return shard.HeartbeatReply{Status: 200} }
	service := api.New(api.Options{
		Config:          cfg,
		Jobs:            cache,
		StoreHealthy:    func() bool { return true },
		HandleHeartbeat: handleHeartbeat,
	})
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() { _ = service.Serve(t.Context(), listener) }()
	return listener.Addr().String()
}

// post sends a POST request with a body, and returns the status code and the body of the response.
func post(t *testing.T, address, path, body string) (int, string) {
	t.Helper()
	connection, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	defer connection.Close()
	header := "POST " + path + " HTTP/1.1\r\nHost: a\r\nContent-Type: application/json\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n"
	if _, err := io.WriteString(connection, header+body); err != nil {
		t.Fatal(err)
	}
	var response fasthttp.Response
	if err := response.Read(bufio.NewReader(connection)); err != nil {
		t.Fatal(err)
	}
	return response.StatusCode(), string(response.Body())
}

// TestRefusalTexts checks the responses to users and agents whose request bodies cannot be decoded or used. The
// decoder's errors name Go types.
func TestRefusalTexts(t *testing.T) {
	address := serveAPI(t)
	cases := []struct {
		name, path, body string
		code             int
		want             string
	}{
		{
			name: "job field of the wrong type",
			path: "/api/jobs",
			body: `{"lots":"many"}`,
			code: 400,
			want: `{"error":"not a job: json: cannot unmarshal string into Go struct field JobForm.lots of type int"}`,
		},
		{
			name: "array instead of a job",
			path: "/api/jobs",
			body: `[]`,
			code: 400,
			want: `{"error":"not a job: json: cannot unmarshal array into Go value of type wire.JobForm"}`,
		},
		{
			name: "missing ref",
			path: "/api/jobs",
			body: `{}`,
			code: 400,
			want: `{"error":"ref is missing or invalid (required)"}`,
		},
		{
			name: "invalid ref",
			path: "/api/jobs",
			body: strings.Replace(string(batchJSON(t)), "j-000412", "j-1", 1),
			code: 400,
			want: `{"error":"ref is missing or invalid (jobref)"}`,
		},
		{
			name: "heartbeat field of the wrong type",
			path: "/agent/beat",
			body: `{"tally":"x"}`,
			code: 400,
			want: `{"error":"report: json: cannot unmarshal string into Go struct field Report.tally of type uint64"}`,
		},
		{
			name: "task field of the wrong type in a heartbeat",
			path: "/agent/beat",
			body: `{"lots":[{"try":"x"}]}`,
			code: 400,
			want: `{"error":"report: json: cannot unmarshal string into Go struct field Report.lots.0.try of type uint64"}`,
		},
		{
			name: "array instead of a heartbeat",
			path: "/agent/beat",
			body: `[]`,
			code: 400,
			want: `{"error":"report: json: cannot unmarshal array into Go value of type wire.Report"}`,
		},
		{
			name: "response without commands",
			path: "/agent/beat",
			body: `{}`,
			code: 200,
			want: `{"baton":0,"orders":null}`,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if code, got := post(t, address, c.path, c.body); code != c.code || got != c.want {
				t.Errorf("response was %d %s, want %d %s", code, got, c.code, c.want)
			}
		})
	}
}

// batchJSON returns the sample batch job as the body of a submission.
func batchJSON(t *testing.T) []byte {
	t.Helper()
	raw, err := json.Marshal(batchJob)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}
