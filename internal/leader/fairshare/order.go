package fairshare

import (
	"cmp"
)

// jobOrder is the sort key of a job within its team.
type jobOrder struct {
	// late is set if the job can no longer complete by its deadline or, without a deadline, within the service-level
	// objective (SLO) of its class.
	late         bool
	priorityRank int // rank of the job's priority, 0 for the most important
	// slack is, with a deadline, the seconds until the latest start that meets the deadline and, without a deadline,
	// the seconds of remaining work.
	slack float64
	age   float64 // seconds since the job's submission
}

// compare orders jobs that can still complete in time before jobs that cannot, then by priority, then by slack, then
// by submission time.
func (o jobOrder) compare(other jobOrder) int {
	return cmp.Or(
		falseFirst(o.late, other.late),
		cmp.Compare(o.priorityRank, other.priorityRank),
		cmp.Compare(o.slack, other.slack),
		cmp.Compare(other.age, o.age),
	)
}

// teamOrder is the sort key of a team among the teams.
type teamOrder struct {
	startOverdue   bool    // one of the team's jobs has not started in time; such a team goes first
	overGuarantee  bool    // the team's next task would exceed its guarantee
	priorityRank   int     // priority rank of the first job in the team's queue
	guaranteeInUse float64 // used processors as a share of the guaranteed processors
}

func (o teamOrder) compare(other teamOrder) int {
	return cmp.Or(
		falseFirst(other.startOverdue, o.startOverdue),
		falseFirst(o.overGuarantee, other.overGuarantee),
		cmp.Compare(o.priorityRank, other.priorityRank),
		cmp.Compare(o.guaranteeInUse, other.guaranteeInUse),
	)
}

// falseFirst compares two booleans so that false sorts before true.
func falseFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
