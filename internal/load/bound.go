package load

// minWidening is the factor by which a bound grows at least when it is widened.
const minWidening = 1.05

// Bound limits which machines may take a task: those whose load stays within a multiple of the mean, as in consistent
// hashing with bounded loads. A saved fetch widens it: a machine that holds the task's image may be fuller by as much
// as that fetch is worth.
type Bound struct {
	// MaxRelativeLoad is the highest load, in multiples of the mean.
	MaxRelativeLoad float64
	// ImbalanceCostS is how many seconds of image fetch one unit of imbalance is worth: a load higher by one mean.
	ImbalanceCostS float64
}

// Candidate is what a machine's load would be with one more task.
type Candidate struct {
	Load        float64 // with the task
	TaskLoad    float64 // of the task alone
	SavedFetchS float64 // seconds of image fetch that are saved there
}

// Allows reports whether a candidate is within the bound. A machine that holds nothing is, whatever the size of the
// task: no machine would do better.
func (b Bound) Allows(candidate Candidate, mean float64) bool {
	limit := (b.MaxRelativeLoad + candidate.SavedFetchS/b.ImbalanceCostS) * mean
	return candidate.Load <= max(limit, candidate.TaskLoad)+tolerance
}

// Widened returns a bound that allows a candidate beyond it, the least loaded of those that there are.
func (b Bound) Widened(candidate Candidate, mean float64) Bound {
	b.MaxRelativeLoad = max(b.MaxRelativeLoad*minWidening, candidate.Load/mean)
	return b
}
