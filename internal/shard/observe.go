package shard

import (
	"slices"
	"strconv"

	"swiftledge/internal/clock"
	"swiftledge/internal/peer"
	"swiftledge/internal/trace"
	"swiftledge/wire"
)

// observe takes in a worker's report and gives the commands to answer it with.
// beat tells a report of the worker's own from the answer to a direct command.
func (h *Holder) observe(now clock.Micros, b *heldBlock, m *machine, r *wire.Heartbeat, beat bool) []wire.Command {
	if r.AgentEpoch < m.session || (r.AgentEpoch == m.session && r.Seq <= m.seq) {
		return []wire.Command{} // older than what is known: it proves nothing
	}
	h.noteReport(now, b, m, r)
	if r.FencingToken != b.token {
		// Not fenced yet: an older holder's commands may still be carried out, so it proves
		// nothing. But the answer renews the lease, so it ends what is to be stopped.
		return m.stops(r)
	}
	if !m.shown {
		m.shown = true
		b.mark(m)
	}
	had := slices.Clone(m.recs)
	listed, cmds := h.listedTasks(now, b, m, r, had)
	for i, rc := range had {
		if listed[i] || rc.state == recording {
			continue
		}
		if h.needsHigherToken(now, m, rc) {
			b.stuck = true
		}
		if h.absent(m, rc, beat) {
			b.lose(rc, peer.EventReleased)
		} else if rc.state == ordered && rc.stop == goOn {
			// The direct order has not been seen: the same one again does no harm.
			cmds = append(cmds, rc.run())
		}
	}
	return cmds
}

// noteReport takes in what a report newer than all before says of the machine itself.
func (h *Holder) noteReport(now clock.Micros, b *heldBlock, m *machine, r *wire.Heartbeat) {
	if m.typ != r.Type || m.notice != (r.PreemptionNoticeS != nil) || m.lost || m.silent && m.deaf == 0 {
		b.mark(m)
		m.silent = m.silent && m.deaf > 0
	}
	if r.AgentEpoch > m.session {
		m.began = now
	}
	h.heard = now
	m.session, m.seq = r.AgentEpoch, r.Seq
	m.address, m.typ, m.zone, m.spot = r.Address, r.Type, r.Zone, r.Spot
	m.notice = r.PreemptionNoticeS != nil
	m.heard = now
	m.lost = false
}

// stops are the commands that end what is to be stopped of the tasks that a report lists.
func (m *machine) stops(r *wire.Heartbeat) []wire.Command {
	cmds := []wire.Command{}
	for _, t := range r.Tasks {
		if rc := m.find(t.Attempt); rc != nil && rc.stop != goOn && t.State != wire.TaskExited {
			cmds = append(cmds, rc.kill())
		}
	}
	return cmds
}

// listedTasks takes in the tasks that a report lists. It says which of the attempts that were known
// before are among them, and gives the commands that follow. What a report says of an attempt in
// contradiction to itself proves nothing: the attempt counts as running.
func (h *Holder) listedTasks(now clock.Micros, b *heldBlock, m *machine, r *wire.Heartbeat, had []*taskAttempt) ([]bool, []wire.Command) {
	cmds := []wire.Command{}
	listed := make([]bool, len(had))
	next := 0
	for i := range r.Tasks {
		t := &r.Tasks[i]
		at := findFrom(had, next, t.Attempt)
		if at < 0 {
			cmds = append(cmds, cleanUp(t))
			continue
		}
		next = at + 1
		rc := had[at]
		if rc.state == recording {
			continue
		}
		listed[at] = true
		if why := contradiction(r.Tasks, i, rc); why != "" {
			h.complain(m, t, why)
			continue
		}
		if rc.inherited {
			rc.session = m.session
		}
		cmds = h.present(now, b, m, rc, t, cmds)
	}
	return listed, cmds
}

// contradiction says what speaks against the end of an attempt that a report lists at a place, if
// anything does. Nothing is read into a task that goes on.
func contradiction(tasks []wire.TaskStatus, at int, rc *taskAttempt) string {
	t := &tasks[at]
	if t.State != wire.TaskExited || rc.state == exited {
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

// complain logs a report that contradicts itself, once for each machine.
func (h *Holder) complain(m *machine, t *wire.TaskStatus, why string) {
	if !m.complained {
		m.complained = true
		h.emit(Log{Message: "contradictory report", Attributes: []any{"machine", m.name, "task", t.Task, "attempt", t.Attempt, "why", why}})
	}
}

// findFrom gives the place of an attempt, or -1. It looks from a place on and around, as reports
// mostly list the tasks in the order in which they were given.
func findFrom(attempts []*taskAttempt, from int, attempt wire.AttemptID) int {
	for k := range attempts {
		if at := (from + k) % len(attempts); attempts[at].attempt == attempt {
			return at
		}
	}
	return -1
}

// cleanUp is the command for a task without a record: its end was proven and stored, and only what
// is left of it shows.
func cleanUp(t *wire.TaskStatus) wire.Command {
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
	if rc.session != m.session {
		return false
	}
	return rc.state == shown || rc.state == ordered && rc.stop != goOn && rc.inflight > 0 && now-rc.stopAt > h.p.AgentLease
}

// absent says whether an attempt that a current report does not list is gone.
func (h *Holder) absent(m *machine, rc *taskAttempt, beat bool) bool {
	switch {
	case rc.inherited && rc.state == ordered:
		return true // ordered under an older token, which this machine obeys no more
	case rc.session < m.session:
		return true // the worker's lease ran out: all it had is gone, orders for that session are void
	case rc.inflight > 0:
		return false // the order may be carried out yet
	case rc.state == shown:
		return false // a worker never drops a task by itself within a session; see needsHigherToken
	case rc.state == ordered && (rc.stop == goOn || !beat):
		// No direct order is on its way. One in a report's answer is carried out
		// or dropped before the worker's next report of its own.
		return false
	}
	return true
}

// present takes in an attempt that a current report lists, and gives the commands that follow.
func (h *Holder) present(now clock.Micros, b *heldBlock, m *machine, rc *taskAttempt, t *wire.TaskStatus, cmds []wire.Command) []wire.Command {
	if t.State != wire.TaskExited {
		h.goesOn(now, b, m, rc, t)
		if rc.stop != goOn {
			cmds = append(cmds, rc.kill())
		}
		return cmds
	}
	if rc.state != exited {
		rc.state = exited
		b.mark(m)
	}
	if !rc.told {
		h.trace(now, rc, t)
		b.tellEnd(rc, rc.end(now, t))
		if rc.stored {
			b.settle(rc)
		}
	}
	if rc.forgettable() {
		cmds = append(cmds, wire.Command{Verb: wire.VerbForget, Task: t.Task, Attempt: t.Attempt})
	}
	return cmds
}

// goesOn takes in an attempt that fetches, runs or saves.
func (h *Holder) goesOn(now clock.Micros, b *heldBlock, m *machine, rc *taskAttempt, t *wire.TaskStatus) {
	if rc.state != shown {
		rc.state = shown
		b.mark(m)
	}
	if rc.told {
		// Its end was told, so its task may run elsewhere: a late copy of its order has come to a
		// worker that began anew.
		rc.stop = stopAtOnce
	}
	if t.State == wire.TaskRunning && !rc.running {
		rc.running, rc.startedAt = true, now
		b.mark(m)
		if rc.orderedAt > 0 && !m.images.Has(rc.group.Image) {
			h.fetches.Saw(m.typ, rc.group.ImageGB, now-rc.orderedAt)
		}
		// The image is there now: the report adds it to the machine's cached ones.
		h.book.Seen(rc.group.Image, m.name, now)
		m.images.Use(rc.group.Image, rc.group.ImageGB, h.types[m.typ].CacheGB)
		b.events = append(b.events, peer.TaskEvent{Task: rc.task, Kind: peer.EventRunning, Machine: m.name})
	}
	if rc.stop == stopWithSave && now > rc.stopAt+clock.FromSeconds(graceFor(rc.group.SaveS)) {
		rc.stop = stopAtOnce
	}
}

// trace makes spans of an attempt that has exited, as this controller has seen it: from its order on, or from when it
// was first seen to run, if it was ordered under an earlier grant.
func (h *Holder) trace(now clock.Micros, rc *taskAttempt, t *wire.TaskStatus) {
	if !h.p.TracingEnabled {
		return
	}
	span := func(name string, begin, end clock.Micros, attributes ...trace.Attribute) {
		attributes = append([]trace.Attribute{{Key: "machine", Value: rc.m.name}}, attributes...)
		h.emit(RecordSpan{trace.Span{Job: rc.task.Job, Task: t.Task, Name: name, Begin: begin, End: end, Attributes: attributes}})
	}
	began := now
	switch {
	case rc.startedAt > 0:
		began = rc.startedAt
		if rc.orderedAt > 0 {
			span("fetch", rc.orderedAt, began, trace.Attribute{Key: "image", Value: rc.group.Image})
		}
	case rc.orderedAt > 0:
		began = rc.orderedAt
	}
	span("run", began, now, trace.Attribute{Key: "cause", Value: string(t.Cause)},
		trace.Attribute{Key: "attempt", Value: strconv.FormatUint(uint64(rc.attempt), 10)}, trace.Attribute{Key: "inherited", Value: strconv.FormatBool(rc.inherited)})
}

// end is what the leader is told of an attempt that has exited. What a completion proves has yet to be
// stored; nothing is to be stored of any other end.
func (r *taskAttempt) end(now clock.Micros, t *wire.TaskStatus) peer.TaskEvent {
	e := peer.TaskEvent{Task: r.task, Machine: r.m.name}
	switch t.Cause {
	case wire.ExitDone:
		e.Kind = peer.EventCompleted
		r.done = true
		if r.startedAt > 0 {
			e.RunSeconds = (now - r.startedAt).Seconds()
		}
	case wire.ExitError, wire.ExitUnknown:
		e.Kind = peer.EventFailed
		r.stored = true
		r.m.noteFailure(r.task.Job)
	case wire.ExitStopped, wire.ExitFull, wire.ExitBusy:
		fallthrough
	default: // as is a cause that is not known
		e.Kind = peer.EventReleased
		r.stored = true
	}
	return e
}

// noteFailure remembers that a task of a job failed on the machine.
func (m *machine) noteFailure(job string) {
	if !slices.Contains(m.failed, job) && len(m.failed) < mostFailed {
		m.failed = append(m.failed, job)
	}
}

// forgettable says whether a worker may forget an exited attempt. After that, a
// copy of its run order that comes late would start it again. A completed task
// exits at once then, its result being kept, which harms nobody unless its job was
// cancelled; any other stays listed until the machine has shown a higher token
// than the order's, which it obeys no more.
func (r *taskAttempt) forgettable() bool {
	return r.stored && r.inflight == 0 && (!r.direct || r.done && r.stop == goOn)
}

const (
	// leastLingering is how many attempts that may not be forgotten yet a block keeps at least before a
	// higher token is asked for.
	leastLingering = 100
	// lingeringMachines is for how many machines of a block one more is kept: a new grant costs a
	// message about each machine.
	lingeringMachines = 4
)

// mostLingering is how many attempts that may not be forgotten yet the block keeps.
func (b *heldBlock) mostLingering() int { return max(leastLingering, len(b.order)/lingeringMachines) }
