package leader

import "swiftledge/internal/clock"

// schedulingState owns the request for the next scheduling pass and its pace.
type schedulingState struct {
	requested bool // something changed that may let tasks start
	urgent    bool // a job has come: the pass does not wait to collect more free capacity
	ranAt     clock.Micros
}

// requestUrgently asks for a pass at once.
func (s *schedulingState) requestUrgently() { s.requested, s.urgent = true, true }

// preemptionState owns the pace of preemption.
type preemptionState struct {
	ranAt clock.Micros
}

// taskOutcomes counts, for the log, how many tasks of this term ended without a result, by cause.
type taskOutcomes struct {
	failed        int // by themselves, of jobs that are not suspect
	failedSuspect int
	preempted     int
}
