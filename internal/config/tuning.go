package config

import (
	"fmt"
	"math"

	"go.yaml.in/yaml/v3"
)

// Tuning is the operators' settings: the parameters that the design leaves open. The fields are described by the
// tags from which the JSON Schema is generated.
type Tuning struct {
	Placement Placement `yaml:"placement"`
	Queues    Queues    `yaml:"queues"`
	Grants    Grants    `yaml:"grants"`
	Election  Election  `yaml:"election"`
	Fleet     Fleet     `yaml:"fleet"`
	Spread    Spread    `yaml:"spread"`
	Trace     Trace     `yaml:"trace"`
}

// Placement tunes how tasks are placed: the image affinity of machines and the auction for machines.
type Placement struct {
	AffinityDecay   float64 `yaml:"k" validate:"gte=0,lte=1" jsonschema_description:"decay of image affinity, per second and task"`
	MinAffinity     float64 `yaml:"eta" validate:"gte=0,lt=1" jsonschema_description:"affinity at or below this is none; also ends the bidding"`
	MinPriceRise    float64 `yaml:"epsilon" validate:"gt=0,lte=1" jsonschema_description:"least price rise of a bid"`
	UnstartedOffset float64 `yaml:"small" validate:"gt=0,lte=10" jsonschema_description:"added to a machine's unstarted tasks"`
	CycleS          float64 `yaml:"cycle_s" validate:"gte=0.05,lte=10" jsonschema_description:"the longest pause between two cycles"`
}

// Queues tunes the order in which jobs are served when there is not enough capacity for all of them.
type Queues struct {
	StartTargetS float64 `yaml:"start_within_s" validate:"gt=0,lte=3600" jsonschema_description:"a job of which nothing has begun by then goes first with one task"`
	MinShare     float64 `yaml:"least_share" validate:"gte=0,lte=0.5" jsonschema_description:"least share of what a team uses, for each class and for what has waited that long"`
}

// Grants tunes the number of shards of machines (key "blocks") and how long they are granted to shard holders.
type Grants struct {
	Shards    Count   `yaml:"blocks" validate:"gte=1,lte=64" jsonschema_description:"blocks of machines; fixed by the first leader of a state service"`
	DurationS float64 `yaml:"time_s" validate:"gte=2,lte=120" jsonschema_description:"a grant's time, shortened to what cancel_s leaves"`
}

// Election tunes how soon another controller can become leader.
type Election struct {
	TTLS float64 `yaml:"ttl_s" validate:"gte=1,lte=30" jsonschema_description:"the leader's store lease, and how old its view of the jobs may be"`
}

// Fleet tunes the autoscaler: when machines are provisioned and deleted.
type Fleet struct {
	SpotBacklogS      float64 `yaml:"spot_clear_s" validate:"gt=0,lte=3600" jsonschema_description:"rent cheap machines while the queue needs longer than this"`
	OnDemandBacklogS  float64 `yaml:"ordinary_clear_s" validate:"gt=0,lte=3600" jsonschema_description:"rent ordinary machines while the queue needs longer than this"`
	IdleTimeoutS      float64 `yaml:"idle_s" validate:"gte=0,lte=3600" jsonschema_description:"an idle machine is returned after this"`
	BootTimeoutFactor float64 `yaml:"late_factor" validate:"gte=1,lte=20" jsonschema_description:"a machine is given up after this many usual boot times"`
	ReserveRatio      float64 `yaml:"reserve" validate:"gte=0,lte=10" jsonschema_description:"room kept for work that comes, as a part of what runs and waits"`
}

// Spread tunes rebalancing: how evenly the load is spread over the machines (docs/rebalancing.md).
type Spread struct {
	Enabled         bool    `yaml:"enabled" jsonschema_description:"keep work even over the machines that take it"`
	Bound           float64 `yaml:"bound" validate:"gte=1.05,lte=10" jsonschema_description:"a machine takes new work up to this many times the mean load, while another has room"`
	ImbalanceCostS  float64 `yaml:"imbalance_s" validate:"gt=0,lte=3600" jsonschema_description:"seconds of image fetch that one unit of imbalance, a load of one mean, is worth"`
	MigrateAbove    float64 `yaml:"move_above" validate:"gtfield=Bound,lte=20" jsonschema_description:"running tasks are moved off machines above this many times the mean load; over bound"`
	MinLoad         float64 `yaml:"least_load" validate:"gte=0,lte=1" jsonschema_description:"no task is moved off a machine at or below this load"`
	MinRunS         float64 `yaml:"least_run_s" validate:"gte=0,lte=3600" jsonschema_description:"no task is moved within this of its start, or when less is left of it"`
	TaskCooldownS   float64 `yaml:"pause_s" validate:"gte=0,lte=86400" jsonschema_description:"no task is moved again within this"`
	LeaderCooldownS float64 `yaml:"calm_s" validate:"gte=0,lte=3600" jsonschema_description:"no task is moved within this of a change of leader"`
	IntervalS       float64 `yaml:"every_s" validate:"gte=0.25,lte=600" jsonschema_description:"pause between two looks for moves"`
	MigrationShare  float64 `yaml:"moves_part" validate:"gte=0,lte=0.25" jsonschema_description:"moves in flight, as a part of the machines that take work; at least two unless 0"`
	TeamShare       float64 `yaml:"team_part" validate:"gt=0,lte=1" jsonschema_description:"of these, for one team; at least one"`
	TimeoutS        float64 `yaml:"give_up_s" validate:"gte=5,lte=3600" jsonschema_description:"a move that has not come to its end by then is counted as failed, and its preference dropped"`
}

// Count is an integer setting. The YAML decoder alone would accept 1.5 and truncate it to 1.
type Count int

// UnmarshalYAML decodes a number and returns an error if it is not an integer.
func (c *Count) UnmarshalYAML(node *yaml.Node) error {
	var number float64
	if err := node.Decode(&number); err != nil {
		return err
	}
	if number != math.Trunc(number) {
		return fmt.Errorf("line %d: %s is no whole number", node.Line, node.Value)
	}
	*c = Count(number)
	return nil
}

// Trace tunes which jobs are traced and where their spans are written (docs/operations.md).
type Trace struct {
	File      string  `yaml:"file" jsonschema_description:"where spans are written, a line each; empty: nowhere"`
	MaxFileMB float64 `yaml:"most_mb" validate:"gte=0.1,lte=10240" jsonschema_description:"size of the file; the one before is kept beside it"`
	JobShare  float64 `yaml:"share" validate:"gte=0,lte=1" jsonschema_description:"part of the jobs that is traced, the same ones at every controller"`
	QueueSize Count   `yaml:"queue" validate:"gte=16,lte=1048576" jsonschema_description:"spans that may wait to be written; others are dropped and counted"`
}

// DefaultTuning returns the values of the settings that the operators' files leave out.
func DefaultTuning() Tuning {
	return Tuning{
		Placement: Placement{
			AffinityDecay:   0.001,
			MinAffinity:     0.05,
			MinPriceRise:    0.01,
			UnstartedOffset: 0.5,
			CycleS:          2,
		},
		Queues:   Queues{StartTargetS: 90, MinShare: 0.15},
		Grants:   Grants{Shards: 6, DurationS: 30},
		Election: Election{TTLS: 3},
		Fleet: Fleet{
			SpotBacklogS:      25,
			OnDemandBacklogS:  200,
			IdleTimeoutS:      10,
			BootTimeoutFactor: 2,
			ReserveRatio:      0.4,
		},
		Spread: Spread{
			Bound:           1.5,
			ImbalanceCostS:  20,
			MigrateAbove:    1.75,
			MinLoad:         0.1,
			MinRunS:         30,
			TaskCooldownS:   120,
			LeaderCooldownS: 20,
			IntervalS:       2,
			MigrationShare:  0.02,
			TeamShare:       0.5,
			TimeoutS:        90,
		},
		Trace: Trace{MaxFileMB: 64, JobShare: 1, QueueSize: 4096},
	}
}
