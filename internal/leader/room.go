package leader

import (
	"cmp"
	"slices"

	"swiftledge/internal/clock"
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
	s := &j.record.Spec
	on := r.apart[s.Ref]
	if on == nil {
		on = map[string]int{}
		if s.Standing() {
			l.eachHeld(j, func(h *grantedTask) { on[h.machine] = sibling })
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
	case m.cordoned:
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
	s := &j.record.Spec
	return (!m.cordoned || s.Standing() || j.unserved(now)) && (s.Spot || !m.opt.Spot) && (s.Zone == "" || s.Zone == m.opt.Zone) &&
		(len(s.Types) == 0 || slices.Contains(s.Types, m.opt.Type.Name))
}

// first finds the first machine of a list that takes a task of the job.
func (r *freeRoom) first(list []*machine, k roomKey, j *job) *machine {
	s := &j.record.Spec
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
	s := &j.record.Spec
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
	s := &j.record.Spec
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
	z := zones{&j.record.Spec, map[string]int{}}
	if !z.job.OneZone && !z.job.Spread {
		return z
	}
	l.eachHeld(j, func(h *grantedTask) { z.n[h.zone]++ })
	return z
}

// eachHeld calls f for the job's tasks that are in grants.
func (l *Leader) eachHeld(j *job, f func(*grantedTask)) {
	for i := range j.out {
		for _, b := range l.blocks {
			if h := b.tasks[peer.Task{Job: j.record.Spec.Ref, Index: i}]; h != nil {
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
