package failures

const (
	// soundFailuresThreshold is the number of consecutive failures of sound jobs that make a machine faulty.
	soundFailuresThreshold = 2
	// failedJobsThreshold is the number of different jobs, sound or unknown, whose consecutive failures make a machine
	// faulty.
	failedJobsThreshold = 3
	// maxFailures is the maximum number of consecutive failures that are kept for a machine.
	maxFailures = 32
)

// Machine is the evidence about one machine: the failures on the machine since a task last completed there. The zero
// value is a machine without failures.
type Machine struct{ failures []machineFailure }

// machineFailure is one task failure on a machine.
type machineFailure struct {
	job       *Job
	taskIndex int
}

// add adds a failure, and drops the oldest failure beyond maxFailures.
func (m *Machine) add(job *Job, taskIndex int) {
	m.failures = append(m.failures, machineFailure{job, taskIndex})
	if len(m.failures) > maxFailures {
		m.failures = m.failures[1:]
	}
}

// Faulty reports whether the failures on the machine since a task last completed there are attributed to the machine.
func (m *Machine) Faulty() bool {
	soundFailures := 0
	jobs := map[*Job]bool{}
	for _, failure := range m.failures {
		switch failure.job.verdict {
		case sound:
			// A faulty task of a sound job is no evidence against the machine.
			if !failure.job.failedTasks[failure.taskIndex].isFaulty() {
				soundFailures++
				jobs[failure.job] = true
			}
		case unknown:
			jobs[failure.job] = true
		case suspect, cancelled:
			// These failures are no evidence against the machine.
		}
	}
	return soundFailures >= soundFailuresThreshold || len(jobs) >= failedJobsThreshold
}
