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

// demandKey identifies the tasks that share one demand.
type demandKey struct {
	shape   jobs.TaskShape
	service bool
	zone    string // the zone of tasks that must be spread over zones; "" for other tasks
}

// demandSet collects the demands for capacity in order of precedence: demands of services come first, as services
// cannot wait and have few machines to choose from.
type demandSet struct {
	byKey map[demandKey]*autoscaler.Demand
	list  []*autoscaler.Demand
}

// demandFor returns the demand of jobs that are like the given job, for a zone or, with the zone "", for any zone that
// the job allows. It adds an empty demand if there is none yet.
func (d *demandSet) demandFor(job *jobs.Job, zone string) *autoscaler.Demand {
	spec := &job.Spec
	key := demandKey{job.TaskShape, spec.IsService(), zone}
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

// addTasks adds tasks of a service to the demand. Tasks of a service run without end.
func (d *demandSet) addTasks(job *jobs.Job, zone string, tasks int) {
	demand := d.demandFor(job, zone)
	demand.Tasks += tasks
	demand.TaskSeconds = math.Inf(1)
}

// remainingQuota is the CPU quota, by team, that the demand gathered so far leaves unused.
type remainingQuota struct {
	leader *Leader
	cpus   map[string]float64
}

// reserve reserves quota for tasks of a job, for as many tasks as the remaining quota of the job's team covers, and
// returns the number of these tasks.
func (q *remainingQuota) reserve(spec *wire.Job, tasks int) int {
	if _, known := q.cpus[spec.Team]; !known {
		q.cpus[spec.Team] = q.leader.teams[spec.Team].CPULimit()
	}
	if spec.CPUs > 0 {
		tasks = int(min(float64(tasks), q.cpus[spec.Team]/spec.CPUs+1e-9))
	}
	q.cpus[spec.Team] -= float64(tasks) * spec.CPUs
	return tasks
}

// capacityDemand returns the demands that the autoscaler has to cover, by precedence.
func (l *Leader) capacityDemand(now clock.Micros) []autoscaler.Demand {
	set := &demandSet{byKey: map[demandKey]*autoscaler.Demand{}}
	quota := &remainingQuota{leader: l, cpus: map[string]float64{}}
	for job := range l.jobs.Sorted() {
		if tasks := unfinishedTasks(now, job); tasks > 0 && job.Spec.IsService() {
			l.addServiceDemand(now, set, job, quota.reserve(&job.Spec, tasks))
		}
	}
	l.addArrivalReserve(now, set)
	for job := range l.jobs.Sorted() {
		if tasks := unfinishedTasks(now, job); tasks > 0 && !job.Spec.IsService() {
			batch := set.demandFor(job, "")
			batch.Tasks += quota.reserve(&job.Spec, tasks)
			batch.TaskSeconds += float64(tasks) * l.jobs.RunSeconds(job)
		}
	}
	if reserve := l.unseenClassReserve(); reserve != nil {
		set.list = append(set.list, reserve)
	}
	demands := make([]autoscaler.Demand, len(set.list))
	for i, entry := range set.list {
		demands[i] = *entry
	}
	return demands
}

// unfinishedTasks returns the number of tasks for which a job needs capacity. A job in backoff needs no capacity. A
// suspect job, whose tasks have failed on several machines, needs capacity only for its dispatched tasks and one probe:
// a single task that is started to see whether it still fails.
func unfinishedTasks(now clock.Micros, job *jobs.Job) int {
	if job.Failures.InBackoff(now) {
		return 0
	}
	tasks := job.Spec.Tasks - job.Completed()
	if job.Failures.Suspect() {
		tasks = min(tasks, job.Dispatched()+1)
	}
	return tasks
}

// addServiceDemand adds the demand of a service's replicas. Replicas that must be spread need capacity in several
// zones: with all the capacity in the cheapest zone, half of the replicas could not be placed.
func (l *Leader) addServiceDemand(now clock.Micros, demand *demandSet, job *jobs.Job, replicas int) {
	zones := l.openZones(now, job)
	if len(zones) == 0 {
		demand.addTasks(job, "", replicas)
		return
	}
	placed := zonesOf(job)
	for _, zone := range slices.Sorted(maps.Keys(placed.taskCounts)) {
		demand.addTasks(job, zone, placed.taskCounts[zone])
		replicas -= placed.taskCounts[zone]
	}
	for ; replicas > 0; replicas-- {
		zone := slices.MinFunc(zones, func(a, b string) int { return placed.taskCounts[a] - placed.taskCounts[b] })
		placed.add(zone)
		demand.addTasks(job, zone, 1)
	}
}

// openZones returns the zones over which a job's tasks may be spread now: those with an option that fits the tasks and
// that the cloud has not refused recently. It returns none if the job needs no spreading.
func (l *Leader) openZones(now clock.Micros, job *jobs.Job) (zones []string) {
	spec := &job.Spec
	if !spec.Spread || spec.Zone != "" {
		return nil
	}
	task := autoscaler.Demand{
		CPUs: spec.CPUs, GPUs: spec.GPUs, MemoryGB: spec.MemoryGB, Types: spec.Types, Spot: spec.Spot,
	}
	for option := range l.options() {
		fits := task.Slots(&option) > 0
		refused := now < l.autoscaler.refusals[option.Key()].retryAt
		if fits && !refused && !slices.Contains(zones, option.Zone) {
			zones = append(zones, option.Zone)
		}
	}
	slices.Sort(zones)
	return zones
}

const (
	// arrivalWindowS is the number of seconds over which recently accepted services are counted. minArrivalWindowS is
	// the least number of seconds over which their rate is computed.
	arrivalWindowS    = 120
	minArrivalWindowS = 30
	// bootTimesAhead is the number of boot times for which arriving services are expected. arrivalDeviations is the
	// number of standard deviations by which the reserve exceeds the recent rate.
	bootTimesAhead    = 1.3
	arrivalDeviations = 1.5
)

// arrivalStats sums up the recently accepted services of one shape.
type arrivalStats struct {
	sampleJob                 *jobs.Job
	replicas, squaredReplicas float64 // sums over the services of the replicas and of their squares
}

// expectedReplicas returns the number of replicas that are expected to arrive while a machine boots.
func (a *arrivalStats) expectedReplicas(bootS, windowS float64) int {
	windows := bootS * bootTimesAhead / windowS
	return int(math.Ceil(a.replicas*windows + arrivalDeviations*math.Sqrt(a.squaredReplicas*windows)))
}

// addArrivalReserve adds the capacity for services that arrive while a machine requested for them would still boot:
// the recent arrivals projected over that time, plus arrivalDeviations standard deviations.
func (l *Leader) addArrivalReserve(now clock.Micros, demand *demandSet) {
	arrivals, windowS := l.recentServiceArrivals(now)
	for _, a := range arrivals {
		replicas := a.expectedReplicas(l.bootTimeS(&a.sampleJob.Spec), windowS)
		zones := l.openZones(now, a.sampleJob)
		if len(zones) == 0 {
			zones = []string{""}
		}
		for _, zone := range zones {
			demand.addTasks(a.sampleJob, zone, (replicas+len(zones)-1)/len(zones))
		}
	}
}

// recentServiceArrivals sums up the recently accepted services by shape. It also returns the number of seconds over
// which these services were accepted, or minArrivalWindowS if that is more.
func (l *Leader) recentServiceArrivals(now clock.Micros) (arrivals []*arrivalStats, windowS float64) {
	byShape := map[jobs.TaskShape]*arrivalStats{}
	oldestS := 0.0
	for job := range l.jobs.Sorted() {
		ageS := (now + l.wallOffset - job.AcceptedAt).Seconds()
		if !job.Spec.IsService() || ageS > arrivalWindowS {
			continue
		}
		oldestS = max(oldestS, ageS)
		stats := byShape[job.TaskShape]
		if stats == nil {
			stats = &arrivalStats{sampleJob: job}
			byShape[job.TaskShape] = stats
			arrivals = append(arrivals, stats)
		}
		replicas := float64(job.Spec.Tasks)
		stats.replicas += replicas
		stats.squaredReplicas += replicas * replicas
	}
	return arrivals, max(oldestS, minArrivalWindowS)
}

// bootTimeS returns the longest usual boot time, in seconds, of the machine types that a job may run on.
func (l *Leader) bootTimeS(spec *wire.Job) (bootS float64) {
	task := autoscaler.Demand{CPUs: spec.CPUs, GPUs: spec.GPUs, MemoryGB: spec.MemoryGB, Types: spec.Types}
	for _, machineType := range l.autoscaler.catalog {
		if task.Slots(&autoscaler.Option{Type: machineType}) > 0 {
			bootS = max(bootS, machineType.BootS)
		}
	}
	return bootS
}

const (
	// unseenClassCPUs is the maximum number of CPUs kept on on-demand machines for each service class whose jobs are
	// expected to start sooner than a machine boots and of which no job has arrived yet. What such a job needs is
	// unknown, so the reserve covers the first few jobs only. unseenClassShare limits the reserve to a part of the
	// CPUs in use, as the reserve would otherwise cost a small site a large part of its machines.
	unseenClassCPUs  = 24
	unseenClassShare = 0.08
)

// unseenClassReserve returns the demand of the reserve for service classes without any job yet, or nil if there is
// none.
func (l *Leader) unseenClassReserve() *autoscaler.Demand {
	fastestBootS := math.Inf(1)
	for _, machineType := range l.autoscaler.catalog {
		fastestBootS = min(fastestBootS, machineType.BootS)
	}
	cpus := 0
	for class, startWithinS := range l.startSLO {
		if !l.jobs.HasSeenClass(class) && startWithinS < fastestBootS*1.5+10 {
			cpus += unseenClassCPUs
		}
	}
	usedCPUs := 0.0
	for _, usage := range l.usage.All() {
		usedCPUs += usage.CPUs
	}
	cpus = min(cpus, int(usedCPUs*unseenClassShare))
	if cpus == 0 {
		return nil
	}
	return &autoscaler.Demand{CPUs: 1, MemoryGB: 2, Tasks: cpus, TaskSeconds: math.Inf(1)}
}
