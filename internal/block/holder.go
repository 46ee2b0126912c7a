package block

import (
	"maps"
	"slices"
	"strconv"
	"strings"

	"swiftledge/internal/clock"
	"swiftledge/internal/peer"
	"swiftledge/internal/placement"
	"swiftledge/wire"
)

type recState int

const (
	recording recState = iota // the start record is being written: never ordered yet
	ordered                   // a run command may have been sent
	shown                     // a report under our token has shown the attempt
	exited
)

// rec is one attempt that may be on a machine.
type rec struct {
	task      peer.Task
	attempt   uint64
	m         *machine
	group     *peer.RecordGroup // what the task takes; Starts unused
	page      *page             // where its record is; nil once it needs none
	place     int               // in page.recs
	state     recState
	inherited bool
	session   uint64 // in which it was ordered
	inflight  int    // run orders sent directly and not answered: they may still be carried out
	direct    bool   // a run order under our token went out directly: a copy of it may come late
	running   bool
	done      bool // it exited with its result kept
	startedAt clock.Micros
	stop      int // 0 no, 1 with time to save, 2 at once
	stopAt    clock.Micros
	told      bool // the leader has been told how it ended
	stored    bool // what its end proved is stored
}

type machine struct {
	name, address, typ, zone string
	spot                     bool
	session, seq             uint64
	began                    clock.Micros // when we first saw the session
	beatSession, beatSeq     uint64       // of the newest report of its own, not of an answer to us
	shown                    bool         // has shown our token
	heard                    clock.Micros
	answered                 clock.Micros
	notice, known, drain     bool
	gone, lost, dirty        bool
	rest                     bool // the leader wants no new tasks here
	wasFit, silent           bool
	unheard                  int          // direct commands without an answer, in a row
	deaf                     clock.Micros // since when it seems not to hear us; 0: it does
	fenced                   clock.Micros // when it was last shown our token directly
	recs                     []*rec       // in the order in which they came
	free                     *placement.Machine
	images                   *placement.Cache
}

// page is one key of start records. Pages of this grant are written over, live
// records first, so that a cycle costs one put and no deletes; those of earlier
// grants, and those whose last write is uncertain, are only erased.
type page struct {
	key     string
	version uint64
	recs    []*rec // whose attempts are not proven gone
	fixed   bool   // never written again
	empty   clock.Micros
}

func (p *page) add(r *rec) {
	r.page, r.place = p, len(p.recs)
	p.recs = append(p.recs, r)
}

func (p *page) drop(r *rec) {
	last := p.recs[len(p.recs)-1]
	p.recs[r.place], last.place = last, r.place
	p.recs = p.recs[:len(p.recs)-1]
	r.page = nil
}

// cycleWrite is the one write of start records that a block has under way.
type cycleWrite struct {
	seq   int
	pages []*page
	recs  []*rec
}

type blk struct {
	id           int
	token, stamp uint64
	since        clock.Micros
	expires      clock.Micros
	counter      uint64
	pageSeq      int
	writeSeq     int
	pages        []*page // in the order in which they came
	writing      *cycleWrite
	erase        []string
	erasedAt     clock.Micros
	machines     map[string]*machine
	order        []*machine // by name
	changed      []*machine // that the leader is to be told of
	byTask       map[peer.Task][]*rec
	// attempts counts, by task, those whose end the leader has not been told. A
	// stale record may stand beside a live one: only the last end gives the task back.
	attempts map[peer.Task]int
	seq      uint64 // of the leader's offers that are settled
	taken    uint64 // of those taken in
	tell     bool
	raise    bool // the leader was asked for a new token
	events   []peer.Event
}

// Holder is the actor's state.
type Holder struct {
	p       Params
	tuning  placement.Params
	epoch   uint64
	linked  bool
	blocks  map[int]*blk
	holders []string
	types   map[string]wire.MachineType
	book    *placement.Book
	renew   uint64
	sentAt  map[uint64]clock.Micros
	renewed clock.Micros
	flushed clock.Micros
	heard   clock.Micros // when any worker was last heard
	storeOK func() bool
	fx      []any
}

// New makes a holder without blocks. storeOK is told to the others, who judge
// by it whether the state service fails one node or all.
func New(p Params, t placement.Params, storeOK func() bool) *Holder {
	return &Holder{p: p, tuning: t, blocks: map[int]*blk{}, types: map[string]wire.MachineType{},
		book: placement.NewBook(), sentAt: map[uint64]clock.Micros{}, storeOK: storeOK}
}

// Step takes one message at a time.
func (h *Holder) Step(now clock.Micros, msg any) []any {
	h.fx = nil
	switch m := msg.(type) {
	case Linked:
		if m.Epoch >= h.epoch {
			h.epoch, h.linked = m.Epoch, true
			h.sentAt = map[uint64]clock.Micros{}
			h.sendRenew(now)
		}
	case Unlinked:
		if m.Epoch == h.epoch {
			h.linked = false
		}
	case *peer.Down:
		h.down(now, m)
	case Report:
		h.report(now, m)
	case Ordered:
		h.answered(now, m)
	case Inspected:
		h.inspected(now, m)
	case Recorded:
		h.recorded(now, m)
	case Tick:
		h.tick(now)
	}
	h.flush(now)
	return h.fx
}

func (h *Holder) emit(e any) { h.fx = append(h.fx, e) }

func (h *Holder) sendRenew(now clock.Micros) {
	h.renew++
	h.renewed = now
	h.sentAt[h.renew] = now
	delete(h.sentAt, h.renew-16)
	h.emit(Send{peer.Up{Epoch: h.epoch, Renew: h.renew, StoreOK: h.storeOK(), Blind: h.blind(now)}})
}

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

func (h *Holder) down(now clock.Micros, d *peer.Down) {
	// An older leader's word, late or from a link that outlived its epoch.
	if d.Epoch != h.epoch || !h.linked {
		return
	}
	if d.Holders != nil {
		h.holders = d.Holders
		for id, name := range d.Holders {
			// The block goes elsewhere: its workers are sent there from now on.
			if h.blocks[id] != nil && name != "" && name != h.p.Node {
				delete(h.blocks, id)
			}
		}
	}
	for _, t := range d.Types {
		h.types[t.Name] = t
	}
	for _, g := range d.Grants {
		h.grant(now, g)
	}
	if len(d.Grants) > 0 {
		h.sendRenew(now)
	}
	// The time runs from when we asked, not from when the answer came.
	if at, ok := h.sentAt[d.Renewed]; ok && d.Renewed > 0 {
		for id, token := range d.Tokens {
			if b := h.blocks[id]; b != nil && b.token == token {
				b.expires = max(b.expires, at+h.p.GrantTime.Shorter())
			}
		}
	}
	for _, o := range d.Orders {
		if b := h.blocks[o.Block]; b != nil && b.token == o.Token {
			h.orders(now, b, o)
		}
	}
}

func (h *Holder) grant(now clock.Micros, g peer.Grant) {
	old := h.blocks[g.Block]
	if old != nil && old.token >= g.Token {
		return
	}
	b := &blk{id: g.Block, token: g.Token, stamp: g.Stamp, since: now, machines: map[string]*machine{},
		byTask: map[peer.Task][]*rec{}, attempts: map[peer.Task]int{}}
	if old != nil {
		// What is known of the machines stays useful; what may run on them is read anew from the records.
		for _, m := range old.order {
			n := b.machine(m.name)
			n.address, n.typ, n.zone, n.spot = m.address, m.typ, m.zone, m.spot
			n.session, n.seq, n.beatSession, n.beatSeq = m.session, m.seq, m.beatSession, m.beatSeq
			n.began = m.began
			n.heard, n.answered, n.notice, n.gone = m.heard, m.answered, m.notice, m.gone
			n.deaf, n.unheard, n.images = m.deaf, m.unheard, m.images
		}
		b.expires = old.expires
	}
	for _, r := range g.Machines {
		m := b.machine(r.Name)
		m.known = true
		if m.address == "" {
			m.address = r.Address
		}
	}
	var over []*rec
	for _, key := range slices.Sorted(maps.Keys(g.Pages)) {
		src := g.Pages[key]
		pg := &page{key: key, fixed: true}
		for i := range src.Groups {
			grp := &src.Groups[i]
			// The leader hands out no page that cannot be read in full.
			records, _ := src.Records(grp)
			for _, r := range records {
				m := b.machine(r.Machine)
				if m.find(r.Attempt) != nil {
					continue
				}
				rc := &rec{task: peer.Task{Job: grp.Job, Index: r.Index}, attempt: r.Attempt, m: m, group: grp, state: ordered, inherited: true}
				b.add(rc)
				pg.add(rc)
				if !m.known || m.gone {
					// Machines leave the roster only after their proven end, some time after it:
					// a new leader may still list what its predecessor has deleted.
					over = append(over, rc)
				}
			}
		}
		b.pages = append(b.pages, pg)
	}
	for _, r := range over {
		b.lose(r, peer.Back)
	}
	h.blocks[g.Block] = b
	b.tell = true
	// Most machines report here within moments, which shows them our token; a direct
	// command to each of hundreds would cost more than all else in a takeover. Those
	// that do not come are fenced by tick.
	for i, r := range g.Machines {
		if m := b.machines[r.Name]; i < fenceAtOnce {
			h.fence(now, b, m)
		} else {
			m.fenced = now
		}
	}
}

// fenceAfter is how long a machine may take to show our token, or an answer, before
// it is told directly, and told again.
const fenceAfter = 4 * clock.Second

// fenceAtOnce is how many of a block's machines are told directly when it is granted.
const fenceAtOnce = 24

// fence shows a machine our token without waiting for its report, which an older
// holder that is cut off from the others may go on answering until its grant ends.
// That holder turns the worker away as soon as it reports the newer token.
func (h *Holder) fence(now clock.Micros, b *blk, m *machine) {
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

func (b *blk) machine(name string) *machine {
	m := b.machines[name]
	if m == nil {
		m = &machine{name: name, images: &placement.Cache{}}
		b.machines[name] = m
		at, _ := slices.BinarySearchFunc(b.order, name, func(o *machine, n string) int { return strings.Compare(o.name, n) })
		b.order = slices.Insert(b.order, at, m)
		b.mark(m)
	}
	return m
}

// mark notes that the leader is to be told of the machine.
func (b *blk) mark(m *machine) {
	m.free = nil
	if !m.dirty {
		m.dirty = true
		b.changed = append(b.changed, m)
	}
}

// find gives the machine's record of an attempt; attempts never repeat.
func (m *machine) find(attempt uint64) *rec {
	for _, r := range m.recs {
		if r.attempt == attempt {
			return r
		}
	}
	return nil
}

func (b *blk) add(r *rec) {
	r.m.recs = append(r.m.recs, r)
	b.byTask[r.task] = append(b.byTask[r.task], r)
	b.attempts[r.task]++
	b.mark(r.m)
}

// tellEnd says how an attempt ended, once; a task comes back only with its last attempt.
func (b *blk) tellEnd(r *rec, e peer.Event) {
	if r.told {
		return
	}
	r.told = true
	b.attempts[r.task]--
	last := b.attempts[r.task] == 0
	if last {
		delete(b.attempts, r.task)
	}
	if last || e.Kind == peer.Done {
		b.events = append(b.events, e)
	}
}

// settle gives up the record of an attempt whose end is proven and stored.
func (b *blk) settle(r *rec) {
	if r.page != nil {
		r.page.drop(r)
	}
}

// lose takes off the books an attempt that is proven to be on the machine no more.
func (b *blk) lose(r *rec, kind string) {
	b.tellEnd(r, peer.Event{Task: r.task, Kind: kind, Machine: r.m.name})
	b.settle(r)
	r.m.recs = slices.DeleteFunc(r.m.recs, func(o *rec) bool { return o == r })
	if left := slices.DeleteFunc(b.byTask[r.task], func(o *rec) bool { return o == r }); len(left) > 0 {
		b.byTask[r.task] = left
	} else {
		delete(b.byTask, r.task)
	}
	b.mark(r.m)
}

func (h *Holder) orders(now clock.Micros, b *blk, o peer.BlockOrders) {
	for _, name := range o.Use {
		m := b.machine(name)
		m.known = true
		b.mark(m)
	}
	for _, name := range o.Drain {
		m := b.machine(name)
		m.drain = true
		b.mark(m)
	}
	for _, name := range o.Gone {
		m := b.machine(name)
		m.gone = true
		b.mark(m)
		for _, r := range slices.Clone(m.recs) {
			if r.state == recording {
				r.stop = 2
			} else {
				b.lose(r, peer.Back)
			}
		}
		h.book.Drop(name)
	}
	for _, t := range o.Stored {
		for _, r := range b.byTask[t] {
			if r.state == exited {
				r.stored = true
				b.settle(r)
			}
		}
	}
	for _, name := range o.Rest {
		b.machine(name).rest = true
	}
	for _, name := range o.Wake {
		b.machine(name).rest = false
	}
	var stopped []*machine
	stops := map[*machine][]wire.Command{}
	for _, s := range o.Stop {
		for _, r := range b.byTask[s.Task] {
			how := 2
			if s.Save && r.group.Ckpt > 0 {
				how = 1
			}
			if r.stop >= how {
				continue
			}
			if r.state == exited {
				r.stop = how // a late copy of its order must find it listed still
				continue
			}
			r.stop, r.stopAt = how, now
			if r.state != recording {
				if stops[r.m] == nil {
					stopped = append(stopped, r.m)
				}
				stops[r.m] = append(stops[r.m], r.kill())
			}
		}
	}
	for _, m := range stopped {
		h.direct(b, m, stops[m])
	}
	if len(o.Offers) > 0 {
		h.cycle(now, b, o.Offers)
		b.taken = o.Seq
		if b.writing == nil {
			b.seq, b.tell = o.Seq, true
		}
	}
}

func (r *rec) kill() wire.Command {
	grace := 0.0
	if r.stop == 1 {
		grace = graceFor(r.group.SaveS)
	}
	return wire.Command{Op: wire.Kill, Task: TaskName(r.task), Attempt: r.attempt, GraceS: &grace}
}

func (r *rec) run() wire.Command {
	return wire.Command{Op: wire.Run, Task: TaskName(r.task), Attempt: r.attempt}
}

// graceFor leaves a task more time than it says it needs to save.
func graceFor(save float64) float64 { return save*1.5 + 2 }

// TaskName is a task as workers write it.
func TaskName(t peer.Task) string { return t.Job + "/" + strconv.Itoa(t.Index) }

func parseTask(s string) (peer.Task, bool) {
	job, idx, ok := strings.Cut(s, "/")
	n, err := strconv.Atoi(idx)
	return peer.Task{Job: job, Index: n}, ok && err == nil
}

// cycle places offered tasks by auctions, and writes the start records of what
// found a place. One write at a time: what comes meanwhile gathers with the
// leader, so the state service's limit sets the length of the cycles.
func (h *Holder) cycle(now clock.Micros, b *blk, offers []peer.Offer) {
	var ms []*placement.Machine
	if b.writing == nil && now < b.expires {
		for _, m := range b.order {
			if h.fit(now, m) && !m.rest {
				if pm := h.room(m); pm.CPUs > 0 {
					ms = append(ms, pm)
				}
			}
		}
	}
	var groups []*placement.Group
	specs := map[*placement.Group]*peer.RecordGroup{}
	for i := range offers {
		o := &offers[i]
		j := &o.Job
		zone := j.Zone
		if o.Zone != "" {
			zone = o.Zone
		}
		g := &placement.Group{Key: j.Ref, Indexes: o.Indexes, Image: j.Image, Zone: zone, Types: j.Types, Spot: j.Spot,
			CPUs: j.CPUs, GPUs: j.GPUs, Memory: j.MemoryGB}
		groups = append(groups, g)
		specs[g] = &peer.RecordGroup{Job: j.Ref, Team: j.Team, CPUs: j.CPUs, GPUs: j.GPUs, Memory: j.MemoryGB,
			SaveS: j.SaveS, Ckpt: j.CheckpointS, Image: j.Image, ImageGB: j.ImageGB}
	}
	matches := placement.Cycle(groups, ms, h.book, h.tuning, now)
	placed := map[peer.Task]bool{}
	w := newCycleWriter(h, b)
	for _, mt := range matches {
		m := b.machines[mt.Machine.Name]
		m.free = nil // the auction has taken from it
		b.counter++
		r := &rec{task: peer.Task{Job: mt.Group.Key, Index: mt.Index}, attempt: b.token<<peer.AttemptBits | b.counter, m: m,
			group: specs[mt.Group], session: m.session}
		if !w.add(r) {
			continue // more than one transaction holds: another cycle's
		}
		placed[r.task] = true
		b.add(r)
		b.events = append(b.events, peer.Event{Task: r.task, Kind: peer.Started, Machine: m.name})
	}
	w.write()
	for _, g := range groups {
		for _, i := range g.Indexes {
			if t := (peer.Task{Job: g.Key, Index: i}); !placed[t] {
				b.events = append(b.events, peer.Event{Task: t, Kind: peer.Unplaced})
			}
		}
	}
}

// txnBytes is what the values of one transaction may take together.
const txnBytes = 56 << 10

// cycleWriter fills pages with a cycle's records, those with most room first.
type cycleWriter struct {
	h      *Holder
	b      *blk
	usable []*page // emptiest first
	cw     *cycleWrite
	out    []PageWrite
	pager  *peer.Pager
}

func newCycleWriter(h *Holder, b *blk) *cycleWriter {
	w := &cycleWriter{h: h, b: b, cw: &cycleWrite{seq: b.writeSeq + 1}}
	for _, p := range b.pages {
		if !p.fixed {
			w.usable = append(w.usable, p)
		}
	}
	slices.SortStableFunc(w.usable, func(a, c *page) int { return len(a.recs) - len(c.recs) })
	return w
}

func (w *cycleWriter) add(r *rec) bool {
	for {
		if w.pager != nil && w.pager.Add(r.group, r.task.Index, r.attempt, r.m.name) {
			w.cw.pages[len(w.cw.pages)-1].add(r)
			w.cw.recs = append(w.cw.recs, r)
			return true
		}
		w.close()
		if len(w.out) >= min(w.h.p.TxnOps, max(1, txnBytes/w.h.p.ValueBytes)) {
			return false
		}
		w.open()
	}
}

// open begins the next page, with what it already holds.
func (w *cycleWriter) open() {
	w.pager = peer.NewPager(w.b.token, w.h.p.ValueBytes)
	if len(w.usable) > 0 {
		p := w.usable[0]
		w.usable = w.usable[1:]
		full := false
		for _, r := range p.recs {
			full = full || !w.pager.Add(r.group, r.task.Index, r.attempt, r.m.name)
		}
		if !full {
			w.cw.pages = append(w.cw.pages, p)
			return
		}
		// All the others are fuller still.
		w.usable = nil
		w.pager = peer.NewPager(w.b.token, w.h.p.ValueBytes)
	}
	w.b.pageSeq++
	p := &page{key: RecordPrefix(w.b.id) + strconv.FormatUint(w.b.token, 10) + "-" + strconv.Itoa(w.b.pageSeq)}
	w.b.pages = append(w.b.pages, p)
	w.cw.pages = append(w.cw.pages, p)
}

func (w *cycleWriter) close() {
	if w.pager == nil {
		return
	}
	p := w.cw.pages[len(w.cw.pages)-1]
	w.out = append(w.out, PageWrite{Key: p.key, Version: p.version, Page: w.pager.Page()})
	w.pager = nil
}

func (w *cycleWriter) write() {
	if w.close(); len(w.cw.recs) == 0 {
		return
	}
	w.b.writeSeq++
	w.b.writing = w.cw
	w.h.emit(Record{Block: w.b.id, Token: w.b.token, Seq: w.cw.seq, Stamp: w.b.stamp, Pages: w.out})
}

// fit says whether a machine can be given tasks now.
func (h *Holder) fit(now clock.Micros, m *machine) bool {
	return m.shown && m.known && !m.drain && !m.notice && !m.gone && !m.lost && m.deaf == 0 && now-m.heard < 3*h.p.ReportTime
}

// room is what is free on a machine; kept until something changes there.
func (h *Holder) room(m *machine) *placement.Machine {
	if m.free != nil {
		return m.free
	}
	t := h.types[m.typ]
	pm := &placement.Machine{Name: m.name, Type: m.typ, Zone: m.zone, Spot: m.spot, CPUs: t.CPUs, GPUs: t.GPUs, Memory: t.MemoryGB, Images: m.images}
	for _, r := range m.recs {
		if r.state == exited {
			continue
		}
		pm.CPUs -= r.group.CPUs
		pm.GPUs -= r.group.GPUs
		pm.Memory -= r.group.Memory
		if !r.running {
			pm.Unstarted++
		}
	}
	m.free = pm
	return pm
}

func (h *Holder) recorded(now clock.Micros, m Recorded) {
	b := h.blocks[m.Block]
	if b == nil || b.token != m.Token {
		return
	}
	if m.Fenced {
		// Another holder has the block: what we know of it counts no more.
		h.void(b)
		return
	}
	w := b.writing
	if w == nil || w.seq != m.Seq {
		return
	}
	b.writing = nil
	b.seq, b.tell = b.taken, true
	for _, p := range w.pages {
		// Without the new version no guard would protect the next write: what the
		// page holds, before or after this one, covers all that may run.
		if m.Revision > 0 {
			p.version = m.Revision
		} else if !m.Never {
			p.fixed = true
		}
	}
	var to []*machine
	cmds := map[*machine][]wire.Command{}
	for _, r := range w.recs {
		mc := r.m
		if !m.OK || r.stop > 0 || now >= b.expires || mc.gone || mc.lost || mc.session != r.session {
			// Never ordered: it can run nowhere.
			b.lose(r, peer.Back)
			continue
		}
		r.state = ordered
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

func (h *Holder) void(b *blk) {
	h.emit(Send{peer.Up{Epoch: h.epoch, Updates: []peer.BlockUpdate{{Block: b.id, Token: b.token, Lost: true}}}})
	delete(h.blocks, b.id)
}

// reachable says whether a direct command can be sent.
func (m *machine) reachable() bool { return m.address != "" && m.session > 0 }

func (h *Holder) direct(b *blk, m *machine, cmds []wire.Command) {
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
		if m.unheard++; m.unheard >= deafAfter {
			h.deafen(now, b, m)
		}
		return
	}
	// It hears: what it said proves that a command came through.
	m.unheard = 0
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
func (h *Holder) deafen(now clock.Micros, b *blk, m *machine) {
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
	if r.Session < m.beatSession || r.Session == m.beatSession && r.Seq <= m.beatSeq {
		// A late copy: the worker sends one report at a time and has sent a newer one
		// since. Nobody waits for this answer; it neither renews a lease nor hides silence.
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

// observe takes in a worker's report and gives the commands to answer it with.
// beat tells a report of the worker's own from the answer to a direct command.
func (h *Holder) observe(now clock.Micros, b *blk, m *machine, r *wire.Report, beat bool) []wire.Command {
	none := []wire.Command{}
	if r.Session < m.session || (r.Session == m.session && r.Seq <= m.seq) {
		return none // older than what is known: it proves nothing
	}
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
	if r.Token != b.token {
		// Not fenced yet: an older holder's commands may still be carried out.
		return none
	}
	if !m.shown {
		m.shown = true
		b.mark(m)
	}
	cmds := none
	listed := make([]bool, len(m.recs))
	had := slices.Clone(m.recs)
	next := 0
	for i := range r.Tasks {
		t := &r.Tasks[i]
		// Reports mostly list the tasks in the order in which they were given.
		at := -1
		for k := range had {
			if x := (next + k) % len(had); had[x].attempt == t.Attempt {
				at = x
				break
			}
		}
		if at >= 0 {
			next = at + 1
			if rc := had[at]; rc.state != recording {
				listed[at] = true
				if rc.inherited {
					rc.session = m.session
				}
				cmds = h.present(now, b, m, rc, t, cmds)
			}
			continue
		}
		// Its record is gone, so its end was proven and stored; only what is left of it shows.
		if t.State == wire.Exited {
			cmds = append(cmds, wire.Command{Op: wire.Forget, Task: t.Task, Attempt: t.Attempt})
		} else {
			zero := 0.0
			cmds = append(cmds, wire.Command{Op: wire.Kill, Task: t.Task, Attempt: t.Attempt, GraceS: &zero})
		}
	}
	for i, rc := range had {
		if listed[i] || rc.state == recording {
			continue
		}
		if h.absent(m, rc, beat) {
			b.lose(rc, peer.Back)
		} else if rc.state == ordered && rc.stop == 0 {
			// The direct order has not been seen: the same one again does no harm.
			cmds = append(cmds, rc.run())
		}
	}
	return cmds
}

// absent says whether an attempt that a current report does not list is gone.
func (h *Holder) absent(m *machine, rc *rec, beat bool) bool {
	switch {
	case rc.inherited && rc.state == ordered:
		return true // ordered under an older token, which this machine obeys no more
	case rc.session < m.session:
		return true // the worker's lease ran out: all it had is gone, orders for that session are void
	case rc.inflight > 0:
		return false // the order may be carried out yet
	case rc.state == shown:
		return false // a worker never drops a task by itself within a session
	case rc.state == ordered && (rc.stop == 0 || !beat):
		// No direct order is on its way. One in a report's answer is carried out
		// or dropped before the worker's next report of its own.
		return false
	}
	return true
}

func (h *Holder) present(now clock.Micros, b *blk, m *machine, rc *rec, t *wire.TaskReport, cmds []wire.Command) []wire.Command {
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
		if rc.stop == 1 && now > rc.stopAt+clock.FromSeconds(graceFor(rc.group.SaveS)) {
			rc.stop = 2
		}
		if rc.stop > 0 {
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
func (r *rec) forgettable() bool {
	return r.stored && r.inflight == 0 && (!r.direct || r.done && r.stop == 0)
}

// lingering is how many attempts that may not be forgotten yet a block keeps
// before a higher token is asked for.
const lingering = 100

func (h *Holder) tick(now clock.Micros) {
	if h.linked && now-h.renewed >= clock.Second {
		h.sendRenew(now)
	}
	for _, id := range slices.Sorted(maps.Keys(h.blocks)) {
		h.tickBlock(now, h.blocks[id])
	}
}

func (h *Holder) tickBlock(now clock.Micros, b *blk) {
	kept := 0
	var buried []string
	for _, m := range b.order {
		for _, r := range m.recs {
			if r.state == exited && r.stored && !r.forgettable() {
				kept++
			}
		}
		if m.gone {
			if len(m.recs) == 0 && now-m.heard > 10*60*clock.Second {
				buried = append(buried, m.name)
			}
			continue
		}
		// Silence proves the end only after every grant that could have answered, and the
		// worker's lease. A session has its lease from its beginning, also when none of
		// its reports was ever answered and its tasks were ordered directly.
		base := max(m.answered, m.began, b.since+h.p.GrantTime.Longer())
		since := max(m.heard, b.since)
		quiet := h.p.Lease * 11 / 20
		if m.notice {
			quiet = min(quiet, h.p.ReportTime*5/2) // announced, so it needs no second look
		}
		knows := m.heard > 0 || len(m.recs) > 0
		// One that is only in the roster may not be up yet; the leader knows which were.
		silent := (knows || m.known) && now-since > quiet || m.deaf > 0 && now-m.deaf > quiet
		if silent != m.silent {
			m.silent = silent
			b.mark(m)
		}
		if !m.lost && knows && now > base+h.p.Lease.Longer()+clock.Second {
			m.lost = true
			b.mark(m)
			for _, r := range slices.Clone(m.recs) {
				if r.state != recording {
					b.lose(r, peer.Back)
				}
			}
		}
		if (!m.shown && !m.lost && m.fenced > 0 || m.deaf > 0) && now-m.fenced > fenceAfter {
			h.fence(now, b, m)
		}
		if fit := h.fit(now, m); fit != m.wasFit {
			b.mark(m)
		}
	}
	for _, name := range buried {
		delete(b.machines, name)
		b.order = slices.DeleteFunc(b.order, func(m *machine) bool { return m.name == name })
	}
	if kept > lingering && !b.raise && h.linked {
		b.raise = true
		h.emit(Send{peer.Up{Epoch: h.epoch, Updates: []peer.BlockUpdate{{Block: b.id, Token: b.token, Lost: true}}}})
	}
	h.tidy(now, b)
}

// tidy erases pages that name no attempt any more.
func (h *Holder) tidy(now clock.Micros, b *blk) {
	b.pages = slices.DeleteFunc(b.pages, func(p *page) bool {
		switch {
		case len(p.recs) > 0 || b.writing != nil && slices.Contains(b.writing.pages, p):
			p.empty = 0
			return false
		case p.empty == 0:
			p.empty = now
		}
		if p.fixed || now-p.empty > 5*clock.Second {
			b.erase = append(b.erase, p.key)
			return true
		}
		return false
	})
	if n := len(b.erase); n > 0 && now < b.expires && (n >= h.p.TxnOps || now-b.erasedAt > 5*clock.Second) {
		n = min(n, h.p.TxnOps)
		h.emit(Erase{Block: b.id, Stamp: b.stamp, Keys: slices.Clone(b.erase[:n])})
		b.erase = b.erase[n:]
		b.erasedAt = now
	}
}

// flushEvery is how long what the leader is to know is gathered, so that many
// reports cost it one message; what it waits for goes at once.
const flushEvery = 150 * clock.Millisecond

// flush tells the leader what has changed.
func (h *Holder) flush(now clock.Micros) {
	if !h.linked {
		return
	}
	due := now-h.flushed >= flushEvery
	var ups []peer.BlockUpdate
	for _, id := range slices.Sorted(maps.Keys(h.blocks)) {
		b := h.blocks[id]
		if !b.tell && !(due && len(b.events)+len(b.changed) > 0) {
			continue
		}
		u := peer.BlockUpdate{Block: id, Token: b.token, Seq: b.seq, Events: b.events}
		for _, m := range b.changed {
			m.dirty, m.wasFit = false, h.fit(now, m)
			u.Machines = append(u.Machines, h.state(m))
		}
		b.events, b.changed, b.tell = nil, nil, false
		ups = append(ups, u)
	}
	if len(ups) > 0 {
		h.flushed = now
		h.emit(Send{peer.Up{Epoch: h.epoch, StoreOK: h.storeOK(), Updates: ups}})
	}
}

func (h *Holder) state(m *machine) peer.MachineState {
	pm := h.room(m)
	s := peer.MachineState{Name: m.name, Type: m.typ, Zone: m.zone, Address: m.address, Spot: m.spot, Fit: m.wasFit,
		Draining: m.drain, Lost: m.lost, Silent: m.silent, Notice: m.notice, Gone: m.gone, Shown: m.shown, CPUs: pm.CPUs, GPUs: pm.GPUs, Memory: pm.Memory}
	for _, r := range m.recs {
		if r.state != exited {
			s.Tasks++
			if !slices.Contains(s.Images, r.group.Image) {
				s.Images = append(s.Images, r.group.Image)
			}
		}
	}
	return s
}
