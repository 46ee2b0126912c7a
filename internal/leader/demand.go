package leader

import (
	"maps"
	"math"
	"slices"

	"swiftledge/internal/autoscaler"
	"swiftledge/internal/clock"
	"swiftledge/internal/leader/jobs"
	"swiftledge/wire"
)

// demandKey tells needs apart.
type demandKey struct {
	shape   jobs.Shape
	service bool
	zone    string // of those that are to be spread
}

// demandSet gathers what is wanted, services first: they cannot wait, and few machines are
// theirs to choose from.
type demandSet struct {
	byKey map[demandKey]*autoscaler.Demand
	list  []*autoscaler.Demand
}

func (n *demandSet) demandOf(j *jobs.Job, zone string) *autoscaler.Demand {
	s := &j.Spec
	key := demandKey{j.Shape, s.IsService(), zone}
	need := n.byKey[key]
	if need == nil {
		need = &autoscaler.Demand{CPUs: s.CPUs, GPUs: s.GPUs, MemoryGB: s.MemoryGB, Types: s.Types, Zone: zone, Spot: s.Spot}
		if zone == "" {
			need.Zone = s.Zone
		}
		n.byKey[key] = need
		n.list = append(n.list, need)
	}
	return need
}

// capacityDemand is what machines are wanted for.
func (l *Leader) capacityDemand(now clock.Micros) []autoscaler.Demand {
	n := &demandSet{byKey: map[demandKey]*autoscaler.Demand{}}
	capacity := map[string]float64{}
	refs := l.jobs.Refs()
	for _, services := range []bool{true, false} {
		for _, ref := range refs {
			j := l.jobs.Get(ref)
			s := &j.Spec
			left := s.Tasks - j.Completed()
			if s.IsService() != services || left <= 0 || j.Failures.Waits(now) {
				continue
			}
			if j.Failures.Suspect() {
				left = min(left, j.Dispatched()+1) // a probe
			}
			if _, ok := capacity[s.Team]; !ok {
				capacity[s.Team] = l.teams[s.Team].CPULimit()
			}
			most := left
			if s.CPUs > 0 {
				most = int(min(float64(most), capacity[s.Team]/s.CPUs+1e-9))
			}
			capacity[s.Team] -= float64(most) * s.CPUs
			if services {
				l.addServiceDemand(now, n, j, most)
				continue
			}
			need := n.demandOf(j, "")
			need.Tasks += most
			need.Seconds += float64(left) * l.jobs.RunSeconds(j)
		}
		if services {
			l.addArrivalReserve(now, n)
		}
	}
	if warm := l.warm(); warm != nil {
		n.list = append(n.list, warm)
	}
	out := make([]autoscaler.Demand, len(n.list))
	for i, need := range n.list {
		out[i] = *need
	}
	return out
}

// addServiceDemand adds a service's replicas. Those that must be spread need room in several
// zones: room for all of them in the cheapest would leave half without.
func (l *Leader) addServiceDemand(now clock.Micros, n *demandSet, j *jobs.Job, most int) {
	add := func(zone string, tasks int) {
		need := n.demandOf(j, zone)
		need.Tasks += tasks
		need.Seconds = math.Inf(1)
	}
	over := l.openZones(now, j)
	if len(over) == 0 {
		add("", most)
		return
	}
	in := l.zones(j)
	for _, zone := range slices.Sorted(maps.Keys(in.n)) {
		add(zone, in.n[zone])
		most -= in.n[zone]
	}
	for ; most > 0; most-- {
		zone := slices.MinFunc(over, func(a, lease string) int { return in.n[a] - in.n[lease] })
		in.add(zone)
		add(zone, 1)
	}
}

// openZones are the zones over which a job's tasks may be spread now; none if they need not be.
func (l *Leader) openZones(now clock.Micros, j *jobs.Job) (out []string) {
	s := &j.Spec
	if !s.Spread || s.Zone != "" {
		return nil
	}
	need := autoscaler.Demand{CPUs: s.CPUs, GPUs: s.GPUs, MemoryGB: s.MemoryGB, Types: s.Types, Spot: s.Spot}
	for _, t := range l.autoscaler.catalog {
		for _, z := range t.ZoneNames {
			for _, spot := range []bool{false, true} {
				o := autoscaler.Option{Type: t, Zone: z, Spot: spot}
				if need.Slots(&t, z, spot) > 0 && now >= l.autoscaler.refusals[o.Key()].until && !slices.Contains(out, z) {
					out = append(out, z)
				}
			}
		}
	}
	slices.Sort(out)
	return out
}

// arrivals is for how long back the services that came are counted, and at least.
const arrivals, leastArrivals = 120, 30

// addArrivalReserve adds the room that services need which come while a machine provisioned for them
// would still boot: what came lately, for that long, and half as much again as it varies.
func (l *Leader) addArrivalReserve(now clock.Micros, n *demandSet) {
	type recentArrivals struct {
		sum, squares float64
		like         *jobs.Job
	}
	lately := map[jobs.Shape]*recentArrivals{}
	var shapes []jobs.Shape
	oldest := 0.0
	for _, ref := range l.jobs.Refs() {
		j := l.jobs.Get(ref)
		age := (now + l.wallOffset - j.AcceptedAt).Seconds()
		if !j.Spec.IsService() || age > arrivals {
			continue
		}
		oldest = max(oldest, age)
		c := lately[j.Shape]
		if c == nil {
			c = &recentArrivals{like: j}
			lately[j.Shape] = c
			shapes = append(shapes, j.Shape)
		}
		tasks := float64(j.Spec.Tasks)
		c.sum += tasks
		c.squares += tasks * tasks
	}
	window := max(oldest, leastArrivals)
	for _, k := range shapes {
		c := lately[k]
		ahead := l.bootTime(&c.like.Spec) * 1.3 / window
		more := int(math.Ceil(c.sum*ahead + 1.5*math.Sqrt(c.squares*ahead)))
		over := l.openZones(now, c.like)
		if len(over) == 0 {
			over = []string{""}
		}
		for _, zone := range over {
			need := n.demandOf(c.like, zone)
			need.Tasks += (more + len(over) - 1) / len(over)
			need.Seconds = math.Inf(1)
		}
	}
}

// bootTime is the longest usual boot time of the machines that a job may run on.
func (l *Leader) bootTime(s *wire.Job) (boot float64) {
	need := autoscaler.Demand{CPUs: s.CPUs, GPUs: s.GPUs, MemoryGB: s.MemoryGB, Types: s.Types}
	for _, t := range l.autoscaler.catalog {
		if need.Slots(&t, "", false) > 0 {
			boot = max(boot, t.BootS)
		}
	}
	return boot
}

// warmCPUs at most are kept up, in ordinary machines, for each class of services that is
// expected to start sooner than a machine boots and of which no job has come yet: what it takes is not
// known either, so this is for its first few jobs only. It is never more than a warmPart
// of what runs, or a small site would pay for it with a large part of its machines.
const (
	warmCPUs = 24
	warmPart = 0.08
)

func (l *Leader) warm() *autoscaler.Demand {
	boot := math.Inf(1)
	for _, t := range l.autoscaler.catalog {
		boot = min(boot, t.BootS)
	}
	n := 0
	for class, within := range l.startSLO {
		if !l.jobs.HasSeenClass(class) && within < boot*1.5+10 {
			n += warmCPUs
		}
	}
	held := 0.0
	for _, u := range l.usage.All() {
		held += u.CPUs
	}
	n = min(n, int(held*warmPart))
	if n == 0 {
		return nil
	}
	return &autoscaler.Demand{CPUs: 1, MemoryGB: 2, Tasks: n, Seconds: math.Inf(1)}
}
