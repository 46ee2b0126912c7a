package peer

import (
	"swiftledge/internal/clock"
	"swiftledge/internal/cluster"
)

// Status is a controller's status for operators. It is encoded as maps: fields may be added, but the keys must not
// change.
type Status struct {
	Controller string       `msgpack:"node" json:"node"`
	Leader     string       `msgpack:"leader" json:"leader"` // the leader that the controller follows; "" if none
	Term       cluster.Term `msgpack:"epoch" json:"epoch"`
	IsLeader   bool         `msgpack:"leads" json:"leads"`
	// Number of process pauses since the start of the process, and the last pause.
	Pauses    int          `msgpack:"pauses" json:"pauses"`
	LastPause *PauseStatus `msgpack:"last_pause" json:"last_pause,omitempty"`
	// Only the leader sets the remaining fields.
	Rebalancing       bool              `msgpack:"spread" json:"spread"`  // rebalancing is enabled
	MeanLoad          float64           `msgpack:"mean" json:"mean_load"` // of the schedulable machines
	Shards            []ShardStatus     `msgpack:"blocks" json:"blocks"`
	Machines          []MachineStatus   `msgpack:"machines" json:"machines"`
	Teams             []TeamStatus      `msgpack:"teams" json:"teams"`
	Migrations        []MigrationStatus `msgpack:"moves" json:"moves"`       // in flight
	Refusals          []RefusalStatus   `msgpack:"refusals" json:"refusals"` // of the last time migrations were planned
	MigrationOutcomes MigrationOutcomes `msgpack:"ended" json:"moves_of_epoch"`
	Suspects          []SuspectStatus   `msgpack:"suspects" json:"suspect_jobs"`
}

// PauseStatus describes a process pause of a controller.
type PauseStatus struct {
	EndedAt clock.Micros `msgpack:"at" json:"ended_at_us"` // wall-clock time of the end of the pause
	AgoS    float64      `msgpack:"ago_s" json:"ago_s"`
	LengthS float64      `msgpack:"length_s" json:"length_s"`
	Expired []string     `msgpack:"expired" json:"expired"` // what expired during the pause, such as shard leases
}

// SuspectStatus describes a suspect job: its tasks failed on several machines. Of such a job, single tasks are started
// as probes, which show whether its tasks still fail.
type SuspectStatus struct {
	Job        string  `msgpack:"job" json:"job"`
	Team       string  `msgpack:"team" json:"team"`
	Machines   int     `msgpack:"machines" json:"failed_on_machines"` // number of machines on which its tasks failed
	Probes     int     `msgpack:"probes" json:"probes"`               // number of probes since the job became suspect
	NextProbeS float64 `msgpack:"next_s" json:"next_probe_s"`         // seconds until the next probe may start
}

// ShardStatus describes a shard and its machines.
type ShardStatus struct {
	Shard               int     `msgpack:"block" json:"block"`
	Holder              string  `msgpack:"holder" json:"holder"`
	Granted             bool    `msgpack:"granted" json:"granted"`
	Machines            int     `msgpack:"machines" json:"machines"`
	SchedulableMachines int     `msgpack:"take_work" json:"take_work"` // number of machines that accept new tasks
	MeanLoad            float64 `msgpack:"mean" json:"mean_load"`
	MaxLoad             float64 `msgpack:"most" json:"most_load"`
	Tasks               int     `msgpack:"tasks" json:"tasks"`
	Unstarted           int     `msgpack:"unstarted" json:"unstarted"` // tasks offered to the holder and not running yet
}

// MachineStatus describes a running machine.
type MachineStatus struct {
	Name                string  `msgpack:"name" json:"name"`
	Shard               int     `msgpack:"block" json:"block"`
	Type                string  `msgpack:"type" json:"type"`
	Zone                string  `msgpack:"zone" json:"zone"`
	Load                float64 `msgpack:"load" json:"load"`
	RelativeLoad        float64 `msgpack:"over" json:"over_mean"` // load as a multiple of the mean load
	Tasks               int     `msgpack:"tasks" json:"tasks"`
	Schedulable         bool    `msgpack:"takes_work" json:"takes_work"`
	UnschedulableReason string  `msgpack:"why_not" json:"why_not,omitempty"`
}

// TeamStatus describes the resource usage and the waiting tasks of a team.
type TeamStatus struct {
	Team           string  `msgpack:"team" json:"team"`
	CPUs           float64 `msgpack:"cpus" json:"cpus_held"`            // CPUs that the team uses
	Limit          float64 `msgpack:"limit" json:"cpus_limit"`          // limit of the team's CPUs; 0: none
	Waiting        int     `msgpack:"waiting" json:"waiting"`           // waiting tasks of the team
	WaitingAtLimit int     `msgpack:"at_limit" json:"waiting_at_limit"` // waiting tasks that would exceed the team's limit
}

// MigrationStatus describes a migration in flight.
type MigrationStatus struct {
	Task  string  `msgpack:"task" json:"task"`
	Team  string  `msgpack:"team" json:"team"`
	From  string  `msgpack:"from" json:"from"`
	To    string  `msgpack:"to" json:"to"`
	Stage string  `msgpack:"stage" json:"stage"`
	AgeS  float64 `msgpack:"age_s" json:"age_s"`
	GainS float64 `msgpack:"gain_s" json:"gain_s"`
	CostS float64 `msgpack:"cost_s" json:"cost_s"`
}

// RefusalStatus is the reason why tasks of one machine, or of all machines if Machine is empty, were not migrated.
type RefusalStatus struct {
	Machine string `msgpack:"machine" json:"machine,omitempty"`
	Reason  string `msgpack:"reason" json:"reason"`
	Task    string `msgpack:"task" json:"task,omitempty"` // an example of the tasks that were not migrated
	Tasks   int    `msgpack:"tasks" json:"tasks"`         // number of tasks that were not migrated
}

// MigrationOutcomes counts migrations by outcome.
type MigrationOutcomes struct {
	Begun     int `msgpack:"begun" json:"begun"`         // migrations that were started
	Arrived   int `msgpack:"arrived" json:"arrived"`     // the task runs on the target machine
	Elsewhere int `msgpack:"elsewhere" json:"elsewhere"` // the task runs on another machine
	Cancelled int `msgpack:"cancelled" json:"cancelled"` // the task or its job ended, or the job was cancelled
	GivenUp   int `msgpack:"given_up" json:"given_up"`   // the migration timed out
}
