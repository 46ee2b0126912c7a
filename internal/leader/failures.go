package leader

import (
	"maps"
	"slices"

	"swiftledge/internal/clock"
	"swiftledge/internal/failures"
	"swiftledge/internal/peer"
	"swiftledge/internal/shard"
)

// errored takes in that a task failed: its job may be at fault for it, its machine, or the task alone. A failure of
// a task that is in no grant is no evidence.
func (l *Leader) errored(now clock.Micros, j *job, e peer.TaskEvent, h *grantedTask) {
	if h == nil {
		return
	}
	standing := j.record.Spec.IsService()
	if standing && l.runsWell(now, j) {
		j.failures.MarkSound()
	}
	f := failures.Failure{Index: e.Index, Machine: e.Machine}
	if h.running {
		f.Ran = now - h.since
	}
	if j.failures.Failed(now, l.machineFailures(e.Machine), f) {
		l.suspect(j)
	}
	if j.failures.Suspect() {
		l.outcomes.failedSuspect++
	} else {
		l.outcomes.failed++
	}
	l.judgeMachine(now, e.Machine)
	// A service's replicas have pauses of their own: see fell.
	if pause := j.failures.TaskPause(e.Index); pause > 0 && !standing {
		j.delay(e.Index, now+pause)
	}
}

// completed takes in that a task completed: its job is sound, and what failed of it before counts against the
// machines where it did.
func (l *Leader) completed(now clock.Micros, j *job, e peer.TaskEvent) {
	was := j.failures.Sound()
	j.failures.Completed(e.Index, e.Machine, l.machineFailures(e.Machine))
	if was {
		return
	}
	for _, name := range j.failures.Machines() {
		l.judgeMachine(now, name)
	}
}

// machineFailures is the evidence about a machine; nil if it is not known any more.
func (l *Leader) machineFailures(name string) *failures.Machine {
	if m := l.inventory.machines[name]; m != nil {
		return &m.failures
	}
	return nil
}

// judgeMachine drains a machine that is at fault for what failed on it.
func (l *Leader) judgeMachine(now clock.Micros, name string) {
	if m := l.inventory.machines[name]; m != nil && !m.draining && m.failures.Faulty() {
		l.drainMachine(now, m, "fails its tasks")
	}
}

// suspect stops the tasks of a suspect job that have not begun to run: they would only fetch its image and fail.
func (l *Leader) suspect(j *job) {
	ref := j.record.Spec.Ref
	l.info("job is suspect", "job", ref, "team", j.record.Spec.Team, "failed_on", j.failures.Machines(), "tasks_out", len(j.out))
	unstarted := func(h *grantedTask) bool {
		if h.running || h.inherited || h.stopped != "" {
			return false
		}
		h.stopped = "its job is suspect"
		return true
	}
	for _, b := range l.shards.all {
		b.stopThose(ref, unstarted)
	}
}

// reconsider ends the suspicion of a job one of whose tasks has run for long.
func (l *Leader) reconsider(now clock.Micros, j *job) {
	if !j.failures.Suspect() {
		return
	}
	l.eachHeld(j, func(t peer.Task, h *grantedTask) {
		if h.running && j.failures.Survived(now-h.since) {
			l.info("job is suspect no more", "job", t.Job, "task", shard.TaskName(t), "ran_s", (now - h.since).Seconds())
			l.scheduling.requested = true
		}
	})
}

// suspectStatus lists the suspect jobs for an operator.
func (l *Leader) suspectStatus(now clock.Micros) (out []peer.SuspectStatus) {
	for _, ref := range slices.Sorted(maps.Keys(l.jobs.byRef)) {
		if j := l.jobs.byRef[ref]; j.failures.Suspect() {
			out = append(out, peer.SuspectStatus{Job: ref, Team: j.record.Spec.Team, Machines: len(j.failures.Machines()),
				Probes: j.failures.Probes(), NextS: max(0, (j.failures.ProbeAt() - now).Seconds())})
		}
	}
	return out
}
