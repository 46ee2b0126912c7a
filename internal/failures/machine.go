package failures

const (
	// faultySoundFailures is how many failures of sound jobs in a row make a machine faulty.
	faultySoundFailures = 2
	// faultyJobs is how many different jobs, sound or unknown, have to fail on a machine in a row for it to be
	// faulty.
	faultyJobs = 3
	// maxFailures is how many failures in a row a machine is remembered for.
	maxFailures = 32
)

// Machine is the evidence about one machine: what failed there since a task last completed. The zero value is a
// machine without failures.
type Machine struct{ failures []machineFailure }

// machineFailure is a failure that a machine is remembered for.
type machineFailure struct {
	job       *Job
	taskIndex int
}

// add adds a failure, and drops the oldest beyond maxFailures.
func (m *Machine) add(job *Job, taskIndex int) {
	m.failures = append(m.failures, machineFailure{job, taskIndex})
	if len(m.failures) > maxFailures {
		m.failures = m.failures[1:]
	}
}

// Faulty reports whether the machine is at fault for what failed on it since a task last completed there.
func (m *Machine) Faulty() bool {
	soundFailures := 0
	jobs := map[*Job]bool{}
	for _, failure := range m.failures {
		switch failure.job.verdict {
		case sound:
			// A task that fails wherever it runs says nothing.
			if !failure.job.tasks[failure.taskIndex].faulty() {
				soundFailures++
				jobs[failure.job] = true
			}
		case unknown:
			jobs[failure.job] = true
		case suspect, cancelled:
			// These failures say nothing about the machine.
		}
	}
	return soundFailures >= faultySoundFailures || len(jobs) >= faultyJobs
}
