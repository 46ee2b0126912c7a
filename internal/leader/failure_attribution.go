package leader

import (
	"swiftledge/internal/clock"
	"swiftledge/internal/failures"
	"swiftledge/internal/leader/jobs"
	"swiftledge/internal/peer"
	"swiftledge/internal/shard"
)

// taskFailed takes in that a task failed: its job may be at fault for it, its machine, or the task alone. A failure of
// a task that is in no grant is no evidence.
func (l *Leader) taskFailed(now clock.Micros, j *jobs.Job, e peer.TaskEvent, h *grantedTask) {
	if h == nil {
		return
	}
	isService := j.Spec.IsService()
	if isService && l.runsWell(now, j) {
		j.Failures.MarkSound()
	}
	f := failures.Failure{TaskIndex: e.Index, Machine: e.Machine}
	if h.running {
		f.Runtime = now - h.runningSince
	}
	if j.Failures.TaskFailed(now, l.machineFailures(e.Machine), f) {
		l.jobBecameSuspect(j)
	}
	if j.Failures.Suspect() {
		l.outcomes.failedSuspect++
	} else {
		l.outcomes.failed++
	}
	l.drainIfFaulty(now, e.Machine)
	// A service's replicas have pauses of their own: see fell.
	if pause := j.Failures.TaskBackoff(e.Index); pause > 0 && !isService {
		j.Delay(e.Index, now+pause)
	}
}

// creditCompletion takes in that a task completed: its job is sound, and what failed of it before counts against the
// machines where it did.
func (l *Leader) creditCompletion(now clock.Micros, j *jobs.Job, e peer.TaskEvent) {
	was := j.Failures.Sound()
	j.Failures.TaskCompleted(e.Index, e.Machine, l.machineFailures(e.Machine))
	if was {
		return
	}
	for _, name := range j.Failures.FailedMachines() {
		l.drainIfFaulty(now, name)
	}
}

// machineFailures is the evidence about a machine; nil if it is not known any more.
func (l *Leader) machineFailures(name string) *failures.Machine {
	if m := l.inventory.machines[name]; m != nil {
		return &m.failures
	}
	return nil
}

// drainIfFaulty drains a machine that is at fault for what failed on it.
func (l *Leader) drainIfFaulty(now clock.Micros, name string) {
	if m := l.inventory.machines[name]; m != nil && !m.draining && m.failures.Faulty() {
		l.drainMachine(now, m, "fails its tasks")
	}
}

// jobBecameSuspect stops the tasks of a suspect job that have not begun to run: they would only fetch its image and
// fail.
func (l *Leader) jobBecameSuspect(j *jobs.Job) {
	ref := j.Spec.Ref
	l.info("job is suspect", "job", ref, "team", j.Spec.Team, "failed_on", j.Failures.FailedMachines(),
		"tasks_out", j.Dispatched())
	unstarted := func(h *grantedTask) bool {
		if h.running || h.inherited || h.stopReason != "" {
			return false
		}
		h.stopReason = "its job is suspect"
		return true
	}
	for _, b := range l.shards.all {
		b.stopTasks(ref, unstarted)
	}
}

// clearSuspicion ends the suspicion of a job one of whose tasks has run for long.
func (l *Leader) clearSuspicion(now clock.Micros, j *jobs.Job) {
	if !j.Failures.Suspect() {
		return
	}
	l.eachDispatched(j, func(t peer.Task, h *grantedTask) {
		if h.running && j.Failures.TaskSurvived(now-h.runningSince) {
			l.info("job is suspect no more", "job", t.Job, "task", shard.TaskName(t),
				"ran_s", (now - h.runningSince).Seconds())
			l.scheduling.requested = true
		}
	})
}

// suspectStatus lists the suspect jobs for an operator.
func (l *Leader) suspectStatus(now clock.Micros) (out []peer.SuspectStatus) {
	for _, ref := range l.jobs.Refs() {
		if j := l.jobs.Get(ref); j.Failures.Suspect() {
			out = append(out, peer.SuspectStatus{Job: ref, Team: j.Spec.Team, Machines: len(j.Failures.FailedMachines()),
				Probes: j.Failures.Probes(), NextProbeS: max(0, (j.Failures.NextProbeAt() - now).Seconds())})
		}
	}
	return out
}

// runsWell reports whether a replica of a service has run for a while, so that one that fails elsewhere is its
// machine's fault.
func (l *Leader) runsWell(now clock.Micros, j *jobs.Job) (well bool) {
	l.eachDispatched(j, func(_ peer.Task, h *grantedTask) {
		well = well || h.running && now-h.runningSince > jobs.StableAfter
	})
	return well
}
