package shard

import (
	"slices"

	"swiftledge/internal/clock"
	"swiftledge/internal/peer"
	"swiftledge/wire"
)

// statusSource is how an agent's status came.
type statusSource int

const (
	fromHeartbeat statusSource = iota // of the agent's own accord
	fromRequest                       // in the answer to commands or an inspection
)

// reconciliation compares one status of an agent with the attempts that were known of its machine.
type reconciliation struct {
	holder   *Holder
	now      clock.Micros
	shard    *heldShard
	machine  *machine
	status   *wire.Heartbeat
	source   statusSource
	known    []*taskAttempt // before the status
	listed   []bool         // which of them the status lists
	commands []wire.Command // that follow
}

// applyStatus takes in an agent's status and returns the commands to answer it with.
func (h *Holder) applyStatus(
	now clock.Micros, s *heldShard, m *machine, status *wire.Heartbeat, source statusSource,
) []wire.Command {
	if !m.agent.isNewer(status) {
		return []wire.Command{}
	}
	h.recordStatus(now, s, m, status)
	if status.FencingToken != s.lease.fencingToken {
		// Not fenced yet: an older holder's commands may still be carried out, so the status proves nothing. But the
		// reply renews the lease, so it ends what is to be stopped.
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

// killCommands returns the commands that end what is to be stopped of the tasks that a status lists.
func (m *machine) killCommands(status *wire.Heartbeat) []wire.Command {
	commands := []wire.Command{}
	for _, t := range status.Tasks {
		if a := m.attempt(t.Attempt); a != nil && a.stop != keepRunning && t.State != wire.TaskExited {
			commands = append(commands, a.killCommand())
		}
	}
	return commands
}

// reconcileListed takes in the tasks that the status lists. What it says of an attempt in contradiction to itself
// proves nothing: the attempt counts as running.
func (r *reconciliation) reconcileListed() {
	next := 0
	for i := range r.status.Tasks {
		t := &r.status.Tasks[i]
		at := findAttemptFrom(r.known, next, t.Attempt)
		if at < 0 {
			r.commands = append(r.commands, cleanUpCommand(t))
			continue
		}
		next = at + 1
		a := r.known[at]
		if a.state == attemptRecording {
			continue
		}
		r.listed[at] = true
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

// findAttemptFrom returns the place of an attempt, or -1. It looks from a place on and around, as statuses mostly
// list the tasks in the order in which they were launched.
func findAttemptFrom(attempts []*taskAttempt, from int, id wire.AttemptID) int {
	for i := range attempts {
		if at := (from + i) % len(attempts); attempts[at].id == id {
			return at
		}
	}
	return -1
}

// contradiction says what speaks against the end of an attempt that a status lists at a place, if anything does.
// Nothing is read into a task that goes on.
func contradiction(tasks []wire.TaskStatus, at int, a *taskAttempt) string {
	t := &tasks[at]
	if t.State != wire.TaskExited || a.state == attemptExited {
		return ""
	}
	if t.Task != TaskName(a.task) {
		return "the attempt is of another task"
	}
	for i := range tasks {
		other := &tasks[i]
		switch {
		case i == at || other.Task != t.Task || other.State == wire.TaskExited:
		case other.Attempt == t.Attempt:
			return "the attempt is listed as active and as exited"
		case t.Cause == wire.ExitBusy:
			return "the task is active as another attempt"
		}
	}
	return ""
}

// logContradiction logs a status that contradicts itself, once for each machine.
func (h *Holder) logContradiction(m *machine, t *wire.TaskStatus, reason string) {
	if m.contradictionLogged {
		return
	}
	m.contradictionLogged = true
	h.emit(Log{Message: "agent status contradicts itself",
		Attributes: []any{"machine", m.name, "task", t.Task, "attempt", t.Attempt, "reason", reason}})
}

// applyExited takes in an attempt that is listed as exited.
func (r *reconciliation) applyExited(a *taskAttempt, t *wire.TaskStatus) {
	if a.state != attemptExited {
		a.state = attemptExited
		r.shard.markChanged(r.machine)
	}
	if !a.endReported {
		r.holder.recordSpans(r.now, a, t)
		r.applyEnd(a, endOf(t.Cause))
	}
	if a.canForget() {
		r.commands = append(r.commands, forgetCommand(t))
	}
}

// applyEnd tells the leader of an attempt's end. What a completion proves has yet to be stored; nothing is to be
// stored of any other end.
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

// applyActive takes in an attempt that is listed as fetching its image, running, or writing a checkpoint.
func (r *reconciliation) applyActive(a *taskAttempt, t *wire.TaskStatus) {
	if a.state != attemptConfirmed {
		a.state = attemptConfirmed
		r.shard.markChanged(r.machine)
	}
	if a.endReported {
		// Its end was reported, so its task may run elsewhere: a late copy of its run command has come to an agent
		// that began anew.
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

// recordStart takes in that an attempt runs: its image has been fetched.
func (r *reconciliation) recordStart(a *taskAttempt) {
	h, m, image := r.holder, r.machine, a.group.Image
	a.running, a.startedAt = true, r.now
	r.shard.markChanged(m)
	if a.launch.at > 0 && !m.images.Has(image) {
		h.fetchRates.Observe(m.info.typeName, a.group.ImageGB, r.now-a.launch.at)
	}
	h.visits.RecordCached(image, m.name, r.now)
	m.images.Use(image, a.group.ImageGB, h.machineTypes[m.info.typeName].CacheGB)
	r.shard.update.addEvent(peer.TaskEvent{Task: a.task, Kind: peer.EventRunning, Machine: m.name})
}

// reconcileUnlisted takes in the attempts that the status does not list.
func (r *reconciliation) reconcileUnlisted() {
	for i, a := range r.known {
		if r.listed[i] || a.state == attemptRecording {
			continue
		}
		if r.needsHigherToken(a) {
			r.shard.lease.needsHigherToken = true
		}
		if r.isProvenGone(a) {
			r.shard.removeAttempt(a)
		} else if a.state == attemptLaunched && a.stop == keepRunning {
			// The run command has not been seen: the same one again does no harm.
			r.commands = append(r.commands, a.runCommand())
		}
	}
}

// needsHigherToken says whether only a higher token settles an unlisted attempt. Either it was confirmed, so its agent
// began anew and may be given the run command once more by a late copy. Or it is to be stopped while its run command
// has had no answer for a lease: that may be carried out at any time, and is not sent again.
func (r *reconciliation) needsHigherToken(a *taskAttempt) bool {
	if a.launch.agentEpoch != r.machine.agent.epoch {
		return false
	}
	stopping := a.state == attemptLaunched && a.stop != keepRunning
	overdue := a.launch.unanswered > 0 && r.now-a.stopRequestedAt > r.holder.params.AgentLease
	return a.state == attemptConfirmed || stopping && overdue
}

// isProvenGone says whether an unlisted attempt is gone.
func (r *reconciliation) isProvenGone(a *taskAttempt) bool {
	switch {
	case a.inherited && a.state == attemptLaunched:
		return true // launched under an older token, which this machine obeys no more
	case a.launch.agentEpoch < r.machine.agent.epoch:
		return true // the agent's lease expired: all it had is gone, commands for that epoch are void
	case a.launch.unanswered > 0:
		return false // the run command may be carried out yet
	case a.state == attemptConfirmed:
		return false // an agent never drops a task by itself within an epoch; see needsHigherToken
	case a.state == attemptLaunched && (a.stop == keepRunning || r.source != fromHeartbeat):
		// No run command is on its way by itself. One in the reply to a heartbeat is carried out or dropped before
		// the agent's next heartbeat.
		return false
	}
	return true
}
