package shard

import (
	"slices"
	"strconv"

	"swiftledge/internal/clock"
	"swiftledge/internal/peer"
	"swiftledge/internal/placement"
	"swiftledge/internal/store"
	"swiftledge/wire"
)

// page is one key of start records. Pages of this grant are written over, live
// records first, so that a cycle costs one put and no deletes; those of earlier
// grants, and those whose last write is uncertain, are only erased.
type page struct {
	key     string
	version uint64
	recs    []*taskAttempt    // whose attempts are not proven gone
	fixed   bool              // never written again
	token   wire.FencingToken // of the grant whose attempts it names
	stored  int               // how many records its stored value has
	also    []string          // keys that may hold its records, too
	busy    bool              // it is being written in place of others
	empty   clock.Micros
}

// newPage is a page of this grant's for records of that or an earlier token.
func (b *heldBlock) newPage(token wire.FencingToken) *page {
	b.pageSeq++
	return &page{key: AttemptPrefix(b.id) + strconv.FormatUint(uint64(b.token), 10) + "-" + strconv.Itoa(b.pageSeq), token: token}
}

// fits adds what the page holds to a pager; false when not all of it fits.
func (p *page) fits(pager *peer.AttemptPager) bool {
	for _, r := range p.recs {
		if !pager.Add(r.group, r.task.Index, r.attempt, r.m.name) {
			return false
		}
	}
	return true
}

func (p *page) add(r *taskAttempt) {
	r.page, r.place = p, len(p.recs)
	p.recs = append(p.recs, r)
}

func (p *page) drop(r *taskAttempt) {
	last := p.recs[len(p.recs)-1]
	p.recs[r.place], last.place = last, r.place
	p.recs = p.recs[:len(p.recs)-1]
	r.page = nil
}

// cycleWrite is the one write of start records that a block has under way.
type cycleWrite struct {
	seq   int
	pages []*page
	recs  []*taskAttempt
}

// cycle places offered tasks by auctions, and writes the start records of what
// found a place. One write at a time: what comes meanwhile gathers with the
// leader, so the state service's limit sets the length of the cycles.
func (h *Holder) cycle(now clock.Micros, b *heldBlock, offers []peer.TaskOffer) {
	tuning := h.tuning
	if h.p.Bound != nil {
		tuning.Spread = &placement.Spread{Bound: *h.p.Bound, Fetch: h.fetches, Fleet: fleetLoad(offers)}
	}
	var ms []*placement.Machine
	if b.writing == nil && now < b.expires && b.attemptsLeft() {
		ms = h.candidates(now, b, tuning.Spread)
	}
	var groups []*placement.Group
	specs := map[*placement.Group]*peer.AttemptGroup{}
	for i := range offers {
		o := &offers[i]
		j := &o.Job
		zone := j.Zone
		if o.Zone != "" {
			zone = o.Zone
		}
		g := &placement.Group{Key: j.Ref, Indexes: o.TaskIndexes, Image: j.Image, Zone: zone, Types: j.Types, Spot: j.Spot,
			CPUs: j.CPUs, GPUs: j.GPUs, Memory: j.MemoryGB, ImageGB: j.ImageGB}
		if j.IsService() {
			g.Avoid = b.avoided(j.Ref)
		}
		groups = append(groups, g)
		specs[g] = &peer.AttemptGroup{Job: j.Ref, Team: j.Team, CPUs: j.CPUs, GPUs: j.GPUs, MemoryGB: j.MemoryGB,
			SaveS: j.SaveS, CheckpointS: j.CheckpointS, Image: j.Image, ImageGB: j.ImageGB}
	}
	matches := placement.Cycle(groups, ms, h.book, tuning, now)
	placed := map[peer.Task]bool{}
	w := newCycleWriter(h, b)
	for _, mt := range matches {
		m := b.machines[mt.Machine.Name]
		m.free = nil // the auction has taken from it
		r := &taskAttempt{task: peer.Task{Job: mt.Group.Key, Index: mt.Index}, attempt: peer.NewAttemptID(b.token, b.counter+1), m: m,
			group: specs[mt.Group], session: m.session}
		if !w.add(r) {
			continue // more than one transaction holds: another cycle's
		}
		b.counter++
		placed[r.task] = true
		b.add(r)
		b.events = append(b.events, peer.TaskEvent{Task: r.task, Kind: peer.EventAssigned, Machine: m.name})
	}
	w.write()
	for _, g := range groups {
		for _, i := range g.Indexes {
			if t := (peer.Task{Job: g.Key, Index: i}); !placed[t] {
				b.events = append(b.events, peer.TaskEvent{Task: t, Kind: peer.EventUnplaced})
			}
		}
	}
}

// fleetLoad is the mean load that a leader names with its offers; 0 if none does, or it makes no sense.
func fleetLoad(offers []peer.TaskOffer) (load float64) {
	for i := range offers {
		if l := offers[i].Job.FleetLoad; l > 0 && l <= 1 {
			load = max(load, l)
		}
	}
	return load
}

// candidates are the machines that have room for new tasks. With spreading, the mean load is that of all
// machines that take work, the full ones too.
func (h *Holder) candidates(now clock.Micros, b *heldBlock, spread *placement.Spread) (ms []*placement.Machine) {
	for _, m := range b.order {
		if !h.fit(now, b, m) || m.rest {
			continue
		}
		pm := h.room(m)
		if _, known := h.types[m.typ]; known && spread != nil {
			spread.Mean.Add(pm.Load())
		}
		if pm.CPUs > 0 {
			ms = append(ms, pm)
		}
	}
	return ms
}

// avoided are the machines where another replica of a service had better not go: those
// that have one, and more so those where one failed.
func (b *heldBlock) avoided(job string) map[string]int {
	out := map[string]int{}
	for _, m := range b.order {
		switch {
		case slices.Contains(m.failed, job):
			out[m.name] = 2
		case slices.ContainsFunc(m.recs, func(r *taskAttempt) bool { return r.task.Job == job && r.state != exited }):
			out[m.name] = 1
		}
	}
	return out
}

// mostFailed is how many jobs whose tasks failed a machine is remembered for.
const mostFailed = 32

// txnBytes is what the values of one transaction may take together.
const txnBytes = 56 << 10

// cycleWriter fills pages with a cycle's records, those with most room first.
type cycleWriter struct {
	h      *Holder
	b      *heldBlock
	usable []*page // emptiest first
	cw     *cycleWrite
	out    []PageWrite
	pager  *peer.AttemptPager
	added  int // to the page that is open
}

func newCycleWriter(h *Holder, b *heldBlock) *cycleWriter {
	w := &cycleWriter{h: h, b: b, cw: &cycleWrite{seq: b.writeSeq + 1}}
	for _, p := range b.pages {
		if !p.fixed && !p.busy {
			w.usable = append(w.usable, p)
		}
	}
	slices.SortStableFunc(w.usable, func(a, c *page) int { return len(a.recs) - len(c.recs) })
	return w
}

// add finds a page for a record; false when the transaction holds no more.
func (w *cycleWriter) add(r *taskAttempt) bool {
	for {
		if w.pager != nil {
			if w.pager.Add(r.group, r.task.Index, r.attempt, r.m.name) {
				w.added++
				w.cw.pages[len(w.cw.pages)-1].add(r)
				w.cw.recs = append(w.cw.recs, r)
				return true
			}
			if w.added > 0 {
				w.close()
			} else {
				// A full page. Written as it is it would only take the place of one with
				// room, and the others that are in use are fuller still.
				w.usable, w.pager = nil, nil
				w.cw.pages = w.cw.pages[:len(w.cw.pages)-1]
			}
		}
		if len(w.out) >= min(w.h.p.TxnOps, max(1, txnBytes/w.h.p.ValueBytes)) {
			return false
		}
		w.open()
	}
}

// open begins the next page, with what it already holds.
func (w *cycleWriter) open() {
	w.added = 0
	if len(w.usable) > 0 {
		p := w.usable[0]
		w.usable = w.usable[1:]
		w.pager = peer.NewAttemptPager(w.b.token, w.h.p.ValueBytes)
		if p.fits(w.pager) {
			w.cw.pages = append(w.cw.pages, p)
			return
		}
		w.usable = nil
	}
	w.pager = peer.NewAttemptPager(w.b.token, w.h.p.ValueBytes)
	p := w.b.newPage(w.b.token)
	w.b.pages = append(w.b.pages, p)
	w.cw.pages = append(w.cw.pages, p)
}

func (w *cycleWriter) close() {
	if w.pager == nil {
		return
	}
	p := w.cw.pages[len(w.cw.pages)-1]
	p.stored = w.pager.Len()
	w.out = append(w.out, PageWrite{Key: p.key, Version: p.version, Page: w.pager.Page()})
	w.pager = nil
}

func (w *cycleWriter) write() {
	if w.close(); len(w.cw.recs) == 0 {
		return
	}
	w.b.writeSeq++
	w.b.writing = w.cw
	w.h.emit(WriteAttempts{Shard: w.b.id, FencingToken: w.b.token, Seq: w.cw.seq, KeyVersion: w.b.stamp, Pages: w.out})
}

// answeredFor is the block whose write of start records has ended, if it still is ours.
func (h *Holder) answeredFor(id int, token wire.FencingToken, fenced bool) *heldBlock {
	b := h.blocks[id]
	if b == nil || b.token != token {
		return nil
	}
	if fenced {
		// Another holder has the block: what we know of it counts no more.
		h.void(b)
		return nil
	}
	return b
}

func (h *Holder) recorded(now clock.Micros, m AttemptsWritten) {
	b := h.answeredFor(m.Shard, m.FencingToken, m.Fenced)
	if b == nil || b.writing == nil || b.writing.seq != m.Seq {
		return
	}
	w := b.writing
	b.writing = nil
	b.seq, b.tell = b.taken, true
	if m.TooLarge {
		// Limits fell below what the settings say.
		h.p.ValueBytes, h.p.TxnOps = store.ReducedLimits(h.p.ValueBytes, h.p.TxnOps)
	}
	for _, p := range w.pages {
		// Without the new version no guard would protect the next write: what the
		// page holds, before or after this one, covers all that may run.
		if m.Revision > 0 {
			p.version = m.Revision
		} else if !m.NeverExecuted {
			p.fixed = true
		}
	}
	var to []*machine
	cmds := map[*machine][]wire.Command{}
	for _, r := range w.recs {
		mc := r.m
		if !m.Committed || r.stop != goOn || now >= b.expires || mc.gone || mc.lost || mc.session != r.session {
			// Never ordered: it can run nowhere.
			b.lose(r, peer.EventReleased)
			continue
		}
		r.state, r.orderedAt = ordered, now
		if h.answerCarriesRuns(now, mc) {
			continue
		}
		if mc.reachable() {
			r.inflight++
			r.direct = true
		}
		if cmds[mc] == nil {
			to = append(to, mc)
		}
		cmds[mc] = append(cmds[mc], r.run())
	}
	for _, mc := range to {
		h.direct(b, mc, cmds[mc])
	}
}

// eraseEmptyPages erases pages that name no attempt any more.
func (h *Holder) eraseEmptyPages(now clock.Micros, b *heldBlock) {
	b.pages = slices.DeleteFunc(b.pages, func(p *page) bool {
		switch {
		case len(p.recs) > 0 || p.busy || b.writing != nil && slices.Contains(b.writing.pages, p):
			p.empty = 0
			return false
		case p.empty == 0:
			p.empty = now
		}
		if p.fixed || now-p.empty > 5*clock.Second {
			b.erase = append(append(b.erase, p.key), p.also...)
			return true
		}
		return false
	})
	if n := len(b.erase); n > 0 && now < b.expires && (n >= h.p.TxnOps || now-b.erasedAt > 5*clock.Second) {
		n = min(n, h.p.TxnOps)
		h.emit(DeletePages{Shard: b.id, KeyVersion: b.stamp, Keys: slices.Clone(b.erase[:n])})
		b.erase = b.erase[n:]
		b.erasedAt = now
	}
}
