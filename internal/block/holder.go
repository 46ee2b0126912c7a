package block

import (
	"maps"
	"slices"
	"strings"

	"swiftledge/internal/clock"
	"swiftledge/internal/config"
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
	failed                   []string     // jobs whose tasks failed here
	free                     *placement.Machine
	images                   *placement.Cache
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
	compacting   *page
	compactedAt  clock.Micros
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
	slow    bool // the link's messages take seconds
	blocks  map[int]*blk
	holders []string
	types   map[string]wire.MachineType
	book    *placement.Book
	renew   uint64
	sentAt  map[uint64]clock.Micros
	renewed clock.Micros
	flushed clock.Micros
	heard   clock.Micros // when any worker was last heard
	ticked  clock.Micros // when the last Tick was handled
	late    clock.Micros // when a Tick was last handled late
	storeOK func() bool
	fx      []any
}

// New makes a holder without blocks. storeOK is told to the others, who judge
// by it whether the state service fails one node or all.
func New(p Params, t placement.Params, storeOK func() bool) *Holder {
	return &Holder{p: p, tuning: t, blocks: map[int]*blk{}, types: map[string]wire.MachineType{},
		book: placement.NewBook(), sentAt: map[uint64]clock.Micros{}, storeOK: storeOK}
}

// FromConfig makes a controller's holder.
func FromConfig(cfg *config.Config, storeOK func() bool) *Holder {
	f, t := &cfg.Facts, cfg.Tuning.Placement
	return New(Params{Node: cfg.Name, GrantTime: cfg.GrantTime(), LongestGrant: cfg.LongestGrant(), Lease: cfg.LeaseTime(), ReportTime: clock.FromSeconds(f.Workers.ReportS),
		ValueBytes: cfg.ValueBytes(), TxnOps: cfg.TxnOps()},
		placement.Params{K: t.K, Eta: t.Eta, Epsilon: t.Epsilon, Small: t.Small}, storeOK)
}

// Step takes one message at a time.
func (h *Holder) Step(now clock.Micros, msg any) []any {
	h.fx = nil
	switch m := msg.(type) {
	case Linked:
		if m.Epoch >= h.epoch {
			h.epoch, h.linked, h.slow = m.Epoch, true, m.Slow
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
	case Compacted:
		h.compacted(m)
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
			n.deaf, n.unheard, n.images, n.failed = m.deaf, m.unheard, m.images, m.failed
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
		pg := &page{key: key, fixed: true, token: src.Token}
		for i := range src.Groups {
			grp := &src.Groups[i]
			// The leader hands out no page that cannot be read in full.
			records, _ := src.Records(grp)
			pg.stored += len(records)
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
		if m := b.machines[r.Name]; i < fenceAtOnce && !h.overloaded(now) {
			h.fence(now, b, m)
		} else {
			m.fenced = now
		}
	}
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

// fit says whether a machine can be given tasks now. One that only answers commands, while
// none of its reports comes, has a lease that runs out whatever it answers.
func (h *Holder) fit(now clock.Micros, b *blk, m *machine) bool {
	fresh := 3 * h.p.ReportTime
	return now-max(m.answered, b.since) < fresh && m.shown && m.known && !m.drain && !m.notice && !m.gone && !m.lost && m.deaf == 0 && now-m.heard < fresh
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
			pm.Fetches = append(pm.Fetches, r.group.Image)
		}
	}
	m.free = pm
	return pm
}

// askAnew tells the leader that the block needs a new grant.
func (h *Holder) askAnew(b *blk) {
	h.emit(Send{peer.Up{Epoch: h.epoch, Updates: []peer.BlockUpdate{{Block: b.id, Token: b.token, Lost: true}}}})
}

// void gives up a block whose machines or key show a newer token.
func (h *Holder) void(b *blk) {
	h.askAnew(b)
	delete(h.blocks, b.id)
}

// lateTick is the time between two Ticks from which this controller counts as overloaded: they
// are sent several times as often, so messages wait for longer than that to be handled.
const lateTick = 500 * clock.Millisecond

// overloadMemory is how long after the last late Tick the controller still counts as overloaded.
const overloadMemory = 2 * clock.Second

// overloaded says whether this controller has lately fallen behind with its messages.
func (h *Holder) overloaded(now clock.Micros) bool {
	return h.late > 0 && now-h.late < overloadMemory
}

func (h *Holder) tick(now clock.Micros) {
	if h.ticked > 0 && now-h.ticked > lateTick {
		h.late = now
	}
	h.ticked = now
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
		base := max(m.answered, m.began, b.since+h.p.LongestGrant.Longer())
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
		if (!m.shown && !m.lost && m.fenced > 0 || m.deaf > 0) && now-m.fenced > h.fenceAfter(now) {
			h.fence(now, b, m)
		}
		if fit := h.fit(now, b, m); fit != m.wasFit {
			b.mark(m)
		}
	}
	for _, name := range buried {
		delete(b.machines, name)
		b.order = slices.DeleteFunc(b.order, func(m *machine) bool { return m.name == name })
	}
	if kept > lingering && !b.raise && h.linked {
		b.raise = true
		h.askAnew(b)
	}
	h.tidy(now, b)
	h.compact(now, b)
}

// flushEvery is how long what the leader is to know is gathered, so that many
// reports cost it one message; what it waits for goes at once.
const flushEvery = 150 * clock.Millisecond

// flush tells the leader what has changed.
func (h *Holder) flush(now clock.Micros) {
	if !h.linked {
		return
	}
	every := flushEvery
	if h.slow {
		every = clock.Second
	}
	due := now-h.flushed >= every
	var ups []peer.BlockUpdate
	for _, id := range slices.Sorted(maps.Keys(h.blocks)) {
		b := h.blocks[id]
		if !b.tell && !(due && len(b.events)+len(b.changed) > 0) {
			continue
		}
		u := peer.BlockUpdate{Block: id, Token: b.token, Seq: b.seq, Events: b.events}
		for _, m := range b.changed {
			m.dirty, m.wasFit = false, h.fit(now, b, m)
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
		Silent: m.silent, Notice: m.notice, Gone: m.gone, Shown: m.shown, CPUs: pm.CPUs, GPUs: pm.GPUs, Memory: pm.Memory}
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
