package leader

import (
	"maps"
	"math"
	"slices"

	"swiftledge/internal/clock"
	"swiftledge/internal/config"
	"swiftledge/wire"
)

// queueKey orders a team's jobs: those that can still be in time before those
// that cannot, then by priority, then by the latest start that is in time, then
// by submission. A job without a deadline of its own has that of its class's
// objective.
func (l *Leader) queueKey(age float64, j *job) [4]float64 {
	s := &j.record.Spec
	due := math.Inf(1)
	if s.DeadlineS != nil {
		due = *s.DeadlineS
	} else if o, ok := l.within[s.Class]; ok {
		due = o
	}
	// The least time in which the rest can be done within the team's limit.
	need := l.remaining(j)
	if most := l.teams[s.Team].CPUsMax; most > 0 {
		need = max(need, float64(s.Tasks-j.nDone)*s.CPUs*need/most)
	}
	rank := wire.Rank(s.Priority)
	late := 0.0
	if rank >= wire.Rank(wire.Standard) && age+need > due {
		late = 1
	}
	third := due - age - need
	if s.DeadlineS == nil {
		third = need
	}
	return [4]float64{late, float64(rank), third, -age}
}

type queued struct {
	j          *job
	key        [4]float64
	waitedLong bool // it has waited long: its kind of job has a least share
	exhausted  bool // nothing of it can be handed out in this round
}

func (q *queued) rank() float64 { return q.key[1] }

// teamQueue is one team's jobs in their order.
type teamQueue struct {
	team config.Team
	u    *use
	q    []*queued
	// What its classes use, and under "" what jobs use that have waited long.
	use map[string]float64
	// What services use, and whether the team has other jobs: neither may shut out the other.
	standing float64
	mixed    bool
	urgent   []*job // of production priority, that wait
	// Whose turn it is within the team, and the team's place among the others; they
	// change only when the team is served.
	pick  *queued
	first bool
	key   [4]float64
	known bool
}

const waitedLong = ""

// next gives the job whose turn it is. Order alone would starve what always comes
// last: the largest, those already late, a class of low priority. So a job that has
// not begun in time goes first with one task, and each class, and what has waited
// long, has a least share of what its team uses.
func (t *teamQueue) next(floor float64) (pick *queued, least bool) {
	t.q = slices.DeleteFunc(t.q, func(q *queued) bool { return q.exhausted || q.j.nWant == 0 })
	for _, q := range t.q {
		if q.waitedLong && !q.j.begun() {
			return q, true
		}
	}
	var seen []string // a few classes
	for _, q := range t.q {
		if c := q.j.record.Spec.Class; !slices.Contains(seen, c) {
			seen = append(seen, c)
			if t.use[c] < floor*t.u.cpus {
				return q, false
			}
		}
		if q.waitedLong && !slices.Contains(seen, waitedLong) {
			seen = append(seen, waitedLong)
			if t.use[waitedLong] < floor*t.u.cpus {
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
	for t.pick != nil && !t.takes(&t.pick.j.record.Spec, floor) {
		t.pick.exhausted = true
		full := !t.u.takes(&t.pick.j.record.Spec, t.team.CPUsMax, t.team.GPUsMax)
		for _, o := range t.q {
			o.exhausted = o.exhausted || full && o.rank() > t.pick.rank()
		}
		t.pick, t.first = t.next(floor)
	}
	if t.pick == nil {
		return
	}
	t.key = [4]float64{1, 0, t.q[0].rank(), t.u.cpus / max(t.team.CPUs, 1)}
	if t.first {
		t.key[0] = 0
	}
	if !t.u.takes(&t.pick.j.record.Spec, t.team.CPUs, t.team.GPUs) {
		t.key[1] = 1
	}
}

// takes says whether the team may run one more task of s: within its limit, and with the
// least share left to its other jobs if s is a service, which never ends by itself.
func (t *teamQueue) takes(s *wire.Job, floor float64) bool {
	return t.mayStand(s, t.standing, floor) && t.u.takes(s, t.team.CPUsMax, t.team.GPUsMax)
}

func (t *teamQueue) mayStand(s *wire.Job, standing, floor float64) bool {
	return !s.Standing() || !t.mixed || standing+s.CPUs <= t.team.CPUsMax*(1-floor)+1e-9
}

// queues sorts the jobs that wait by team.
func (l *Leader) queues(now clock.Micros) []*teamQueue {
	byTeam := map[string]*teamQueue{}
	old := l.cfg.Tuning.Queues.StartWithinS
	for _, ref := range slices.Sorted(maps.Keys(l.jobs)) {
		j := l.jobs[ref]
		s := &j.record.Spec
		t := byTeam[s.Team]
		if t == nil {
			t = &teamQueue{team: l.teams[s.Team], u: l.use(s.Team), use: map[string]float64{}}
			byTeam[s.Team] = t
		}
		age := (now + l.wall - j.record.At).Seconds()
		cpus := float64(len(j.out)) * s.CPUs
		t.use[s.Class] += cpus
		if s.Standing() {
			t.standing += cpus
		} else {
			t.mixed = true
		}
		if age > old {
			t.use[waitedLong] += cpus
		}
		switch {
		case j.nWant == 0:
			j.waits = 0
		case j.waits == 0 || !t.u.takes(s, t.team.CPUsMax, t.team.GPUsMax):
			j.waits = now // for room, not for the team's limit
		}
		if j.nWant > 0 && now >= j.notBefore && !j.cancelled {
			if wire.Rank(s.Priority) == 0 {
				t.urgent = append(t.urgent, j)
			}
			t.q = append(t.q, &queued{j: j, key: l.queueKey(age, j), waitedLong: age > old})
		}
	}
	var out []*teamQueue
	for _, name := range slices.Sorted(maps.Keys(byTeam)) {
		if t := byTeam[name]; len(t.q) > 0 {
			slices.SortStableFunc(t.q, func(a, b *queued) int { return slices.Compare(a.key[:], b.key[:]) })
			out = append(out, t)
		}
	}
	return out
}
