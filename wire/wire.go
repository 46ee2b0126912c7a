// Package wire holds the JSON forms of the four protocols that swiftledge
// speaks: with users, workers, the cloud and the state service. The names here
// are the field's own; the protocol's words stand only in the tags.
package wire

import "encoding/json"

// FencingToken identifies who is entitled to command a worker; a worker obeys the highest that it has seen.
type FencingToken uint64

// AgentEpoch counts the incarnations of a worker's agent: a new one begins each time its lease expires.
type AgentEpoch uint64

// AttemptID tells the attempts to run a task apart; it never repeats for a task.
type AttemptID uint64

// Priority is how important a job is.
type Priority string

// Priorities, highest first.
const (
	PriorityProduction Priority = "production"
	PriorityHigh       Priority = "high"
	PriorityStandard   Priority = "standard"
	PriorityBestEffort Priority = "best_effort"
)

// Rank orders priorities: 0 is the most important, -1 is unknown.
func (p Priority) Rank() int {
	switch p {
	case PriorityProduction:
		return 0
	case PriorityHigh:
		return 1
	case PriorityStandard:
		return 2
	case PriorityBestEffort:
		return 3
	}
	return -1
}

// Shape says how a job's tasks end.
type Shape string

// A batch's tasks each run to completion, a service's replicas run until its user cancels it.
const (
	ShapeBatch   Shape = "batch"
	ShapeService Shape = "service"
)

// JobState is a job's state as its user sees it.
type JobState string

// Job states.
const (
	JobQueued    JobState = "queued"
	JobRunning   JobState = "running"
	JobDone      JobState = "done"
	JobCancelled JobState = "cancelled"
)

// TaskState is the state of a task on its machine.
type TaskState string

// Task states.
const (
	TaskFetching TaskState = "fetching"
	TaskRunning  TaskState = "running"
	TaskSaving   TaskState = "saving"
	TaskExited   TaskState = "exited"
)

// ExitCause says why a task exited.
type ExitCause string

// Exit causes.
const (
	ExitDone    ExitCause = "done"
	ExitStopped ExitCause = "stopped"
	ExitError   ExitCause = "error"
	ExitFull    ExitCause = "full"
	ExitBusy    ExitCause = "busy"
	ExitUnknown ExitCause = "unknown"
)

// Verb is what a command tells a worker to do.
type Verb string

// Verbs of commands.
const (
	VerbRun    Verb = "run"
	VerbKill   Verb = "kill"
	VerbForget Verb = "forget"
)

// MachineState is the state of a machine in the cloud's list.
type MachineState string

// Machine states.
const (
	MachineStarting MachineState = "starting"
	MachineRunning  MachineState = "running"
	MachineFailed   MachineState = "failed"
)

// Job is what a user submits.
type Job struct {
	Ref         string   `json:"ref"`
	Class       string   `json:"lane"`
	Team        string   `json:"owner"`
	Shape       Shape    `json:"shape"`
	Priority    Priority `json:"rank"`
	Tasks       int      `json:"lots"`
	CPUs        float64  `json:"cpus"`
	GPUs        float64  `json:"accelerators"`
	MemoryGB    float64  `json:"ramGb"`
	Image       string   `json:"kit"`
	ImageGB     float64  `json:"imageGb"`
	Types       []string `json:"breeds"`
	Zone        string   `json:"paddock,omitempty"`
	OneZone     bool     `json:"together"`
	Spread      bool     `json:"scatter"`
	Spot        bool     `json:"stray"`
	EstimateS   float64  `json:"reckonS"`
	CheckpointS float64  `json:"waypointS"`
	SaveS       float64  `json:"stashS"`
	DeadlineS   *float64 `json:"dueS"`
	// FleetLoad is between controllers only: with an offer, the mean load of the machines that take work
	// (internal/balance). Left out when work is not spread; a version that does not know it ignores it.
	FleetLoad float64 `json:"-" msgpack:",omitempty"`
}

// IsService says whether the job's tasks run until it is cancelled.
func (j *Job) IsService() bool { return j.Shape == ShapeService }

// JobSubmission is a submission as received: pointers tell a missing field from zero.
type JobSubmission struct {
	Ref         *string   `json:"ref" validate:"required,jobref"`
	Class       *string   `json:"lane" validate:"required"`
	Team        *string   `json:"owner" validate:"required"`
	Shape       *string   `json:"shape" validate:"required,oneof=batch service"`
	Priority    *string   `json:"rank" validate:"required,oneof=production high standard best_effort"`
	Tasks       *int      `json:"lots" validate:"required,min=1,max=100000"`
	CPUs        *float64  `json:"cpus" validate:"required,min=0"`
	GPUs        *float64  `json:"accelerators" validate:"required,min=0"`
	MemoryGB    *float64  `json:"ramGb" validate:"required,min=0"`
	Image       *string   `json:"kit" validate:"required"`
	ImageGB     *float64  `json:"imageGb" validate:"required,min=0"`
	Types       *[]string `json:"breeds"`
	Zone        *string   `json:"paddock"`
	OneZone     *bool     `json:"together" validate:"required"`
	Spread      *bool     `json:"scatter" validate:"required"`
	Spot        *bool     `json:"stray" validate:"required"`
	EstimateS   *float64  `json:"reckonS" validate:"required,min=0"`
	CheckpointS *float64  `json:"waypointS" validate:"required,min=0"`
	SaveS       *float64  `json:"stashS" validate:"required,min=0"`
	DeadlineS   *float64  `json:"dueS" validate:"omitempty,min=0"`
}

// Job makes the job of a form that has passed validation.
func (f *JobSubmission) Job() Job {
	j := Job{Ref: *f.Ref, Class: *f.Class, Team: *f.Team, Shape: Shape(*f.Shape), Priority: Priority(*f.Priority), Tasks: *f.Tasks,
		CPUs: *f.CPUs, GPUs: *f.GPUs, MemoryGB: *f.MemoryGB, Image: *f.Image, ImageGB: *f.ImageGB,
		OneZone: *f.OneZone, Spread: *f.Spread, Spot: *f.Spot, EstimateS: *f.EstimateS,
		CheckpointS: *f.CheckpointS, SaveS: *f.SaveS, DeadlineS: f.DeadlineS}
	if f.Types != nil {
		j.Types = *f.Types
	}
	if f.Zone != nil {
		j.Zone = *f.Zone
	}
	return j
}

// JobStatus answers submissions, polls and aborts.
type JobStatus struct {
	Ref     string   `json:"ref"`
	State   JobState `json:"status"`
	Done    int      `json:"done"`
	Running int      `json:"running"`
}

// ErrorResponse is the body of a refusal.
type ErrorResponse struct {
	Error string `json:"error"`
}

// TaskStatus is one task in a worker's report.
type TaskStatus struct {
	Task         string    `json:"lot"`
	Attempt      AttemptID `json:"try"`
	State        TaskState `json:"status"`
	Cause        ExitCause `json:"cause,omitempty"`
	Checkpointed bool      `json:"stored,omitempty"`
}

// Heartbeat is what a worker says of itself.
type Heartbeat struct {
	Machine           string       `json:"rig"`
	Address           string       `json:"address"`
	Type              string       `json:"breed"`
	Zone              string       `json:"paddock"`
	Spot              bool         `json:"stray"`
	AgentEpoch        AgentEpoch   `json:"stint"`
	Seq               uint64       `json:"tally"`
	FencingToken      FencingToken `json:"baton"`
	PreemptionNoticeS *float64     `json:"warningS"`
	Tasks             []TaskStatus `json:"lots"`
}

// Command is one order to a worker.
type Command struct {
	Verb    Verb      `json:"verb"`
	Task    string    `json:"lot"`
	Attempt AttemptID `json:"try"`
	GraceS  *float64  `json:"leewayS,omitempty"`
}

// HeartbeatResponse answers a report with 200.
type HeartbeatResponse struct {
	FencingToken FencingToken `json:"baton"`
	Commands     []Command    `json:"orders"`
}

// Redirect answers a report with 421.
type Redirect struct {
	Controller string `json:"foreman,omitempty"`
}

// CommandBatch is a direct command to a worker.
type CommandBatch struct {
	FencingToken FencingToken `json:"baton"`
	AgentEpoch   AgentEpoch   `json:"stint"`
	Commands     []Command    `json:"orders"`
}

// MachineType is one row of the cloud's catalog.
type MachineType struct {
	Name      string   `json:"sku"`
	CPUs      float64  `json:"cpus"`
	GPUs      float64  `json:"accelerators"`
	MemoryGB  float64  `json:"ramGb"`
	CacheGB   float64  `json:"localGb"`
	FetchGBPS float64  `json:"pullGbPerS"`
	Price     float64  `json:"price"`
	SpotPrice float64  `json:"lowPrice"`
	BootS     float64  `json:"readyS"`
	ZoneNames []string `json:"paddocks"`
}

// Catalog lists the machine types.
type Catalog struct {
	Types []MachineType `json:"breeds"`
}

// ProvisionRequest asks the cloud for machines; Request makes it idempotent.
type ProvisionRequest struct {
	RequestID string `json:"hire"`
	Type      string `json:"breed"`
	Zone      string `json:"paddock"`
	Spot      bool   `json:"stray"`
	Count     int    `json:"count"`
}

// MachineNames names machines: a rental's answer and a deletion's body.
type MachineNames struct {
	Names []string `json:"rigs"`
}

// Machine is one row of the cloud's list.
type Machine struct {
	Name    string       `json:"ref"`
	Address string       `json:"address"`
	Type    string       `json:"breed"`
	Zone    string       `json:"paddock"`
	Spot    bool         `json:"stray"`
	State   MachineState `json:"status"`
	AgeS    float64      `json:"heldS"`
}

// MachineList is one page of the cloud's list.
type MachineList struct {
	Machines []Machine `json:"rigs"`
	More     bool      `json:"more"`
}

// Item is one key of the state service.
type Item struct {
	Key     string          `json:"path"`
	Value   json.RawMessage `json:"v"`
	Version uint64          `json:"stamp"`
	Lease   uint64          `json:"tenure,omitempty"`
}

// ItemList is one page of keys.
type ItemList struct {
	Items    []Item `json:"rows"`
	More     bool   `json:"more"`
	Revision uint64 `json:"ledger"`
}

// Condition is a transaction's condition: version 0 says that the key is absent.
type Condition struct {
	Key     string `json:"path"`
	Version uint64 `json:"stamp"`
}

// Write is one put or delete.
type Write struct {
	Put    string          `json:"put,omitempty"`
	Value  json.RawMessage `json:"v,omitempty"`
	Lease  uint64          `json:"tenure,omitempty"`
	Delete string          `json:"delete,omitempty"`
}

// Txn is a transaction.
type Txn struct {
	Conditions []Condition `json:"guards"`
	Writes     []Write     `json:"writes"`
}

// TxnResponse answers 200 and 409.
type TxnResponse struct {
	Revision uint64   `json:"ledger"`
	Failed   []string `json:"failed,omitempty"`
	Error    string   `json:"error,omitempty"`
}

// LeaseRequest asks for a store lease.
type LeaseRequest struct {
	TTLMs int64 `json:"ttlMs"`
}

// LeaseResponse names the lease.
type LeaseResponse struct {
	Lease uint64 `json:"tenure"`
}

// Event is one change seen by a watch.
type Event struct {
	Put     string          `json:"put,omitempty"`
	Value   json.RawMessage `json:"v,omitempty"`
	Version uint64          `json:"stamp"`
	Delete  string          `json:"delete,omitempty"`
}

// WatchResponse holds the changes since the given revision.
type WatchResponse struct {
	Revision uint64  `json:"ledger"`
	Events   []Event `json:"news"`
}
