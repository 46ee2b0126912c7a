package jobs

import (
	"iter"
	"maps"
	"slices"

	"swiftledge/internal/peer"
)

// Table holds the unfinished jobs and the run time history of their classes.
type Table struct {
	byRef          map[string]*Job
	runTimes       map[string]*runTimeRatio  // by class
	classesSeen    map[string]bool           // classes with a job in this term
	reportedCounts map[string]peer.TaskCount // by job, as last returned by ChangedCounts
}

// runTimeRatio is the mean ratio of actual to estimated run time of a class's tasks.
type runTimeRatio struct {
	ratio   float64
	samples int
}

const (
	// minRunTimeSamples is the number of run times that must be known before the ratio of a class is used.
	minRunTimeSamples = 5
	// maxRunTimeSamples is the approximate number of run times over which the ratio of a class averages.
	maxRunTimeSamples = 50
	// minRunSeconds is the limit above which a run time is used for the ratio: shorter run times carry no information.
	minRunSeconds = 1
)

// NewTable returns a table without jobs.
func NewTable() *Table {
	return &Table{
		byRef: map[string]*Job{}, runTimes: map[string]*runTimeRatio{}, classesSeen: map[string]bool{},
		reportedCounts: map[string]peer.TaskCount{},
	}
}

// Add adds a job.
func (t *Table) Add(j *Job) {
	t.byRef[j.Spec.Ref] = j
	t.classesSeen[j.Spec.Class] = true
}

// Remove removes a finished job.
func (t *Table) Remove(ref string) {
	delete(t.byRef, ref)
	delete(t.reportedCounts, ref)
}

// Get returns a job, or nil if the table has no such job.
func (t *Table) Get(ref string) *Job { return t.byRef[ref] }

// OfTask returns the job to which a task belongs, or nil if the table has no such job or the job has no such task.
func (t *Table) OfTask(task peer.Task) *Job {
	j := t.byRef[task.Job]
	if j == nil || task.Index < 0 || task.Index >= j.Spec.Tasks {
		return nil
	}
	return j
}

// Len returns the number of jobs.
func (t *Table) Len() int { return len(t.byRef) }

// Refs returns the references of all jobs, sorted.
func (t *Table) Refs() []string { return slices.Sorted(maps.Keys(t.byRef)) }

// All returns all jobs in no particular order.
func (t *Table) All() iter.Seq[*Job] { return maps.Values(t.byRef) }

// Sorted returns all jobs, sorted by reference.
func (t *Table) Sorted() iter.Seq[*Job] {
	return func(yield func(*Job) bool) {
		for _, ref := range t.Refs() {
			if !yield(t.byRef[ref]) {
				return
			}
		}
	}
}

// HasSeenClass reports whether a job of the class was added in this term.
func (t *Table) HasSeenClass(class string) bool { return t.classesSeen[class] }

// ObserveRunTime updates the ratio of the job's class with the run time of a completed task.
func (t *Table) ObserveRunTime(j *Job, seconds float64) {
	if seconds <= minRunSeconds || j.Spec.EstimateS <= 0 {
		return
	}
	class := t.runTimes[j.Spec.Class]
	if class == nil {
		class = &runTimeRatio{ratio: 1}
		t.runTimes[j.Spec.Class] = class
	}
	class.samples++
	class.ratio += (seconds/j.Spec.EstimateS - class.ratio) / float64(min(class.samples, maxRunTimeSamples))
}

// RunSeconds estimates the run time of a task of the job from its owner's estimate and its class's history.
func (t *Table) RunSeconds(j *Job) float64 {
	estimate := j.Spec.EstimateS
	if c := t.runTimes[j.Spec.Class]; c != nil && c.samples >= minRunTimeSamples {
		estimate *= c.ratio
	}
	return estimate + 1
}

// ChangedCounts returns the task counts of the jobs whose counts have changed since the last call, sorted by
// reference. With onlyConfirmed, it leaves out the jobs with tasks of which it is unknown whether they run.
func (t *Table) ChangedCounts(onlyConfirmed bool) []peer.TaskCount {
	var changed []peer.TaskCount
	for j := range t.Sorted() {
		if onlyConfirmed && j.unconfirmed > 0 {
			continue
		}
		count := peer.TaskCount{Job: j.Spec.Ref, Done: j.completed, Running: j.running}
		if t.reportedCounts[count.Job] != count {
			t.reportedCounts[count.Job] = count
			changed = append(changed, count)
		}
	}
	return changed
}

// ReportedCounts returns the task counts that ChangedCounts has returned last for the given jobs. It leaves out jobs
// without such counts.
func (t *Table) ReportedCounts(refs []string) (counts []peer.TaskCount) {
	for _, ref := range refs {
		if count, reported := t.reportedCounts[ref]; reported {
			counts = append(counts, count)
		}
	}
	return counts
}
