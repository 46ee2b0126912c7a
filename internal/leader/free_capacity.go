package leader

import (
	"cmp"
	"slices"

	"swiftledge/internal/clock"
	"swiftledge/internal/leader/jobs"
	"swiftledge/internal/peer"
	"swiftledge/wire"
)

// freeCapacity is the free capacity that one scheduling pass can offer. It only shrinks during the pass, so a machine
// that was too full for a shape of task is not checked for that shape again.
type freeCapacity struct {
	now      clock.Micros
	machines []*machine // sorted ascending by placementRank, price per CPU and free CPUs
	byImage  map[string][]*machine
	skipped  map[candidateKey]int // how many machines at the head of each list are too full
	bound    *loadBound           // nil: no load bound applies
	// pendingOfferMachines are, with rebalancing, the machines whose free capacity can be offered once the pending
	// offer to their shard is settled.
	pendingOfferMachines []*machine
	overBound            map[candidateKey]overBoundMark
	// avoided maps a job to the machines that its next task should avoid, and why. For a service they include the
	// machines on which a replica is offered in this pass.
	avoided map[string]map[string]int
	// weakestReason maps a job to the weakest reason to avoid a machine that its tasks can still meet; see leastAvoided.
	weakestReason map[string]int
}

// Reasons for a job's next task to avoid a machine, the weaker first.
const (
	avoidReplica = 1 + iota // a replica of the service runs there: the loss of one machine must not end all replicas
	avoidFailure            // a task of the job failed there
)

// avoidedMachines returns the machines that a job's next task should avoid, and why.
func (c *freeCapacity) avoidedMachines(l *Leader, job *jobs.Job) map[string]int {
	spec := &job.Spec
	reasons := c.avoided[spec.Ref]
	if reasons == nil {
		reasons = map[string]int{}
		if spec.IsService() {
			l.eachDispatchedTask(job, func(_ peer.Task, task *grantedTask) { reasons[task.machine] = avoidReplica })
		}
		for _, name := range job.Failures.FailedMachines() {
			reasons[name] = avoidFailure
		}
		c.avoided[spec.Ref] = reasons
	}
	return reasons
}

// candidateKey identifies a list of machines as seen by one shape of task: all machines, or the machines that have an
// image cached.
type candidateKey struct {
	shape    jobs.TaskShape
	all      bool
	image    string
	unserved bool
}

// overBoundMark records that the first machines of a list cannot take one more task within the load bound at a certain
// mean load.
type overBoundMark struct {
	skipped int     // number of these machines, at the head of the list
	mean    float64 // the mean load at which they were checked
}

// meanRecheckFactor is the factor by which the mean load must grow for machines over the bound to be checked again.
const meanRecheckFactor = 1.02

// freeCapacity returns the free capacity that can be offered now.
func (l *Leader) freeCapacity(now clock.Micros) *freeCapacity {
	capacity := &freeCapacity{now: now, byImage: map[string][]*machine{}, skipped: map[candidateKey]int{},
		avoided: map[string]map[string]int{}, weakestReason: map[string]int{},
		bound: l.newLoadBound(), overBound: map[candidateKey]overBoundMark{}}
	for _, m := range l.inventory.machines {
		m.freeCPUs, m.freeGPUs, m.freeMemory = m.state.CPUs, m.state.GPUs, m.state.MemoryGB
		m.freeTasks = wire.MaxTasksPerHeartbeat - m.state.Tasks
		if capacity.isOfferable(m) {
			capacity.machines = append(capacity.machines, m)
		} else if capacity.bound != nil && m.acceptsNewTasks() && m.state.CPUs > 0 {
			capacity.pendingOfferMachines = append(capacity.pendingOfferMachines, m)
		}
	}
	slices.SortFunc(capacity.machines, func(a, b *machine) int {
		if order := cmp.Compare(a.placementRank(), b.placementRank()); order != 0 {
			return order
		}
		if order := cmp.Compare(pricePerCPU(a), pricePerCPU(b)); order != 0 {
			return order
		}
		if order := cmp.Compare(a.freeCPUs, b.freeCPUs); order != 0 {
			return order
		}
		return cmp.Compare(a.name, b.name)
	})
	for _, m := range capacity.machines {
		if m.placementRank() > 0 {
			continue
		}
		for _, image := range m.state.Images {
			capacity.byImage[image] = append(capacity.byImage[image], m)
		}
	}
	return capacity
}

// isOfferable reports whether the machine's free capacity can be offered.
func (c *freeCapacity) isOfferable(m *machine) bool {
	return m.schedulable() && m.state.CPUs > 0 && !m.shard.offerPending
}

// schedulable reports whether new tasks may run on the machine if it has free capacity.
func (m *machine) schedulable() bool {
	return m.state.Schedulable && !m.draining && !m.deleting && m.shard.state == granted
}

// fits reports whether a task fits into the machine's remaining free capacity.
func (m *machine) fits(spec *wire.Job) bool {
	return m.freeTasks > 0 && m.freeCPUs+1e-9 >= spec.CPUs && m.freeGPUs+1e-9 >= spec.GPUs &&
		m.freeMemory+1e-9 >= spec.MemoryGB
}

// placementRank returns the rank in which tasks are placed on the machine, lowest first: 0 for a machine in normal use,
// 1 for a deprioritized machine and 2 for a cordoned machine.
func (m *machine) placementRank() int {
	switch {
	case m.cordoned:
		return 2
	case m.deprioritized:
		return 1
	}
	return 0
}

// allowed reports whether the job may run on the machine. A cordoned machine, which is not worth its price for batch
// jobs, accepts services, which make the machine worth keeping, and jobs that have waited too long for a better
// machine.
func (m *machine) allowed(now clock.Micros, job *jobs.Job) bool {
	spec := &job.Spec
	return (!m.cordoned || spec.IsService() || job.IsUnserved(now)) && (spec.Spot || !m.option.Spot) &&
		(spec.Zone == "" || spec.Zone == m.option.Zone) &&
		spec.AllowsType(m.option.Type.Name)
}

// firstFit returns the first machine of a list that can take a task of the job and on which no task of the job has
// failed, or nil.
func (c *freeCapacity) firstFit(list []*machine, key candidateKey, job *jobs.Job) *machine {
	spec := &job.Spec
	for i := c.skipped[key]; i < len(list); i++ {
		if m := list[i]; m.fits(spec) && m.allowed(c.now, job) {
			if _, failed := job.Failures.FailedOn(m.name); !failed {
				return m
			}
		} else if i == c.skipped[key] {
			c.skipped[key] = i + 1
		}
	}
	return nil
}

// maxPendingOfferWait is how long a job waits for free capacity within the load bound in a shard whose last offer is
// not settled yet.
const maxPendingOfferWait = clock.Second

// waitsForPendingOffer reports whether the job should wait until a pending offer to a shard is settled, because that
// shard has free capacity within the load bound.
func (c *freeCapacity) waitsForPendingOffer(job *jobs.Job) bool {
	if c.bound == nil || job.UnservedSince() == 0 || c.now-job.UnservedSince() > maxPendingOfferWait {
		return false
	}
	spec := &job.Spec
	return slices.ContainsFunc(c.pendingOfferMachines, func(m *machine) bool {
		return m.fits(spec) && m.allowed(c.now, job) && c.bound.allows(m, spec)
	})
}

// leastLoaded returns, with rebalancing, the machine that has the lowest load after it gets one more task of the job.
// It returns nil if no machine can take the task.
func (c *freeCapacity) leastLoaded(job *jobs.Job) (best *machine) {
	if c.bound == nil {
		return nil
	}
	spec := &job.Spec
	leastLoad := 0.0
	for _, m := range c.machines {
		if _, failed := job.Failures.FailedOn(m.name); failed || m.placementRank() > 0 || !m.fits(spec) ||
			!m.allowed(c.now, job) {
			continue
		}
		if machineLoad := m.loadWith(spec); best == nil || machineLoad < leastLoad {
			best, leastLoad = m, machineLoad
		}
	}
	return best
}

// firstFitWithinBound is firstFit among the machines that stay within the load bound.
func (c *freeCapacity) firstFitWithinBound(list []*machine, key candidateKey, job *jobs.Job) *machine {
	if c.bound == nil {
		return c.firstFit(list, key, job)
	}
	spec := &job.Spec
	mean := c.bound.mean.Value()
	mark := c.overBound[key]
	if mean > mark.mean*meanRecheckFactor {
		mark = overBoundMark{mean: mean}
	}
	for i := mark.skipped; i < len(list); i++ {
		m := list[i]
		if m.fits(spec) && m.allowed(c.now, job) && c.bound.allows(m, spec) {
			if _, failed := job.Failures.FailedOn(m.name); !failed {
				c.overBound[key] = mark
				return m
			}
		} else if i == mark.skipped {
			mark.skipped = i + 1
		}
	}
	c.overBound[key] = mark
	return nil
}

// pricePerCPU returns the price of one of a machine's CPUs.
func pricePerCPU(m *machine) float64 { return m.option.Price() / max(m.option.Type.CPUs, 1) }
