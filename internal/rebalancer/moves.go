package rebalancer

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"swiftledge/internal/clock"
)

// TaskID names a task.
type TaskID struct {
	Job   string
	Index int
}

func (t TaskID) String() string { return fmt.Sprintf("%s/%d", t.Job, t.Index) }

func (t TaskID) compare(o TaskID) int {
	return cmp.Or(strings.Compare(t.Job, o.Job), cmp.Compare(t.Index, o.Index))
}

// Reason says why a task, or any task of a machine, is not moved.
type Reason string

// Reasons against moves: of all machines, of one machine, of one task.
const (
	NewLeader Reason = "leader changed lately"
	StaleView Reason = "view of the jobs is not fresh"
	WorkWaits Reason = "work waits for room"

	FleetBudget       Reason = "moves in flight"
	MachineBusy       Reason = "a move concerns the machine"
	Unsettled         Reason = "an offer is out"
	ImpossibleFigures Reason = "impossible figures"
	Overcommitted     Reason = "records of former attempts are not settled"
	OnlyTask          Reason = "no other task there"

	CannotSave      Reason = "cannot save"
	JustStarted     Reason = "just started"
	NearlyDone      Reason = "nearly done"
	GangMember      Reason = "place depends on others of its job"
	Replica         Reason = "replica of a service"
	AlreadyStopping Reason = "told to stop"
	MovedLately     Reason = "moved lately"
	TeamAtLimit     Reason = "work of its team waits at its limit"
	TeamBudget      Reason = "moves of its team in flight"
	NoTarget        Reason = "no machine within the bound"
	NotWorth        Reason = "costs more than it gains"
)

// Refusal is a move that was not made.
type Refusal struct {
	Machine string // "" where it concerns all
	Reason  Reason
	Task    TaskID // one of those concerned, if it is about tasks
	Tasks   int    // how many
}

// Stage is how far a move has come.
type Stage int

// A move goes from Stopping to Stopped once the old attempt is proven gone, and to Placed when its task is
// given to a machine; when that runs, the move is done.
const (
	Stopping Stage = iota
	Stopped
	Placed
)

func (s Stage) String() string { return [...]string{"stopping", "stopped", "placed"}[s] }

// Migration is a task that is to run on another machine. It is a preference only: the task waits like any other
// between its stop and its start, and may run elsewhere.
type Migration struct {
	Task         TaskID
	Team         string
	From, To     string
	At           string // the machine that it was given to
	Since        clock.Micros
	GoneAt       clock.Micros // when the old attempt was proven gone; 0: not yet
	GainS, CostS float64      // in seconds of image fetch
	Stage        Stage
}

// Outcomes counts how moves ended.
type Outcomes struct {
	Begun     int
	Arrived   int // on the machine that was meant
	Elsewhere int // on another one
	Cancelled int // its job ended or was cancelled meanwhile
	GivenUp   int // without an end in time
}

// Balancer remembers the moves of one leader. All of it is soft state: a leader that loses it loses
// preferences only.
type Balancer struct {
	params   Params
	since    clock.Micros
	moves    map[TaskID]*Migration
	moved    map[TaskID]clock.Micros // when a task was last moved
	refusals []Refusal
	outcomes Outcomes
}

// New makes the balancer of a leader that began at that time.
func New(p Params, since clock.Micros) *Balancer {
	return &Balancer{params: p, since: since, moves: map[TaskID]*Migration{}, moved: map[TaskID]clock.Micros{}}
}

func (b *Balancer) begin(m Migration) {
	b.moves[m.Task] = &m
	b.moved[m.Task] = m.Since
	b.outcomes.Begun++
}

// refuse notes why something is not moved, once for each machine and reason.
func (b *Balancer) refuse(machine string, why Reason, t TaskID) {
	for i := range b.refusals {
		if r := &b.refusals[i]; r.Machine == machine && r.Reason == why {
			r.Tasks++
			return
		}
	}
	b.refusals = append(b.refusals, Refusal{Machine: machine, Reason: why, Task: t, Tasks: 1})
}

// Gone takes in that a task's old attempt is proven gone: from now on it may start elsewhere.
func (b *Balancer) Gone(now clock.Micros, t TaskID) {
	if m := b.moves[t]; m != nil {
		m.Stage, m.GoneAt = Stopped, now
	}
}

// Given takes in that a task was given to a machine.
func (b *Balancer) Given(t TaskID, machine string) {
	if m := b.moves[t]; m != nil && m.Stage == Stopped {
		m.Stage, m.At = Placed, machine
	}
}

// Runs takes in that a task runs on a machine, which ends its move; false when it was none.
func (b *Balancer) Runs(t TaskID, machine string) (Migration, bool) {
	m := b.moves[t]
	if m == nil || m.Stage == Stopping {
		return Migration{}, false
	}
	delete(b.moves, t)
	m.At = machine
	if machine == m.To {
		b.outcomes.Arrived++
	} else {
		b.outcomes.Elsewhere++
	}
	return *m, true
}

// Ended takes in that a task is over, and gives the move that this ends, if any.
func (b *Balancer) Ended(t TaskID) (Migration, bool) {
	delete(b.moved, t)
	m := b.moves[t]
	if m == nil {
		return Migration{}, false
	}
	delete(b.moves, t)
	b.outcomes.Cancelled++
	return *m, true
}

// Forget takes in that a job is over or cancelled, and gives the moves that this ends.
func (b *Balancer) Forget(job string) (out []Migration) {
	for _, m := range b.InFlight() {
		if m.Task.Job == job {
			b.Ended(m.Task)
			out = append(out, m)
		}
	}
	for t := range b.moved {
		if t.Job == job {
			delete(b.moved, t)
		}
	}
	return out
}

// Expire drops the moves that have not come to an end in time, and gives them.
func (b *Balancer) Expire(now clock.Micros) (out []Migration) {
	for _, m := range b.InFlight() {
		if now-m.Since > b.params.GiveUp {
			delete(b.moves, m.Task)
			b.outcomes.GivenUp++
			out = append(out, m)
		}
	}
	return out
}

// Preferred is the machine that a task is to move to, once it may start again; "" for none.
func (b *Balancer) Preferred(t TaskID) string {
	if m := b.moves[t]; m != nil && m.Stage == Stopped {
		return m.To
	}
	return ""
}

// Moving says whether a move of the task is in flight.
func (b *Balancer) Moving(t TaskID) bool { return b.moves[t] != nil }

// InFlight are the moves under way, by task.
func (b *Balancer) InFlight() []Migration {
	out := make([]Migration, 0, len(b.moves))
	for _, t := range slices.SortedFunc(maps.Keys(b.moves), TaskID.compare) {
		out = append(out, *b.moves[t])
	}
	return out
}

// Refusals are those of the last look for moves.
func (b *Balancer) Refusals() []Refusal { return b.refusals }

// Outcomes are how moves ended since the leader began.
func (b *Balancer) Outcomes() Outcomes { return b.outcomes }
