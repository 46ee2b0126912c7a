package peer

import (
	"errors"
	"fmt"
	"math"
	"net"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"swiftledge/internal/clock"
	"swiftledge/internal/cluster"
	"swiftledge/internal/netio"
)

// statusEpoch in a Hello asks for a Status in place of a link. No leader has that epoch, so a version that
// does not know the question refuses it like a link to a leader that is none.
const statusEpoch = math.MaxUint64

// Status is what a controller tells an operator. It travels as maps and may grow.
type Status struct {
	Controller string       `msgpack:"node" json:"node"`
	Leader     string       `msgpack:"leader" json:"leader"` // whom it follows; "" if nobody
	Term       cluster.Term `msgpack:"epoch" json:"epoch"`
	Leading    bool         `msgpack:"leads" json:"leads"`
	// How often it stood still since it was started, and the last time.
	Pauses    int          `msgpack:"pauses" json:"pauses"`
	LastPause *PauseStatus `msgpack:"last_pause" json:"last_pause,omitempty"`
	// What follows is known to the leader alone.
	Rebalancing       bool              `msgpack:"spread" json:"spread"`  // it keeps work even
	MeanLoad          float64           `msgpack:"mean" json:"mean_load"` // of the machines that take work
	Shards            []ShardStatus     `msgpack:"blocks" json:"blocks"`
	Machines          []MachineStatus   `msgpack:"machines" json:"machines"`
	Teams             []TeamStatus      `msgpack:"teams" json:"teams"`
	Migrations        []MigrationStatus `msgpack:"moves" json:"moves"`       // in flight
	Refusals          []RefusalStatus   `msgpack:"refusals" json:"refusals"` // of the last look for moves
	MigrationOutcomes MigrationOutcomes `msgpack:"ended" json:"moves_of_epoch"`
	Suspects          []SuspectStatus   `msgpack:"suspects" json:"suspect_jobs"`
}

// PauseStatus is a time in which a controller stood still.
type PauseStatus struct {
	EndedAt clock.Micros `msgpack:"at" json:"ended_at_us"` // time of day at which it ended
	AgoS    float64      `msgpack:"ago_s" json:"ago_s"`
	LengthS float64      `msgpack:"length_s" json:"length_s"`
	Expired []string     `msgpack:"expired" json:"expired"` // what ran out meanwhile
}

// SuspectStatus is a job whose tasks fail wherever they run.
type SuspectStatus struct {
	Job      string  `msgpack:"job" json:"job"`
	Team     string  `msgpack:"team" json:"team"`
	Machines int     `msgpack:"machines" json:"failed_on_machines"`
	Probes   int     `msgpack:"probes" json:"probes"` // tasks tried since it became suspect
	NextS    float64 `msgpack:"next_s" json:"next_probe_s"`
}

// ShardStatus is a block of machines.
type ShardStatus struct {
	Shard     int     `msgpack:"block" json:"block"`
	Holder    string  `msgpack:"holder" json:"holder"`
	Granted   bool    `msgpack:"granted" json:"granted"`
	Machines  int     `msgpack:"machines" json:"machines"`
	TakeWork  int     `msgpack:"take_work" json:"take_work"` // of these
	MeanLoad  float64 `msgpack:"mean" json:"mean_load"`
	MostLoad  float64 `msgpack:"most" json:"most_load"`
	Tasks     int     `msgpack:"tasks" json:"tasks"`
	Unstarted int     `msgpack:"unstarted" json:"unstarted"` // handed to it and not running yet
}

// MachineStatus is a machine that is up.
type MachineStatus struct {
	Name      string  `msgpack:"name" json:"name"`
	Shard     int     `msgpack:"block" json:"block"`
	Type      string  `msgpack:"type" json:"type"`
	Zone      string  `msgpack:"zone" json:"zone"`
	Load      float64 `msgpack:"load" json:"load"`
	OverMean  float64 `msgpack:"over" json:"over_mean"` // load in multiples of the mean
	Tasks     int     `msgpack:"tasks" json:"tasks"`
	TakesWork bool    `msgpack:"takes_work" json:"takes_work"`
	WhyNot    string  `msgpack:"why_not" json:"why_not,omitempty"`
}

// TeamStatus is a team's work.
type TeamStatus struct {
	Team    string  `msgpack:"team" json:"team"`
	CPUs    float64 `msgpack:"cpus" json:"cpus_held"`
	Limit   float64 `msgpack:"limit" json:"cpus_limit"`
	Waiting int     `msgpack:"waiting" json:"waiting"`
	AtLimit int     `msgpack:"at_limit" json:"waiting_at_limit"` // of these
}

// MigrationStatus is a move in flight.
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

// RefusalStatus says why tasks of a machine, or of all, were not moved.
type RefusalStatus struct {
	Machine string `msgpack:"machine" json:"machine,omitempty"`
	Reason  string `msgpack:"reason" json:"reason"`
	Task    string `msgpack:"task" json:"task,omitempty"` // one of those concerned
	Tasks   int    `msgpack:"tasks" json:"tasks"`
}

// MigrationOutcomes counts how moves ended.
type MigrationOutcomes struct {
	Begun     int `msgpack:"begun" json:"begun"`
	Arrived   int `msgpack:"arrived" json:"arrived"`
	Elsewhere int `msgpack:"elsewhere" json:"elsewhere"`
	Cancelled int `msgpack:"cancelled" json:"cancelled"`
	GivenUp   int `msgpack:"given_up" json:"given_up"`
}

// ErrStatusUnsupported says that a controller does not know the question for its status.
var ErrStatusUnsupported = errors.New("does not know the question")

// statusTimeout bounds the whole question.
const statusTimeout = 5 * time.Second

// FetchStatus asks the controller at addr for its status.
func FetchStatus(addr string) (Status, error) {
	var s Status
	c, err := netio.Dial(addr, time.Second)
	if err != nil {
		return s, fmt.Errorf("status: %w", err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(statusTimeout))
	raw, err := msgpack.Marshal(Hello{Term: statusEpoch})
	if err != nil {
		return s, fmt.Errorf("status: %w", err)
	}
	if _, err := c.Write(raw); err != nil {
		return s, fmt.Errorf("status: %w", err)
	}
	dec := msgpack.NewDecoder(c)
	var back Hello
	if err := dec.Decode(&back); err != nil {
		return s, fmt.Errorf("status: %w", err)
	}
	if back.Term != statusEpoch {
		return s, fmt.Errorf("status: %s %w", back.Controller, ErrStatusUnsupported)
	}
	if err := dec.Decode(&s); err != nil {
		return s, fmt.Errorf("status: %w", err)
	}
	return s, nil
}

// answerStatus answers the question on a connection and closes it.
func answerStatus(c net.Conn, me Hello, status Status) {
	defer c.Close()
	c.SetDeadline(time.Now().Add(statusTimeout))
	me.Term = statusEpoch
	enc := msgpack.NewEncoder(c)
	if enc.Encode(me) == nil {
		// Whoever asked sees from what is missing that it did not come whole.
		_ = enc.Encode(status)
	}
}
