package fairshare

import (
	"maps"
	"math"
	"slices"

	"swiftledge/internal/clock"
	"swiftledge/internal/config"
	"swiftledge/internal/leader/jobs"
	"swiftledge/wire"
)

// Policy is the operators' scheduling policy.
type Policy struct {
	Teams map[string]config.Team
	// CompletionSLO maps a job class to the seconds within which its jobs should complete (service-level objective).
	CompletionSLO map[string]float64
	// StartWithinS is the number of seconds within which every job should start.
	StartWithinS float64
	// MinShare is the minimum share of a team's usage for each class, and for the jobs that have waited long.
	MinShare float64
}

// PassTime is the time of a scheduling pass.
type PassTime struct {
	Now       clock.Micros // steady time
	TimeOfDay clock.Micros // wall clock time
}

// Queues returns the queues of the teams with waiting jobs, sorted by team name. It also records for each job since
// when the job waits for free capacity.
func (p Policy) Queues(pass PassTime, table *jobs.Table, usage *Usage) []*TeamQueue {
	byTeam := map[string]*TeamQueue{}
	for j := range table.Sorted() {
		q := byTeam[j.Spec.Team]
		if q == nil {
			team := p.Teams[j.Spec.Team]
			team.Name = j.Spec.Team
			q = &TeamQueue{team: team, usage: usage, minShare: p.MinShare, cpusByClass: map[string]float64{},
				unserved: map[string]bool{}}
			byTeam[j.Spec.Team] = q
		}
		age := (pass.TimeOfDay - j.AcceptedAt).Seconds()
		waitedLong := age > p.StartWithinS
		q.countDispatched(j, waitedLong)
		updateUnservedSince(pass.Now, q, j)
		if j.IsUnserved(pass.Now) {
			q.unserved[j.Spec.Ref] = true
		}
		if j.Waiting() > 0 && !j.Failures.InBackoff(pass.Now) && !j.IsCancelled() {
			q.entries = append(q.entries,
				&entry{job: j, order: p.order(age, j, table), waitedLong: waitedLong && !j.Failures.Suspect()})
		}
	}
	var queues []*TeamQueue
	for _, name := range slices.Sorted(maps.Keys(byTeam)) {
		if q := byTeam[name]; len(q.entries) > 0 {
			q.sort()
			queues = append(queues, q)
		}
	}
	return queues
}

// countDispatched adds the usage of a job's dispatched tasks to the totals of the team.
func (q *TeamQueue) countDispatched(j *jobs.Job, waitedLong bool) {
	used := usageOfTasks(&j.Spec, j.Dispatched())
	q.cpusByClass[j.Spec.Class] += used.CPUs
	if j.Spec.IsService() {
		q.serviceUsage = q.serviceUsage.Plus(used)
	} else {
		q.hasOtherJobs = true
	}
	if waitedLong {
		q.cpusByClass[longWaitingKey] += used.CPUs
	}
}

// updateUnservedSince updates since when a job waits for free capacity. Waiting for the team's limit does not count.
func updateUnservedSince(now clock.Micros, q *TeamQueue, j *jobs.Job) {
	switch {
	case j.Waiting() == 0 || j.Failures.InBackoff(now):
		j.SetUnservedSince(0)
	case j.UnservedSince() == 0 || !q.Usage().FitsLimit(&j.Spec, q.team):
		j.SetUnservedSince(now)
	}
}

// sort sorts the team's jobs and collects those that may preempt other tasks.
func (q *TeamQueue) sort() {
	slices.SortStableFunc(q.entries, func(a, b *entry) int { return a.order.compare(b.order) })
	for _, e := range q.entries {
		if q.mayPreempt(e.job) {
			q.preemptors = append(q.preemptors, e.job)
		}
	}
}

// mayPreempt reports whether the job may preempt other tasks.
func (q *TeamQueue) mayPreempt(j *jobs.Job) bool {
	if j.Failures.Suspect() {
		return false
	}
	return j.Spec.Priority.Rank() <= wire.PriorityHigh.Rank() || q.team.CPUs > 0
}

// order returns the sort key of a job in its team's queue. For a job without a deadline, lateness is judged by the
// completion SLO of its class. Jobs of production and high priority never count as late.
func (p Policy) order(age float64, j *jobs.Job, table *jobs.Table) jobOrder {
	s := &j.Spec
	dueS := math.Inf(1)
	if s.DeadlineS != nil {
		dueS = *s.DeadlineS
	} else if slo, ok := p.CompletionSLO[s.Class]; ok {
		dueS = slo
	}
	// The minimum time to complete the remaining tasks within the team's limit.
	remainingS := table.RunSeconds(j)
	if limit := p.Teams[s.Team].CPUsMax; limit > 0 {
		remainingS = max(remainingS, float64(s.Tasks-j.Completed())*s.CPUs*remainingS/limit)
	}
	rank := s.Priority.Rank()
	slack := dueS - age - remainingS
	if s.DeadlineS == nil {
		slack = remainingS
	}
	return jobOrder{
		late:         rank >= wire.PriorityStandard.Rank() && age+remainingS > dueS,
		priorityRank: rank, slack: slack, age: age,
	}
}
