package shard

import (
	"slices"

	"swiftledge/internal/clock"
	"swiftledge/internal/peer"
	"swiftledge/wire"
)

// statusSource says how an agent's status arrived.
type statusSource int

const (
	fromHeartbeat statusSource = iota // in a heartbeat of the agent
	fromRequest                       // in the answer to commands or to an inspection
)

// reconciliation compares one status of an agent with the known attempts on its machine.
type reconciliation struct {
	holder   *Holder
	now      clock.Micros
	shard    *heldShard
	machine  *machine
	status   *wire.Heartbeat
	source   statusSource
	known    []*taskAttempt // the attempts known before the status
	listed   []bool         // for each known attempt, whether the status lists it
	commands []wire.Command // the commands to answer the status with
}

// applyStatus applies an agent's status and returns the commands with which to answer the agent.
func (h *Holder) applyStatus(
	now clock.Micros, s *heldShard, m *machine, status *wire.Heartbeat, source statusSource,
) []wire.Command {
	if !m.agent.isNewer(status) {
		return []wire.Command{}
	}
	h.recordStatus(now, s, m, status)
	if status.FencingToken != s.lease.fencingToken {
		if m.fence.confirmed {
			h.recordRestart(s, m) // an agent that has shown a token never shows a lower one later
		}
		// Not fenced yet: the agent may still execute a former holder's commands, so the status proves nothing. But the
		// reply renews the agent's lease, so the reply carries kill commands for the attempts that are to be stopped.
		return m.killCommands(status)
	}
	if !m.fence.confirmed {
		m.fence.confirmed = true
		s.markChanged(m)
	}
	r := reconciliation{holder: h, now: now, shard: s, machine: m, status: status, source: source,
		known: slices.Clone(m.attempts), listed: make([]bool, len(m.attempts)), commands: []wire.Command{}}
	r.reconcileListed()
	r.reconcileUnlisted()
	return r.commands
}

// killCommands returns kill commands for the listed attempts that are to be stopped.
func (m *machine) killCommands(status *wire.Heartbeat) []wire.Command {
	commands := []wire.Command{}
	for _, t := range status.Tasks {
		if a := m.attempt(t.Attempt); a != nil && a.stop != keepRunning && t.State != wire.TaskExited {
			commands = append(commands, a.killCommand())
		}
	}
	return commands
}

// reconcileListed applies the tasks that the status lists. If the status contradicts itself about an attempt, the
// status proves nothing about the attempt, which counts as running.
func (r *reconciliation) reconcileListed() {
	next := 0
	for i := range r.status.Tasks {
		t := &r.status.Tasks[i]
		index := findAttemptFrom(r.known, next, t.Attempt)
		if index < 0 {
			r.commands = append(r.commands, cleanUpCommand(t))
			continue
		}
		next = index + 1
		a := r.known[index]
		if a.state == attemptRecording {
			continue
		}
		r.listed[index] = true
		if reason := contradiction(r.status.Tasks, i, a); reason != "" {
			r.holder.logContradiction(r.machine, t, reason)
			continue
		}
		if a.inherited {
			a.launch.agentEpoch = r.machine.agent.epoch
		}
		if t.State == wire.TaskExited {
			r.applyExited(a, t)
		} else {
			r.applyActive(a, t)
		}
	}
}

// findAttemptFrom returns the index of an attempt, or -1. The search starts at an index and wraps around, because
// statuses mostly list tasks in launch order.
func findAttemptFrom(attempts []*taskAttempt, from int, id wire.AttemptID) int {
	for i := range attempts {
		if index := (from + i) % len(attempts); attempts[index].id == id {
			return index
		}
	}
	return -1
}

// contradiction returns why a status contradicts the end of an attempt that it lists at an index, or "" if there is no
// contradiction. It checks only ends that have not been applied yet, not active tasks.
func contradiction(tasks []wire.TaskStatus, index int, a *taskAttempt) string {
	t := &tasks[index]
	if t.State != wire.TaskExited || a.state == attemptExited {
		return ""
	}
	if t.Task != TaskName(a.task) {
		return "the attempt is of another task"
	}
	for i := range tasks {
		other := &tasks[i]
		switch {
		case i == index || other.Task != t.Task || other.State == wire.TaskExited:
		case other.Attempt == t.Attempt:
			return "the attempt is listed as active and as exited"
		case t.Cause == wire.ExitBusy:
			return "the task is active as another attempt"
		}
	}
	return ""
}

// logContradiction logs that a status contradicts itself, once for each machine.
func (h *Holder) logContradiction(m *machine, t *wire.TaskStatus, reason string) {
	if m.contradictionLogged {
		return
	}
	m.contradictionLogged = true
	h.emit(Log{Message: "agent status contradicts itself",
		Attributes: []any{"machine", m.name, "task", t.Task, "attempt", t.Attempt, "reason", reason}})
}

// applyExited applies the status of an attempt that is listed as exited.
func (r *reconciliation) applyExited(a *taskAttempt, t *wire.TaskStatus) {
	if a.state != attemptExited {
		a.state = attemptExited
		r.shard.markChanged(r.machine)
	}
	if !a.endReported {
		r.holder.recordSpans(r.now, a, t)
		r.applyEnd(a, endForCause(t.Cause))
	}
	if a.canForget() {
		r.commands = append(r.commands, forgetCommand(t))
	}
}

// applyEnd reports an attempt's end to the leader. The leader has yet to store a completion. Any other end need not be
// stored.
func (r *reconciliation) applyEnd(a *taskAttempt, end attemptEnd) {
	a.end = end
	event := peer.TaskEvent{Task: a.task, Machine: r.machine.name, Kind: end.eventKind()}
	if end == endCompleted && a.startedAt > 0 {
		event.RunSeconds = (r.now - a.startedAt).Seconds()
	}
	if end == endFailed {
		r.machine.recordFailure(a.task.Job)
	}
	r.shard.reportEnd(a, event)
	if end != endCompleted {
		a.persistEnd()
	}
}

// applyActive applies the status of an attempt that is listed as fetching its image, running, or writing a checkpoint.
func (r *reconciliation) applyActive(a *taskAttempt, t *wire.TaskStatus) {
	if a.state != attemptConfirmed {
		a.state = attemptConfirmed
		r.shard.markChanged(r.machine)
	}
	if a.endReported {
		// The attempt's end was reported, so its task may run elsewhere. A late copy of the run command has reached an
		// agent that was restarted.
		a.stop = stopImmediately
	}
	if t.State == wire.TaskRunning && !a.running {
		r.recordStart(a)
	}
	if a.stop == stopWithCheckpoint && r.now > a.stopRequestedAt+clock.FromSeconds(gracePeriod(a.group.SaveS)) {
		a.stop = stopImmediately
	}
	if a.stop != keepRunning {
		r.commands = append(r.commands, a.killCommand())
	}
}

// recordStart records that an attempt runs, which means that its image has been fetched.
func (r *reconciliation) recordStart(a *taskAttempt) {
	h, m, image := r.holder, r.machine, a.group.Image
	a.running, a.startedAt = true, r.now
	r.shard.markChanged(m)
	if a.launch.launchedAt > 0 && !m.images.Has(image) {
		h.fetchRates.Observe(m.info.typeName, a.group.ImageGB, r.now-a.launch.launchedAt)
	}
	h.visits.RecordCached(image, m.name, r.now)
	m.images.Use(image, a.group.ImageGB, h.machineTypes[m.info.typeName].CacheGB)
	r.shard.update.addEvent(peer.TaskEvent{Task: a.task, Kind: peer.EventRunning, Machine: m.name})
}

// reconcileUnlisted handles the known attempts that the status does not list.
func (r *reconciliation) reconcileUnlisted() {
	for i, a := range r.known {
		if r.listed[i] || a.state == attemptRecording {
			continue
		}
		if r.provesRestart(a) {
			r.holder.recordRestart(r.shard, r.machine)
		}
		if r.needsHigherToken(a) {
			r.shard.lease.needsHigherToken = true
		}
		if r.isProvenEnded(a) {
			r.shard.removeAttempt(a)
		} else if a.state == attemptLaunched && a.stop == keepRunning {
			// The status does not show that the run command has arrived. Repeating the command is harmless.
			r.commands = append(r.commands, a.runCommand())
		}
	}
}

// provesRestart reports whether an unlisted attempt proves that its agent was restarted. An agent never drops an
// attempt by itself within an epoch, and is not ordered to forget an attempt that may run again.
func (r *reconciliation) provesRestart(a *taskAttempt) bool {
	if a.launch.agentEpoch != r.machine.agent.epoch {
		return false
	}
	return a.state == attemptConfirmed || a.state == attemptExited && a.mayRunAgain()
}

// needsHigherToken reports whether only a higher token can settle an unlisted attempt. There are two cases. The agent
// was restarted, and a late copy of the run command may start the attempt again. Or the attempt was to be stopped more
// than an agent lease ago and its run command is still unanswered: the command is not sent again, but may still be
// executed at any time.
func (r *reconciliation) needsHigherToken(a *taskAttempt) bool {
	if a.launch.agentEpoch != r.machine.agent.epoch {
		return false
	}
	stopping := a.state == attemptLaunched && a.stop != keepRunning
	overdue := a.launch.unanswered > 0 && r.now-a.stopRequestedAt > r.holder.params.AgentLease
	executed := a.launch.unanswered == 0 && a.mayRunAgain()
	return r.provesRestart(a) || stopping && (overdue || executed)
}

// isProvenEnded reports whether an unlisted attempt is proven to have ended.
func (r *reconciliation) isProvenEnded(a *taskAttempt) bool {
	switch {
	case a.inherited && a.state == attemptLaunched:
		return true // launched under an older token, which the agent no longer obeys
	case a.launch.agentEpoch < r.machine.agent.epoch:
		return true // the agent's lease expired, which ended its tasks and voids commands for that epoch
	case a.launch.unanswered > 0:
		return false // the run command may still be executed
	case a.mayRunAgain():
		return false // a late copy of the run command may be executed; see needsHigherToken
	case a.state == attemptConfirmed:
		return false // an agent never drops a task by itself within an epoch; see needsHigherToken
	case a.state == attemptLaunched && (a.stop == keepRunning || r.source != fromHeartbeat):
		// No run command was sent in a request, or the agent has refused it. A run command in the reply to a heartbeat is
		// executed or dropped before the agent's next heartbeat.
		return false
	}
	return true
}
