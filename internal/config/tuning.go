package config

import (
	"fmt"
	"math"

	"go.yaml.in/yaml/v3"
)

// Tuning is the operators' own settings: what the design leaves open.
type Tuning struct {
	Placement Placement `yaml:"placement"`
	Queues    Queues    `yaml:"queues"`
	Grants    Grants    `yaml:"grants"`
	Election  Election  `yaml:"election"`
	Fleet     Fleet     `yaml:"fleet"`
	Spread    Spread    `yaml:"spread"`
	Trace     Trace     `yaml:"trace"`
}

// Placement tunes affinity and auctions.
type Placement struct {
	K       float64 `yaml:"k" validate:"gte=0,lte=1" jsonschema_description:"decay of image affinity, per second and task"`
	Eta     float64 `yaml:"eta" validate:"gte=0,lt=1" jsonschema_description:"affinity at or below this is none; also ends the bidding"`
	Epsilon float64 `yaml:"epsilon" validate:"gt=0,lte=1" jsonschema_description:"least price rise of a bid"`
	Small   float64 `yaml:"small" validate:"gt=0,lte=10" jsonschema_description:"added to a machine's unstarted tasks"`
	CycleS  float64 `yaml:"cycle_s" validate:"gte=0.05,lte=10" jsonschema_description:"the longest pause between two cycles"`
}

// Queues tunes the order in which jobs are served when not all can be.
type Queues struct {
	StartWithinS float64 `yaml:"start_within_s" validate:"gt=0,lte=3600" jsonschema_description:"a job of which nothing has begun by then goes first with one task"`
	LeastShare   float64 `yaml:"least_share" validate:"gte=0,lte=0.5" jsonschema_description:"least share of what a team uses, for each class and for what has waited that long"`
}

// Grants tunes how machines are leased out.
type Grants struct {
	Blocks Count   `yaml:"blocks" validate:"gte=1,lte=64" jsonschema_description:"blocks of machines; fixed by the first leader of a state service"`
	TimeS  float64 `yaml:"time_s" validate:"gte=2,lte=120" jsonschema_description:"a grant's time, shortened to what cancel_s leaves"`
}

// Election tunes how soon another controller leads.
type Election struct {
	TTLS float64 `yaml:"ttl_s" validate:"gte=1,lte=30" jsonschema_description:"the leader's store lease, and how old its view of the jobs may be"`
}

// Fleet tunes renting and returning.
type Fleet struct {
	SpotClearS     float64 `yaml:"spot_clear_s" validate:"gt=0,lte=3600" jsonschema_description:"rent cheap machines while the queue needs longer than this"`
	OrdinaryClearS float64 `yaml:"ordinary_clear_s" validate:"gt=0,lte=3600" jsonschema_description:"rent ordinary machines while the queue needs longer than this"`
	IdleS          float64 `yaml:"idle_s" validate:"gte=0,lte=3600" jsonschema_description:"an idle machine is returned after this"`
	LateFactor     float64 `yaml:"late_factor" validate:"gte=1,lte=20" jsonschema_description:"a machine is given up after this many usual boot times"`
	Reserve        float64 `yaml:"reserve" validate:"gte=0,lte=10" jsonschema_description:"room kept for work that comes, as a part of what runs and waits"`
}

// Spread tunes how evenly work is kept over the machines (docs/rebalancing.md).
type Spread struct {
	Enabled    bool    `yaml:"enabled" jsonschema_description:"keep work even over the machines that take it"`
	Bound      float64 `yaml:"bound" validate:"gte=1.05,lte=10" jsonschema_description:"a machine takes new work up to this many times the mean load, while another has room"`
	ImbalanceS float64 `yaml:"imbalance_s" validate:"gt=0,lte=3600" jsonschema_description:"seconds of image fetch that one unit of imbalance, a load of one mean, is worth"`
	MoveAbove  float64 `yaml:"move_above" validate:"gtfield=Bound,lte=20" jsonschema_description:"running tasks are moved off machines above this many times the mean load; over bound"`
	LeastLoad  float64 `yaml:"least_load" validate:"gte=0,lte=1" jsonschema_description:"no task is moved off a machine at or below this load"`
	LeastRunS  float64 `yaml:"least_run_s" validate:"gte=0,lte=3600" jsonschema_description:"no task is moved within this of its start, or when less is left of it"`
	PauseS     float64 `yaml:"pause_s" validate:"gte=0,lte=86400" jsonschema_description:"no task is moved again within this"`
	CalmS      float64 `yaml:"calm_s" validate:"gte=0,lte=3600" jsonschema_description:"no task is moved within this of a change of leader"`
	EveryS     float64 `yaml:"every_s" validate:"gte=0.25,lte=600" jsonschema_description:"pause between two looks for moves"`
	MovesPart  float64 `yaml:"moves_part" validate:"gte=0,lte=0.25" jsonschema_description:"moves in flight, as a part of the machines that take work; at least two unless 0"`
	TeamPart   float64 `yaml:"team_part" validate:"gt=0,lte=1" jsonschema_description:"of these, for one team; at least one"`
	GiveUpS    float64 `yaml:"give_up_s" validate:"gte=5,lte=3600" jsonschema_description:"a move that has not come to its end by then is counted as failed, and its preference dropped"`
}

// Count is a whole number. YAML by itself would take 1.5 for 1.
type Count int

// UnmarshalYAML refuses what is no whole number.
func (c *Count) UnmarshalYAML(n *yaml.Node) error {
	var f float64
	if err := n.Decode(&f); err != nil {
		return err
	}
	if f != math.Trunc(f) {
		return fmt.Errorf("line %d: %s is no whole number", n.Line, n.Value)
	}
	*c = Count(f)
	return nil
}

// Trace says what of the jobs is written as spans (docs/operations.md).
type Trace struct {
	File   string  `yaml:"file" jsonschema_description:"where spans are written, a line each; empty: nowhere"`
	MostMB float64 `yaml:"most_mb" validate:"gte=0.1,lte=10240" jsonschema_description:"size of the file; the one before is kept beside it"`
	Share  float64 `yaml:"share" validate:"gte=0,lte=1" jsonschema_description:"part of the jobs that is traced, the same ones at every controller"`
	Queue  Count   `yaml:"queue" validate:"gte=16,lte=1048576" jsonschema_description:"spans that may wait to be written; others are dropped and counted"`
}

// DefaultTuning is used for all that the operators' files leave out.
func DefaultTuning() Tuning {
	return Tuning{
		Placement: Placement{K: 0.001, Eta: 0.05, Epsilon: 0.01, Small: 0.5, CycleS: 2},
		Queues:    Queues{StartWithinS: 90, LeastShare: 0.15},
		Grants:    Grants{Blocks: 6, TimeS: 30},
		Election:  Election{TTLS: 3},
		Fleet:     Fleet{SpotClearS: 25, OrdinaryClearS: 200, IdleS: 10, LateFactor: 2, Reserve: 0.4},
		Spread: Spread{Bound: 1.5, ImbalanceS: 20, MoveAbove: 1.75, LeastLoad: 0.1, LeastRunS: 30, PauseS: 120, CalmS: 20,
			EveryS: 2, MovesPart: 0.02, TeamPart: 0.5, GiveUpS: 90},
		Trace: Trace{MostMB: 64, Share: 1, Queue: 4096},
	}
}
