package config

import "math"

// Peer is another controller.
type Peer struct {
	Name    string `json:"host_name" validate:"required"`
	Zone    string `json:"site"`
	Address string `json:"address" validate:"required,hostname_port"`
}

// Team is a team of users with its quota: guarantees and limits. A guarantee of 0 means that the team has none, and
// a limit of 0 means that there is no limit.
type Team struct {
	Name    string  `json:"name" validate:"required"`
	CPUs    float64 `json:"cpus" validate:"min=0"`
	CPUsMax float64 `json:"cpus_max" validate:"min=0"`
	GPUs    float64 `json:"gpus" validate:"min=0"`
	GPUsMax float64 `json:"gpus_max" validate:"min=0"`
}

// CPULimit returns how many CPUs the team's tasks may use at any moment, or infinity if there is no limit.
func (t Team) CPULimit() float64 { return limitOrInfinity(t.CPUsMax) }

// GPULimit returns how many GPUs the team's tasks may use at any moment, or infinity if there is no limit.
func (t Team) GPULimit() float64 { return limitOrInfinity(t.GPUsMax) }

// limitOrInfinity converts a limit from the platform's file, where 0 means that there is no limit.
func limitOrInfinity(value float64) float64 {
	if value == 0 {
		return math.Inf(1)
	}
	return value
}

// ObjectiveKind says which duration of a job an Objective bounds.
type ObjectiveKind string

// Kinds of objectives.
const (
	// ObjectiveFinished bounds the time from a job's submission to its completion.
	ObjectiveFinished ObjectiveKind = "finished"
	// ObjectiveWait bounds the time from a job's submission to its start.
	ObjectiveWait ObjectiveKind = "wait"
	// ObjectiveDeadline requires completion within the job's own deadline.
	ObjectiveDeadline ObjectiveKind = "deadline"
)

// Objective is a service-level objective: the share of a class's jobs for which a duration must stay within a limit.
type Objective struct {
	Kind    ObjectiveKind `json:"kind"`
	Class   string        `json:"class"`
	WithinS float64       `json:"within_s"`
	Share   float64       `json:"share"`
}

// Settings is the content of the platform's settings file.
//
// The nested structs are anonymous on purpose. Decoding errors print the type of the field in question, for an
// anonymous struct with the names of its fields, and operators know these texts.
type Settings struct {
	Name          string `json:"host_name" validate:"required"`
	Zone          string `json:"site"`
	ListenAddress string `json:"serve_on" validate:"required,hostname_port"`
	PeerAddress   string `json:"back" validate:"required,hostname_port"`
	Peers         []Peer `json:"others" validate:"dive"`
	Endpoints     struct {
		Cloud string `json:"cloud" validate:"required,hostname_port"`
		State string `json:"state" validate:"required,hostname_port"`
	} `json:"endpoints"`
	Facts struct {
		InitialSize int         `json:"initial_size" validate:"min=1"`
		Zones       []string    `json:"zones" validate:"min=1"`
		Teams       []Team      `json:"teams" validate:"min=1,dive"`
		Objectives  []Objective `json:"objectives"`
		Workers     struct {
			ReportS float64 `json:"report_s" validate:"gt=0"`
			LeaseS  float64 `json:"lease_s" validate:"gt=0"`
			CancelS float64 `json:"cancel_s" validate:"gt=0"`
		} `json:"workers"`
		State struct {
			RPS      float64 `json:"rps" validate:"gt=0"`
			WriteRPS float64 `json:"write_rps" validate:"gt=0"`
			ValueKB  float64 `json:"value_kb" validate:"min=2"`
			TxnOps   int     `json:"txn_ops" validate:"min=2"`
			Next     *Next   `json:"next" validate:"omitempty"`
		} `json:"state"`
		Cloud struct {
			RPS      float64 `json:"rps" validate:"gt=0"`
			ListLagS float64 `json:"list_lag_s" validate:"min=0"`
		} `json:"cloud"`
		Quota struct {
			CPU        float64 `json:"cpu" validate:"gt=0"`
			MemMB      float64 `json:"mem_mb" validate:"gt=0"`
			MaxSockets int     `json:"max_sockets" validate:"gt=0"`
		} `json:"quota"`
		SkewMs float64 `json:"skew_ms" validate:"min=0"`
	} `json:"facts"`
}

// Next holds the store limits that replace the current ones at some moment, without notice. A limit that is left out
// does not change.
type Next struct {
	WriteRPS float64 `json:"write_rps" validate:"omitempty,gt=0"`
	ValueKB  float64 `json:"value_kb" validate:"omitempty,min=2"`
	TxnOps   int     `json:"txn_ops" validate:"omitempty,min=2"`
}
