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

type recKey struct {
	task    peer.Task
	attempt uint64
}

// rec is one attempt that may be on a machine.
type rec struct {
	recKey
	group     *peer.RecordGroup // what the task takes; Records unused
	page      string
	state     recState
	inherited bool
	session   uint64 // in which it was ordered
	inflight  int    // run orders sent directly and not answered: they may still be carried out
	running   bool
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
	shown                    bool // has shown our token
	heard                    clock.Micros
	answered                 clock.Micros
	notice, known, drain     bool
	gone, lost, dirty        bool
	wasFit, silent           bool
	fenced                   clock.Micros // when it was last shown our token directly
	recs                     map[recKey]*rec
}

type page struct{ live int }

type blk struct {
	id           int
	token, stamp uint64
	since        clock.Micros
	expires      clock.Micros
	counter      uint64
	pageSeq      int
	pages        map[string]*page
	erase        []string
	erasedAt     clock.Micros
	machines     map[string]*machine
	// attempts counts, by task, those whose end the leader has not been told. A
	// stale record may stand beside a live one: only the last end gives the task back.
	attempts map[peer.Task]int
	seq      uint64
	tell     bool
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
	h.emit(Send{peer.Up{Epoch: h.epoch, Renew: h.renew, StoreOK: h.storeOK()}})
}

func (h *Holder) down(now clock.Micros, d *peer.Down) {
	// An older leader's word, late or from a link that outlived its epoch.
	if d.Epoch != h.epoch || !h.linked {
		return
	}
	if d.Holders != nil {
		h.holders = d.Holders
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
	if old := h.blocks[g.Block]; old != nil && old.token >= g.Token {
		return
	}
	b := &blk{id: g.Block, token: g.Token, stamp: g.Stamp, since: now, pages: map[string]*page{}, machines: map[string]*machine{},
		attempts: map[peer.Task]int{}}
	if old := h.blocks[g.Block]; old != nil {
		// What is known of the machines stays useful; what may run on them is read anew from the records.
		for name, m := range old.machines {
			b.machines[name] = &machine{name: name, address: m.address, typ: m.typ, zone: m.zone, spot: m.spot,
				session: m.session, seq: m.seq, heard: m.heard, answered: m.answered, notice: m.notice, gone: m.gone,
				recs: map[recKey]*rec{}}
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
	type ended struct {
		m *machine
		r *rec
	}
	var over []ended
	for _, key := range slices.Sorted(maps.Keys(g.Pages)) {
		pg := g.Pages[key]
		live := &page{}
		b.pages[key] = live
		for i := range pg.Groups {
			grp := &pg.Groups[i]
			for _, r := range grp.Records {
				m := b.machine(r.Machine)
				k := recKey{peer.Task{Job: grp.Job, Index: r.Index}, r.Attempt}
				if m.recs[k] != nil {
					continue
				}
				rc := &rec{recKey: k, group: grp, page: key, state: ordered, inherited: true}
				b.add(m, rc)
				live.live++
				if !m.known {
					// Machines leave the roster only after their proven end.
					over = append(over, ended{m, rc})
				}
			}
		}
		if live.live == 0 {
			b.dropPage(key)
		}
	}
	for _, e := range over {
		h.lose(b, e.m, e.r, peer.Back)
	}
	h.blocks[g.Block] = b
	b.tell = true
	for _, r := range g.Machines {
		h.fence(now, b, b.machines[r.Name])
	}
}

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
		m = &machine{name: name, dirty: true, recs: map[recKey]*rec{}}
		b.machines[name] = m
	}
	return m
}

func (b *blk) add(m *machine, r *rec) {
	m.recs[r.recKey] = r
	m.dirty = true
	b.attempts[r.task]++
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

// remove takes an attempt off the books once it is proven gone.
func (b *blk) remove(m *machine, r *rec) {
	delete(m.recs, r.recKey)
	m.dirty = true
	if pg := b.pages[r.page]; pg != nil {
		if pg.live--; pg.live == 0 {
			b.dropPage(r.page)
		}
	}
}

func (b *blk) dropPage(key string) {
	delete(b.pages, key)
	b.erase = append(b.erase, key)
}

// lose ends an attempt that is proven to be on the machine no more.
func (h *Holder) lose(b *blk, m *machine, r *rec, kind string) {
	b.tellEnd(r, peer.Event{Task: r.task, Kind: kind, Machine: m.name})
	b.remove(m, r)
}

func (h *Holder) orders(now clock.Micros, b *blk, o peer.BlockOrders) {
	for _, name := range o.Use {
		m := b.machine(name)
		m.known, m.dirty = true, true
	}
	for _, name := range o.Drain {
		m := b.machine(name)
		m.drain, m.dirty = true, true
	}
	for _, name := range o.Gone {
		m := b.machine(name)
		m.gone, m.dirty = true, true
		for _, k := range sortedRecs(m) {
			if r := m.recs[k]; r.state == recording {
				r.stop = 2
			} else {
				h.lose(b, m, r, peer.Back)
			}
		}
		h.book.Drop(name)
	}
	byTask := map[peer.Task][]*rec{}
	where := map[*rec]*machine{}
	if len(o.Stop)+len(o.Stored) > 0 {
		for _, m := range b.machines {
			for _, r := range m.recs {
				byTask[r.task] = append(byTask[r.task], r)
				where[r] = m
			}
		}
	}
	for _, t := range o.Stored {
		for _, r := range byTask[t] {
			r.stored = true
		}
	}
	stops := map[*machine][]wire.Command{}
	for _, s := range o.Stop {
		for _, r := range byTask[s.Task] {
			how := 2
			if s.Save && r.group.Ckpt > 0 {
				how = 1
			}
			if r.stop >= how || r.state == exited {
				continue
			}
			r.stop, r.stopAt = how, now
			if r.state != recording {
				m := where[r]
				stops[m] = append(stops[m], r.kill())
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(b.machines)) {
		if cmds := stops[b.machines[name]]; len(cmds) > 0 {
			h.direct(b, b.machines[name], cmds)
		}
	}
	if len(o.Offers) > 0 {
		h.cycle(now, b, o.Offers)
		b.seq, b.tell = o.Seq, true
	}
}

func (r *rec) kill() wire.Command {
	grace := 0.0
	if r.stop == 1 {
		grace = graceFor(r.group.SaveS)
	}
	return wire.Command{Op: wire.Kill, Task: TaskName(r.task), Attempt: r.attempt, GraceS: &grace}
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

// cycle places offered tasks by auctions, and writes the start records of what found a place.
func (h *Holder) cycle(now clock.Micros, b *blk, offers []peer.Offer) {
	var ms []*placement.Machine
	for _, name := range slices.Sorted(maps.Keys(b.machines)) {
		if m := b.machines[name]; h.fit(now, m) && now < b.expires {
			if pm := h.room(m); pm.CPUs > 0 {
				ms = append(ms, pm)
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
			SaveS: j.SaveS, Ckpt: j.CheckpointS, Image: j.Image}
	}
	matches := placement.Cycle(groups, ms, h.book, h.tuning, now)
	placed := map[peer.Task]bool{}
	const recordBytes, groupBytes = 64, 260
	var pg peer.RecordPage
	size := 0
	var recs []*rec
	write := func() {
		if len(recs) == 0 {
			return
		}
		b.pageSeq++
		key := RecordPrefix(b.id) + strconv.FormatUint(b.token, 10) + "-" + strconv.Itoa(b.pageSeq)
		for _, r := range recs {
			r.page = key
		}
		b.pages[key] = &page{live: len(recs)}
		h.emit(Record{Block: b.id, Token: b.token, Key: key, Page: pg, Stamp: b.stamp})
		pg, size, recs = peer.RecordPage{}, 0, nil
	}
	for _, mt := range matches {
		spec := specs[mt.Group]
		t := peer.Task{Job: mt.Group.Key, Index: mt.Index}
		placed[t] = true
		m := b.machines[mt.Machine.Name]
		b.counter++
		r := &rec{recKey: recKey{t, b.token<<20 | b.counter}, group: spec, session: m.session}
		if size+recordBytes+groupBytes > h.p.ValueBytes {
			write()
		}
		i := slices.IndexFunc(pg.Groups, func(g peer.RecordGroup) bool { return g.Job == t.Job })
		if i < 0 {
			pg.Groups = append(pg.Groups, *spec)
			i = len(pg.Groups) - 1
			size += groupBytes
		}
		pg.Groups[i].Records = append(pg.Groups[i].Records, peer.Record{Index: t.Index, Attempt: r.attempt, Machine: m.name})
		size += recordBytes
		recs = append(recs, r)
		b.add(m, r)
		b.events = append(b.events, peer.Event{Task: t, Kind: peer.Started, Machine: m.name})
	}
	write()
	for _, g := range groups {
		for _, i := range g.Indexes {
			if t := (peer.Task{Job: g.Key, Index: i}); !placed[t] {
				b.events = append(b.events, peer.Event{Task: t, Kind: peer.Unplaced})
			}
		}
	}
}

// fit says whether a machine can be given tasks now.
func (h *Holder) fit(now clock.Micros, m *machine) bool {
	return m.shown && m.known && !m.drain && !m.notice && !m.gone && !m.lost && now-m.heard < 3*h.p.ReportTime
}

func (h *Holder) room(m *machine) *placement.Machine {
	t := h.types[m.typ]
	pm := &placement.Machine{Name: m.name, Type: m.typ, Zone: m.zone, Spot: m.spot, CPUs: t.CPUs, GPUs: t.GPUs, Memory: t.MemoryGB}
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
	byMachine := map[string][]wire.Command{}
	for _, name := range slices.Sorted(maps.Keys(b.machines)) {
		mc := b.machines[name]
		for _, k := range sortedRecs(mc) {
			r := mc.recs[k]
			if r.page != m.Key || r.state != recording {
				continue
			}
			if !m.OK || r.stop > 0 || now >= b.expires || mc.gone || mc.lost || mc.session != r.session {
				// Never ordered: it can run nowhere.
				h.lose(b, mc, r, peer.Back)
				continue
			}
			r.state = ordered
			if mc.reachable() {
				r.inflight++
			}
			byMachine[name] = append(byMachine[name], wire.Command{Op: wire.Run, Task: TaskName(r.task), Attempt: r.attempt})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(byMachine)) {
		h.direct(b, b.machines[name], byMachine[name])
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

func sortedRecs(m *machine) []recKey {
	return slices.SortedFunc(maps.Keys(m.recs), func(a, b recKey) int {
		if c := strings.Compare(a.task.Job, b.task.Job); c != 0 {
			return c
		}
		if a.task.Index != b.task.Index {
			return a.task.Index - b.task.Index
		}
		return int(a.attempt) - int(b.attempt)
	})
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
			if t, ok := parseTask(c.Task); ok && c.Op == wire.Run {
				if r := m.recs[recKey{t, c.Attempt}]; r != nil && r.inflight > 0 {
					r.inflight--
				}
			}
		}
	}
	if a.R != nil {
		h.observe(now, b, m, a.R, false)
	}
}

// report answers a worker.
func (h *Holder) report(now clock.Micros, msg Report) {
	if len(h.holders) == 0 {
		h.emit(Answer{Tag: msg.Tag, Status: 503})
		return
	}
	id := Of(msg.R.Machine, len(h.holders))
	b := h.blocks[id]
	if b == nil || now >= b.expires {
		to := h.holders[id]
		if to == h.p.Node {
			to = ""
		}
		h.emit(Answer{Tag: msg.Tag, Status: 421, Redirect: wire.Redirect{ReportTo: to}})
		return
	}
	if msg.R.Token > b.token {
		// A newer holder has spoken to this machine.
		h.void(b)
		h.emit(Answer{Tag: msg.Tag, Status: 421})
		return
	}
	m := b.machine(msg.R.Machine)
	if m.gone {
		h.emit(Answer{Tag: msg.Tag, Status: 503})
		return
	}
	cmds := h.observe(now, b, m, msg.R, true)
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
	if m.typ != r.Type || m.notice != (r.NoticeS != nil) || !m.shown || m.lost || m.silent {
		m.dirty = true
	}
	m.session, m.seq = r.Session, r.Seq
	m.address, m.typ, m.zone, m.spot = r.Address, r.Type, r.Zone, r.Spot
	m.notice = r.NoticeS != nil
	m.heard = now
	m.lost, m.silent = false, false
	if r.Token != b.token {
		// Not fenced yet: an older holder's commands may still be carried out.
		return none
	}
	if !m.shown {
		m.shown, m.dirty = true, true
	}
	listed := make(map[recKey]*wire.TaskReport, len(r.Tasks))
	cmds := none
	for i := range r.Tasks {
		t := &r.Tasks[i]
		task, ok := parseTask(t.Task)
		if !ok {
			continue
		}
		k := recKey{task, t.Attempt}
		listed[k] = t
		if m.recs[k] == nil {
			// Its record is gone, so its end was proven and stored; only what is left of it shows.
			if t.State == wire.Exited {
				cmds = append(cmds, wire.Command{Op: wire.Forget, Task: t.Task, Attempt: t.Attempt})
			} else {
				zero := 0.0
				cmds = append(cmds, wire.Command{Op: wire.Kill, Task: t.Task, Attempt: t.Attempt, GraceS: &zero})
			}
		}
	}
	for _, k := range sortedRecs(m) {
		rc := m.recs[k]
		if rc.state == recording {
			continue
		}
		t := listed[k]
		if t == nil {
			h.absent(b, m, rc, beat)
			if m.recs[k] != nil && rc.state == ordered && rc.stop == 0 {
				// The direct order has not been seen: the same one again does no harm.
				cmds = append(cmds, wire.Command{Op: wire.Run, Task: TaskName(rc.task), Attempt: rc.attempt})
			}
			continue
		}
		if rc.inherited && rc.session != m.session {
			rc.session = m.session
		}
		cmds = h.present(now, b, m, rc, t, cmds)
	}
	return cmds
}

// absent judges an attempt that a current report does not list.
func (h *Holder) absent(b *blk, m *machine, rc *rec, beat bool) {
	switch {
	case rc.inherited && rc.state == ordered:
		// Ordered under an older token, which this machine obeys no more.
	case rc.session < m.session:
		// The worker's lease ran out: all it had is gone, orders for that session are void.
	case rc.inflight > 0:
		return // the order may be carried out yet
	case rc.state == shown:
		return // a worker never drops a task by itself within a session
	case rc.state == ordered && (rc.stop == 0 || !beat):
		// No direct order is on its way. One in a report's answer is carried out
		// or dropped before the worker's next report of its own.
		return
	}
	h.lose(b, m, rc, peer.Back)
}

func (h *Holder) present(now clock.Micros, b *blk, m *machine, rc *rec, t *wire.TaskReport, cmds []wire.Command) []wire.Command {
	if t.State != wire.Exited {
		if rc.state != shown {
			rc.state = shown
			m.dirty = true
		}
		if t.State == wire.Running && !rc.running {
			rc.running, rc.startedAt, m.dirty = true, now, true
			// The image is there now: the report adds it to the machine's cached ones.
			h.book.Seen(rc.group.Image, m.name, now)
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
		rc.state, m.dirty = exited, true
	}
	if !rc.told {
		ev := peer.Event{Task: rc.task, Machine: m.name}
		switch t.Cause {
		case wire.CauseDone:
			ev.Kind = peer.Done
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
	}
	// Forgetting lets a repeated run start it again, so no copy may be on its way.
	if rc.stored && rc.inflight == 0 {
		cmds = append(cmds, wire.Command{Op: wire.Forget, Task: t.Task, Attempt: t.Attempt})
	}
	return cmds
}

func (h *Holder) tick(now clock.Micros) {
	if h.linked && now-h.renewed >= clock.Second {
		h.sendRenew(now)
	}
	for _, id := range slices.Sorted(maps.Keys(h.blocks)) {
		b := h.blocks[id]
		for _, name := range slices.Sorted(maps.Keys(b.machines)) {
			m := b.machines[name]
			// Silence proves the end only after every grant that could have answered, and the worker's lease.
			base := max(m.answered, b.since+h.p.GrantTime.Longer())
			since := max(m.heard, b.since)
			quiet := h.p.Lease * 11 / 20
			if m.notice {
				quiet = min(quiet, h.p.ReportTime*5/2) // announced, so it needs no second look
			}
			if silent := !m.gone && (m.heard > 0 || len(m.recs) > 0) && now-since > quiet; silent != m.silent {
				m.silent, m.dirty = silent, true
			}
			if !m.gone && !m.lost && (m.heard > 0 || len(m.recs) > 0) && now > base+h.p.Lease.Longer()+clock.Second {
				m.lost, m.dirty = true, true
				for _, k := range sortedRecs(m) {
					if r := m.recs[k]; r.state != recording {
						h.lose(b, m, r, peer.Back)
					}
				}
			}
			if !m.shown && !m.lost && m.fenced > 0 && now-m.fenced > 4*clock.Second {
				h.fence(now, b, m)
			}
			if m.gone && len(m.recs) == 0 && now-m.heard > 10*60*clock.Second {
				delete(b.machines, name)
			}
		}
		if n := len(b.erase); n > 0 && now < b.expires && (n >= h.p.TxnOps || now-b.erasedAt > 5*clock.Second) {
			n = min(n, h.p.TxnOps)
			h.emit(Erase{Block: b.id, Stamp: b.stamp, Keys: slices.Clone(b.erase[:n])})
			b.erase = b.erase[n:]
			b.erasedAt = now
		}
	}
}

// flush tells the leader what has changed.
func (h *Holder) flush(now clock.Micros) {
	if !h.linked {
		return
	}
	room := now-h.flushed >= 200*clock.Millisecond
	if room {
		h.flushed = now
	}
	var ups []peer.BlockUpdate
	for _, id := range slices.Sorted(maps.Keys(h.blocks)) {
		b := h.blocks[id]
		if len(b.events) == 0 && !b.tell && !room {
			continue
		}
		u := peer.BlockUpdate{Block: id, Token: b.token, Seq: b.seq, Events: b.events}
		for _, name := range slices.Sorted(maps.Keys(b.machines)) {
			m := b.machines[name]
			if fit := h.fit(now, m); m.dirty || fit != m.wasFit {
				m.dirty, m.wasFit = false, fit
				u.Machines = append(u.Machines, h.state(m, fit, now))
			}
		}
		b.events = nil
		if b.tell || len(u.Events)+len(u.Machines) > 0 {
			b.tell = false
			ups = append(ups, u)
		}
	}
	if len(ups) > 0 {
		h.emit(Send{peer.Up{Epoch: h.epoch, StoreOK: h.storeOK(), Updates: ups}})
	}
}

func (h *Holder) state(m *machine, fit bool, now clock.Micros) peer.MachineState {
	pm := h.room(m)
	s := peer.MachineState{Name: m.name, Type: m.typ, Zone: m.zone, Address: m.address, Spot: m.spot, Fit: fit,
		Draining: m.drain, Lost: m.lost, Silent: m.silent, Notice: m.notice, CPUs: pm.CPUs, GPUs: pm.GPUs, Memory: pm.Memory}
	for _, k := range sortedRecs(m) {
		if r := m.recs[k]; r.state != exited {
			s.Tasks++
			if !slices.Contains(s.Images, r.group.Image) {
				s.Images = append(s.Images, r.group.Image)
			}
		}
	}
	return s
}
