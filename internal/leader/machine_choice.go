package leader

import "swiftledge/internal/leader/jobs"

// machineFor returns the machine on which the next task of a job is to be offered, or nil if there is none, and the
// zone to which the task is bound, if any.
func (l *Leader) machineFor(job *jobs.Job, capacity *freeCapacity) (*machine, string) {
	spec := &job.Spec
	if spec.OneZone || spec.Spread || spec.IsService() {
		return l.machineInZone(job, capacity)
	}
	withImage := candidateKey{shape: job.TaskShape, image: spec.Image, unserved: job.IsUnserved(capacity.now)}
	if m := capacity.firstFitWithinBound(capacity.byImage[spec.Image], withImage, job); m != nil {
		return m, ""
	}
	all := candidateKey{shape: job.TaskShape, all: true, unserved: job.IsUnserved(capacity.now)}
	if capacity.bound != nil {
		allWithin := all
		allWithin.image = spec.Image // the image decides how far the bound is widened
		if m := capacity.firstFitWithinBound(capacity.machines, allWithin, job); m != nil {
			return m, ""
		}
	}
	// With a load bound, the least loaded machine beyond the bound is better than no machine, but worse than a machine
	// within the bound that can be offered in a moment.
	if capacity.waitsForPendingOffer(job) {
		return nil, ""
	}
	if m := capacity.leastLoaded(job); m != nil {
		return m, ""
	}
	if m := capacity.firstFit(capacity.machines, all, job); m != nil {
		return m, ""
	}
	// A machine on which a task of the job failed is better than no machine.
	for _, m := range capacity.machines {
		if _, failed := job.Failures.FailedOn(m.name); failed && m.fits(spec) && m.allowed(capacity.now, job) {
			return m, ""
		}
	}
	return nil, ""
}

// machineInZone is machineFor for jobs whose tasks restrict each other's placement.
func (l *Leader) machineInZone(job *jobs.Job, capacity *freeCapacity) (*machine, string) {
	spec := &job.Spec
	zones := zonesOf(job)
	avoid := capacity.avoidedMachines(l, job)
	best := capacity.leastAvoided(job, zones, avoid, capacity.bound)
	if best == nil && capacity.bound != nil && !capacity.waitsForPendingOffer(job) {
		best = capacity.leastAvoided(job, zones, avoid, nil)
	}
	switch {
	case best == nil:
		return nil, ""
	case spec.OneZone || spec.Spread:
		return best, best.option.Zone
	}
	return best, ""
}

// leastAvoided returns the machine with the weakest reason to avoid it, among the machines within the bound, for a job
// whose tasks restrict each other's placement. During a pass the free capacity only shrinks and reasons are only added.
// So without a bound, no machine has a weaker reason than the one that the job's last task got.
func (c *freeCapacity) leastAvoided(
	job *jobs.Job, zones jobZones, avoid map[string]int, bound *loadBound,
) (best *machine) {
	spec := &job.Spec
	weakest := c.weakestReason[spec.Ref]
	for _, list := range [][]*machine{c.byImage[spec.Image], c.machines} {
		for _, m := range list {
			if !m.fits(spec) || !m.allowed(c.now, job) || !zones.allows(m.option.Zone) || job.AvoidsMachine(c.now, m.name) ||
				!bound.allows(m, spec) {
				continue
			}
			if best == nil || avoid[m.name] < avoid[best.name] {
				best = m
			}
			if avoid[best.name] <= weakest {
				return best
			}
		}
	}
	if best != nil && bound == nil {
		c.weakestReason[spec.Ref] = avoid[best.name]
	}
	return best
}
