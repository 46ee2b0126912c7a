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

// recordExact writes testdata/exact.txt as this version encodes the values.
var recordExact = flag.Bool("record-exact", false, "write testdata/exact.txt")

const exactFile = "exact.txt"

// exactForm is a value of one of the protocols, whose bytes are a line of testdata/exact.txt.
type exactForm struct {
	name  string
	value any
}

var (
	notice   = 12.5
	grace    = 4.0
	rawValue = json.RawMessage(`{"node":"n1","run":77}`)
)

// protocolForms are the JSON bodies of the four protocols, filled and empty, and the platform's settings.
func protocolForms() []exactForm {
	return []exactForm{
		{"Job", batch},
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
				PreemptionNoticeS: &notice,
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
				Commands:     []wire.Command{{Verb: wire.VerbKill, Task: "j-000412/3", Attempt: 9, GraceS: &grace}},
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

// platformSettings has every key that the platform's file may hold.
func platformSettings() config.Settings {
	s := config.Settings{
		Name:          "c0",
		Zone:          "a",
		ListenAddress: "127.0.0.1:1",
		PeerAddress:   "127.0.0.1:2",
		Peers:         []config.Peer{{Name: "c1", Zone: "b", Address: "127.0.0.1:3"}},
	}
	s.Endpoints.Cloud, s.Endpoints.State = "127.0.0.1:4", "127.0.0.1:5"
	f := &s.Facts
	f.InitialSize, f.Zones, f.SkewMs = 3, []string{"a", "b"}, 10
	f.Teams = []config.Team{{Name: "vision", CPUs: 1, CPUsMax: 2, GPUs: 3, GPUsMax: 4}}
	f.Objectives = []config.Objective{{Kind: "wait", Class: "train", WithinS: 60, Share: 0.9}}
	f.Workers.ReportS, f.Workers.LeaseS, f.Workers.CancelS = 3, 22, 52
	f.State.RPS, f.State.WriteRPS, f.State.ValueKB, f.State.TxnOps = 100, 20, 8, 16
	f.State.Next = &config.Next{WriteRPS: 10, ValueKB: 4, TxnOps: 8}
	f.Cloud.RPS, f.Cloud.ListLagS = 5, 4
	f.Quota.CPU, f.Quota.MemMB, f.Quota.MaxSockets = 0.1, 125, 100
	return s
}

// fullStatus has every field that a status may tell.
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
		MigrationOutcomes: peer.MigrationOutcomes{Started: 15, Arrived: 5, Diverted: 4, Cancelled: 3, TimedOut: 2},
		Suspects:          []peer.SuspectStatus{{Job: "j-000414", Team: "vision", Machines: 3, Probes: 2, NextProbeS: 7.5}},
	}
}

// messagePackForms travel between controllers and have no sample of the version in production.
func messagePackForms() []exactForm {
	spread := batch
	spread.FleetLoad = 0.5
	return []exactForm{
		{"Offer/spread", peer.TaskOffer{Job: spread, Zone: "a", TaskIndexes: []int{3, 4}}},
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

// exactLines reads the expected bytes: a name and a text on each line.
func exactLines(t *testing.T) map[string]string {
	t.Helper()
	lines := map[string]string{}
	for line := range strings.Lines(string(testdata(t, exactFile))) {
		name, text, _ := strings.Cut(strings.TrimSuffix(line, "\n"), " ")
		lines[name] = text
	}
	return lines
}

// decodesTo fails the test unless bytes are read as the value that they were made from.
func decodesTo(t *testing.T, raw []byte, want any, unmarshal func([]byte, any) error) {
	t.Helper()
	got := reflect.New(reflect.TypeOf(want))
	if err := unmarshal(raw, got.Interface()); err != nil {
		t.Error(err)
	} else if !reflect.DeepEqual(got.Elem().Interface(), want) {
		t.Errorf("read as %+v", got.Elem())
	}
}

// jsonEncoders are the two in use, by name.
func jsonEncoders() map[string]func(any) ([]byte, error) {
	return map[string]func(any) ([]byte, error){
		"encoding/json": json.Marshal,
		"goccy":         func(v any) ([]byte, error) { return goccy.Marshal(v) },
	}
}

// The JSON of the protocols has these bytes and no others, by either of the encoders in use.
func TestProtocolBytes(t *testing.T) {
	lines := exactLines(t)
	for _, f := range protocolForms() {
		t.Run(f.name, func(t *testing.T) {
			want := lines["json:"+f.name]
			for name, marshal := range jsonEncoders() {
				if raw, err := marshal(f.value); err != nil || string(raw) != want {
					t.Errorf("%s writes %s, %v, want %s", name, raw, err, want)
				}
			}
			decodesTo(t, []byte(want), f.value, json.Unmarshal)
			decodesTo(t, []byte(want), f.value, func(raw []byte, v any) error { return goccy.Unmarshal(raw, v) })
		})
	}
}

// Messages have these bytes: jobs and machine types have the names of their Go fields as keys.
func TestMessageBytes(t *testing.T) {
	lines := exactLines(t)
	for _, f := range messagePackForms() {
		t.Run(f.name, func(t *testing.T) {
			want := lines["msgpack:"+f.name]
			raw, err := msgpack.Marshal(f.value)
			if err != nil || hex.EncodeToString(raw) != want {
				t.Errorf("written as %x, %v, want %s", raw, err, want)
			}
			old, err := hex.DecodeString(want)
			if err != nil {
				t.Fatal(err)
			}
			decodesTo(t, old, f.value, msgpack.Unmarshal)
		})
	}
}

// What `swiftledge status --json` prints is read by operators' own tools.
func TestStatusJSONBytes(t *testing.T) {
	full := fullStatus()
	all := []status.Controller{
		{Name: "c0", Address: "127.0.0.1:2", Status: &full},
		{Name: "c1", Address: "127.0.0.1:3", Problem: "no answer"},
		{Name: "c2", Address: "127.0.0.1:4", Status: &peer.Status{}},
	}
	var out bytes.Buffer
	if err := status.WriteJSON(&out, all); err != nil {
		t.Fatal(err)
	}
	if *recordExact {
		write(t, "status_output.json", out.Bytes(), nil)
	}
	if want := testdata(t, "status_output.json"); !bytes.Equal(out.Bytes(), want) {
		t.Errorf("printed\n%s", out.String())
	}
	decodesTo(t, out.Bytes(), all, json.Unmarshal)
}

// The samples of the version in production are what this version writes, byte for byte.
func TestSamplesAreWrittenAsProductionWroteThem(t *testing.T) {
	for _, c := range codecs() {
		for _, f := range c.forms {
			t.Run(f.name, func(t *testing.T) {
				raw, err := c.marshal(f.value)
				if want := testdata(t, f.name+c.ext); err != nil || !bytes.Equal(raw, want) {
					t.Errorf("written as %q, %v, want %q", raw, err, want)
				}
			})
		}
	}
}

// A field that a sample leaves empty would not be missed when it is renamed.
func TestSamplesFillEveryField(t *testing.T) {
	// Of two that exclude each other, or that production does not know.
	exempt := []string{
		"Job.FleetLoad",
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
	var values []exactForm
	for _, c := range codecs() {
		for _, f := range c.forms {
			values = append(values, exactForm(f))
		}
	}
	for _, f := range slices.Concat(protocolForms(), messagePackForms()) {
		if !strings.Contains(f.name, "/") {
			values = append(values, f)
		}
	}
	for _, f := range values {
		t.Run(f.name, func(t *testing.T) {
			for _, name := range emptyFields(reflect.ValueOf(f.value)) {
				if !slices.Contains(exempt, name) {
					t.Errorf("%s is empty", name)
				}
			}
		})
	}
}

// emptyFields names the fields of a value that hold nothing, each after its type.
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

// elements are the values of a map or, if it holds structs, of a slice. Numbers may be zero there.
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
		t.Skip("only on demand")
	}
	var out strings.Builder
	for _, f := range protocolForms() {
		raw, err := json.Marshal(f.value)
		if err != nil {
			t.Fatal(err)
		}
		out.WriteString("json:" + f.name + " " + string(raw) + "\n")
	}
	for _, f := range messagePackForms() {
		raw, err := msgpack.Marshal(f.value)
		if err != nil {
			t.Fatal(err)
		}
		out.WriteString("msgpack:" + f.name + " " + hex.EncodeToString(raw) + "\n")
	}
	if err := os.WriteFile(filepath.Join("testdata", exactFile), []byte(out.String()), 0o644); err != nil {
		t.Fatal(err)
	}
}
