package shard

import (
	"fmt"
	"maps"
	"slices"

	"swiftledge/internal/clock"
	"swiftledge/internal/cluster"
	"swiftledge/internal/config"
	"swiftledge/internal/pausedetect"
	"swiftledge/internal/peer"
	"swiftledge/internal/placement"
	"swiftledge/internal/rebalancer"
	"swiftledge/wire"
)

// Holder is the actor's state.
type Holder struct {
	p       Params
	tuning  placement.Params
	epoch   cluster.Term
	linked  bool
	slow    bool // the link's messages take seconds
	blocks  map[int]*heldBlock
	holders []string
	types   map[string]wire.MachineType
	book    *placement.Book
	fetches *rebalancer.FetchRates // as seen on this controller's machines
	renew   uint64
	sentAt  map[uint64]clock.Micros
	renewed clock.Micros
	flushed clock.Micros
	heard   clock.Micros // when any worker was last heard
	ticked  clock.Micros // when the last Tick was handled
	late    clock.Micros // when a Tick was last handled late
	pauses  pausedetect.Detector
	storeOK func() bool
	effects []Effect
}

// New makes a holder without blocks. storeOK is told to the others, who judge
// by it whether the state service fails one node or all.
func New(p Params, t placement.Params, storeOK func() bool) *Holder {
	return &Holder{p: p, tuning: t, blocks: map[int]*heldBlock{}, types: map[string]wire.MachineType{},
		book: placement.NewBook(), fetches: rebalancer.NewFetchRates(), sentAt: map[uint64]clock.Micros{}, storeOK: storeOK}
}

// FromConfig makes a controller's holder.
func FromConfig(cfg *config.Config, storeOK func() bool) *Holder {
	f, t := &cfg.Facts, cfg.Tuning.Placement
	p := Params{Controller: cfg.Name, GrantTime: cfg.GrantTime(), LongestGrant: cfg.LongestGrantTime(), AgentLease: cfg.AgentLeaseTime(), HeartbeatInterval: clock.FromSeconds(f.Workers.ReportS),
		ValueBytes: cfg.TargetValueBytes(), TxnOps: cfg.MaxTxnWrites()}
	p.TracingEnabled = cfg.Tuning.Trace.File != ""
	if s := cfg.Tuning.Spread; s.Enabled {
		p.Bound = &rebalancer.Bound{Relative: s.Bound, ImbalanceS: s.ImbalanceS}
	}
	return New(p, placement.Params{K: t.AffinityDecay, Eta: t.MinAffinity, Epsilon: t.MinPriceRise, Small: t.UnstartedOffset}, storeOK)
}

// Step takes one message at a time.
func (h *Holder) Step(now clock.Micros, msg Message) []Effect {
	h.effects = nil
	if began, paused := h.pauses.Observe(now); paused {
		h.paused(began, now)
	}
	switch m := msg.(type) {
	case LeaderConnected:
		if m.Term >= h.epoch {
			h.epoch, h.linked, h.slow = m.Term, true, m.ViaStore
			h.sentAt = map[uint64]clock.Micros{}
			h.sendRenew(now)
		}
	case LeaderDisconnected:
		if m.Term == h.epoch {
			h.linked = false
		}
	case LeaderMessage:
		h.down(now, m.Message)
	case HeartbeatReceived:
		h.report(now, m)
	case CommandsAnswered:
		h.answered(now, m)
	case InspectionAnswered:
		h.inspected(now, m)
	case AttemptsWritten:
		h.recorded(now, m)
	case PagesCompacted:
		h.compacted(m)
	case Tick:
		h.tick(now)
	}
	h.flush(now)
	return h.effects
}

// paused tells that this controller stood still, and which grants ran out meanwhile.
func (h *Holder) paused(began, now clock.Micros) {
	p := pausedetect.Pause{Began: began, Ended: now}
	for _, id := range slices.Sorted(maps.Keys(h.blocks)) {
		if e := h.blocks[id].expires; e > began && e <= now {
			p.Expired = append(p.Expired, fmt.Sprintf("grant of block %d", id))
		}
	}
	h.emit(PauseDetected{p})
}

func (h *Holder) emit(e Effect) { h.effects = append(h.effects, e) }

func (h *Holder) sendRenew(now clock.Micros) {
	h.renew++
	h.renewed = now
	h.sentAt[h.renew] = now
	delete(h.sentAt, h.renew-16)
	h.emit(SendToLeader{peer.ToLeader{Term: h.epoch, RenewSeq: h.renew, StoreOK: h.storeOK(), NoAgentContact: h.blind(now)}})
}

func (h *Holder) down(now clock.Micros, d *peer.FromLeader) {
	// An older leader's word, late or from a link that outlived its epoch.
	if d.Term != h.epoch || !h.linked {
		return
	}
	if d.Holders != nil {
		h.holders = d.Holders
		for id, name := range d.Holders {
			// The block goes elsewhere: its workers are sent there from now on.
			if h.blocks[id] != nil && name != "" && name != h.p.Controller {
				delete(h.blocks, id)
			}
		}
	}
	for _, t := range d.Types {
		h.types[t.Name] = t
		h.fetches.Published(t.Name, t.FetchGBPS)
	}
	for _, g := range d.Grants {
		h.grant(now, g)
	}
	if len(d.Grants) > 0 {
		h.sendRenew(now)
	}
	// The time runs from when we asked, not from when the answer came.
	if at, ok := h.sentAt[d.RenewedSeq]; ok && d.RenewedSeq > 0 {
		for id, token := range d.FencingTokens {
			if b := h.blocks[id]; b != nil && b.token == token {
				b.expires = max(b.expires, at+h.p.GrantTime.Shorter())
			}
		}
	}
	for _, o := range d.Orders {
		if b := h.blocks[o.Shard]; b != nil && b.token == o.FencingToken {
			h.orders(now, b, o)
		}
	}
}

// orders carries out what the leader says of a block.
func (h *Holder) orders(now clock.Micros, b *heldBlock, o peer.ShardOrders) {
	for _, name := range o.Added {
		m := b.machine(name)
		m.known = true
		b.mark(m)
	}
	for _, name := range o.Drain {
		m := b.machine(name)
		m.drain = true
		b.mark(m)
	}
	for _, name := range o.Terminated {
		h.removeMachine(b, b.machine(name))
	}
	for _, t := range o.Persisted {
		for _, r := range b.byTask[t] {
			if r.state == exited {
				r.stored = true
				b.settle(r)
			}
		}
	}
	for _, name := range o.Exclude {
		b.machine(name).rest = true
	}
	for _, name := range o.Include {
		b.machine(name).rest = false
	}
	h.stopTasks(now, b, o.Stop)
	if len(o.Offers) > 0 {
		h.cycle(now, b, o.Offers)
		b.taken = o.OfferSeq
		if b.writing == nil {
			b.seq, b.tell = o.OfferSeq, true
		}
	}
}

// removeMachine takes in that a machine is deleted: nothing runs there any more.
func (h *Holder) removeMachine(b *heldBlock, m *machine) {
	m.gone = true
	b.mark(m)
	for _, r := range slices.Clone(m.recs) {
		if r.state == recording {
			r.stop = stopAtOnce
		} else {
			b.lose(r, peer.EventReleased)
		}
	}
	h.book.Drop(m.name)
}

// stopTasks ends all attempts of tasks, with one direct command to each machine.
func (h *Holder) stopTasks(now clock.Micros, b *heldBlock, tasks []peer.StopTask) {
	var stopped []*machine
	kills := map[*machine][]wire.Command{}
	for _, s := range tasks {
		for _, r := range b.byTask[s.Task] {
			if !r.toStop(now, s.Checkpoint) {
				continue
			}
			if kills[r.m] == nil {
				stopped = append(stopped, r.m)
			}
			kills[r.m] = append(kills[r.m], r.kill())
		}
	}
	for _, m := range stopped {
		h.direct(b, m, kills[m])
	}
}

// toStop notes that an attempt is to end, and says whether its worker is to be told now.
func (r *taskAttempt) toStop(now clock.Micros, save bool) bool {
	how := stopAtOnce
	if save && r.group.CheckpointS > 0 {
		how = stopWithSave
	}
	if r.stop >= how {
		return false
	}
	r.stop = how
	if r.state == exited {
		return false // a late copy of its order must find it listed still
	}
	r.stopAt = now
	return r.state != recording
}

// fit says whether a machine can be given tasks now. One that only answers commands, while
// none of its reports comes, has a lease that runs out whatever it answers.
func (h *Holder) fit(now clock.Micros, b *heldBlock, m *machine) bool {
	fresh := 3 * h.p.HeartbeatInterval
	return now-max(m.answered, b.since) < fresh && m.shown && m.known && !m.drain && !m.notice && !m.gone && !m.lost && m.deaf == 0 && now-m.heard < fresh
}

// room is what is free on a machine; kept until something changes there.
func (h *Holder) room(m *machine) *placement.Machine {
	if m.free != nil {
		return m.free
	}
	t := h.types[m.typ]
	pm := &placement.Machine{Name: m.name, Type: m.typ, Zone: m.zone, Spot: m.spot, CPUs: t.CPUs, GPUs: t.GPUs, Memory: t.MemoryGB, Images: m.images,
		Capacity: rebalancer.Resources{CPUs: t.CPUs, GPUs: t.GPUs, Memory: t.MemoryGB}}
	for _, r := range m.recs {
		if r.state == exited {
			continue
		}
		pm.CPUs -= r.group.CPUs
		pm.GPUs -= r.group.GPUs
		pm.Memory -= r.group.MemoryGB
		if !r.running {
			pm.Unstarted++
			pm.Fetches = append(pm.Fetches, r.group.Image)
		}
	}
	m.free = pm
	return pm
}

// askAnew tells the leader that the block needs a new grant.
func (h *Holder) askAnew(b *heldBlock) {
	h.emit(SendToLeader{peer.ToLeader{Term: h.epoch, Updates: []peer.ShardUpdate{{Shard: b.id, FencingToken: b.token, NeedsRegrant: true}}}})
}

// void gives up a block whose machines or key show a newer token.
func (h *Holder) void(b *heldBlock) {
	h.askAnew(b)
	delete(h.blocks, b.id)
}
