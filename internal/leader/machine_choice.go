package leader

import "swiftledge/internal/leader/jobs"

// machineFor finds the machine whose free capacity the next task of a job takes, and the
// zone that the task is bound to, if any.
func (l *Leader) machineFor(j *jobs.Job, capacity *freeCapacity) (*machine, string) {
	s := &j.Spec
	if s.OneZone || s.Spread || s.IsService() {
		return l.machineInZone(j, capacity)
	}
	withImage := candidateKey{shape: j.TaskShape, image: s.Image, unserved: j.IsUnserved(capacity.now)}
	if m := capacity.firstWithin(capacity.byImage[s.Image], withImage, j); m != nil {
		return m, ""
	}
	all := candidateKey{shape: j.TaskShape, all: true, unserved: j.IsUnserved(capacity.now)}
	if capacity.bound != nil {
		allWithin := all
		allWithin.image = s.Image // which decides how far the bound is widened
		if m := capacity.firstWithin(capacity.machines, allWithin, j); m != nil {
			return m, ""
		}
	}
	// With a bound, the least loaded machine beyond it is better than none, but not than one that can be
	// offered in a moment.
	if capacity.waitsForPending(j) {
		return nil, ""
	}
	if m := capacity.leastLoaded(j); m != nil {
		return m, ""
	}
	if m := capacity.first(capacity.machines, all, j); m != nil {
		return m, ""
	}
	// Better where it failed before than nowhere.
	for _, m := range capacity.machines {
		if _, failed := j.Failures.FailedOn(m.name); failed && m.fits(s) && m.allowed(capacity.now, j) {
			return m, ""
		}
	}
	return nil, ""
}

// machineInZone is machineFor for jobs whose tasks bind each other's place.
func (l *Leader) machineInZone(j *jobs.Job, capacity *freeCapacity) (*machine, string) {
	s := &j.Spec
	zones := l.zonesOf(j)
	avoid := capacity.avoidedMachines(l, j)
	best := capacity.leastAvoided(j, zones, avoid, capacity.bound)
	if best == nil && capacity.bound != nil && !capacity.waitsForPending(j) {
		best = capacity.leastAvoided(j, zones, avoid, nil)
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
func (r *freeCapacity) leastAvoided(
	j *jobs.Job, zones jobZones, avoid map[string]int, bound *loadBound,
) (best *machine) {
	s := &j.Spec
	for _, list := range [][]*machine{r.byImage[s.Image], r.machines} {
		for _, m := range list {
			if !m.fits(s) || !m.allowed(r.now, j) || !zones.allow(m.option.Zone) || j.AvoidsMachine(r.now, m.name) ||
				!bound.allows(m, s) {
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
