package block

import (
	"slices"
	"strconv"

	"swiftledge/internal/clock"
	"swiftledge/internal/peer"
	"swiftledge/wire"
)

// blindAmong is how many workers must fall silent together to point at this
// controller's own network instead of them.
const blindAmong = 3

// blind says whether all workers fell silent at once, so that another controller
// had better speak to them before their leases run out.
func (h *Holder) blind(now clock.Micros) bool {
	// Each reports at least every 1.25 report times.
	long := h.p.ReportTime*3/2 + clock.Second/2
	if now-h.heard < long {
		return false
	}
	n := 0
	for _, b := range h.blocks {
		if now-b.since < long+clock.Second {
			return false // its workers are still on their way here
		}
		for _, m := range b.order {
			if (m.heard > 0 || len(m.recs) > 0) && !m.gone && !m.lost {
				n++
			}
		}
	}
	return n >= blindAmong
}

// fenceAfter is how long a machine may take to show our token, or an answer, before
// it is told directly, and told again.
const fenceAfter = 4 * clock.Second

// fencePatience is fenceAfter, or twice as long under overload: then most reports only wait to be
// answered.
func (h *Holder) fencePatience(now clock.Micros) clock.Micros {
	if h.overloaded(now) {
		return 2 * fenceAfter
	}
	return fenceAfter
}

// answerCarriesRuns says whether run orders for a machine wait for its next report. A direct
// command costs the controller more than to answer a report, so under overload the reports of
// machines that are in touch carry the orders, a report time later at most.
func (h *Holder) answerCarriesRuns(now clock.Micros, m *machine) bool {
	return h.overloaded(now) && m.answered > 0 && now-m.answered < h.p.ReportTime
}

// fenceAtOnce is how many of a block's machines are told directly when it is granted.
const fenceAtOnce = 24

// fence shows a machine our token without waiting for its report, which an older
// holder that is cut off from the others may go on answering until its grant ends.
// That holder turns the worker away as soon as it reports the newer token.
func (h *Holder) fence(now clock.Micros, b *heldBlock, m *machine) {
	if m.address == "" || m.gone {
		return
	}
	m.fenced = now
	if m.session > 0 {
		h.direct(b, m, []wire.Command{})
		return
	}
	h.emit(Inspect{Block: b.id, Token: b.token, Machine: m.name, Address: m.address})
}

func (h *Holder) inspected(now clock.Micros, a Inspected) {
	b := h.blocks[a.Block]
	if b == nil || b.token != a.Token || a.R == nil {
		return
	}
	m := b.machines[a.Machine]
	if m == nil || m.gone || m.shown {
		return
	}
	if a.R.Token > b.token {
		h.void(b)
		return
	}
	h.observe(now, b, m, a.R, false)
	h.direct(b, m, []wire.Command{})
}

func (r *taskAttempt) kill() wire.Command {
	grace := 0.0
	if r.stop == stopWithSave {
		grace = graceFor(r.group.SaveS)
	}
	return wire.Command{Op: wire.Kill, Task: TaskName(r.task), Attempt: r.attempt, GraceS: &grace}
}

func (r *taskAttempt) run() wire.Command {
	return wire.Command{Op: wire.Run, Task: TaskName(r.task), Attempt: r.attempt}
}

// graceFor leaves a task more time than it says it needs to save.
func graceFor(save float64) float64 { return save*1.5 + 2 }

// TaskName is a task as workers write it.
func TaskName(t peer.Task) string { return t.Job + "/" + strconv.Itoa(t.Index) }

// reachable says whether a direct command can be sent.
func (m *machine) reachable() bool { return m.address != "" && m.session > 0 }

func (h *Holder) direct(b *heldBlock, m *machine, cmds []wire.Command) {
	if !m.reachable() {
		return // the next report's answer carries it
	}
	h.emit(Orders{Block: b.id, Machine: m.name, Address: m.address,
		Body: wire.Orders{Token: b.token, Session: m.session, Commands: cmds}})
}

// answered handles the end of a direct command.
func (h *Holder) answered(now clock.Micros, a Ordered) {
	b := h.blocks[a.Block]
	if b == nil || b.token != a.Body.Token {
		return
	}
	m := b.machines[a.Machine]
	if m == nil || m.gone {
		return
	}
	if a.R != nil && a.R.Token > b.token {
		h.void(b)
		return
	}
	if a.Status == 200 || a.Status == 409 || a.Status == NotSent {
		// Answered or never sent: this copy is carried out or never will be.
		for _, c := range a.Body.Commands {
			if c.Op == wire.Run {
				if r := m.find(c.Attempt); r != nil && r.inflight > 0 {
					r.inflight--
				}
			}
		}
	}
	if a.R == nil {
		if m.unanswered++; m.unanswered >= deafAfter {
			h.deafen(now, b, m)
		}
		return
	}
	// It hears: what it said proves that a command came through.
	m.unanswered = 0
	if m.deaf > 0 {
		m.deaf = 0
		b.mark(m)
	}
	h.observe(now, b, m, a.R, false)
}

// deafAfter is how many direct commands in a row go without an answer before a
// machine counts as deaf.
const deafAfter = 2

// deafen notes that a machine does not hear us, though its reports may come: it
// gets no work until it has answered a command. Its tasks end with its lease; the
// next session that it reports proves it.
func (h *Holder) deafen(now clock.Micros, b *heldBlock, m *machine) {
	if m.deaf == 0 {
		m.deaf = now
		b.mark(m)
	}
}

// report answers a worker.
func (h *Holder) report(now clock.Micros, msg Report) {
	if len(h.holders) == 0 {
		h.emit(Answer{Tag: msg.Tag, Status: 503})
		return
	}
	r := msg.R
	id := Of(r.Machine, len(h.holders))
	b := h.blocks[id]
	if b == nil || now >= b.expires {
		if b != nil && b.machines[r.Machine] != nil {
			b.machines[r.Machine].outdated(now, r)
		}
		to := h.holders[id]
		if to == h.p.Node {
			to = ""
		}
		h.emit(Answer{Tag: msg.Tag, Status: 421, Redirect: wire.Redirect{ReportTo: to}})
		return
	}
	if r.Token > b.token {
		// A newer holder has spoken to this machine.
		h.void(b)
		h.emit(Answer{Tag: msg.Tag, Status: 421})
		return
	}
	m := b.machine(r.Machine)
	if m.gone {
		h.emit(Answer{Tag: msg.Tag, Status: 503})
		return
	}
	if m.outdated(now, r) {
		h.emit(Answer{Tag: msg.Tag, Status: 503})
		return
	}
	m.beatSession, m.beatSeq = r.Session, r.Seq
	if r.Session > m.session && m.session > 0 && m.answered > 0 && now-m.answered < h.p.Lease && m.shown {
		// Its lease ran out although we answered: the answers do not arrive.
		h.deafen(now, b, m)
	}
	cmds := h.observe(now, b, m, r, true)
	m.answered = now
	h.emit(Answer{Tag: msg.Tag, Status: 200, Body: wire.ReportAnswer{Token: b.token, Commands: cmds}})
}

// outdated says whether a worker's own report is not newer than the last. It is a late copy, as the
// worker sends one report at a time: nobody waits for an answer, and it renews no lease. Or the worker
// began anew under its name, and has its lease from then on: it hides that the machine is silent as far
// as that is to prove something.
func (m *machine) outdated(now clock.Micros, r *wire.Report) bool {
	newer := r.Session > m.beatSession || r.Session == m.beatSession && r.Seq > m.beatSeq
	if !newer {
		m.stale = now
	}
	return !newer
}

// observe takes in a worker's report and gives the commands to answer it with.
// beat tells a report of the worker's own from the answer to a direct command.
func (h *Holder) observe(now clock.Micros, b *heldBlock, m *machine, r *wire.Report, beat bool) []wire.Command {
	if r.Session < m.session || (r.Session == m.session && r.Seq <= m.seq) {
		return []wire.Command{} // older than what is known: it proves nothing
	}
	h.noteReport(now, b, m, r)
	if r.Token != b.token {
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
		if rc.state == shown && rc.session == m.session {
			b.vanished = true
		}
		if h.absent(m, rc, beat) {
			b.lose(rc, peer.Back)
		} else if rc.state == ordered && rc.stop == goOn {
			// The direct order has not been seen: the same one again does no harm.
			cmds = append(cmds, rc.run())
		}
	}
	return cmds
}

// noteReport takes in what a report newer than all before says of the machine itself.
func (h *Holder) noteReport(now clock.Micros, b *heldBlock, m *machine, r *wire.Report) {
	if m.typ != r.Type || m.notice != (r.NoticeS != nil) || m.lost || m.silent && m.deaf == 0 {
		b.mark(m)
		m.silent = m.silent && m.deaf > 0
	}
	if r.Session > m.session {
		m.began = now
	}
	h.heard = now
	m.session, m.seq = r.Session, r.Seq
	m.address, m.typ, m.zone, m.spot = r.Address, r.Type, r.Zone, r.Spot
	m.notice = r.NoticeS != nil
	m.heard = now
	m.lost = false
}

// stops are the commands that end what is to be stopped of the tasks that a report lists.
func (m *machine) stops(r *wire.Report) []wire.Command {
	cmds := []wire.Command{}
	for _, t := range r.Tasks {
		if rc := m.find(t.Attempt); rc != nil && rc.stop != goOn && t.State != wire.Exited {
			cmds = append(cmds, rc.kill())
		}
	}
	return cmds
}

// listedTasks takes in the tasks that a report lists. It says which of the attempts that were known
// before are among them, and gives the commands that follow.
func (h *Holder) listedTasks(now clock.Micros, b *heldBlock, m *machine, r *wire.Report, had []*taskAttempt) ([]bool, []wire.Command) {
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
		if rc := had[at]; rc.state != recording {
			listed[at] = true
			if rc.inherited {
				rc.session = m.session
			}
			cmds = h.present(now, b, m, rc, t, cmds)
		}
	}
	return listed, cmds
}

// findFrom gives the place of an attempt, or -1. It looks from a place on and around, as reports
// mostly list the tasks in the order in which they were given.
func findFrom(attempts []*taskAttempt, from int, attempt uint64) int {
	for k := range attempts {
		if at := (from + k) % len(attempts); attempts[at].attempt == attempt {
			return at
		}
	}
	return -1
}

// cleanUp is the command for a task without a record: its end was proven and stored, and only what
// is left of it shows.
func cleanUp(t *wire.TaskReport) wire.Command {
	if t.State == wire.Exited {
		return wire.Command{Op: wire.Forget, Task: t.Task, Attempt: t.Attempt}
	}
	atOnce := 0.0
	return wire.Command{Op: wire.Kill, Task: t.Task, Attempt: t.Attempt, GraceS: &atOnce}
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
		// A worker never drops a task by itself within a session. One that began anew has lost it, and
		// the token too: a late copy of the order would start it again. So a higher token is asked for.
		return false
	case rc.state == ordered && (rc.stop == goOn || !beat):
		// No direct order is on its way. One in a report's answer is carried out
		// or dropped before the worker's next report of its own.
		return false
	}
	return true
}

func (h *Holder) present(now clock.Micros, b *heldBlock, m *machine, rc *taskAttempt, t *wire.TaskReport, cmds []wire.Command) []wire.Command {
	if t.State != wire.Exited {
		if rc.state != shown {
			rc.state = shown
			b.mark(m)
		}
		if t.State == wire.Running && !rc.running {
			rc.running, rc.startedAt = true, now
			b.mark(m)
			// The image is there now: the report adds it to the machine's cached ones.
			h.book.Seen(rc.group.Image, m.name, now)
			m.images.Use(rc.group.Image, rc.group.ImageGB, h.types[m.typ].CacheGB)
			b.events = append(b.events, peer.Event{Task: rc.task, Kind: peer.Running, Machine: m.name})
		}
		if rc.stop == stopWithSave && now > rc.stopAt+clock.FromSeconds(graceFor(rc.group.SaveS)) {
			rc.stop = stopAtOnce
		}
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
		ev := peer.Event{Task: rc.task, Machine: m.name}
		switch t.Cause {
		case wire.CauseDone:
			ev.Kind = peer.Done
			rc.done = true
			if rc.startedAt > 0 {
				ev.Secs = (now - rc.startedAt).Seconds()
			}
		case wire.CauseError, wire.CauseUnknown:
			ev.Kind = peer.Errored
			rc.stored = true
			if !slices.Contains(m.failed, rc.task.Job) && len(m.failed) < mostFailed {
				m.failed = append(m.failed, rc.task.Job)
			}
		default:
			ev.Kind = peer.Back
			rc.stored = true
		}
		b.tellEnd(rc, ev)
		if rc.stored {
			b.settle(rc)
		}
	}
	if rc.forgettable() {
		cmds = append(cmds, wire.Command{Op: wire.Forget, Task: t.Task, Attempt: t.Attempt})
	}
	return cmds
}

// forgettable says whether a worker may forget an exited attempt. After that, a
// copy of its run order that comes late would start it again. A completed task
// exits at once then, its result being kept, which harms nobody unless its job was
// cancelled; any other stays listed until the machine has shown a higher token
// than the order's, which it obeys no more.
func (r *taskAttempt) forgettable() bool {
	return r.stored && r.inflight == 0 && (!r.direct || r.done && r.stop == goOn)
}

// lingering is how many attempts that may not be forgotten yet a block keeps
// before a higher token is asked for.
const lingering = 100
