package shard

import (
	"slices"
	"strconv"

	"swiftledge/internal/clock"
	"swiftledge/internal/peer"
	"swiftledge/internal/trace"
	"swiftledge/wire"
)

// applyStatus takes in a worker's report and gives the commands to answer it with.
// beat tells a report of the worker's own from the answer to a direct command.
func (h *Holder) applyStatus(now clock.Micros, b *heldShard, m *machine, r *wire.Heartbeat, beat bool) []wire.Command {
	if r.AgentEpoch < m.epoch || (r.AgentEpoch == m.epoch && r.Seq <= m.seq) {
		return []wire.Command{} // older than what is known: it proves nothing
	}
	h.recordStatus(now, b, m, r)
	if r.FencingToken != b.fencingToken {
		// Not fenced yet: an older holder's commands may still be carried out, so it proves
		// nothing. But the answer renews the lease, so it ends what is to be stopped.
		return m.killCommands(r)
	}
	if !m.tokenConfirmed {
		m.tokenConfirmed = true
		b.markChanged(m)
	}
	had := slices.Clone(m.attempts)
	listed, cmds := h.reconcileListed(now, b, m, r, had)
	for i, rc := range had {
		if listed[i] || rc.state == attemptRecording {
			continue
		}
		if h.needsHigherToken(now, m, rc) {
			b.needsHigherToken = true
		}
		if h.isProvenGone(m, rc, beat) {
			b.removeAttempt(rc, peer.EventReleased)
		} else if rc.state == attemptLaunched && rc.stopMode == keepRunning {
			// The direct order has not been seen: the same one again does no harm.
			cmds = append(cmds, rc.runCommand())
		}
	}
	return cmds
}

// recordStatus takes in what a report newer than all before says of the machine itself.
func (h *Holder) recordStatus(now clock.Micros, b *heldShard, m *machine, r *wire.Heartbeat) {
	if m.typeName != r.Type || m.preemptionNotice != (r.PreemptionNoticeS != nil) || m.leaseExpired || m.silent && m.unreachableSince == 0 {
		b.markChanged(m)
		m.silent = m.silent && m.unreachableSince > 0
	}
	if r.AgentEpoch > m.epoch {
		m.epochSince = now
	}
	h.lastStatus = now
	m.epoch, m.seq = r.AgentEpoch, r.Seq
	m.address, m.typeName, m.zone, m.spot = r.Address, r.Type, r.Zone, r.Spot
	m.preemptionNotice = r.PreemptionNoticeS != nil
	m.lastStatus = now
	m.leaseExpired = false
}

// killCommands are the commands that end what is to be stopped of the tasks that a report lists.
func (m *machine) killCommands(r *wire.Heartbeat) []wire.Command {
	cmds := []wire.Command{}
	for _, t := range r.Tasks {
		if rc := m.attempt(t.Attempt); rc != nil && rc.stopMode != keepRunning && t.State != wire.TaskExited {
			cmds = append(cmds, rc.killCommand())
		}
	}
	return cmds
}

// reconcileListed takes in the tasks that a report lists. It says which of the attempts that were known
// before are among them, and gives the commands that follow. What a report says of an attempt in
// contradiction to itself proves nothing: the attempt counts as running.
func (h *Holder) reconcileListed(now clock.Micros, b *heldShard, m *machine, r *wire.Heartbeat, had []*taskAttempt) ([]bool, []wire.Command) {
	cmds := []wire.Command{}
	listed := make([]bool, len(had))
	next := 0
	for i := range r.Tasks {
		t := &r.Tasks[i]
		at := findFrom(had, next, t.Attempt)
		if at < 0 {
			cmds = append(cmds, cleanUpCommand(t))
			continue
		}
		next = at + 1
		rc := had[at]
		if rc.state == attemptRecording {
			continue
		}
		listed[at] = true
		if why := contradiction(r.Tasks, i, rc); why != "" {
			h.logContradiction(m, t, why)
			continue
		}
		if rc.inherited {
			rc.agentEpoch = m.epoch
		}
		cmds = h.applyListed(now, b, m, rc, t, cmds)
	}
	return listed, cmds
}

// contradiction says what speaks against the end of an attempt that a report lists at a place, if
// anything does. Nothing is read into a task that goes on.
func contradiction(tasks []wire.TaskStatus, at int, rc *taskAttempt) string {
	t := &tasks[at]
	if t.State != wire.TaskExited || rc.state == attemptExited {
		return ""
	}
	if t.Task != TaskName(rc.task) {
		return "an attempt of another task"
	}
	for i := range tasks {
		o := &tasks[i]
		switch {
		case i == at || o.Task != t.Task || o.State == wire.TaskExited:
		case o.Attempt == t.Attempt:
			return "an attempt that goes on and has ended"
		case t.Cause == wire.ExitBusy:
			return "a task that goes on as another attempt"
		}
	}
	return ""
}

// logContradiction logs a report that contradicts itself, once for each machine.
func (h *Holder) logContradiction(m *machine, t *wire.TaskStatus, why string) {
	if !m.contradictionLogged {
		m.contradictionLogged = true
		h.emit(Log{Message: "contradictory report", Attributes: []any{"machine", m.name, "task", t.Task, "attempt", t.Attempt, "why", why}})
	}
}

// findFrom gives the place of an attempt, or -1. It looks from a place on and around, as reports
// mostly list the tasks in the order in which they were given.
func findFrom(attempts []*taskAttempt, from int, attempt wire.AttemptID) int {
	for k := range attempts {
		if at := (from + k) % len(attempts); attempts[at].id == attempt {
			return at
		}
	}
	return -1
}

// cleanUpCommand is the command for a task without a record: its end was proven and stored, and only what
// is left of it shows.
func cleanUpCommand(t *wire.TaskStatus) wire.Command {
	if t.State == wire.TaskExited {
		return wire.Command{Verb: wire.VerbForget, Task: t.Task, Attempt: t.Attempt}
	}
	atOnce := 0.0
	return wire.Command{Verb: wire.VerbKill, Task: t.Task, Attempt: t.Attempt, GraceS: &atOnce}
}

// needsHigherToken says whether only a higher token settles an attempt that a current report does not
// list. Either it was shown, so its worker began anew and may be given the order once more by a late
// copy. Or it is to be stopped while a direct order has had no answer for a lease: it may be carried out
// at any time, and is not sent again.
func (h *Holder) needsHigherToken(now clock.Micros, m *machine, rc *taskAttempt) bool {
	if rc.agentEpoch != m.epoch {
		return false
	}
	return rc.state == attemptConfirmed || rc.state == attemptLaunched && rc.stopMode != keepRunning && rc.unansweredRuns > 0 && now-rc.stopRequestedAt > h.params.AgentLease
}

// isProvenGone says whether an attempt that a current report does not list is gone.
func (h *Holder) isProvenGone(m *machine, rc *taskAttempt, beat bool) bool {
	switch {
	case rc.inherited && rc.state == attemptLaunched:
		return true // ordered under an older token, which this machine obeys no more
	case rc.agentEpoch < m.epoch:
		return true // the worker's lease ran out: all it had is gone, orders for that session are void
	case rc.unansweredRuns > 0:
		return false // the order may be carried out yet
	case rc.state == attemptConfirmed:
		return false // a worker never drops a task by itself within a session; see needsHigherToken
	case rc.state == attemptLaunched && (rc.stopMode == keepRunning || !beat):
		// No direct order is on its way. One in a report's answer is carried out
		// or dropped before the worker's next report of its own.
		return false
	}
	return true
}

// applyListed takes in an attempt that a current report lists, and gives the commands that follow.
func (h *Holder) applyListed(now clock.Micros, b *heldShard, m *machine, rc *taskAttempt, t *wire.TaskStatus, cmds []wire.Command) []wire.Command {
	if t.State != wire.TaskExited {
		h.applyActive(now, b, m, rc, t)
		if rc.stopMode != keepRunning {
			cmds = append(cmds, rc.killCommand())
		}
		return cmds
	}
	if rc.state != attemptExited {
		rc.state = attemptExited
		b.markChanged(m)
	}
	if !rc.endReported {
		h.recordSpans(now, rc, t)
		b.reportEnd(rc, rc.endEvent(now, t))
		if rc.endPersisted {
			b.releaseRecord(rc)
		}
	}
	if rc.canForget() {
		cmds = append(cmds, wire.Command{Verb: wire.VerbForget, Task: t.Task, Attempt: t.Attempt})
	}
	return cmds
}

// applyActive takes in an attempt that fetches, runs or saves.
func (h *Holder) applyActive(now clock.Micros, b *heldShard, m *machine, rc *taskAttempt, t *wire.TaskStatus) {
	if rc.state != attemptConfirmed {
		rc.state = attemptConfirmed
		b.markChanged(m)
	}
	if rc.endReported {
		// Its end was told, so its task may run elsewhere: a late copy of its order has come to a
		// worker that began anew.
		rc.stopMode = stopImmediately
	}
	if t.State == wire.TaskRunning && !rc.running {
		rc.running, rc.startedAt = true, now
		b.markChanged(m)
		if rc.launchedAt > 0 && !m.images.Has(rc.group.Image) {
			h.fetchRates.Saw(m.typeName, rc.group.ImageGB, now-rc.launchedAt)
		}
		// The image is there now: the report adds it to the machine's cached ones.
		h.images.Seen(rc.group.Image, m.name, now)
		m.images.Use(rc.group.Image, rc.group.ImageGB, h.machineTypes[m.typeName].CacheGB)
		b.events = append(b.events, peer.TaskEvent{Task: rc.task, Kind: peer.EventRunning, Machine: m.name})
	}
	if rc.stopMode == stopWithCheckpoint && now > rc.stopRequestedAt+clock.FromSeconds(gracePeriod(rc.group.SaveS)) {
		rc.stopMode = stopImmediately
	}
}

// recordSpans makes spans of an attempt that has exited, as this controller has seen it: from its order on, or from when it
// was first seen to run, if it was ordered under an earlier grant.
func (h *Holder) recordSpans(now clock.Micros, rc *taskAttempt, t *wire.TaskStatus) {
	if !h.params.TracingEnabled {
		return
	}
	span := func(name string, begin, end clock.Micros, attributes ...trace.Attribute) {
		attributes = append([]trace.Attribute{{Key: "machine", Value: rc.machine.name}}, attributes...)
		h.emit(RecordSpan{trace.Span{Job: rc.task.Job, Task: t.Task, Name: name, Begin: begin, End: end, Attributes: attributes}})
	}
	began := now
	switch {
	case rc.startedAt > 0:
		began = rc.startedAt
		if rc.launchedAt > 0 {
			span("fetch", rc.launchedAt, began, trace.Attribute{Key: "image", Value: rc.group.Image})
		}
	case rc.launchedAt > 0:
		began = rc.launchedAt
	}
	span("run", began, now, trace.Attribute{Key: "cause", Value: string(t.Cause)},
		trace.Attribute{Key: "attempt", Value: strconv.FormatUint(uint64(rc.id), 10)}, trace.Attribute{Key: "inherited", Value: strconv.FormatBool(rc.inherited)})
}

// endEvent is what the leader is told of an attempt that has exited. What a completion proves has yet to be
// stored; nothing is to be stored of any other end.
func (r *taskAttempt) endEvent(now clock.Micros, t *wire.TaskStatus) peer.TaskEvent {
	e := peer.TaskEvent{Task: r.task, Machine: r.machine.name}
	switch t.Cause {
	case wire.ExitDone:
		e.Kind = peer.EventCompleted
		r.completed = true
		if r.startedAt > 0 {
			e.RunSeconds = (now - r.startedAt).Seconds()
		}
	case wire.ExitError, wire.ExitUnknown:
		e.Kind = peer.EventFailed
		r.endPersisted = true
		r.machine.recordFailure(r.task.Job)
	case wire.ExitStopped, wire.ExitFull, wire.ExitBusy:
		fallthrough
	default: // as is a cause that is not known
		e.Kind = peer.EventReleased
		r.endPersisted = true
	}
	return e
}

// recordFailure remembers that a task of a job failed on the machine.
func (m *machine) recordFailure(job string) {
	if !slices.Contains(m.failedJobs, job) && len(m.failedJobs) < maxFailedJobs {
		m.failedJobs = append(m.failedJobs, job)
	}
}

// canForget says whether a worker may forget an exited attempt. After that, a
// copy of its run order that comes late would start it again. A completed task
// exits at once then, its result being kept, which harms nobody unless its job was
// cancelled; any other stays listed until the machine has shown a higher token
// than the order's, which it obeys no more.
func (r *taskAttempt) canForget() bool {
	return r.endPersisted && r.unansweredRuns == 0 && (!r.launchedDirectly || r.completed && r.stopMode == keepRunning)
}

const (
	// minRetainedLimit is how many attempts that may not be forgotten yet a block keeps at least before a
	// higher token is asked for.
	minRetainedLimit = 100
	// machinesPerRetained is for how many machines of a block one more is kept: a new grant costs a
	// message about each machine.
	machinesPerRetained = 4
)

// maxRetainedAttempts is how many attempts that may not be forgotten yet the block keeps.
func (b *heldShard) maxRetainedAttempts() int {
	return max(minRetainedLimit, len(b.machineOrder)/machinesPerRetained)
}
