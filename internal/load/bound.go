package load

// minWidening is the minimum factor by which a bound grows when it is widened.
const minWidening = 1.05

// Bound limits the load of a machine, including a task that may be placed on it, to a multiple of the mean load, as in
// consistent hashing with bounded loads. A saved fetch raises the limit: a machine that has cached the task's image may
// have a higher load, by the imbalance that the fetch is worth.
type Bound struct {
	// MaxRelativeLoad is the maximum load, as a multiple of the mean load.
	MaxRelativeLoad float64
	// ImbalanceCostS is the cost of one unit of imbalance, in seconds of image fetch. One unit is a load that is higher
	// by the mean load.
	ImbalanceCostS float64
}

// Candidate describes the load of a machine if it took one more task.
type Candidate struct {
	Load        float64 // of the machine, with the task
	TaskLoad    float64 // of the task alone
	SavedFetchS float64 // image fetch time saved on this machine
}

// Allows reports whether a candidate is within the bound. A machine without other tasks is always within the bound,
// whatever the size of the task: no machine would end up with a lower load.
func (b Bound) Allows(candidate Candidate, mean float64) bool {
	limit := (b.MaxRelativeLoad + candidate.SavedFetchS/b.ImbalanceCostS) * mean
	return candidate.Load <= max(limit, candidate.TaskLoad)+tolerance
}

// Widened returns a bound that allows the candidate, which is beyond b. The candidate should be the least loaded one,
// so that the bound grows no more than necessary.
func (b Bound) Widened(candidate Candidate, mean float64) Bound {
	b.MaxRelativeLoad = max(b.MaxRelativeLoad*minWidening, candidate.Load/mean)
	return b
}
