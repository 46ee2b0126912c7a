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

// demandKey tells demands apart.
type demandKey struct {
	shape   jobs.TaskShape
	service bool
	zone    string // of those that are to be spread
}

// demandSet gathers what capacity is wanted: first that of services, which cannot wait and have few machines to choose
// from.
type demandSet struct {
	byKey map[demandKey]*autoscaler.Demand
	list  []*autoscaler.Demand
}

// of returns the demand of jobs like j in a zone; "": in any that j allows.
func (d *demandSet) of(j *jobs.Job, zone string) *autoscaler.Demand {
	spec := &j.Spec
	key := demandKey{j.TaskShape, spec.IsService(), zone}
	if demand := d.byKey[key]; demand != nil {
		return demand
	}
	demand := &autoscaler.Demand{
		CPUs: spec.CPUs, GPUs: spec.GPUs, MemoryGB: spec.MemoryGB, Types: spec.Types, Zone: zone, Spot: spec.Spot,
	}
	if zone == "" {
		demand.Zone = spec.Zone
	}
	d.byKey[key] = demand
	d.list = append(d.list, demand)
	return demand
}

// addTasks adds tasks that are to run for as long as their service stands.
func (d *demandSet) addTasks(j *jobs.Job, zone string, tasks int) {
	demand := d.of(j, zone)
	demand.Tasks += tasks
	demand.TaskSeconds = math.Inf(1)
}

// teamCapacity is how many processors the teams may still use, by team, while demand is gathered.
type teamCapacity struct {
	l    *Leader
	left map[string]float64
}

// take returns how many of some tasks of a job fit within what its team may still use, and takes that.
func (c *teamCapacity) take(spec *wire.Job, tasks int) int {
	if _, known := c.left[spec.Team]; !known {
		c.left[spec.Team] = c.l.teams[spec.Team].CPULimit()
	}
	if spec.CPUs > 0 {
		tasks = int(min(float64(tasks), c.left[spec.Team]/spec.CPUs+1e-9))
	}
	c.left[spec.Team] -= float64(tasks) * spec.CPUs
	return tasks
}

// capacityDemand is what machines are wanted for.
func (l *Leader) capacityDemand(now clock.Micros) []autoscaler.Demand {
	demand := &demandSet{byKey: map[demandKey]*autoscaler.Demand{}}
	quota := &teamCapacity{l: l, left: map[string]float64{}}
	for j := range l.jobs.Sorted() {
		if tasks := unfinishedTasks(now, j); tasks > 0 && j.Spec.IsService() {
			l.addServiceDemand(now, demand, j, quota.take(&j.Spec, tasks))
		}
	}
	l.addArrivalReserve(now, demand)
	for j := range l.jobs.Sorted() {
		if tasks := unfinishedTasks(now, j); tasks > 0 && !j.Spec.IsService() {
			batch := demand.of(j, "")
			batch.Tasks += quota.take(&j.Spec, tasks)
			batch.TaskSeconds += float64(tasks) * l.jobs.RunSeconds(j)
		}
	}
	if reserve := l.unseenClassReserve(); reserve != nil {
		demand.list = append(demand.list, reserve)
	}
	out := make([]autoscaler.Demand, len(demand.list))
	for i, d := range demand.list {
		out[i] = *d
	}
	return out
}

// unfinishedTasks is for how many tasks a job needs capacity: none while it is held back, and of a suspect job no more
// than those that run and a probe.
func unfinishedTasks(now clock.Micros, j *jobs.Job) int {
	if j.Failures.InBackoff(now) {
		return 0
	}
	tasks := j.Spec.Tasks - j.Completed()
	if j.Failures.Suspect() {
		tasks = min(tasks, j.Dispatched()+1)
	}
	return tasks
}

// addServiceDemand adds a service's replicas. Those that must be spread need capacity in several zones: all of it in
// the cheapest would leave half of them without.
func (l *Leader) addServiceDemand(now clock.Micros, demand *demandSet, j *jobs.Job, replicas int) {
	open := l.openZones(now, j)
	if len(open) == 0 {
		demand.addTasks(j, "", replicas)
		return
	}
	used := l.zonesOf(j)
	for _, zone := range slices.Sorted(maps.Keys(used.n)) {
		demand.addTasks(j, zone, used.n[zone])
		replicas -= used.n[zone]
	}
	for ; replicas > 0; replicas-- {
		zone := slices.MinFunc(open, func(a, b string) int { return used.n[a] - used.n[b] })
		used.add(zone)
		demand.addTasks(j, zone, 1)
	}
}

// openZones are the zones over which a job's tasks may be spread now; none if they need not be.
func (l *Leader) openZones(now clock.Micros, j *jobs.Job) (zones []string) {
	spec := &j.Spec
	if !spec.Spread || spec.Zone != "" {
		return nil
	}
	task := autoscaler.Demand{
		CPUs: spec.CPUs, GPUs: spec.GPUs, MemoryGB: spec.MemoryGB, Types: spec.Types, Spot: spec.Spot,
	}
	for option := range l.options() {
		fits := task.Slots(&option) > 0
		refused := now < l.autoscaler.refusals[option.Key()].until
		if fits && !refused && !slices.Contains(zones, option.Zone) {
			zones = append(zones, option.Zone)
		}
	}
	slices.Sort(zones)
	return zones
}

const (
	// arrivalWindow is for how many seconds back the services that came are counted, minArrivalWindow at least.
	arrivalWindow    = 120
	minArrivalWindow = 30
	// bootsAhead is for how many boot times services are expected, and arrivalDeviations by how many standard
	// deviations more of them than came lately.
	bootsAhead        = 1.3
	arrivalDeviations = 1.5
)

// recentArrivals are the services of one shape that came lately.
type recentArrivals struct {
	example             *jobs.Job
	replicas, ofSquares float64 // sums
}

// expected is how many replicas are expected while a machine boots.
func (a *recentArrivals) expected(bootS, window float64) int {
	ahead := bootS * bootsAhead / window
	return int(math.Ceil(a.replicas*ahead + arrivalDeviations*math.Sqrt(a.ofSquares*ahead)))
}

// addArrivalReserve adds the capacity that services need which come while a machine that was asked for them would
// still boot: what came lately, for that long, and half as much again as it varies.
func (l *Leader) addArrivalReserve(now clock.Micros, demand *demandSet) {
	arrivals, window := l.recentArrivals(now)
	for _, a := range arrivals {
		replicas := a.expected(l.bootTime(&a.example.Spec), window)
		zones := l.openZones(now, a.example)
		if len(zones) == 0 {
			zones = []string{""}
		}
		for _, zone := range zones {
			demand.addTasks(a.example, zone, (replicas+len(zones)-1)/len(zones))
		}
	}
}

// recentArrivals sums up the services that came lately, by shape, and says in how many seconds they came.
func (l *Leader) recentArrivals(now clock.Micros) (arrivals []*recentArrivals, window float64) {
	byShape := map[jobs.TaskShape]*recentArrivals{}
	oldest := 0.0
	for j := range l.jobs.Sorted() {
		age := (now + l.wallOffset - j.AcceptedAt).Seconds()
		if !j.Spec.IsService() || age > arrivalWindow {
			continue
		}
		oldest = max(oldest, age)
		a := byShape[j.TaskShape]
		if a == nil {
			a = &recentArrivals{example: j}
			byShape[j.TaskShape] = a
			arrivals = append(arrivals, a)
		}
		replicas := float64(j.Spec.Tasks)
		a.replicas += replicas
		a.ofSquares += replicas * replicas
	}
	return arrivals, max(oldest, minArrivalWindow)
}

// bootTime is the longest usual boot time of the machines that a job may run on.
func (l *Leader) bootTime(spec *wire.Job) (boot float64) {
	task := autoscaler.Demand{CPUs: spec.CPUs, GPUs: spec.GPUs, MemoryGB: spec.MemoryGB, Types: spec.Types}
	for _, machineType := range l.autoscaler.catalog {
		if task.Slots(&autoscaler.Option{Type: machineType}) > 0 {
			boot = max(boot, machineType.BootS)
		}
	}
	return boot
}

const (
	// unseenClassCPUs are kept up at most, in ordinary machines, for each class of services that is expected to
	// start sooner than a machine boots and of which no job has come yet: what it takes is not known either, so this
	// is for its first few jobs only. It is never more than unseenClassShare of what runs, or a small site would pay
	// for it with a large part of its machines.
	unseenClassCPUs  = 24
	unseenClassShare = 0.08
)

// unseenClassReserve is the capacity that is kept for classes of services of which none has come yet; nil: none.
func (l *Leader) unseenClassReserve() *autoscaler.Demand {
	fastestBoot := math.Inf(1)
	for _, machineType := range l.autoscaler.catalog {
		fastestBoot = min(fastestBoot, machineType.BootS)
	}
	cpus := 0
	for class, startWithin := range l.startSLO {
		if !l.jobs.HasSeenClass(class) && startWithin < fastestBoot*1.5+10 {
			cpus += unseenClassCPUs
		}
	}
	held := 0.0
	for _, usage := range l.usage.All() {
		held += usage.CPUs
	}
	cpus = min(cpus, int(held*unseenClassShare))
	if cpus == 0 {
		return nil
	}
	return &autoscaler.Demand{CPUs: 1, MemoryGB: 2, Tasks: cpus, TaskSeconds: math.Inf(1)}
}
