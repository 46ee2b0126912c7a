package compat

import (
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"swiftledge/internal/config"
	"swiftledge/internal/election"
	"swiftledge/internal/leader"
	"swiftledge/internal/leader/jobs"
	"swiftledge/internal/peer"
	"swiftledge/internal/shard"
	"swiftledge/wire"
)

// recordSamples makes TestRecord write the samples as the checked-out version encodes them. It was used once, with this file
// copied into a checkout of the version in production (see testdata/README.md).
var recordSamples = flag.Bool("record", false, "write testdata")

// sample is a stored value or a message that one version writes and another reads.
type sample struct {
	name  string
	value any // of this version's type
}

var deadlineS = 90.5

var batchJob = wire.Job{
	Ref:         "j-000412",
	Class:       "train",
	Team:        "vision",
	Shape:       "batch",
	Priority:    "high",
	Tasks:       16,
	CPUs:        8,
	GPUs:        1,
	MemoryGB:    64,
	Image:       "img-07",
	ImageGB:     6.2,
	Types:       []string{"g8"},
	Zone:        "a",
	OneZone:     true,
	Spread:      true,
	Spot:        true,
	EstimateS:   240,
	CheckpointS: 30,
	SaveS:       4,
	DeadlineS:   &deadlineS,
}

var attemptPage = peer.AttemptPage{
	FencingToken: 7<<12 | 3,
	Prefix:       "host-0000",
	Machines:     []string{"01", "02"},
	Groups: []peer.AttemptGroup{
		{
			Job:         "j-000412",
			Team:        "vision",
			CPUs:        8,
			GPUs:        1,
			MemoryGB:    64,
			SaveS:       4,
			CheckpointS: 30,
			Image:       "img-07",
			ImageGB:     6.2,
			Attempts:    []int{3, 1, 0, 4, 2, 1},
		},
	},
}

var g8 = wire.MachineType{
	Name:      "g8",
	CPUs:      96,
	GPUs:      8,
	MemoryGB:  768,
	CacheGB:   200,
	FetchGBPS: 1,
	Price:     12,
	SpotPrice: 4.5,
	BootS:     45,
	ZoneNames: []string{"a", "b"},
}

// storedSamples returns samples of the values in the state service.
func storedSamples() []sample {
	return []sample{
		{"leader", election.Record{Controller: "n1", Incarnation: 77}},
		{"layout", leader.LayoutRecord{Shards: 6}},
		{"catalog", wire.Catalog{Types: []wire.MachineType{g8}}},
		{"job", leader.JobRecord{Spec: batchJob, AcceptedAt: 1234567}},
		{"over", leader.FinalStateRecord{State: wire.JobDone, Tasks: 16}},
		{
			"prog",
			jobs.ProgressRecord{
				Chunks: []jobs.ProgressChunk{
					{Job: "j-000412", Chunk: 1, Completed: []byte{5, 255}},
					{Job: "j-000413", Completed: []byte{1}},
				},
			},
		},
		{"block", leader.ShardRecord{FencingToken: 7<<12 | 3, Holder: "n2", Incarnation: 78}},
		{"run", attemptPage},
		{
			"fleet",
			leader.InstanceGroupRecord{
				Request:  wire.ProvisionRequest{RequestID: "r-7-1", Type: "g8", Zone: "a", Spot: true, Count: 2},
				Machines: []string{"host-000001"},
				Answered: true,
			},
		},
	}
}

// messageSamples returns samples of the messages between controllers.
func messageSamples() []sample {
	task := peer.Task{Job: "j-000412", Index: 3}
	return []sample{
		{"hello", peer.Hello{Controller: "n1", Incarnation: 77, Term: 7}},
		{
			"up",
			peer.ToLeader{
				Term:           7,
				RenewSeq:       9,
				StoreOK:        true,
				NoAgentContact: true,
				Updates: []peer.ShardUpdate{
					{
						Shard:           2,
						FencingToken:    7<<12 | 3,
						SettledOfferSeq: 4,
						NeedsRegrant:    true,
						Events:          []peer.TaskEvent{{Task: task, Kind: peer.EventCompleted, Machine: "host-000001", RunSeconds: 12.5}},
						Machines: []peer.MachineState{
							{
								Name:             "host-000001",
								Type:             "g8",
								Zone:             "a",
								Address:          "10.1.0.1:9000",
								Spot:             true,
								Schedulable:      true,
								Silent:           true,
								PreemptionNotice: true,
								Terminated:       true,
								TokenConfirmed:   true,
								CPUs:             1.5,
								GPUs:             2,
								MemoryGB:         3,
								Tasks:            4,
								Images:           []string{"img-07"},
							},
						},
					},
				},
			},
		},
		{
			"down",
			peer.FromLeader{
				Term:          7,
				RenewedSeq:    9,
				FencingTokens: map[int]wire.FencingToken{2: 7<<12 | 3},
				Holders:       []string{"n1", "n2"},
				TaskCounts:    []peer.TaskCount{{Job: "j-000412", Done: 3, Running: 13}},
				Types:         []wire.MachineType{g8},
				StoreOK:       true,
				Grants: []peer.ShardGrant{
					{
						Shard:        2,
						FencingToken: 7<<12 | 3,
						KeyVersion:   99,
						Pages:        map[string]peer.AttemptPage{"run/002/28675-1": attemptPage},
						Machines:     []peer.InventoryMachine{{Name: "host-000001", Address: "10.1.0.1:9000"}},
					},
				},
				Orders: []peer.ShardOrders{
					{
						Shard:        2,
						FencingToken: 7<<12 | 3,
						OfferSeq:     4,
						Offers:       []peer.TaskOffer{{Job: batchJob, Zone: "a", TaskIndexes: []int{3, 4}}},
						Stop:         []peer.StopTask{{Task: task, Checkpoint: true}},
						Persisted:    []peer.Task{task},
						Added:        []string{"host-000002"},
						Drain:        []string{"host-000003"},
						Terminated:   []string{"host-000004"},
						Exclude:      []string{"host-000005"},
						Include:      []string{"host-000006"},
					},
				},
			},
		},
	}
}

// computedValues holds what all controllers must compute in the same way, of this and of the production version.
type computedValues struct {
	Blocks      map[string]int
	BlockKey    string
	RecordKeys  string
	AttemptBits int
	ChunkTasks  int
	GrantTime   int64
	TaskName    string
}

func currentComputedValues() computedValues {
	current := computedValues{
		Blocks:      map[string]int{},
		BlockKey:    shard.Key(2),
		RecordKeys:  shard.AttemptPrefix(2),
		AttemptBits: peer.AttemptCountBits,
		ChunkTasks:  jobs.TasksPerChunk,
		TaskName:    shard.TaskName(peer.Task{Job: "j-000412", Index: 3}),
	}
	for _, machine := range []string{"host-000000", "host-000001", "host-000231", "host-123456"} {
		current.Blocks[machine] = shard.ForMachine(machine, 6)
	}
	cfg := config.Config{Tuning: config.DefaultTuning()}
	cfg.Facts.Workers.LeaseS, cfg.Facts.Workers.CancelS = 22, 52
	current.GrantTime = int64(cfg.GrantTime())
	return current
}

func writeTestdata(t *testing.T, name string, raw []byte, err error) {
	t.Helper()
	if err == nil {
		err = os.WriteFile(filepath.Join("testdata", name), raw, 0o644)
	}
	if err != nil {
		t.Fatal(err)
	}
}

func TestRecord(t *testing.T) {
	if !*recordSamples {
		t.Skip("runs only with -record")
	}
	for _, s := range storedSamples() {
		raw, err := json.Marshal(s.value)
		writeTestdata(t, s.name+".json", raw, err)
	}
	for _, s := range messageSamples() {
		raw, err := msgpack.Marshal(s.value)
		writeTestdata(t, s.name+".msgpack", raw, err)
	}
	raw, err := json.MarshalIndent(currentComputedValues(), "", "  ")
	writeTestdata(t, "choices.json", append(raw, '\n'), err)
}
