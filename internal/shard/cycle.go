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

// attemptPage is one key of start records. Pages of this grant are written over, live
// records first, so that a cycle costs one put and no deletes; those of earlier
// grants, and those whose last write is uncertain, are only erased.
type attemptPage struct {
	key           string
	version       uint64
	attempts      []*taskAttempt    // whose attempts are not proven gone
	sealed        bool              // never written again
	fencingToken  wire.FencingToken // of the grant whose attempts it names
	storedRecords int               // how many records its stored value has
	replacedKeys  []string          // keys that may hold its records, too
	compacting    bool              // it is being written in place of others
	emptySince    clock.Micros
}

// newPage is a page of this grant's for records of that or an earlier token.
func (b *heldShard) newPage(token wire.FencingToken) *attemptPage {
	b.pageSeq++
	return &attemptPage{key: AttemptPrefix(b.id) + strconv.FormatUint(uint64(b.fencingToken), 10) + "-" + strconv.Itoa(b.pageSeq), fencingToken: token}
}

// fitsInto adds what the page holds to a pager; false when not all of it fits.
func (p *attemptPage) fitsInto(pager *peer.AttemptPager) bool {
	for _, r := range p.attempts {
		if !pager.Add(r.group, r.task.Index, r.id, r.machine.name) {
			return false
		}
	}
	return true
}

func (p *attemptPage) add(r *taskAttempt) {
	r.page, r.pageIndex = p, len(p.attempts)
	p.attempts = append(p.attempts, r)
}

func (p *attemptPage) remove(r *taskAttempt) {
	last := p.attempts[len(p.attempts)-1]
	p.attempts[r.pageIndex], last.pageIndex = last, r.pageIndex
	p.attempts = p.attempts[:len(p.attempts)-1]
	r.page = nil
}

// attemptWrite is the one write of start records that a block has under way.
type attemptWrite struct {
	seq      int
	pages    []*attemptPage
	attempts []*taskAttempt
}

// placeOffers places offered tasks by auctions, and writes the start records of what
// found a place. One write at a time: what comes meanwhile gathers with the
// leader, so the state service's limit sets the length of the cycles.
func (h *Holder) placeOffers(now clock.Micros, b *heldShard, offers []peer.TaskOffer) {
	tuning := h.placementParams
	if h.params.Bound != nil {
		tuning.Spread = &placement.Spread{Bound: *h.params.Bound, Fetch: h.fetchRates, Fleet: meanLoad(offers)}
	}
	var ms []*placement.Machine
	if b.writing == nil && now < b.expiresAt && b.hasAttemptsLeft() {
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
			g.Avoid = b.avoidedMachines(j.Ref)
		}
		groups = append(groups, g)
		specs[g] = &peer.AttemptGroup{Job: j.Ref, Team: j.Team, CPUs: j.CPUs, GPUs: j.GPUs, MemoryGB: j.MemoryGB,
			SaveS: j.SaveS, CheckpointS: j.CheckpointS, Image: j.Image, ImageGB: j.ImageGB}
	}
	matches := placement.Cycle(groups, ms, h.images, tuning, now)
	placed := map[peer.Task]bool{}
	w := newAttemptWriter(h, b)
	for _, mt := range matches {
		m := b.machines[mt.Machine.Name]
		m.freeCapacity = nil // the auction has taken from it
		r := &taskAttempt{task: peer.Task{Job: mt.Group.Key, Index: mt.Index}, id: peer.NewAttemptID(b.fencingToken, b.attemptCount+1), machine: m,
			group: specs[mt.Group], agentEpoch: m.epoch}
		if !w.add(r) {
			continue // more than one transaction holds: another cycle's
		}
		b.attemptCount++
		placed[r.task] = true
		b.addAttempt(r)
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

// meanLoad is the mean load that a leader names with its offers; 0 if none does, or it makes no sense.
func meanLoad(offers []peer.TaskOffer) (load float64) {
	for i := range offers {
		if l := offers[i].Job.FleetLoad; l > 0 && l <= 1 {
			load = max(load, l)
		}
	}
	return load
}

// candidates are the machines that have room for new tasks. With spreading, the mean load is that of all
// machines that take work, the full ones too.
func (h *Holder) candidates(now clock.Micros, b *heldShard, spread *placement.Spread) (ms []*placement.Machine) {
	for _, m := range b.machineOrder {
		if !h.isSchedulable(now, b, m) || m.excluded {
			continue
		}
		pm := h.freeCapacity(m)
		if _, known := h.machineTypes[m.typeName]; known && spread != nil {
			spread.Mean.Add(pm.Load())
		}
		if pm.CPUs > 0 {
			ms = append(ms, pm)
		}
	}
	return ms
}

// avoidedMachines are the machines where another replica of a service had better not go: those
// that have one, and more so those where one failed.
func (b *heldShard) avoidedMachines(job string) map[string]int {
	out := map[string]int{}
	for _, m := range b.machineOrder {
		switch {
		case slices.Contains(m.failedJobs, job):
			out[m.name] = 2
		case slices.ContainsFunc(m.attempts, func(r *taskAttempt) bool { return r.task.Job == job && r.state != attemptExited }):
			out[m.name] = 1
		}
	}
	return out
}

// maxFailedJobs is how many jobs whose tasks failed a machine is remembered for.
const maxFailedJobs = 32

// maxTxnBytes is what the values of one transaction may take together.
const maxTxnBytes = 56 << 10

// attemptWriter fills pages with a cycle's records, those with most room first.
type attemptWriter struct {
	h      *Holder
	b      *heldShard
	usable []*attemptPage // emptiest first
	cw     *attemptWrite
	out    []PageWrite
	pager  *peer.AttemptPager
	added  int // to the page that is open
}

func newAttemptWriter(h *Holder, b *heldShard) *attemptWriter {
	w := &attemptWriter{h: h, b: b, cw: &attemptWrite{seq: b.writeSeq + 1}}
	for _, p := range b.pages {
		if !p.sealed && !p.compacting {
			w.usable = append(w.usable, p)
		}
	}
	slices.SortStableFunc(w.usable, func(a, c *attemptPage) int { return len(a.attempts) - len(c.attempts) })
	return w
}

// add finds a page for a record; false when the transaction holds no more.
func (w *attemptWriter) add(r *taskAttempt) bool {
	for {
		if w.pager != nil {
			if w.pager.Add(r.group, r.task.Index, r.id, r.machine.name) {
				w.added++
				w.cw.pages[len(w.cw.pages)-1].add(r)
				w.cw.attempts = append(w.cw.attempts, r)
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
		if len(w.out) >= min(w.h.params.TxnOps, max(1, maxTxnBytes/w.h.params.ValueBytes)) {
			return false
		}
		w.open()
	}
}

// open begins the next page, with what it already holds.
func (w *attemptWriter) open() {
	w.added = 0
	if len(w.usable) > 0 {
		p := w.usable[0]
		w.usable = w.usable[1:]
		w.pager = peer.NewAttemptPager(w.b.fencingToken, w.h.params.ValueBytes)
		if p.fitsInto(w.pager) {
			w.cw.pages = append(w.cw.pages, p)
			return
		}
		w.usable = nil
	}
	w.pager = peer.NewAttemptPager(w.b.fencingToken, w.h.params.ValueBytes)
	p := w.b.newPage(w.b.fencingToken)
	w.b.pages = append(w.b.pages, p)
	w.cw.pages = append(w.cw.pages, p)
}

func (w *attemptWriter) close() {
	if w.pager == nil {
		return
	}
	p := w.cw.pages[len(w.cw.pages)-1]
	p.storedRecords = w.pager.Len()
	w.out = append(w.out, PageWrite{Key: p.key, Version: p.version, Page: w.pager.Page()})
	w.pager = nil
}

func (w *attemptWriter) write() {
	if w.close(); len(w.cw.attempts) == 0 {
		return
	}
	w.b.writeSeq++
	w.b.writing = w.cw
	w.h.emit(WriteAttempts{Shard: w.b.id, FencingToken: w.b.fencingToken, Seq: w.cw.seq, KeyVersion: w.b.keyVersion, Pages: w.out})
}

// shardOfWrite is the block whose write of start records has ended, if it still is ours.
func (h *Holder) shardOfWrite(id int, token wire.FencingToken, fenced bool) *heldShard {
	b := h.shards[id]
	if b == nil || b.fencingToken != token {
		return nil
	}
	if fenced {
		// Another holder has the block: what we know of it counts no more.
		h.dropShard(b)
		return nil
	}
	return b
}

func (h *Holder) handleAttemptsWritten(now clock.Micros, m AttemptsWritten) {
	b := h.shardOfWrite(m.Shard, m.FencingToken, m.Fenced)
	if b == nil || b.writing == nil || b.writing.seq != m.Seq {
		return
	}
	w := b.writing
	b.writing = nil
	b.settledOfferSeq, b.urgent = b.takenOfferSeq, true
	if m.TooLarge {
		// Limits fell below what the settings say.
		h.params.ValueBytes, h.params.TxnOps = store.ReducedLimits(h.params.ValueBytes, h.params.TxnOps)
	}
	for _, p := range w.pages {
		// Without the new version no guard would protect the next write: what the
		// page holds, before or after this one, covers all that may run.
		if m.Revision > 0 {
			p.version = m.Revision
		} else if !m.NeverExecuted {
			p.sealed = true
		}
	}
	var to []*machine
	cmds := map[*machine][]wire.Command{}
	for _, r := range w.attempts {
		mc := r.machine
		if !m.Committed || r.stopMode != keepRunning || now >= b.expiresAt || mc.terminated || mc.leaseExpired || mc.epoch != r.agentEpoch {
			// Never ordered: it can run nowhere.
			b.removeAttempt(r, peer.EventReleased)
			continue
		}
		r.state, r.launchedAt = attemptLaunched, now
		if h.deliversRunsInReply(now, mc) {
			continue
		}
		if mc.acceptsCommands() {
			r.unansweredRuns++
			r.launchedDirectly = true
		}
		if cmds[mc] == nil {
			to = append(to, mc)
		}
		cmds[mc] = append(cmds[mc], r.runCommand())
	}
	for _, mc := range to {
		h.sendCommands(b, mc, cmds[mc])
	}
}

// deleteEmptyPages erases pages that name no attempt any more.
func (h *Holder) deleteEmptyPages(now clock.Micros, b *heldShard) {
	b.pages = slices.DeleteFunc(b.pages, func(p *attemptPage) bool {
		switch {
		case len(p.attempts) > 0 || p.compacting || b.writing != nil && slices.Contains(b.writing.pages, p):
			p.emptySince = 0
			return false
		case p.emptySince == 0:
			p.emptySince = now
		}
		if p.sealed || now-p.emptySince > 5*clock.Second {
			b.deletions = append(append(b.deletions, p.key), p.replacedKeys...)
			return true
		}
		return false
	})
	if n := len(b.deletions); n > 0 && now < b.expiresAt && (n >= h.params.TxnOps || now-b.lastDeletion > 5*clock.Second) {
		n = min(n, h.params.TxnOps)
		h.emit(DeletePages{Shard: b.id, KeyVersion: b.keyVersion, Keys: slices.Clone(b.deletions[:n])})
		b.deletions = b.deletions[n:]
		b.lastDeletion = now
	}
}
