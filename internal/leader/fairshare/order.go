package fairshare

import (
	"cmp"
)

// jobOrder is a job's place among those of its team.
type jobOrder struct {
	late         bool // it cannot be in time any more
	priorityRank int  // of its priority, the most important first
	// With a deadline, the time that is left before it has to begin; without one, what is left to do.
	slack float64
	age   float64
}

// compare orders those that can still be in time before those that cannot, then by priority, then by the latest start
// that is in time, then by submission.
func (o jobOrder) compare(other jobOrder) int {
	return cmp.Or(
		falseFirst(o.late, other.late),
		cmp.Compare(o.priorityRank, other.priorityRank),
		cmp.Compare(o.slack, other.slack),
		cmp.Compare(other.age, o.age),
	)
}

// teamOrder is a team's place among the others.
type teamOrder struct {
	startOverdue   bool // a job of it has not begun in time: it goes first
	overGuarantee  bool // its next task would be beyond what it is guaranteed
	priorityRank   int  // of its most important job
	guaranteeInUse float64
}

func (o teamOrder) compare(other teamOrder) int {
	return cmp.Or(
		falseFirst(other.startOverdue, o.startOverdue),
		falseFirst(o.overGuarantee, other.overGuarantee),
		cmp.Compare(o.priorityRank, other.priorityRank),
		cmp.Compare(o.guaranteeInUse, other.guaranteeInUse),
	)
}

// falseFirst compares two booleans for a sort order that puts false before true.
func falseFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
