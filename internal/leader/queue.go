package leader

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"swiftledge/internal/autoscaler"
	"swiftledge/internal/clock"
	"swiftledge/internal/config"
	"swiftledge/internal/leader/jobs"
	"swiftledge/wire"
)

// jobOrder is a job's place among those of its team.
type jobOrder struct {
	late bool // it cannot be in time any more
	rank int  // of its priority, the most important first
	// With a deadline, the time that is left before it has to begin; without one, what is left to do.
	slack float64
	age   float64
}

// compare orders those that can still be in time before those that cannot, then by priority, then
// by the latest start that is in time, then by submission.
func (o jobOrder) compare(x jobOrder) int {
	return cmp.Or(autoscaler.FalseFirst(o.late, x.late), cmp.Compare(o.rank, x.rank), cmp.Compare(o.slack, x.slack), cmp.Compare(x.age, o.age))
}

// order is a job's place in its team's queue. A job without a deadline of its own has that of its
// class's objective.
func (l *Leader) order(age float64, j *jobs.Job) jobOrder {
	s := &j.Spec
	due := math.Inf(1)
	if s.DeadlineS != nil {
		due = *s.DeadlineS
	} else if o, ok := l.within[s.Class]; ok {
		due = o
	}
	// The least time in which the rest can be done within the team's limit.
	need := l.jobs.RunSeconds(j)
	if most := l.teams[s.Team].CPUsMax; most > 0 {
		need = max(need, float64(s.Tasks-j.Completed())*s.CPUs*need/most)
	}
	rank := s.Priority.Rank()
	slack := due - age - need
	if s.DeadlineS == nil {
		slack = need
	}
	return jobOrder{late: rank >= wire.PriorityStandard.Rank() && age+need > due, rank: rank, slack: slack, age: age}
}

// teamOrder is a team's place among the others.
type teamOrder struct {
	belated        bool // a job of it has not begun in time: it goes first
	overGuarantee  bool // its next task would be beyond what it is guaranteed
	rank           int  // of its most important job
	guaranteeInUse float64
}

func (o teamOrder) compare(x teamOrder) int {
	return cmp.Or(autoscaler.FalseFirst(x.belated, o.belated), autoscaler.FalseFirst(o.overGuarantee, x.overGuarantee),
		cmp.Compare(o.rank, x.rank), cmp.Compare(o.guaranteeInUse, x.guaranteeInUse))
}

type queued struct {
	j          *jobs.Job
	order      jobOrder
	waitedLong bool // it has waited long: its kind of job has a least share
	exhausted  bool // nothing of it can be handed out in this round
}

// teamQueue is one team's jobs in their order.
type teamQueue struct {
	team config.Team
	u    *resourceUsage
	q    []*queued
	// What its classes use, and under "" what jobs use that have waited long.
	use map[string]float64
	// What services use, and whether the team has other jobs: neither may shut out the other.
	standing float64
	mixed    bool
	entitled []*jobs.Job // that wait and may stop other tasks to get room
	// Whose turn it is within the team, and the team's place among the others; they
	// change only when the team is served.
	pick  *queued
	first bool
	order teamOrder
	known bool
}

// longWaiting stands among the classes for all jobs that have waited long.
const longWaiting = ""

// next gives the job whose turn it is. Order alone would starve what always comes
// last: the largest, those already late, a class of low priority. So a job that has
// not begun in time goes first with one task, and each class, and what has waited
// long, has a least share of what its team uses.
func (t *teamQueue) next(floor float64) (pick *queued, least bool) {
	t.q = slices.DeleteFunc(t.q, func(q *queued) bool { return q.exhausted || q.j.Waiting() == 0 })
	for _, q := range t.q {
		if q.waitedLong && !q.j.WasDispatched() {
			return q, true
		}
	}
	var seen []string // a few classes
	for _, q := range t.q {
		if c := q.j.Spec.Class; !slices.Contains(seen, c) {
			seen = append(seen, c)
			if t.use[c] < floor*t.u.cpus {
				return q, false
			}
		}
		if q.waitedLong && !slices.Contains(seen, longWaiting) {
			seen = append(seen, longWaiting)
			if t.use[longWaiting] < floor*t.u.cpus {
				return q, false
			}
		}
	}
	if len(t.q) == 0 {
		return nil, false
	}
	return t.q[0], false
}

// settle finds whose turn it is within the team, and the team's place among the others.
func (t *teamQueue) settle(floor float64) {
	if t.known {
		return
	}
	t.known = true
	t.pick, t.first = t.next(floor)
	// What the limit holds back must not be passed by smaller tasks of less
	// important jobs, which would take every bit of room that comes free.
	for t.pick != nil && !t.takes(&t.pick.j.Spec, floor) {
		t.pick.exhausted = true
		full := !t.u.takes(&t.pick.j.Spec, t.team.CPULimit(), t.team.GPULimit())
		for _, o := range t.q {
			o.exhausted = o.exhausted || full && o.order.rank > t.pick.order.rank
		}
		t.pick, t.first = t.next(floor)
	}
	if t.pick == nil {
		return
	}
	t.order = teamOrder{
		belated:        t.first,
		overGuarantee:  !t.u.takes(&t.pick.j.Spec, t.team.CPUs, t.team.GPUs),
		rank:           t.q[0].order.rank,
		guaranteeInUse: t.u.cpus / max(t.team.CPUs, 1),
	}
}

// takes says whether the team may run one more task of s: within its limit, and with the
// least share left to its other jobs if s is a service, which never ends by itself.
func (t *teamQueue) takes(s *wire.Job, floor float64) bool {
	return t.mayStand(s, t.standing, floor) && t.u.takes(s, t.team.CPULimit(), t.team.GPULimit())
}

func (t *teamQueue) mayStand(s *wire.Job, standing, floor float64) bool {
	return !s.IsService() || !t.mixed || standing+s.CPUs <= t.team.CPULimit()*(1-floor)+1e-9
}

// queues sorts the jobs that wait by team.
func (l *Leader) queues(now clock.Micros) []*teamQueue {
	byTeam := map[string]*teamQueue{}
	old := l.cfg.Tuning.Queues.StartTargetS
	for _, ref := range l.jobs.Refs() {
		j := l.jobs.Get(ref)
		s := &j.Spec
		t := byTeam[s.Team]
		if t == nil {
			t = &teamQueue{team: l.teams[s.Team], u: l.quota.of(s.Team), use: map[string]float64{}}
			byTeam[s.Team] = t
		}
		age := (now + l.wallOffset - j.AcceptedAt).Seconds()
		cpus := float64(j.Dispatched()) * s.CPUs
		t.use[s.Class] += cpus
		if s.IsService() {
			t.standing += cpus
		} else {
			t.mixed = true
		}
		if age > old {
			t.use[longWaiting] += cpus
		}
		switch {
		case j.Waiting() == 0 || j.Failures.Waits(now):
			j.SetUnservedSince(0)
		case j.UnservedSince() == 0 || !t.u.takes(s, t.team.CPULimit(), t.team.GPULimit()):
			j.SetUnservedSince(now) // for room, not for the team's limit
		}
		if j.Waiting() > 0 && !j.Failures.Waits(now) && !j.IsCancelled() {
			t.q = append(t.q, &queued{j: j, order: l.order(age, j), waitedLong: age > old && !j.Failures.Suspect()})
		}
	}
	var out []*teamQueue
	for _, name := range slices.Sorted(maps.Keys(byTeam)) {
		if t := byTeam[name]; len(t.q) > 0 {
			slices.SortStableFunc(t.q, func(a, b *queued) int { return a.order.compare(b.order) })
			for _, q := range t.q {
				if l.entitled(t, q.j) {
					t.entitled = append(t.entitled, q.j)
				}
			}
			out = append(out, t)
		}
	}
	return out
}
