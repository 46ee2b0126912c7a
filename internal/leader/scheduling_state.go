package leader

import "swiftledge/internal/clock"

// schedulingState owns the request for the next scheduling pass and the time of the last one.
type schedulingState struct {
	requested bool // something changed that may let tasks start
	urgent    bool // a job arrived or a task can restart: the pass does not wait for more freed capacity
	ranAt     clock.Micros
}

// requestUrgently requests a scheduling pass without delay.
func (s *schedulingState) requestUrgently() { s.requested, s.urgent = true, true }

// preemptionState owns the time of the last preemption pass.
type preemptionState struct {
	ranAt clock.Micros
}

// taskOutcomes counts, for the log, the attempts of this term that ended without completing their task, by cause.
type taskOutcomes struct {
	failed        int // failures of tasks whose job is not suspect
	failedSuspect int // failures of tasks whose job is suspect
	preempted     int // tasks that were ordered to stop for other tasks
}
