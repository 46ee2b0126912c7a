package wire

import "slices"

// The users' protocol: POST /api/jobs, GET /api/jobs/{ref} and POST /api/jobs/{ref}/abort. The tags below use these
// words of the protocol for the following terms:
//
//	lane          class: jobs with the same service-level objectives
//	owner         team, against whose quota the job counts
//	rank          priority
//	lots          tasks: here the number of tasks
//	accelerators  GPUs
//	ramGb         memory
//	kit           container image
//	breeds        allowed machine types
//	paddock       zone
//	together      all tasks in one zone
//	scatter       tasks spread over zones
//	stray         spot machine
//	reckonS       estimated run time
//	waypointS     checkpoint interval
//	stashS        time to save a checkpoint
//	dueS          deadline

// Priority says how important a job is.
type Priority string

// Priorities, highest first.
const (
	PriorityProduction Priority = "production"
	PriorityHigh       Priority = "high"
	PriorityStandard   Priority = "standard"
	PriorityBestEffort Priority = "best_effort"
)

// Rank returns the position of the priority, from 0 for the highest. It returns -1 for an unknown priority.
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

// Shape says whether a job is a batch or a service.
type Shape string

// Shapes of jobs. The tasks of a batch run to completion. The replicas of a service run until its user cancels the
// service.
const (
	ShapeBatch   Shape = "batch"
	ShapeService Shape = "service"
)

// JobState is the state of a job as its user sees it.
type JobState string

// Job states. The last two are final.
const (
	JobQueued    JobState = "queued"
	JobRunning   JobState = "running"
	JobDone      JobState = "done"
	JobCancelled JobState = "cancelled"
)

// Job is the specification of a job as submitted by its user. Controllers store it as JSON and send it to each other as
// a msgpack map whose keys are the names of the Go fields.
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
	// FleetLoad is only sent between controllers. In an offer it is the mean load of the schedulable machines once
	// the offered tasks are placed (internal/rebalancer). It is omitted when rebalancing is off, and versions that do
	// not know it ignore it.
	FleetLoad float64 `json:"-" msgpack:",omitempty"`
	// KeyVersion is only sent between controllers. In an offer it is the version of the job's key in the store, which
	// exists until the job ends or is cancelled. Versions that do not know it ignore it and omit it.
	KeyVersion uint64 `json:"-" msgpack:",omitempty"`
}

// AllowsType reports whether the job allows a machine type. Without a list of types it allows any, with an empty list
// none.
func (j *Job) AllowsType(name string) bool { return j.Types == nil || slices.Contains(j.Types, name) }

// IsService reports whether the job is a service, whose replicas run until the job is cancelled.
func (j *Job) IsService() bool { return j.Shape == ShapeService }

// JobSubmission is a submission as received. Its fields are pointers to distinguish a missing field from a zero value.
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

// Job converts the submission, which must have passed validation. It may panic on an invalid submission.
func (s *JobSubmission) Job() Job {
	job := Job{
		Ref:         *s.Ref,
		Class:       *s.Class,
		Team:        *s.Team,
		Shape:       Shape(*s.Shape),
		Priority:    Priority(*s.Priority),
		Tasks:       *s.Tasks,
		CPUs:        *s.CPUs,
		GPUs:        *s.GPUs,
		MemoryGB:    *s.MemoryGB,
		Image:       *s.Image,
		ImageGB:     *s.ImageGB,
		OneZone:     *s.OneZone,
		Spread:      *s.Spread,
		Spot:        *s.Spot,
		EstimateS:   *s.EstimateS,
		CheckpointS: *s.CheckpointS,
		SaveS:       *s.SaveS,
		DeadlineS:   s.DeadlineS,
	}
	if s.Types != nil {
		job.Types = *s.Types
	}
	if s.Zone != nil {
		job.Zone = *s.Zone
	}
	return job
}

// JobStatus is the response to submissions, status requests and cancellations. It contains the job's state and the
// numbers of its completed and running tasks.
type JobStatus struct {
	Ref     string   `json:"ref"`
	State   JobState `json:"status"`
	Done    int      `json:"done"`
	Running int      `json:"running"`
}

// ErrorResponse is the body of a response that refuses a request.
type ErrorResponse struct {
	Error string `json:"error"`
}
