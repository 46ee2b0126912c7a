package jobs

import (
	"iter"
	"maps"
	"slices"

	"swiftledge/internal/peer"
)

// Table holds the jobs that are not over, and what is known of their classes.
type Table struct {
	byRef          map[string]*Job
	runTimes       map[string]*runTimeRatio // by class
	classesSeen    map[string]bool          // classes of which a job has come in this term
	reportedCounts map[string]peer.TaskCount
}

// runTimeRatio learns how long tasks of a class really run against their estimate.
type runTimeRatio struct {
	ratio   float64
	samples int
}

const (
	// minRunTimeSamples is how many run times have to be known of a class for its ratio to count.
	minRunTimeSamples = 5
	// maxRunTimeSamples is how many run times the ratio of a class is the mean of, about.
	maxRunTimeSamples = 50
	// minRunSeconds is the least run time that tells anything.
	minRunSeconds = 1
)

// NewTable returns a table without jobs.
func NewTable() *Table {
	return &Table{
		byRef: map[string]*Job{}, runTimes: map[string]*runTimeRatio{}, classesSeen: map[string]bool{},
		reportedCounts: map[string]peer.TaskCount{},
	}
}

// Add takes in a job.
func (t *Table) Add(j *Job) {
	t.byRef[j.Spec.Ref] = j
	t.classesSeen[j.Spec.Class] = true
}

// Remove drops a job that is over.
func (t *Table) Remove(ref string) {
	delete(t.byRef, ref)
	delete(t.reportedCounts, ref)
}

// Get returns a job, or nil if it is not known.
func (t *Table) Get(ref string) *Job { return t.byRef[ref] }

// OfTask returns the job of a task, or nil if there is none that has such a task.
func (t *Table) OfTask(task peer.Task) *Job {
	j := t.byRef[task.Job]
	if j == nil || task.Index < 0 || task.Index >= j.Spec.Tasks {
		return nil
	}
	return j
}

// Len returns how many jobs there are.
func (t *Table) Len() int { return len(t.byRef) }

// Refs returns the references of all jobs, sorted.
func (t *Table) Refs() []string { return slices.Sorted(maps.Keys(t.byRef)) }

// All returns all jobs in no order.
func (t *Table) All() iter.Seq[*Job] { return maps.Values(t.byRef) }

// Sorted returns all jobs in the order of their references.
func (t *Table) Sorted() iter.Seq[*Job] {
	return func(yield func(*Job) bool) {
		for _, ref := range t.Refs() {
			if !yield(t.byRef[ref]) {
				return
			}
		}
	}
}

// HasSeenClass reports whether a job of the class has come in this term.
func (t *Table) HasSeenClass(class string) bool { return t.classesSeen[class] }

// ObserveRunTime learns from how long a completed task of the job ran.
func (t *Table) ObserveRunTime(j *Job, seconds float64) {
	if seconds <= minRunSeconds || j.Spec.EstimateS <= 0 {
		return
	}
	c := t.runTimes[j.Spec.Class]
	if c == nil {
		c = &runTimeRatio{ratio: 1}
		t.runTimes[j.Spec.Class] = c
	}
	c.samples++
	c.ratio += (seconds/j.Spec.EstimateS - c.ratio) / float64(min(c.samples, maxRunTimeSamples))
}

// RunSeconds estimates how long a task of the job runs, from its owner's estimate and its class's history.
func (t *Table) RunSeconds(j *Job) float64 {
	estimate := j.Spec.EstimateS
	if c := t.runTimes[j.Spec.Class]; c != nil && c.samples >= minRunTimeSamples {
		estimate *= c.ratio
	}
	return estimate + 1
}

// ChangedCounts returns the task counts of the jobs whose counts have changed since the last call, in the order of
// their references.
func (t *Table) ChangedCounts() []peer.TaskCount {
	var changed []peer.TaskCount
	for j := range t.Sorted() {
		count := peer.TaskCount{Job: j.Spec.Ref, Done: j.completed, Running: j.running}
		if t.reportedCounts[count.Job] != count {
			t.reportedCounts[count.Job] = count
			changed = append(changed, count)
		}
	}
	return changed
}
