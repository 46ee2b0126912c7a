package config

import "math"

// Peer is another controller.
type Peer struct {
	Name    string `json:"host_name" validate:"required"`
	Zone    string `json:"site"`
	Address string `json:"address" validate:"required,hostname_port"`
}

// Team is a team of users with its quota. A guarantee of 0 is none, and so is a limit of 0: see CPULimit.
type Team struct {
	Name    string  `json:"name" validate:"required"`
	CPUs    float64 `json:"cpus" validate:"min=0"`
	CPUsMax float64 `json:"cpus_max" validate:"min=0"`
	GPUs    float64 `json:"gpus" validate:"min=0"`
	GPUsMax float64 `json:"gpus_max" validate:"min=0"`
}

// CPULimit is the most processors that the team's tasks may use at any moment; infinite without a limit.
func (t Team) CPULimit() float64 { return limit(t.CPUsMax) }

// GPULimit is the same for accelerators.
func (t Team) GPULimit() float64 { return limit(t.GPUsMax) }

// limit reads a limit as the platform writes it: 0 means that there is none.
func limit(value float64) float64 {
	if value == 0 {
		return math.Inf(1)
	}
	return value
}

// ObjectiveKind says which time of a job an Objective bounds.
type ObjectiveKind string

// Kinds of objectives.
const (
	// ObjectiveFinished bounds the time from a job's submission to its completion.
	ObjectiveFinished ObjectiveKind = "finished"
	// ObjectiveWait bounds the time from a job's submission to its start.
	ObjectiveWait ObjectiveKind = "wait"
	// ObjectiveDeadline asks for completion within the deadline that a job names.
	ObjectiveDeadline ObjectiveKind = "deadline"
)

// Objective is one service-level objective: the share of a class's jobs that is to be served within a time.
type Objective struct {
	Kind    ObjectiveKind `json:"kind"`
	Class   string        `json:"class"`
	WithinS float64       `json:"within_s"`
	Share   float64       `json:"share"`
}

// Settings is the file that the platform hands over.
//
// The parts without a name of their own have none on purpose: error texts that operators know name the types
// of what they are about.
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

// Next holds the limits that the store has from some moment on, without notice; what is left out stays as it
// is.
type Next struct {
	WriteRPS float64 `json:"write_rps" validate:"omitempty,gt=0"`
	ValueKB  float64 `json:"value_kb" validate:"omitempty,min=2"`
	TxnOps   int     `json:"txn_ops" validate:"omitempty,min=2"`
}
