package compat

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	goccy "github.com/goccy/go-json"
	"github.com/vmihailenco/msgpack/v5"

	"swiftledge/internal/config"
	"swiftledge/internal/peer"
	"swiftledge/internal/status"
	"swiftledge/wire"
)

// recordExact makes the tests write testdata/exact.txt and status_output.json as this version encodes the values.
var recordExact = flag.Bool("record-exact", false, "write testdata/exact.txt")

const exactFile = "exact.txt"

// exactSample is a value that one of the protocols transfers. A line of testdata/exact.txt has its expected bytes.
type exactSample struct {
	name  string
	value any
}

var (
	preemptionNoticeS = 12.5
	graceS            = 4.0
	rawValue          = json.RawMessage(`{"node":"n1","run":77}`)
)

// protocolSamples returns the JSON bodies of the four protocols and the platform's settings, each with all fields set
// and empty.
func protocolSamples() []exactSample {
	return []exactSample{
		{"Job", batchJob},
		{"Job/empty", wire.Job{}},
		{"JobStatus", wire.JobStatus{Ref: "j-000412", State: wire.JobRunning, Done: 3, Running: 13}},
		{"JobStatus/empty", wire.JobStatus{}},
		{"Problem", wire.ErrorResponse{Error: "no <such> job"}},
		{
			"Report",
			wire.Heartbeat{
				Machine:           "host-000001",
				Address:           "10.1.0.1:9000",
				Type:              "g8",
				Zone:              "a",
				Spot:              true,
				AgentEpoch:        5,
				Seq:               6,
				FencingToken:      7<<12 | 3,
				PreemptionNoticeS: &preemptionNoticeS,
				Tasks: []wire.TaskStatus{
					{Task: "j-000412/3", Attempt: 9, State: wire.TaskExited, Cause: wire.ExitDone, Checkpointed: true},
				},
			},
		},
		{"Report/empty", wire.Heartbeat{Tasks: []wire.TaskStatus{{}}}},
		{
			"ReportAnswer",
			wire.HeartbeatResponse{
				FencingToken: 7<<12 | 3,
				Commands:     []wire.Command{{Verb: wire.VerbKill, Task: "j-000412/3", Attempt: 9, GraceS: &graceS}},
			},
		},
		{"ReportAnswer/empty", wire.HeartbeatResponse{}},
		{"Redirect", wire.Redirect{Controller: "10.1.0.2:8000"}},
		{"Redirect/empty", wire.Redirect{}},
		{
			"Orders",
			wire.CommandBatch{
				FencingToken: 7<<12 | 3,
				AgentEpoch:   5,
				Commands:     []wire.Command{{Verb: wire.VerbRun, Task: "j-000412/3", Attempt: 9}},
			},
		},
		{"Orders/empty", wire.CommandBatch{}},
		{"Catalog", wire.Catalog{Types: []wire.MachineType{g8}}},
		{"Catalog/empty", wire.Catalog{Types: []wire.MachineType{{}}}},
		{"Rental", wire.ProvisionRequest{RequestID: "r-7-1", Type: "g8", Zone: "a", Spot: true, Count: 2}},
		{"Rental/empty", wire.ProvisionRequest{}},
		{"Machines", wire.MachineNames{Names: []string{"host-000001"}}},
		{"Machines/empty", wire.MachineNames{}},
		{
			"MachineList",
			wire.MachineList{
				More: true,
				Machines: []wire.Machine{
					{
						Name:    "host-000001",
						Address: "10.1.0.1:9000",
						Type:    "g8",
						Zone:    "a",
						Spot:    true,
						State:   wire.MachineStarting,
						AgeS:    1.5,
					},
				},
			},
		},
		{"MachineList/empty", wire.MachineList{Machines: []wire.Machine{{}}}},
		{
			"ItemList",
			wire.ItemList{Items: []wire.Item{{Key: "leader", Value: rawValue, Version: 8, Lease: 9}}, More: true, Revision: 10},
		},
		{"ItemList/empty", wire.ItemList{Items: []wire.Item{{Value: rawValue}}}},
		{
			"Txn",
			wire.Txn{
				Conditions: []wire.Condition{{Key: "leader", Version: 8}},
				Writes:     []wire.Write{{Put: "leader", Value: rawValue, Lease: 9}, {Delete: "layout"}},
			},
		},
		{"Txn/empty", wire.Txn{}},
		{"TxnAnswer", wire.TxnResponse{Revision: 10, Failed: []string{"leader"}, Error: "guards"}},
		{"TxnAnswer/empty", wire.TxnResponse{}},
		{"LeaseForm", wire.LeaseRequest{TTLMs: 3000}},
		{"LeaseAnswer", wire.LeaseResponse{Lease: 9}},
		{
			"WatchAnswer",
			wire.WatchResponse{
				Revision: 10,
				Events:   []wire.Event{{Put: "leader", Value: rawValue, Version: 8}, {Version: 9, Delete: "layout"}},
			},
		},
		{"WatchAnswer/empty", wire.WatchResponse{}},
		{"Settings", platformSettings()},
		{"Settings/empty", config.Settings{}},
	}
}

// platformSettings returns settings with every key that the platform's file may contain.
func platformSettings() config.Settings {
	settings := config.Settings{
		Name:          "c0",
		Zone:          "a",
		ListenAddress: "127.0.0.1:1",
		PeerAddress:   "127.0.0.1:2",
		Peers:         []config.Peer{{Name: "c1", Zone: "b", Address: "127.0.0.1:3"}},
	}
	settings.Endpoints.Cloud, settings.Endpoints.State = "127.0.0.1:4", "127.0.0.1:5"
	facts := &settings.Facts
	facts.InitialSize, facts.Zones, facts.SkewMs = 3, []string{"a", "b"}, 10
	facts.Teams = []config.Team{{Name: "vision", CPUs: 1, CPUsMax: 2, GPUs: 3, GPUsMax: 4}}
	facts.Objectives = []config.Objective{{Kind: "wait", Class: "train", WithinS: 60, Share: 0.9}}
	facts.Workers.ReportS, facts.Workers.LeaseS, facts.Workers.CancelS = 3, 22, 52
	facts.State.RPS, facts.State.WriteRPS, facts.State.ValueKB, facts.State.TxnOps = 100, 20, 8, 16
	facts.State.Next = &config.Next{WriteRPS: 10, ValueKB: 4, TxnOps: 8}
	facts.Cloud.RPS, facts.Cloud.ListLagS = 5, 4
	facts.Quota.CPU, facts.Quota.MemMB, facts.Quota.MaxSockets = 0.1, 125, 100
	return settings
}

// fullStatus returns a status with every field set.
func fullStatus() peer.Status {
	return peer.Status{
		Controller:  "c0",
		Leader:      "c1",
		Term:        7,
		IsLeader:    true,
		Pauses:      4,
		LastPause:   &peer.PauseStatus{EndedAt: 1234567, AgoS: 61, LengthS: 12.5, Expired: []string{"grant of block 1"}},
		Rebalancing: true,
		MeanLoad:    0.5,
		Shards: []peer.ShardStatus{
			{
				Shard:               1,
				Holder:              "c1",
				Granted:             true,
				Machines:            9,
				SchedulableMachines: 8,
				MeanLoad:            0.25,
				MaxLoad:             0.75,
				Tasks:               31,
				Unstarted:           2,
			},
		},
		Machines: []peer.MachineStatus{
			{
				Name:                "host-000001",
				Shard:               1,
				Type:                "g8",
				Zone:                "a",
				Load:                0.75,
				RelativeLoad:        1.5,
				Tasks:               5,
				Schedulable:         true,
				UnschedulableReason: "not needed",
			},
		},
		Teams: []peer.TeamStatus{{Team: "vision", CPUs: 64, Limit: 128, Waiting: 12, WaitingAtLimit: 3}},
		Migrations: []peer.MigrationStatus{
			{
				Task:  "j-000412/3",
				Team:  "vision",
				From:  "host-000001",
				To:    "host-000002",
				Stage: "stopping",
				AgeS:  1.5,
				GainS: 20,
				CostS: 6,
			},
		},
		Refusals: []peer.RefusalStatus{
			{Machine: "host-000003", Reason: "cannot save", Task: "j-000413/0", Tasks: 4},
		},
		MigrationOutcomes: peer.MigrationOutcomes{Begun: 15, Arrived: 5, Elsewhere: 4, Cancelled: 3, GivenUp: 2},
		Suspects:          []peer.SuspectStatus{{Job: "j-000414", Team: "vision", Machines: 3, Probes: 2, NextProbeS: 7.5}},
	}
}

// msgpackSamples returns values that controllers send each other and of which no sample from production exists.
func msgpackSamples() []exactSample {
	rebalancedJob := batchJob
	rebalancedJob.FleetLoad = 0.5
	return []exactSample{
		{"Offer/spread", peer.TaskOffer{Job: rebalancedJob, Zone: "a", TaskIndexes: []int{3, 4}}},
		{"Offer/empty", peer.TaskOffer{}},
		{"MachineType/empty", wire.MachineType{}},
		{"Hello/empty", peer.Hello{}},
		{
			"Up/empty",
			peer.ToLeader{Updates: []peer.ShardUpdate{{Events: []peer.TaskEvent{{}}, Machines: []peer.MachineState{{}}}}},
		},
		{
			"Down/empty",
			peer.FromLeader{
				Grants: []peer.ShardGrant{
					{Pages: map[string]peer.AttemptPage{"": {Groups: []peer.AttemptGroup{{}}}}, Machines: []peer.InventoryMachine{{}}},
				},
				Orders:     []peer.ShardOrders{{Stop: []peer.StopTask{{}}, Persisted: []peer.Task{{}}}},
				TaskCounts: []peer.TaskCount{{}},
			},
		},
		{"Hello/status", peer.Hello{Term: 1<<64 - 1}},
		{"Status", fullStatus()},
		{"Status/empty", peer.Status{}},
	}
}

// exactLines returns the lines of testdata/exact.txt: the expected encoding of each sample, by encoding and sample name.
func exactLines(t *testing.T) map[string]string {
	t.Helper()
	lines := map[string]string{}
	for line := range strings.Lines(string(testdata(t, exactFile))) {
		name, text, _ := strings.Cut(strings.TrimSuffix(line, "\n"), " ")
		lines[name] = text
	}
	return lines
}

// checkDecodes fails the test unless unmarshal decodes the bytes to the wanted value.
func checkDecodes(t *testing.T, raw []byte, want any, unmarshal func([]byte, any) error) {
	t.Helper()
	got := reflect.New(reflect.TypeOf(want))
	if err := unmarshal(raw, got.Interface()); err != nil {
		t.Error(err)
	} else if !reflect.DeepEqual(got.Elem().Interface(), want) {
		t.Errorf("bytes were decoded as %+v, want the value of the sample", got.Elem())
	}
}

// jsonEncoders returns the two JSON encoders in use, by name.
func jsonEncoders() map[string]func(any) ([]byte, error) {
	return map[string]func(any) ([]byte, error){
		"encoding/json": json.Marshal,
		"goccy":         func(v any) ([]byte, error) { return goccy.Marshal(v) },
	}
}

// TestProtocolBytes checks that both JSON encoders in use write exactly the expected bytes of the protocols.
func TestProtocolBytes(t *testing.T) {
	lines := exactLines(t)
	for _, s := range protocolSamples() {
		t.Run(s.name, func(t *testing.T) {
			want := lines["json:"+s.name]
			for name, marshal := range jsonEncoders() {
				if raw, err := marshal(s.value); err != nil || string(raw) != want {
					t.Errorf("%s encoded the sample as %s (error %v), want %s", name, raw, err, want)
				}
			}
			checkDecodes(t, []byte(want), s.value, json.Unmarshal)
			checkDecodes(t, []byte(want), s.value, func(raw []byte, v any) error { return goccy.Unmarshal(raw, v) })
		})
	}
}

// TestMessageBytes checks the exact bytes of messages. Jobs and machine types have the names of their Go fields as keys.
func TestMessageBytes(t *testing.T) {
	lines := exactLines(t)
	for _, s := range msgpackSamples() {
		t.Run(s.name, func(t *testing.T) {
			want := lines["msgpack:"+s.name]
			raw, err := msgpack.Marshal(s.value)
			if err != nil || hex.EncodeToString(raw) != want {
				t.Errorf("sample was encoded as %x (error %v), want %s", raw, err, want)
			}
			wantBytes, err := hex.DecodeString(want)
			if err != nil {
				t.Fatal(err)
			}
			checkDecodes(t, wantBytes, s.value, msgpack.Unmarshal)
		})
	}
}

// TestStatusJSONBytes checks the exact output of `swiftledge status --json`, which operators' own tools read.
func TestStatusJSONBytes(t *testing.T) {
	statusOfC0 := fullStatus()
	controllers := []status.Controller{
		{Name: "c0", Address: "127.0.0.1:2", Status: &statusOfC0},
		{Name: "c1", Address: "127.0.0.1:3", Problem: "no answer"},
		{Name: "c2", Address: "127.0.0.1:4", Status: &peer.Status{}},
	}
	var out bytes.Buffer
	if err := status.WriteJSON(&out, controllers); err != nil {
		t.Fatal(err)
	}
	if *recordExact {
		writeTestdata(t, "status_output.json", out.Bytes(), nil)
	}
	if want := testdata(t, "status_output.json"); !bytes.Equal(out.Bytes(), want) {
		t.Errorf("status --json printed this, want the content of status_output.json:\n%s", out.String())
	}
	checkDecodes(t, out.Bytes(), controllers, json.Unmarshal)
}

// TestSamplesEncodeAsProductionWroteThem checks that this version encodes the samples to the same bytes as the version
// in production.
func TestSamplesEncodeAsProductionWroteThem(t *testing.T) {
	for _, c := range codecs() {
		for _, s := range c.samples {
			t.Run(s.name, func(t *testing.T) {
				raw, err := c.marshal(s.value)
				if want := testdata(t, s.name+c.ext); err != nil || !bytes.Equal(raw, want) {
					t.Errorf("sample was encoded as %q (error %v), want %q", raw, err, want)
				}
			})
		}
	}
}

// TestSamplesFillEveryField checks that the samples set every field. The other tests cannot detect a renamed field that
// is empty in all samples.
func TestSamplesFillEveryField(t *testing.T) {
	// Fields of which a value may set only some, and fields that the version in production does not have.
	exempt := []string{
		"Job.FleetLoad",
		"Job.KeyVersion",
		"Write.Lease",
		"Write.Value",
		"Write.Put",
		"Write.Delete",
		"Event.Put",
		"Event.Value",
		"Event.Delete",
		"ProgressChunk.Chunk",
		"Command.GraceS",
	}
	var values []exactSample
	for _, c := range codecs() {
		for _, s := range c.samples {
			values = append(values, exactSample(s))
		}
	}
	for _, s := range slices.Concat(protocolSamples(), msgpackSamples()) {
		if !strings.Contains(s.name, "/") {
			values = append(values, s)
		}
	}
	for _, s := range values {
		t.Run(s.name, func(t *testing.T) {
			for _, name := range emptyFields(reflect.ValueOf(s.value)) {
				if !slices.Contains(exempt, name) {
					t.Errorf("field %s is empty in the sample, want a value", name)
				}
			}
		})
	}
}

// emptyFields returns the names of the fields of a value that are zero, in the form Type.Field.
func emptyFields(v reflect.Value) (names []string) {
	kind := v.Kind()
	switch {
	case kind == reflect.Pointer:
		return emptyFields(v.Elem())
	case kind == reflect.Slice || kind == reflect.Map:
		for _, e := range elements(v) {
			names = append(names, emptyFields(e)...)
		}
	case kind == reflect.Struct:
		for field, value := range v.Fields() {
			switch {
			case !field.IsExported():
			case value.IsZero():
				names = append(names, v.Type().Name()+"."+field.Name)
			default:
				names = append(names, emptyFields(value)...)
			}
		}
	}
	return names
}

// elements returns the structs in a map or a slice. It leaves out all other elements: a number, for example, may be
// zero.
func elements(v reflect.Value) (values []reflect.Value) {
	for _, e := range v.Seq2() {
		if e.Kind() == reflect.Struct {
			values = append(values, e)
		}
	}
	return values
}

func TestRecordExact(t *testing.T) {
	if !*recordExact {
		t.Skip("runs only with -record-exact")
	}
	var out strings.Builder
	for _, s := range protocolSamples() {
		raw, err := json.Marshal(s.value)
		if err != nil {
			t.Fatal(err)
		}
		out.WriteString("json:" + s.name + " " + string(raw) + "\n")
	}
	for _, s := range msgpackSamples() {
		raw, err := msgpack.Marshal(s.value)
		if err != nil {
			t.Fatal(err)
		}
		out.WriteString("msgpack:" + s.name + " " + hex.EncodeToString(raw) + "\n")
	}
	if err := os.WriteFile(filepath.Join("testdata", exactFile), []byte(out.String()), 0o644); err != nil {
		t.Fatal(err)
	}
}
