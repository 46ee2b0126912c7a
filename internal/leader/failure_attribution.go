package leader

import (
	"swiftledge/internal/clock"
	"swiftledge/internal/failures"
	"swiftledge/internal/leader/jobs"
	"swiftledge/internal/peer"
	"swiftledge/internal/shard"
)

// taskFailed attributes the failure of a task to its job, its machine, or the task alone. The failure of a task that
// is in no grant is no evidence.
func (l *Leader) taskFailed(now clock.Micros, job *jobs.Job, event peer.TaskEvent, task *grantedTask) {
	if task == nil {
		return
	}
	isService := job.Spec.IsService()
	if isService && l.hasStableReplica(now, job) {
		job.Failures.MarkSound()
	}
	failure := failures.Failure{TaskIndex: event.Index, Machine: event.Machine}
	if task.running {
		failure.Runtime = now - task.runningSince
	}
	if job.Failures.TaskFailed(now, l.machineFailures(event.Machine), failure) {
		l.jobBecameSuspect(job)
	}
	if job.Failures.Suspect() {
		l.outcomes.failedSuspect++
	} else {
		l.outcomes.failed++
	}
	l.drainIfFaulty(now, event.Machine)
	// Replicas of a service have a backoff of their own, see jobs.Job.ReplicaEnded.
	if backoff := job.Failures.TaskBackoff(event.Index); backoff > 0 && !isService {
		job.Delay(event.Index, now+backoff)
	}
}

// creditCompletion records the completion of a task: its job is sound, so earlier failures of the job count against
// the machines on which they occurred.
func (l *Leader) creditCompletion(now clock.Micros, job *jobs.Job, event peer.TaskEvent) {
	wasSound := job.Failures.Sound()
	job.Failures.TaskCompleted(event.Index, event.Machine, l.machineFailures(event.Machine))
	if wasSound {
		return
	}
	for _, name := range job.Failures.FailedMachines() {
		l.drainIfFaulty(now, name)
	}
}

// machineFailures returns the failure evidence about a machine, or nil if the machine is no longer known.
func (l *Leader) machineFailures(name string) *failures.Machine {
	if m := l.inventory.machines[name]; m != nil {
		return &m.failures
	}
	return nil
}

// drainIfFaulty drains a machine if the failures of tasks on it are attributed to the machine.
func (l *Leader) drainIfFaulty(now clock.Micros, name string) {
	if m := l.inventory.machines[name]; m != nil && !m.draining && m.failures.Faulty() {
		l.drainMachine(now, m, "fails its tasks")
	}
}

// jobBecameSuspect stops those tasks of a suspect job that do not run yet, as they would only fetch the job's image and
// fail. A job is suspect if its tasks have failed on several machines and none of them has completed.
func (l *Leader) jobBecameSuspect(job *jobs.Job) {
	ref := job.Spec.Ref
	l.info("job is suspect", "job", ref, "team", job.Spec.Team, "failed_on", job.Failures.FailedMachines(),
		"tasks_out", job.Dispatched())
	stopUnstarted := func(task *grantedTask) bool {
		if task.running || task.inherited || task.stopReason != "" {
			return false
		}
		task.stopReason = "its job is suspect"
		return true
	}
	for _, lease := range l.shards.all {
		lease.stopTasks(ref, stopUnstarted)
	}
}

// clearSuspicion clears the suspicion of a job once one of its tasks has run for long enough, much longer than the
// failed tasks.
func (l *Leader) clearSuspicion(now clock.Micros, job *jobs.Job) {
	if !job.Failures.Suspect() {
		return
	}
	l.eachDispatchedTask(job, func(t peer.Task, task *grantedTask) {
		if task.running && job.Failures.TaskSurvived(now-task.runningSince) {
			l.info("job is suspect no more", "job", t.Job, "task", shard.TaskName(t),
				"ran_s", (now - task.runningSince).Seconds())
			l.scheduling.requested = true
		}
	})
}

// suspectStatus describes the suspect jobs for the operator status.
func (l *Leader) suspectStatus(now clock.Micros) (suspects []peer.SuspectStatus) {
	for _, ref := range l.jobs.Refs() {
		if job := l.jobs.Get(ref); job.Failures.Suspect() {
			suspects = append(suspects, peer.SuspectStatus{Job: ref, Team: job.Spec.Team,
				Machines: len(job.Failures.FailedMachines()), Probes: job.Failures.Probes(),
				NextProbeS: max(0, (job.Failures.NextProbeAt() - now).Seconds())})
		}
	}
	return suspects
}

// stabilityCheckInterval is the minimum time between two searches for a stable replica of a service.
const stabilityCheckInterval = clock.Second

// hasStableReplica reports whether a replica of a service has run stably. If so, failures of the service's replicas are
// attributed to their machines. It looks at all replicas at most once in stabilityCheckInterval, as many thousands of
// them may fail at the same time, and reports false in between.
func (l *Leader) hasStableReplica(now clock.Micros, job *jobs.Job) (stable bool) {
	if job.Running() == 0 || !job.StartStabilityCheck(now, stabilityCheckInterval) {
		return false
	}
	l.eachDispatchedTask(job, func(_ peer.Task, task *grantedTask) {
		stable = stable || task.running && now-task.runningSince > jobs.StableAfter
	})
	return stable
}
