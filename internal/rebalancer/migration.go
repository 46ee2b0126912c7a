package rebalancer

import (
	"cmp"
	"fmt"
	"strings"

	"swiftledge/internal/clock"
)

// TaskID identifies a task.
type TaskID struct {
	Job   string
	Index int
}

// String returns the ID as job/index.
func (t TaskID) String() string { return fmt.Sprintf("%s/%d", t.Job, t.Index) }

func (t TaskID) compare(other TaskID) int {
	return cmp.Or(strings.Compare(t.Job, other.Job), cmp.Compare(t.Index, other.Index))
}

// Stage is the progress of a migration.
type Stage int

// A migration goes from Stopping to Terminated once the old attempt is proven to be gone, and to Assigned when its task
// is assigned to a machine. The migration ends when the task runs on that machine.
const (
	Stopping Stage = iota
	Terminated
	Assigned
)

// String returns the name of the stage that the status and the traces show.
func (s Stage) String() string {
	switch s {
	case Stopping:
		return "stopping"
	case Terminated:
		return "stopped"
	case Assigned:
		return "placed"
	}
	return fmt.Sprintf("Stage(%d)", int(s))
}

// Migration moves a running task to another machine: the old attempt is stopped with a checkpoint, and a new attempt
// starts. The target is only a preference: between the two attempts the task waits like any other task, and it may be
// placed on a machine other than the target.
type Migration struct {
	Task         TaskID
	Team         string
	From, To     string
	Assigned     string // the machine that the task was assigned to; "": none yet
	StartedAt    clock.Micros
	TerminatedAt clock.Micros // time at which the old attempt was proven to be gone; 0: not yet
	GainS, CostS float64      // in seconds of image fetch
	Stage        Stage
}

// compareBenefit orders migrations by gain minus cost, the highest first, then by task.
func (m *Migration) compareBenefit(other *Migration) int {
	return cmp.Or(
		cmp.Compare(other.GainS-other.CostS, m.GainS-m.CostS),
		m.Task.compare(other.Task),
	)
}

// Outcomes counts migrations by their outcome.
type Outcomes struct {
	Started   int
	Arrived   int // the task runs on the target machine
	Diverted  int // the task runs on another machine
	Cancelled int // the task or its job ended, or the job was cancelled
	TimedOut  int
}
