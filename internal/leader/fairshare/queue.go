package fairshare

import (
	"slices"

	"swiftledge/internal/config"
	"swiftledge/internal/leader/jobs"
	"swiftledge/wire"
)

// entry is a job in its team's queue.
type entry struct {
	job        *jobs.Job
	order      jobOrder
	waitedLong bool // it has waited long: its kind of job has a least share
	exhausted  bool // nothing of it can be dispatched in this pass
}

// longWaiting stands among the classes for all jobs that have waited long.
const longWaiting = ""

// TeamQueue holds one team's waiting jobs in their order, for one scheduling pass.
type TeamQueue struct {
	team       config.Team
	usage      *Usage
	leastShare float64
	entries    []*entry
	// preemptors are the jobs that wait and may stop other tasks.
	preemptors []*jobs.Job
	// cpusByClass is what the team's classes use; longWaiting stands for the jobs that have waited long.
	cpusByClass map[string]float64
	// serviceCPUs is what services use, and mixed that the team has other jobs: neither may shut out the other.
	serviceCPUs  float64
	hasOtherJobs bool

	// nextEntry is whose nextEntry it is within the team; it changes only when the team is served.
	nextEntry   *entry
	oneTaskOnly bool // it is the turn of one task alone
	order       teamOrder
	selected    bool // turn, single and order hold
}

// Team returns the team's quota.
func (q *TeamQueue) Team() config.Team { return q.team }

// Usage returns what the team's tasks take now.
func (q *TeamQueue) Usage() ResourceUsage { return q.usage.Of(q.team.Name) }

// Preemptors returns the jobs that wait and may stop other tasks, in their order.
func (q *TeamQueue) Preemptors() []*jobs.Job { return q.preemptors }

// ServiceCPUs returns what the team's services use.
func (q *TeamQueue) ServiceCPUs() float64 { return q.serviceCPUs }

// Fits reports whether the team may run one more task of the job: within its limit, and with the least share left to
// its other jobs if the job is a service, which never ends by itself.
func (q *TeamQueue) Fits(job *wire.Job) bool {
	return q.ServiceFits(job, q.serviceCPUs) && q.Usage().FitsLimit(job, q.team)
}

// ServiceFits reports whether one more task of the job leaves the team's other jobs their least share if services use
// that many processors. It holds for every job that is no service.
func (q *TeamQueue) ServiceFits(job *wire.Job, serviceCPUs float64) bool {
	return !job.IsService() || !q.hasOtherJobs ||
		serviceCPUs+job.CPUs <= q.team.CPULimit()*(1-q.leastShare)+tolerance
}

// next returns the job whose turn it is, and whether it is the turn of one task alone. Order alone would starve what
// always comes last: the largest, those already late, a class of low priority. So a job that has not begun in time goes
// first with one task, and each class, and what has waited long, has a least share of what its team uses.
func (q *TeamQueue) next() (next *entry, single bool) {
	q.entries = slices.DeleteFunc(q.entries, func(e *entry) bool { return e.exhausted || e.job.Waiting() == 0 })
	for _, e := range q.entries {
		if e.waitedLong && !e.job.WasDispatched() {
			return e, true
		}
	}
	var seen []string // a few classes
	starves := func(class string) bool {
		if slices.Contains(seen, class) {
			return false
		}
		seen = append(seen, class)
		return q.cpusByClass[class] < q.leastShare*q.Usage().CPUs
	}
	for _, e := range q.entries {
		if starves(e.job.Spec.Class) || e.waitedLong && starves(longWaiting) {
			return e, false
		}
	}
	if len(q.entries) == 0 {
		return nil, false
	}
	return q.entries[0], false
}

// selectNext finds whose turn it is within the team, and the team's place among the others.
func (q *TeamQueue) selectNext() {
	if q.selected {
		return
	}
	q.selected = true
	q.nextEntry, q.oneTaskOnly = q.next()
	for q.nextEntry != nil && !q.Fits(&q.nextEntry.job.Spec) {
		q.skip(q.nextEntry)
		q.nextEntry, q.oneTaskOnly = q.next()
	}
	if q.nextEntry == nil {
		return
	}
	q.order = teamOrder{
		startOverdue:   q.oneTaskOnly,
		overGuarantee:  !q.Usage().FitsGuarantee(&q.nextEntry.job.Spec, q.team),
		priorityRank:   q.entries[0].order.priorityRank,
		guaranteeInUse: q.Usage().CPUs / max(q.team.CPUs, 1),
	}
}

// skip leaves out a job that does not fit. What the team's limit holds back must not be passed by smaller tasks of
// less important jobs, which would take every bit of capacity that comes free.
func (q *TeamQueue) skip(held *entry) {
	held.exhausted = true
	if q.Usage().FitsLimit(&held.job.Spec, q.team) {
		return
	}
	for _, e := range q.entries {
		e.exhausted = e.exhausted || e.order.priorityRank > held.order.priorityRank
	}
}

// Turn is the right of a job to have tasks dispatched.
type Turn struct {
	Queue       *TeamQueue
	Job         *jobs.Job
	OneTaskOnly bool // of one task alone
	entry       *entry
}

// Next returns whose turn it is among all teams; false: nobody's whose tasks could be dispatched.
func Next(queues []*TeamQueue) (Turn, bool) {
	var best *TeamQueue
	for _, q := range queues {
		q.selectNext()
		if q.nextEntry != nil && (best == nil || q.order.compare(best.order) < 0) {
			best = q
		}
	}
	if best == nil {
		return Turn{}, false
	}
	return Turn{Queue: best, Job: best.nextEntry.job, OneTaskOnly: best.oneTaskOnly, entry: best.nextEntry}, true
}

// Done ends a turn in which that many tasks were dispatched.
func (t Turn) Done(dispatched int) {
	q, s := t.Queue, &t.Job.Spec
	q.selected = false
	t.entry.exhausted = dispatched == 0 || t.Job.Failures.Suspect()
	cpus := float64(dispatched) * s.CPUs
	if s.IsService() {
		q.serviceCPUs += cpus
	}
	q.cpusByClass[s.Class] += cpus
	if t.entry.waitedLong {
		q.cpusByClass[longWaiting] += cpus
	}
}
