package leader

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"swiftledge/internal/block"
	"swiftledge/internal/clock"
	"swiftledge/internal/config"
	"swiftledge/internal/peer"
	"swiftledge/wire"
)

// queueKey orders a team's jobs: those that can still be in time before those
// that cannot, then by priority, then by the latest start that is in time, then
// by submission. A job without a deadline of its own has that of its class's
// objective.
func (l *Leader) queueKey(age float64, j *job) [4]float64 {
	s := &j.rec.Spec
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
	j     *job
	key   [4]float64
	aged  bool // it has waited long: its kind of job has a least share
	spent bool // nothing of it can be handed out in this round
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

const aged = ""

// next gives the job whose turn it is. Order alone would starve what always comes
// last: the largest, those already late, a class of low priority. So a job that has
// not begun in time goes first with one task, and each class, and what has waited
// long, has a least share of what its team uses.
func (t *teamQueue) next(floor float64) (pick *queued, least bool) {
	t.q = slices.DeleteFunc(t.q, func(q *queued) bool { return q.spent || q.j.nWant == 0 })
	for _, q := range t.q {
		if q.aged && !q.j.begun() {
			return q, true
		}
	}
	var seen []string // a few classes
	for _, q := range t.q {
		if c := q.j.rec.Spec.Class; !slices.Contains(seen, c) {
			seen = append(seen, c)
			if t.use[c] < floor*t.u.cpus {
				return q, false
			}
		}
		if q.aged && !slices.Contains(seen, aged) {
			seen = append(seen, aged)
			if t.use[aged] < floor*t.u.cpus {
				return q, false
			}
		}
	}
	if len(t.q) == 0 {
		return nil, false
	}
	return t.q[0], false
}

// gather is how long room that comes free is collected before it is offered, so
// that one start record serves several tasks. New jobs do not wait for it.
const gather = 120 * clock.Millisecond

// batch is how many tasks of a job go at once before another's turn is looked at.
const batch = 8

// settle finds whose turn it is within the team, and the team's place among the others.
func (t *teamQueue) settle(floor float64) {
	if t.known {
		return
	}
	t.known = true
	t.pick, t.first = t.next(floor)
	// What the limit holds back must not be passed by smaller tasks of less
	// important jobs, which would take every bit of room that comes free.
	for t.pick != nil && !t.takes(&t.pick.j.rec.Spec, floor) {
		t.pick.spent = true
		full := !t.u.takes(&t.pick.j.rec.Spec, t.team.CPUsMax, t.team.GPUsMax)
		for _, o := range t.q {
			o.spent = o.spent || full && o.rank() > t.pick.rank()
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
	if !t.u.takes(&t.pick.j.rec.Spec, t.team.CPUs, t.team.GPUs) {
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

type offerKey struct {
	block int
	job   string
	zone  string
}

// schedule hands waiting tasks to blocks with room: teams in turn by their
// shares, guarantees first.
func (l *Leader) schedule(now clock.Micros) {
	if !l.stirred || !l.urgent && now-l.lastSchedule < gather || !l.current(now) {
		return
	}
	// Until every block's start records are read, a task that waits here may run
	// in one of them, and the teams' use is not known.
	if slices.ContainsFunc(l.blocks, func(b *lblock) bool { return !b.known }) {
		return
	}
	l.stirred, l.urgent = false, false
	l.lastSchedule = now
	queues := l.queues(now)
	if len(queues) == 0 {
		return
	}
	if room := l.freeRoom(now); len(room.ms) > 0 {
		l.offer(now, queues, room)
	}
	l.evict(now, queues)
}

// offer hands out tasks until nobody who is served next finds room.
func (l *Leader) offer(now clock.Micros, queues []*teamQueue, room *freeRoom) {
	offers := map[offerKey]int{}
	floor := l.cfg.Tuning.Queues.LeastShare
	for {
		var best *teamQueue
		for _, t := range queues {
			if t.settle(floor); t.pick != nil && (best == nil || slices.Compare(t.key[:], best.key[:]) < 0) {
				best = t
			}
		}
		if best == nil {
			break
		}
		job, n := best.pick, batch
		if best.first {
			n = 1
		}
		best.known = false
		given := l.give(now, best, job.j, room, offers, n)
		if given == 0 {
			job.spent = true
			continue
		}
		cpus := float64(given) * job.j.rec.Spec.CPUs
		if job.j.rec.Spec.Standing() {
			best.standing += cpus
		}
		best.use[job.j.rec.Spec.Class] += cpus
		if job.aged {
			best.use[aged] += cpus
		}
	}
	for _, b := range l.blocks {
		if len(b.orders.Offers) > 0 {
			b.offerSeq++
			b.orders.Seq = b.offerSeq
			b.offered = true
		}
	}
}

// queues sorts the jobs that wait by team.
func (l *Leader) queues(now clock.Micros) []*teamQueue {
	byTeam := map[string]*teamQueue{}
	old := l.cfg.Tuning.Queues.StartWithinS
	for _, ref := range slices.Sorted(maps.Keys(l.jobs)) {
		j := l.jobs[ref]
		s := &j.rec.Spec
		t := byTeam[s.Team]
		if t == nil {
			t = &teamQueue{team: l.teams[s.Team], u: l.use(s.Team), use: map[string]float64{}}
			byTeam[s.Team] = t
		}
		age := (now + l.wall - j.rec.At).Seconds()
		cpus := float64(len(j.out)) * s.CPUs
		t.use[s.Class] += cpus
		if s.Standing() {
			t.standing += cpus
		} else {
			t.mixed = true
		}
		if age > old {
			t.use[aged] += cpus
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
			t.q = append(t.q, &queued{j: j, key: l.queueKey(age, j), aged: age > old})
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

// give hands up to n tasks of a job to one machine's block and says how many.
func (l *Leader) give(now clock.Micros, t *teamQueue, j *job, room *freeRoom, offers map[offerKey]int, n int) int {
	s := &j.rec.Spec
	m, zone := l.roomFor(j, room)
	if m == nil {
		return 0
	}
	if s.Standing() {
		room.taken(l, j)[m.name] = sibling
	}
	if s.OneZone || s.Spread || s.Standing() {
		n = 1 // each task changes where the next may be
	}
	b := m.block
	if m.out {
		m.rest, m.out = false, false
		b.orders.Wake = append(b.orders.Wake, m.name)
	}
	given := 0
	for given < n && m.holds(s) && t.takes(s, l.cfg.Tuning.Queues.LeastShare) {
		i := j.take()
		if i < 0 {
			break
		}
		m.cpus -= s.CPUs
		m.gpus -= s.GPUs
		m.mem -= s.MemoryGB
		h := &held{team: s.Team, cpus: s.CPUs, gpus: s.GPUs, zone: zone}
		b.tasks[peer.Task{Job: s.Ref, Index: i}] = h
		l.charge(h, 1)
		j.out[i]++
		k := offerKey{b.id, s.Ref, zone}
		at, ok := offers[k]
		if !ok {
			at = len(b.orders.Offers)
			offers[k] = at
			b.orders.Offers = append(b.orders.Offers, peer.Offer{Job: *s, Zone: zone})
		}
		b.orders.Offers[at].Indexes = append(b.orders.Offers[at].Indexes, i)
		given++
		j.waits = now
	}
	return given
}

// freeRoom is what can be offered in one round. Room only shrinks while offers are
// made, so a machine that was too full for a shape of task is not looked at again.
type freeRoom struct {
	now     clock.Micros
	ms      []*machine // the cheapest first, the fullest first among these; those at rest last
	byImage map[string][]*machine
	passed  map[roomKey]int
	// By service: the machines that have a replica or get one in this round.
	apart map[string]map[string]int
}

// Why a job's next task had better not go to a machine.
const (
	sibling = 1 + iota // a service's replica is there: one machine's end must not end all
	failed             // one failed there
)

// taken are the machines that a job's next task had better not go to, and why.
func (r *freeRoom) taken(l *Leader, j *job) map[string]int {
	s := &j.rec.Spec
	on := r.apart[s.Ref]
	if on == nil {
		on = map[string]int{}
		if s.Standing() {
			l.eachHeld(j, func(h *held) { on[h.machine] = sibling })
		}
		for name := range j.errAt {
			on[name] = failed
		}
		r.apart[s.Ref] = on
	}
	return on
}

// roomKey names a list of machines as one shape of task sees it: all of them, or
// those with an image.
type roomKey struct {
	shape    shape
	all      bool
	image    string
	unserved bool
}

func (l *Leader) freeRoom(now clock.Micros) *freeRoom {
	r := &freeRoom{now: now, byImage: map[string][]*machine{}, passed: map[roomKey]int{}, apart: map[string]map[string]int{}}
	for _, m := range l.machines {
		if m.serves() && m.state.CPUs > 0 && !m.block.offered {
			m.cpus, m.gpus, m.mem = m.state.CPUs, m.state.GPUs, m.state.Memory
			r.ms = append(r.ms, m)
		}
	}
	slices.SortFunc(r.ms, func(a, b *machine) int {
		if c := cmp.Compare(a.reserve(), b.reserve()); c != 0 {
			return c
		}
		if c := cmp.Compare(a.opt.Price()/max(a.opt.Type.CPUs, 1), b.opt.Price()/max(b.opt.Type.CPUs, 1)); c != 0 {
			return c
		}
		if c := cmp.Compare(a.cpus, b.cpus); c != 0 {
			return c
		}
		return cmp.Compare(a.name, b.name)
	})
	for _, m := range r.ms {
		if m.reserve() > 0 {
			continue
		}
		for _, image := range m.state.Images {
			r.byImage[image] = append(r.byImage[image], m)
		}
	}
	return r
}

// serves says whether new tasks may run on the machine, if it has room.
func (m *machine) serves() bool {
	return m.state.Fit && !m.drain && !m.deleting && m.block.state == granted
}

// holds says whether a task fits into what is left of the machine.
func (m *machine) holds(s *wire.Job) bool {
	return m.cpus+1e-9 >= s.CPUs && m.gpus+1e-9 >= s.GPUs && m.mem+1e-9 >= s.MemoryGB
}

// reserve tells machines that others go before: those at rest, those not worth their price.
func (m *machine) reserve() int {
	switch {
	case m.shun:
		return 2
	case m.rest:
		return 1
	}
	return 0
}

// allowed says whether the job may run on the machine. One that is not worth its price
// for a batch is for a service, which makes it worth keeping.
// What waits for long does not wait for a better one.
func (m *machine) allowed(now clock.Micros, j *job) bool {
	s := &j.rec.Spec
	return (!m.shun || s.Standing() || j.unserved(now)) && (s.Spot || !m.opt.Spot) && (s.Zone == "" || s.Zone == m.opt.Zone) &&
		(len(s.Types) == 0 || slices.Contains(s.Types, m.opt.Type.Name))
}

// first finds the first machine of a list that takes a task of the job.
func (r *freeRoom) first(list []*machine, k roomKey, j *job) *machine {
	s := &j.rec.Spec
	for i := r.passed[k]; i < len(list); i++ {
		if m := list[i]; m.holds(s) && m.allowed(r.now, j) {
			if _, ok := j.errAt[m.name]; !ok {
				return m
			}
		} else if i == r.passed[k] {
			r.passed[k] = i + 1
		}
	}
	return nil
}

// roomFor finds the machine whose room the next task of a job takes, and the
// zone that the task is bound to, if any.
func (l *Leader) roomFor(j *job, room *freeRoom) (*machine, string) {
	s := &j.rec.Spec
	if s.OneZone || s.Spread || s.Standing() {
		return l.roomInZone(j, room)
	}
	if m := room.first(room.byImage[s.Image], roomKey{shape: j.shape, image: s.Image, unserved: j.unserved(room.now)}, j); m != nil {
		return m, ""
	}
	if m := room.first(room.ms, roomKey{shape: j.shape, all: true, unserved: j.unserved(room.now)}, j); m != nil {
		return m, ""
	}
	// Better where it failed before than nowhere.
	for _, m := range room.ms {
		if _, ok := j.errAt[m.name]; ok && m.holds(s) && m.allowed(room.now, j) {
			return m, ""
		}
	}
	return nil, ""
}

// roomInZone is roomFor for jobs whose tasks bind each other's place.
func (l *Leader) roomInZone(j *job, room *freeRoom) (*machine, string) {
	s := &j.rec.Spec
	zones := l.zones(j)
	avoid := room.taken(l, j)
	var best *machine
	for _, list := range [][]*machine{room.byImage[s.Image], room.ms} {
		for _, m := range list {
			if !m.holds(s) || !m.allowed(room.now, j) || !zones.allow(m.opt.Zone) || j.barred(room.now, m) {
				continue
			}
			if best == nil || avoid[m.name] < avoid[best.name] {
				best = m
			}
			if avoid[best.name] == 0 {
				break
			}
		}
	}
	switch {
	case best == nil:
		return nil, ""
	case s.OneZone || s.Spread:
		return best, best.opt.Zone
	}
	return best, ""
}

// zones is where the tasks of a job are, and so where more of them may be.
type zones struct {
	job *wire.Job
	n   map[string]int
}

func (l *Leader) zones(j *job) zones {
	z := zones{&j.rec.Spec, map[string]int{}}
	if !z.job.OneZone && !z.job.Spread {
		return z
	}
	l.eachHeld(j, func(h *held) { z.n[h.zone]++ })
	return z
}

// eachHeld calls f for the job's tasks that are in grants.
func (l *Leader) eachHeld(j *job, f func(*held)) {
	for i := range j.out {
		for _, b := range l.blocks {
			if h := b.tasks[peer.Task{Job: j.rec.Spec.Ref, Index: i}]; h != nil {
				f(h)
			}
		}
	}
}

func (z zones) allow(zone string) bool {
	switch {
	case z.n[""] > 0 && (z.job.OneZone || z.job.Spread):
		return false // a task that may be anywhere leaves no zone that is surely allowed
	case z.job.OneZone && len(z.n) > 0 && z.n[zone] == 0:
		return false
	}
	return !z.job.Spread || z.n[zone] < (z.job.Tasks+1)/2
}

func (z zones) add(zone string) { z.n[zone]++ }

func (l *Leader) blockOf(machine string) *lblock { return l.blocks[block.Of(machine, len(l.blocks))] }
