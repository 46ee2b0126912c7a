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

// Policy is what the operators set for the order of work.
type Policy struct {
	Teams map[string]config.Team
	// CompletionSLO is in how many seconds the jobs of a class are expected to be completed.
	CompletionSLO map[string]float64
	// StartWithinS is in how many seconds every job is to have begun.
	StartWithinS float64
	// LeastShare is the part of what its team uses that each class, and what has waited long, is given at least.
	LeastShare float64
}

// PassTime is the time of a scheduling pass.
type PassTime struct {
	Now       clock.Micros
	TimeOfDay clock.Micros
}

// Queues returns the teams that have jobs waiting, by name. It notes for each job since when it waits for free
// capacity.
func (p Policy) Queues(at PassTime, table *jobs.Table, usage *Usage) []*TeamQueue {
	byTeam := map[string]*TeamQueue{}
	for j := range table.Sorted() {
		q := byTeam[j.Spec.Team]
		if q == nil {
			team := p.Teams[j.Spec.Team]
			team.Name = j.Spec.Team
			q = &TeamQueue{team: team, usage: usage, leastShare: p.LeastShare, cpusByClass: map[string]float64{}}
			byTeam[j.Spec.Team] = q
		}
		age := (at.TimeOfDay - j.AcceptedAt).Seconds()
		isOld := age > p.StartWithinS
		q.countDispatched(j, isOld)
		updateUnservedSince(at.Now, q, j)
		if j.Waiting() > 0 && !j.Failures.InBackoff(at.Now) && !j.IsCancelled() {
			q.entries = append(q.entries,
				&entry{job: j, order: p.order(age, j, table), waitedLong: isOld && !j.Failures.Suspect()})
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

// countDispatched counts what the dispatched tasks of a job take.
func (q *TeamQueue) countDispatched(j *jobs.Job, isOld bool) {
	cpus := float64(j.Dispatched()) * j.Spec.CPUs
	q.cpusByClass[j.Spec.Class] += cpus
	if j.Spec.IsService() {
		q.serviceCPUs += cpus
	} else {
		q.hasOtherJobs = true
	}
	if isOld {
		q.cpusByClass[longWaiting] += cpus
	}
}

// updateUnservedSince notes since when a job waits for free capacity, and not for its team's limit.
func updateUnservedSince(now clock.Micros, q *TeamQueue, j *jobs.Job) {
	switch {
	case j.Waiting() == 0 || j.Failures.InBackoff(now):
		j.SetUnservedSince(0)
	case j.UnservedSince() == 0 || !q.Usage().FitsLimit(&j.Spec, q.team):
		j.SetUnservedSince(now)
	}
}

// sort puts the team's jobs in order and finds those that may stop other tasks.
func (q *TeamQueue) sort() {
	slices.SortStableFunc(q.entries, func(a, b *entry) int { return a.order.compare(b.order) })
	for _, e := range q.entries {
		if q.mayPreempt(e.job) {
			q.preemptors = append(q.preemptors, e.job)
		}
	}
}

// mayPreempt reports whether tasks of the job may ever stop others.
func (q *TeamQueue) mayPreempt(j *jobs.Job) bool {
	if j.Failures.Suspect() {
		return false
	}
	return j.Spec.Priority.Rank() <= wire.PriorityHigh.Rank() || q.team.CPUs > 0
}

// order returns a job's place in its team's queue. A job without a deadline of its own has that of its class's
// completion SLO.
func (p Policy) order(age float64, j *jobs.Job, table *jobs.Table) jobOrder {
	s := &j.Spec
	due := math.Inf(1)
	if s.DeadlineS != nil {
		due = *s.DeadlineS
	} else if slo, ok := p.CompletionSLO[s.Class]; ok {
		due = slo
	}
	// The least time in which the rest can be done within the team's limit.
	need := table.RunSeconds(j)
	if limit := p.Teams[s.Team].CPUsMax; limit > 0 {
		need = max(need, float64(s.Tasks-j.Completed())*s.CPUs*need/limit)
	}
	rank := s.Priority.Rank()
	slack := due - age - need
	if s.DeadlineS == nil {
		slack = need
	}
	return jobOrder{late: rank >= wire.PriorityStandard.Rank() && age+need > due, priorityRank: rank, slack: slack, age: age}
}
