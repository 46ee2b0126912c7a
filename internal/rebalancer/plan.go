package rebalancer

import (
	"cmp"
	"slices"
	"strings"

	"swiftledge/internal/clock"
)

// Params are the operators' settings of moves.
type Params struct {
	Bound           Bound
	MoveAbove       float64      // tasks are moved off machines above this many times the mean
	LeastLoad       float64      // but not off machines at or below this load
	LeastRun        clock.Micros // nor within this of a task's start, or when less is left of it
	Pause           clock.Micros // nor a task again within this
	Calm            clock.Micros // nor within this of a change of leader
	MigrationBudget float64      // moves in flight, as a part of the machines that take work
	TeamPart        float64      // of these, for one team
	GiveUp          clock.Micros // a move without an end by then has failed
}

const (
	// leastMoves is how many moves may be in flight in a fleet of any size.
	leastMoves = 2
	// worthLeft is how many times its cost a task must have left to run.
	worthLeft = 2
	// targetsTried is how many machines with room are compared for a task, the least loaded first.
	targetsTried = 16
)

// Task is a task on a machine, as far as it matters for a move.
type Task struct {
	ID       TaskID
	Team     string
	Takes    Resources
	Image    string
	ImageGB  float64
	SaveS    float64
	Saves    bool         // it saves its progress when it is stopped
	Running  clock.Micros // since when; 0: it does not run yet
	LeftS    float64      // estimated run time that is left
	Gang     bool         // its place depends on that of others of its job
	Standing bool         // a service's replica
	Stopping bool         // it was told to stop
	AtLimit  bool         // other work of its team waits at the team's limit, and would take its place
	Allows   func(*Machine) bool
}

// Compare orders tasks by their names.
func (t Task) Compare(o Task) int { return t.ID.compare(o.ID) }

// Machine is a machine as the leader knows it.
type Machine struct {
	Name, Type string
	Capacity   Resources
	Used       Resources // by what is ordered and runs
	Serving    bool      // it takes new work
	Unsettled  bool      // an offer to its block is out
	Images     []string  // that it is known to hold or fetch
}

// Load is the dominant share of the machine that is held.
func (m *Machine) Load() float64 { return m.Used.DominantShare(m.Capacity) }

// View is what moves are decided on.
type View struct {
	Machines []*Machine
	Tasks    func(*Machine) []Task // asked only of machines that are to lose some
	Stale    bool                  // the view of the jobs is not fresh
	Waiting  bool                  // tasks wait that would go before
	Fetch    *FetchRates
}

// round is one look for moves.
type round struct {
	b       *Balancer
	now     clock.Micros
	view    View
	mean    float64
	serving []*Machine      // the fullest first
	busy    map[string]bool // machines that a move in flight concerns
	targets []*Machine      // the least loaded first
	budget  int
	byTeam  map[string]int
	most    int // for one team
}

// Plan decides which tasks to move now and remembers them as moves in flight.
func (b *Balancer) Plan(now clock.Micros, v View) []Migration {
	b.refusals = nil
	if why := b.held(now, v); why != "" {
		b.refuse("", why, TaskID{})
		return nil
	}
	r := b.newRound(now, v)
	var moves []Migration
	for _, m := range r.overloaded() {
		if r.budget <= 0 {
			b.refuse(m.Name, FleetBudget, TaskID{})
			break
		}
		move, ok := r.moveOff(m)
		if !ok {
			continue
		}
		b.begin(move)
		r.begun(move)
		moves = append(moves, move)
	}
	return moves
}

// held says why there are no moves at all now, if so.
func (b *Balancer) held(now clock.Micros, v View) Reason {
	switch {
	case now-b.since < b.params.Calm:
		return NewLeader
	case v.Stale:
		return StaleView
	case v.Waiting:
		return WorkWaits
	}
	return ""
}

func (b *Balancer) newRound(now clock.Micros, v View) *round {
	r := &round{b: b, now: now, view: v, busy: map[string]bool{}, byTeam: map[string]int{}}
	var mean Mean
	for _, m := range v.Machines {
		switch {
		case !possible(m.Used, m.Capacity):
			b.refuse(m.Name, ImpossibleFigures, TaskID{})
		case !m.Used.Fits(m.Capacity):
			b.refuse(m.Name, Overcommitted, TaskID{})
		case m.Serving:
			mean.Add(m.Load())
			r.serving = append(r.serving, m)
		}
	}
	r.mean = mean.Value()
	slices.SortFunc(r.serving, func(x, y *Machine) int {
		return cmp.Or(cmp.Compare(y.Load(), x.Load()), strings.Compare(x.Name, y.Name))
	})
	for _, m := range r.serving {
		if !m.Unsettled {
			r.targets = append(r.targets, m)
		}
	}
	slices.SortFunc(r.targets, func(x, y *Machine) int {
		return cmp.Or(cmp.Compare(x.Load(), y.Load()), strings.Compare(x.Name, y.Name))
	})
	for _, move := range b.InFlight() {
		r.busy[move.From], r.busy[move.To], r.busy[move.At] = true, true, true
		r.byTeam[move.Team]++
	}
	most := b.mostMoves(mean.n)
	r.budget = most - len(b.moves)
	r.most = max(1, int(float64(most)*b.params.TeamPart))
	return r
}

// mostMoves is how many moves may be in flight in a fleet of that many machines.
func (b *Balancer) mostMoves(machines int) int {
	if b.params.MigrationBudget <= 0 {
		return 0
	}
	return max(leastMoves, int(float64(machines)*b.params.MigrationBudget))
}

// begun takes a new move into the reckoning of the round.
func (r *round) begun(move Migration) {
	r.busy[move.From], r.busy[move.To] = true, true
	r.byTeam[move.Team]++
	r.budget--
}

// overloaded are the machines that are to lose tasks, the fullest first.
func (r *round) overloaded() []*Machine {
	p := r.b.params
	end := slices.IndexFunc(r.serving, func(m *Machine) bool { return m.Load() <= p.MoveAbove*r.mean || m.Load() <= p.LeastLoad })
	if end < 0 {
		end = len(r.serving)
	}
	return r.serving[:end]
}

// moveOff finds the task whose move off a machine gains most.
func (r *round) moveOff(m *Machine) (best Migration, ok bool) {
	switch {
	case m.Unsettled:
		r.b.refuse(m.Name, Unsettled, TaskID{})
		return Migration{}, false
	case r.busy[m.Name]:
		r.b.refuse(m.Name, MachineBusy, TaskID{})
		return Migration{}, false
	}
	tasks := r.view.Tasks(m)
	if len(tasks) < 2 {
		r.b.refuse(m.Name, OnlyTask, TaskID{})
		return Migration{}, false
	}
	for i := range tasks {
		t := &tasks[i]
		if why := r.stays(t); why != "" {
			r.b.refuse(m.Name, why, t.ID)
			continue
		}
		move, why := r.moveOf(t, m)
		if why != "" {
			r.b.refuse(m.Name, why, t.ID)
			continue
		}
		if !ok || better(move, best) {
			best, ok = move, true
		}
	}
	return best, ok
}

// better orders moves by what they gain, then by their tasks.
func better(a, b Migration) bool {
	return cmp.Or(cmp.Compare(b.GainS-b.CostS, a.GainS-a.CostS), a.Task.compare(b.Task)) < 0
}

// stays says why a task is not moved wherever there may be room, if so.
func (r *round) stays(t *Task) Reason {
	p := r.b.params
	moved, once := r.b.moved[t.ID]
	switch {
	case t.Stopping:
		return AlreadyStopping
	case t.Standing:
		return Replica
	case t.Gang:
		return GangMember
	case !t.Saves:
		return CannotSave
	case t.Running == 0 || r.now-t.Running < p.LeastRun:
		return JustStarted
	case t.LeftS < p.LeastRun.Seconds():
		return NearlyDone
	case once && r.now-moved < p.Pause:
		return MovedLately
	case t.AtLimit:
		return TeamAtLimit
	case r.byTeam[t.Team] >= r.most:
		return TeamBudget
	}
	return ""
}

// moveOf finds the best machine for a task to move to, of the least loaded ones.
func (r *round) moveOf(t *Task, from *Machine) (best Migration, why Reason) {
	why = NoTarget
	tried := 0
	for _, to := range r.targets {
		if to.Load() > r.b.params.Bound.Relative*r.mean {
			break // the others are fuller
		}
		if to == from || r.busy[to.Name] || !t.Allows(to) || !t.Takes.Fits(to.Capacity.Minus(to.Used)) {
			continue
		}
		after := to.Used.Plus(t.Takes).DominantShare(to.Capacity)
		if !r.b.params.Bound.Allows(Candidate{Load: after, Alone: t.Takes.DominantShare(to.Capacity)}, r.mean) {
			continue
		}
		if move := r.judge(t, from, to, after); !r.worth(t, move) {
			if why == NoTarget {
				why = NotWorth
			}
		} else if why != "" || better(move, best) {
			best, why = move, ""
		}
		if tried++; tried == targetsTried {
			break
		}
	}
	return best, why
}

// judge reckons a move in seconds of image fetch: what less imbalance is worth, and what the move costs.
func (r *round) judge(t *Task, from, to *Machine, after float64) Migration {
	cost := t.SaveS
	if !slices.Contains(to.Images, t.Image) {
		cost += r.view.Fetch.Seconds(to.Type, t.ImageGB)
	}
	gain := (from.Load() - after) / r.mean * r.b.params.Bound.ImbalanceS
	return Migration{Task: t.ID, Team: t.Team, From: from.Name, To: to.Name, Since: r.now, GainS: gain, CostS: cost}
}

// worth says whether a move gains more than it costs, and enough is left of the task.
func (r *round) worth(t *Task, m Migration) bool {
	return m.GainS > m.CostS && t.LeftS >= worthLeft*m.CostS
}
