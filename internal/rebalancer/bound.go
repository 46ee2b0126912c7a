package rebalancer

// Bound limits which machines may take a task: those whose load stays within a multiple of the mean, as in
// consistent hashing with bounded loads. A fetch that is saved widens it: a machine that holds the task's
// image may be fuller by as much as that fetch is worth.
type Bound struct {
	// Relative is the most load, in multiples of the mean.
	Relative float64
	// ImbalanceS is how many seconds of fetch one unit of imbalance is worth: a load of one mean more.
	ImbalanceS float64
}

// Candidate is what a machine's load would be with one more task.
type Candidate struct {
	Load   float64 // with the task
	Alone  float64 // of the task alone
	SavedS float64 // seconds of fetch that are saved there
}

// Allows says whether a candidate is within the bound. A machine that holds nothing is, whatever the size
// of the task: no machine would do better.
func (b Bound) Allows(c Candidate, mean float64) bool {
	most := (b.Relative + c.SavedS/b.ImbalanceS) * mean
	return c.Load <= max(most, c.Alone)+tolerance
}

// leastWidening is by what factor a bound grows at least when it is widened.
const leastWidening = 1.05

// Widened is the bound that a candidate beyond it is within, if it is the least loaded of those that there
// are.
func (b Bound) Widened(c Candidate, mean float64) Bound {
	b.Relative = max(b.Relative*leastWidening, c.Load/mean)
	return b
}
