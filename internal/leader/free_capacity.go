package leader

import (
	"cmp"
	"slices"

	"swiftledge/internal/clock"
	"swiftledge/internal/leader/jobs"
	"swiftledge/internal/peer"
	"swiftledge/wire"
)

// freeCapacity is what can be offered in one round. Room only shrinks while offers are
// made, so a machine that was too full for a shape of task is not looked at again.
type freeCapacity struct {
	now      clock.Micros
	machines []*machine // the cheapest first, the fullest first among these; those at rest last
	byImage  map[string][]*machine
	passed   map[candidateKey]int
	bound    *loadBound // nil: machines are taken whatever their load
	// pending are, with rebalancing, the machines whose free capacity can be offered once the offer to their shard is
	// settled.
	pending   []*machine
	overBound map[candidateKey]overBoundMark
	// By service: the machines that have a replica or get one in this round.
	avoided map[string]map[string]int
}

// Why a job's next task had better not go to a machine.
const (
	replicaThere = 1 + iota // a service's replica is there: one machine's end must not end all
	failedThere             // one failed there
)

// avoidedMachines are the machines that a job's next task had better not go to, and why.
func (r *freeCapacity) avoidedMachines(l *Leader, j *jobs.Job) map[string]int {
	s := &j.Spec
	on := r.avoided[s.Ref]
	if on == nil {
		on = map[string]int{}
		if s.IsService() {
			l.eachDispatched(j, func(_ peer.Task, h *grantedTask) { on[h.machine] = replicaThere })
		}
		for _, name := range j.Failures.FailedMachines() {
			on[name] = failedThere
		}
		r.avoided[s.Ref] = on
	}
	return on
}

// candidateKey names a list of machines as one shape of task sees it: all of them, or
// those with an image.
type candidateKey struct {
	shape    jobs.TaskShape
	all      bool
	image    string
	unserved bool
}

// overBoundMark remembers that all machines of a list before one are over the bound at some mean load.
type overBoundMark struct {
	before int
	mean   float64
}

// meanStep is by what factor the mean has to grow for machines over the bound to be looked at again.
const meanStep = 1.02

func (l *Leader) freeCapacity(now clock.Micros) *freeCapacity {
	r := &freeCapacity{now: now, byImage: map[string][]*machine{}, passed: map[candidateKey]int{},
		avoided: map[string]map[string]int{},
		bound:   l.newLoadBound(), overBound: map[candidateKey]overBoundMark{}}
	for _, m := range l.inventory.machines {
		m.freeCPUs, m.freeGPUs, m.freeMemory = m.state.CPUs, m.state.GPUs, m.state.MemoryGB
		if r.isFree(m) {
			r.machines = append(r.machines, m)
		} else if r.bound != nil && m.takesWork() && m.state.CPUs > 0 {
			r.pending = append(r.pending, m)
		}
	}
	slices.SortFunc(r.machines, func(a, b *machine) int {
		if c := cmp.Compare(a.reserveRank(), b.reserveRank()); c != 0 {
			return c
		}
		if c := cmp.Compare(pricePerCPU(a), pricePerCPU(b)); c != 0 {
			return c
		}
		if c := cmp.Compare(a.freeCPUs, b.freeCPUs); c != 0 {
			return c
		}
		return cmp.Compare(a.name, b.name)
	})
	for _, m := range r.machines {
		if m.reserveRank() > 0 {
			continue
		}
		for _, image := range m.state.Images {
			r.byImage[image] = append(r.byImage[image], m)
		}
	}
	return r
}

// isFree reports whether the machine's free capacity can be offered.
func (r *freeCapacity) isFree(m *machine) bool {
	return m.schedulable() && m.state.CPUs > 0 && !m.shard.offerPending
}

// schedulable reports whether new tasks may run on the machine, if it has free capacity.
func (m *machine) schedulable() bool {
	return m.state.Schedulable && !m.draining && !m.deleting && m.shard.state == granted
}

// fits reports whether a task fits into what is left of the machine.
func (m *machine) fits(s *wire.Job) bool {
	return m.freeCPUs+1e-9 >= s.CPUs && m.freeGPUs+1e-9 >= s.GPUs && m.freeMemory+1e-9 >= s.MemoryGB
}

// reserveRank tells machines that others go before: those at rest, those not worth their price.
func (m *machine) reserveRank() int {
	switch {
	case m.cordoned:
		return 2
	case m.deprioritized:
		return 1
	}
	return 0
}

// allowed reports whether the job may run on the machine. One that is not worth its price
// for a batch is for a service, which makes it worth keeping.
// What waits for long does not wait for a better one.
func (m *machine) allowed(now clock.Micros, j *jobs.Job) bool {
	s := &j.Spec
	return (!m.cordoned || s.IsService() || j.IsUnserved(now)) && (s.Spot || !m.option.Spot) &&
		(s.Zone == "" || s.Zone == m.option.Zone) &&
		(len(s.Types) == 0 || slices.Contains(s.Types, m.option.Type.Name))
}

// first finds the first machine of a list that takes a task of the job.
func (r *freeCapacity) first(list []*machine, k candidateKey, j *jobs.Job) *machine {
	s := &j.Spec
	for i := r.passed[k]; i < len(list); i++ {
		if m := list[i]; m.fits(s) && m.allowed(r.now, j) {
			if _, failed := j.Failures.FailedOn(m.name); !failed {
				return m
			}
		} else if i == r.passed[k] {
			r.passed[k] = i + 1
		}
	}
	return nil
}

// pendingPatience is how long a job waits for free capacity within the bound whose shard has an offer out.
const pendingPatience = clock.Second

// waitsForPending reports whether the job had better wait for the offer to another shard to be settled: there is
// free capacity within the bound there.
func (r *freeCapacity) waitsForPending(j *jobs.Job) bool {
	if r.bound == nil || j.UnservedSince() == 0 || r.now-j.UnservedSince() > pendingPatience {
		return false
	}
	s := &j.Spec
	return slices.ContainsFunc(r.pending, func(m *machine) bool {
		return m.fits(s) && m.allowed(r.now, j) && r.bound.allows(m, s)
	})
}

// leastLoaded is, with rebalancing, the machine that one more task of the job leaves least loaded.
func (r *freeCapacity) leastLoaded(j *jobs.Job) (best *machine) {
	if r.bound == nil {
		return nil
	}
	s := &j.Spec
	least := 0.0
	for _, m := range r.machines {
		if _, failed := j.Failures.FailedOn(m.name); failed || m.reserveRank() > 0 || !m.fits(s) || !m.allowed(r.now, j) {
			continue
		}
		if load := m.loadWith(s); best == nil || load < least {
			best, least = m, load
		}
	}
	return best
}

// firstWithin is first among the machines that are within the bound.
func (r *freeCapacity) firstWithin(list []*machine, k candidateKey, j *jobs.Job) *machine {
	if r.bound == nil {
		return r.first(list, k, j)
	}
	s := &j.Spec
	mean := r.bound.mean.Value()
	over := r.overBound[k]
	if mean > over.mean*meanStep {
		over = overBoundMark{mean: mean}
	}
	for i := over.before; i < len(list); i++ {
		m := list[i]
		if m.fits(s) && m.allowed(r.now, j) && r.bound.allows(m, s) {
			if _, failed := j.Failures.FailedOn(m.name); !failed {
				r.overBound[k] = over
				return m
			}
		} else if i == over.before {
			over.before = i + 1
		}
	}
	r.overBound[k] = over
	return nil
}

// pricePerCPU is what one of a machine's processors costs.
func pricePerCPU(m *machine) float64 { return m.option.Price() / max(m.option.Type.CPUs, 1) }
