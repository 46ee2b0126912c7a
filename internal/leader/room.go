package leader

import (
	"cmp"
	"slices"

	"swiftledge/internal/clock"
	"swiftledge/internal/leader/jobs"
	"swiftledge/internal/peer"
	"swiftledge/wire"
)

// freeRoom is what can be offered in one round. Room only shrinks while offers are
// made, so a machine that was too full for a shape of task is not looked at again.
type freeRoom struct {
	now     clock.Micros
	ms      []*machine // the cheapest first, the fullest first among these; those at rest last
	byImage map[string][]*machine
	passed  map[roomKey]int
	even    *evenness  // nil: machines are taken whatever their load
	soon    []*machine // with spreading: those whose room can be offered once the offer to their block is settled
	beyond  map[roomKey]beyondBound
	// By service: the machines that have a replica or get one in this round.
	apart map[string]map[string]int
}

// Why a job's next task had better not go to a machine.
const (
	sibling = 1 + iota // a service's replica is there: one machine's end must not end all
	failed             // one failed there
)

// taken are the machines that a job's next task had better not go to, and why.
func (r *freeRoom) taken(l *Leader, j *jobs.Job) map[string]int {
	s := &j.Spec
	on := r.apart[s.Ref]
	if on == nil {
		on = map[string]int{}
		if s.IsService() {
			l.eachHeld(j, func(_ peer.Task, h *grantedTask) { on[h.machine] = sibling })
		}
		for _, name := range j.Failures.Machines() {
			on[name] = failed
		}
		r.apart[s.Ref] = on
	}
	return on
}

// roomKey names a list of machines as one shape of task sees it: all of them, or
// those with an image.
type roomKey struct {
	shape    jobs.Shape
	all      bool
	image    string
	unserved bool
}

// beyondBound remembers that all machines of a list before one are over the bound at some mean load.
type beyondBound struct {
	before int
	mean   float64
}

// meanStep is by what factor the mean has to grow for machines over the bound to be looked at again.
const meanStep = 1.02

func (l *Leader) freeRoom(now clock.Micros) *freeRoom {
	r := &freeRoom{now: now, byImage: map[string][]*machine{}, passed: map[roomKey]int{}, apart: map[string]map[string]int{},
		even: l.evenness(), beyond: map[roomKey]beyondBound{}}
	for _, m := range l.inventory.machines {
		m.freeCPUs, m.freeGPUs, m.freeMemory = m.state.CPUs, m.state.GPUs, m.state.MemoryGB
		if r.has(m) {
			r.ms = append(r.ms, m)
		} else if r.even != nil && m.takesWork() && m.state.CPUs > 0 {
			r.soon = append(r.soon, m)
		}
	}
	slices.SortFunc(r.ms, func(a, b *machine) int {
		if c := cmp.Compare(a.reserve(), b.reserve()); c != 0 {
			return c
		}
		if c := cmp.Compare(a.option.Price()/max(a.option.Type.CPUs, 1), b.option.Price()/max(b.option.Type.CPUs, 1)); c != 0 {
			return c
		}
		if c := cmp.Compare(a.freeCPUs, b.freeCPUs); c != 0 {
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

// has says whether the machine's room can be offered.
func (r *freeRoom) has(m *machine) bool {
	return m.serves() && m.state.CPUs > 0 && !m.shard.offerPending
}

// serves says whether new tasks may run on the machine, if it has room.
func (m *machine) serves() bool {
	return m.state.Schedulable && !m.draining && !m.deleting && m.shard.state == granted
}

// holds says whether a task fits into what is left of the machine.
func (m *machine) holds(s *wire.Job) bool {
	return m.freeCPUs+1e-9 >= s.CPUs && m.freeGPUs+1e-9 >= s.GPUs && m.freeMemory+1e-9 >= s.MemoryGB
}

// reserve tells machines that others go before: those at rest, those not worth their price.
func (m *machine) reserve() int {
	switch {
	case m.cordoned:
		return 2
	case m.deprioritized:
		return 1
	}
	return 0
}

// allowed says whether the job may run on the machine. One that is not worth its price
// for a batch is for a service, which makes it worth keeping.
// What waits for long does not wait for a better one.
func (m *machine) allowed(now clock.Micros, j *jobs.Job) bool {
	s := &j.Spec
	return (!m.cordoned || s.IsService() || j.IsUnserved(now)) && (s.Spot || !m.option.Spot) && (s.Zone == "" || s.Zone == m.option.Zone) &&
		(len(s.Types) == 0 || slices.Contains(s.Types, m.option.Type.Name))
}

// first finds the first machine of a list that takes a task of the job.
func (r *freeRoom) first(list []*machine, k roomKey, j *jobs.Job) *machine {
	s := &j.Spec
	for i := r.passed[k]; i < len(list); i++ {
		if m := list[i]; m.holds(s) && m.allowed(r.now, j) {
			if _, failed := j.Failures.FailedOn(m.name); !failed {
				return m
			}
		} else if i == r.passed[k] {
			r.passed[k] = i + 1
		}
	}
	return nil
}

// soonPatience is how long a job waits for room within the bound whose block has an offer out.
const soonPatience = clock.Second

// waitsForSoon says whether the job had better wait for the offer to another block to be settled: there is
// room within the bound there.
func (r *freeRoom) waitsForSoon(j *jobs.Job) bool {
	if r.even == nil || j.UnservedSince() == 0 || r.now-j.UnservedSince() > soonPatience {
		return false
	}
	s := &j.Spec
	return slices.ContainsFunc(r.soon, func(m *machine) bool { return m.holds(s) && m.allowed(r.now, j) && r.even.within(m, s) })
}

// leastLoaded is, with spreading, the machine that one more task of the job leaves least loaded.
func (r *freeRoom) leastLoaded(j *jobs.Job) (best *machine) {
	if r.even == nil {
		return nil
	}
	s := &j.Spec
	least := 0.0
	for _, m := range r.ms {
		if _, failed := j.Failures.FailedOn(m.name); failed || m.reserve() > 0 || !m.holds(s) || !m.allowed(r.now, j) {
			continue
		}
		if load := m.loadWith(s); best == nil || load < least {
			best, least = m, load
		}
	}
	return best
}

// firstWithin is first among the machines that are within the bound.
func (r *freeRoom) firstWithin(list []*machine, k roomKey, j *jobs.Job) *machine {
	if r.even == nil {
		return r.first(list, k, j)
	}
	s := &j.Spec
	mean := r.even.mean.Value()
	over := r.beyond[k]
	if mean > over.mean*meanStep {
		over = beyondBound{mean: mean}
	}
	for i := over.before; i < len(list); i++ {
		m := list[i]
		if m.holds(s) && m.allowed(r.now, j) && r.even.within(m, s) {
			if _, failed := j.Failures.FailedOn(m.name); !failed {
				r.beyond[k] = over
				return m
			}
		} else if i == over.before {
			over.before = i + 1
		}
	}
	r.beyond[k] = over
	return nil
}

// roomFor finds the machine whose room the next task of a job takes, and the
// zone that the task is bound to, if any.
func (l *Leader) roomFor(j *jobs.Job, room *freeRoom) (*machine, string) {
	s := &j.Spec
	if s.OneZone || s.Spread || s.IsService() {
		return l.roomInZone(j, room)
	}
	withImage := roomKey{shape: j.Shape, image: s.Image, unserved: j.IsUnserved(room.now)}
	if m := room.firstWithin(room.byImage[s.Image], withImage, j); m != nil {
		return m, ""
	}
	all := roomKey{shape: j.Shape, all: true, unserved: j.IsUnserved(room.now)}
	if room.even != nil {
		allWithin := all
		allWithin.image = s.Image // which decides how far the bound is widened
		if m := room.firstWithin(room.ms, allWithin, j); m != nil {
			return m, ""
		}
	}
	// With a bound, the least loaded machine beyond it is better than none, but not than one that can be
	// offered in a moment.
	if room.waitsForSoon(j) {
		return nil, ""
	}
	if m := room.leastLoaded(j); m != nil {
		return m, ""
	}
	if m := room.first(room.ms, all, j); m != nil {
		return m, ""
	}
	// Better where it failed before than nowhere.
	for _, m := range room.ms {
		if _, failed := j.Failures.FailedOn(m.name); failed && m.holds(s) && m.allowed(room.now, j) {
			return m, ""
		}
	}
	return nil, ""
}

// roomInZone is roomFor for jobs whose tasks bind each other's place.
func (l *Leader) roomInZone(j *jobs.Job, room *freeRoom) (*machine, string) {
	s := &j.Spec
	zones := l.zones(j)
	avoid := room.taken(l, j)
	best := room.leastAvoided(j, zones, avoid, room.even)
	if best == nil && room.even != nil && !room.waitsForSoon(j) {
		best = room.leastAvoided(j, zones, avoid, nil)
	}
	switch {
	case best == nil:
		return nil, ""
	case s.OneZone || s.Spread:
		return best, best.option.Zone
	}
	return best, ""
}

// leastAvoided finds a machine for a job whose tasks bind each other's place, among those within the bound.
func (r *freeRoom) leastAvoided(j *jobs.Job, zones zones, avoid map[string]int, even *evenness) (best *machine) {
	s := &j.Spec
	for _, list := range [][]*machine{r.byImage[s.Image], r.ms} {
		for _, m := range list {
			if !m.holds(s) || !m.allowed(r.now, j) || !zones.allow(m.option.Zone) || j.AvoidsMachine(r.now, m.name) || !even.within(m, s) {
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
	return best
}

// zones is where the tasks of a job are, and so where more of them may be.
type zones struct {
	job *wire.Job
	n   map[string]int
}

func (l *Leader) zones(j *jobs.Job) zones {
	z := zones{&j.Spec, map[string]int{}}
	if !z.job.OneZone && !z.job.Spread {
		return z
	}
	l.eachHeld(j, func(_ peer.Task, h *grantedTask) { z.n[h.zone]++ })
	return z
}

// eachHeld calls f for the job's tasks that are in grants.
func (l *Leader) eachHeld(j *jobs.Job, f func(peer.Task, *grantedTask)) {
	for i := range j.DispatchedTasks() {
		for _, b := range l.shards.all {
			t := peer.Task{Job: j.Spec.Ref, Index: i}
			if h := b.tasks[t]; h != nil {
				f(t, h)
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
