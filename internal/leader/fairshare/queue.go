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
	waitedLong bool // waited longer than StartWithinS: such jobs have a minimum share
	exhausted  bool // no more of the job's tasks can be dispatched in this pass
}

// longWaitingKey is the key in cpusByClass for all jobs that have waited long, whatever their class.
const longWaitingKey = ""

// TeamQueue holds the waiting jobs of one team in order, for one scheduling pass.
type TeamQueue struct {
	team     config.Team
	usage    *Usage
	minShare float64
	entries  []*entry
	// preemptors are the waiting jobs that may preempt other tasks.
	preemptors []*jobs.Job
	// cpusByClass is the processors used by each class and, under longWaitingKey, by the jobs that have waited long.
	cpusByClass map[string]float64
	// serviceUsage is the resources used by services. hasOtherJobs is set if the team also has jobs that are no
	// services. Neither kind may starve the other.
	serviceUsage ResourceUsage
	hasOtherJobs bool
	// unserved has, by reference, the jobs that have waited for free capacity for so long that neither another job of
	// the team nor the minimum share may keep them waiting any longer.
	unserved map[string]bool

	// nextEntry is the job whose turn it is within the team. The entry changes only after a turn of the team.
	nextEntry   *entry
	oneTaskOnly bool // the turn covers a single task
	order       teamOrder
	selected    bool // nextEntry, oneTaskOnly and order are up to date
}

// Team returns the team whose jobs the queue holds, with its quota.
func (q *TeamQueue) Team() config.Team { return q.team }

// Usage returns the current usage of the team's tasks.
func (q *TeamQueue) Usage() ResourceUsage { return q.usage.Of(q.team.Name) }

// Preemptors returns the waiting jobs that may preempt other tasks, in queue order.
func (q *TeamQueue) Preemptors() []*jobs.Job { return q.preemptors }

// ServiceCPUs returns the processors used by the team's services.
func (q *TeamQueue) ServiceCPUs() float64 { return q.serviceUsage.CPUs }

// Fits reports whether the team may run one more task of the job: with the task the team stays within its limit and, if
// the job is a service, the minimum share of its other jobs does not keep the service waiting; see ServiceFits.
func (q *TeamQueue) Fits(job *wire.Job) bool {
	return q.ServiceFits(job, q.serviceUsage.CPUs) && q.Usage().FitsLimit(job, q.team)
}

// ServiceFits reports whether one more task of the job leaves the minimum share to the team's other jobs when its
// services use serviceCPUs processors: a service never ends by itself. The share keeps a service waiting only for a
// while, and never a service of which not even one task leaves the share. ServiceFits always reports true for a job
// that is no service.
func (q *TeamQueue) ServiceFits(job *wire.Job, serviceCPUs float64) bool {
	if !job.IsService() || !q.hasOtherJobs || q.unserved[job.Ref] {
		return true
	}
	limit := q.team.CPULimit()*(1-q.minShare) + tolerance
	return serviceCPUs+job.CPUs <= limit || job.CPUs > limit
}

// next returns the job whose turn it is, and whether the turn covers a single task. The sort order alone would starve
// the jobs that always sort last: the largest jobs, jobs already late, and classes of low priority. Therefore a job
// that has not started in time goes first with one task, and each class, as well as the jobs that have waited long, has
// a minimum share of the team's usage.
func (q *TeamQueue) next() (next *entry, oneTaskOnly bool) {
	q.entries = slices.DeleteFunc(q.entries, func(e *entry) bool { return e.exhausted || e.job.Waiting() == 0 })
	for _, e := range q.entries {
		if e.waitedLong && !e.job.WasDispatched() {
			return e, true
		}
	}
	var checked []string // a short list, as there are few classes
	isBelowShare := func(class string) bool {
		if slices.Contains(checked, class) {
			return false
		}
		checked = append(checked, class)
		return q.cpusByClass[class] < q.minShare*q.Usage().CPUs
	}
	for _, e := range q.entries {
		if isBelowShare(e.job.Spec.Class) || e.waitedLong && isBelowShare(longWaitingKey) {
			return e, false
		}
	}
	if len(q.entries) == 0 {
		return nil, false
	}
	return q.entries[0], false
}

// selectNext selects the next job of the team and computes the team's sort key.
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

// skip excludes from this pass a job whose next task does not fit. If the team's limit is the reason, skip also
// excludes all less important jobs of the team: their smaller tasks would otherwise take all capacity that becomes
// free. It does so only while the task will fit once the team's running batch tasks have ended, and excludes no job
// that has been unserved for long: a task that waits for services or for long tasks must not hold back other jobs.
func (q *TeamQueue) skip(unfit *entry) {
	unfit.exhausted = true
	if q.Usage().FitsLimit(&unfit.job.Spec, q.team) || !q.serviceUsage.FitsLimit(&unfit.job.Spec, q.team) {
		return
	}
	for _, e := range q.entries {
		isHeldBack := e.order.priorityRank > unfit.order.priorityRank && !q.unserved[e.job.Spec.Ref]
		e.exhausted = e.exhausted || isHeldBack
	}
}

// Turn permits a job to have tasks dispatched, until Done ends the turn.
type Turn struct {
	Queue       *TeamQueue
	Job         *jobs.Job
	OneTaskOnly bool // the turn covers a single task
	entry       *entry
}

// Next returns the next turn among all teams, or false if no job has a task that can be dispatched.
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

// Done ends a turn and accounts for the tasks dispatched in it.
func (t Turn) Done(dispatched int) {
	q, spec := t.Queue, &t.Job.Spec
	q.selected = false
	t.entry.exhausted = dispatched == 0 || t.Job.Failures.Suspect()
	used := usageOfTasks(spec, dispatched)
	if spec.IsService() {
		q.serviceUsage = q.serviceUsage.Plus(used)
	}
	q.cpusByClass[spec.Class] += used.CPUs
	if t.entry.waitedLong {
		q.cpusByClass[longWaitingKey] += used.CPUs
	}
}
