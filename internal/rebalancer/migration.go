package rebalancer

import (
	"cmp"
	"fmt"
	"strings"

	"swiftledge/internal/clock"
)

// TaskID names a task.
type TaskID struct {
	Job   string
	Index int
}

// String returns the task's name, job/index.
func (t TaskID) String() string { return fmt.Sprintf("%s/%d", t.Job, t.Index) }

func (t TaskID) compare(other TaskID) int {
	return cmp.Or(strings.Compare(t.Job, other.Job), cmp.Compare(t.Index, other.Index))
}

// Stage is how far a migration has come.
type Stage int

// A migration goes from Stopping to Terminated once the old attempt is proven to be gone, and to Assigned when its
// task is given to a machine; it ends when the task runs there.
const (
	Stopping Stage = iota
	Terminated
	Assigned
)

// String returns the stage as the status and the traces show it.
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

// Migration is a task that is to run on another machine. It is a preference only: between its stop and its start the
// task waits like any other, and it may run elsewhere.
type Migration struct {
	Task         TaskID
	Team         string
	From, To     string
	Assigned     string // the machine that it was given to; "": none yet
	StartedAt    clock.Micros
	TerminatedAt clock.Micros // when the old attempt was proven to be gone; 0: not yet
	GainS, CostS float64      // in seconds of image fetch
	Stage        Stage
}

// compareBenefit orders migrations by what they gain beyond their cost, the most first, then by their tasks.
func (m *Migration) compareBenefit(other *Migration) int {
	return cmp.Or(
		cmp.Compare(other.GainS-other.CostS, m.GainS-m.CostS),
		m.Task.compare(other.Task),
	)
}

// Outcomes counts how migrations ended.
type Outcomes struct {
	Started   int
	Arrived   int // on the machine that was meant
	Diverted  int // to another machine
	Cancelled int // the job ended or was cancelled meanwhile
	TimedOut  int
}
