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
	params          Params
	placementParams placement.Params
	term            cluster.Term
	connected       bool
	viaStore        bool // the link's messages take seconds
	shards          map[int]*heldShard
	holders         []string
	machineTypes    map[string]wire.MachineType
	images          *placement.Book
	fetchRates      *rebalancer.FetchRates // as seen on this controller's machines
	renewSeq        uint64
	renewSentAt     map[uint64]clock.Micros
	lastRenewal     clock.Micros
	lastUpdate      clock.Micros
	lastStatus      clock.Micros // when any worker was last heard
	lastTick        clock.Micros // when the last Tick was handled
	lastLateTick    clock.Micros // when a Tick was last handled late
	pauseDetector   pausedetect.Detector
	storeOK         func() bool
	effects         []Effect
}

// New makes a holder without blocks. storeOK is told to the others, who judge
// by it whether the state service fails one node or all.
func New(p Params, t placement.Params, storeOK func() bool) *Holder {
	return &Holder{params: p, placementParams: t, shards: map[int]*heldShard{}, machineTypes: map[string]wire.MachineType{},
		images: placement.NewBook(), fetchRates: rebalancer.NewFetchRates(), renewSentAt: map[uint64]clock.Micros{}, storeOK: storeOK}
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
	if began, paused := h.pauseDetector.Observe(now); paused {
		h.handlePause(began, now)
	}
	switch m := msg.(type) {
	case LeaderConnected:
		if m.Term >= h.term {
			h.term, h.connected, h.viaStore = m.Term, true, m.ViaStore
			h.renewSentAt = map[uint64]clock.Micros{}
			h.sendRenew(now)
		}
	case LeaderDisconnected:
		if m.Term == h.term {
			h.connected = false
		}
	case LeaderMessage:
		h.handleLeaderMessage(now, m.Message)
	case HeartbeatReceived:
		h.handleHeartbeat(now, m)
	case CommandsAnswered:
		h.handleCommandsAnswered(now, m)
	case InspectionAnswered:
		h.handleInspection(now, m)
	case AttemptsWritten:
		h.handleAttemptsWritten(now, m)
	case PagesCompacted:
		h.handlePagesCompacted(m)
	case Tick:
		h.handleTick(now)
	}
	h.sendUpdates(now)
	return h.effects
}

// handlePause tells that this controller stood still, and which grants ran out meanwhile.
func (h *Holder) handlePause(began, now clock.Micros) {
	p := pausedetect.Pause{Began: began, Ended: now}
	for _, id := range slices.Sorted(maps.Keys(h.shards)) {
		if e := h.shards[id].expiresAt; e > began && e <= now {
			p.Expired = append(p.Expired, fmt.Sprintf("grant of block %d", id))
		}
	}
	h.emit(PauseDetected{p})
}

func (h *Holder) emit(e Effect) { h.effects = append(h.effects, e) }

func (h *Holder) sendRenew(now clock.Micros) {
	h.renewSeq++
	h.lastRenewal = now
	h.renewSentAt[h.renewSeq] = now
	delete(h.renewSentAt, h.renewSeq-16)
	h.emit(SendToLeader{peer.ToLeader{Term: h.term, RenewSeq: h.renewSeq, StoreOK: h.storeOK(), NoAgentContact: h.hasLostAgentContact(now)}})
}

func (h *Holder) handleLeaderMessage(now clock.Micros, d *peer.FromLeader) {
	// An older leader's word, late or from a link that outlived its epoch.
	if d.Term != h.term || !h.connected {
		return
	}
	if d.Holders != nil {
		h.holders = d.Holders
		for id, name := range d.Holders {
			// The block goes elsewhere: its workers are sent there from now on.
			if h.shards[id] != nil && name != "" && name != h.params.Controller {
				delete(h.shards, id)
			}
		}
	}
	for _, t := range d.Types {
		h.machineTypes[t.Name] = t
		h.fetchRates.Published(t.Name, t.FetchGBPS)
	}
	for _, g := range d.Grants {
		h.acceptGrant(now, g)
	}
	if len(d.Grants) > 0 {
		h.sendRenew(now)
	}
	// The time runs from when we asked, not from when the answer came.
	if at, ok := h.renewSentAt[d.RenewedSeq]; ok && d.RenewedSeq > 0 {
		for id, token := range d.FencingTokens {
			if b := h.shards[id]; b != nil && b.fencingToken == token {
				b.expiresAt = max(b.expiresAt, at+h.params.GrantTime.Shorter())
			}
		}
	}
	for _, o := range d.Orders {
		if b := h.shards[o.Shard]; b != nil && b.fencingToken == o.FencingToken {
			h.applyOrders(now, b, o)
		}
	}
}

// applyOrders carries out what the leader says of a block.
func (h *Holder) applyOrders(now clock.Micros, b *heldShard, o peer.ShardOrders) {
	for _, name := range o.Added {
		m := b.ensureMachine(name)
		m.inInventory = true
		b.markChanged(m)
	}
	for _, name := range o.Drain {
		m := b.ensureMachine(name)
		m.draining = true
		b.markChanged(m)
	}
	for _, name := range o.Terminated {
		h.terminateMachine(b, b.ensureMachine(name))
	}
	for _, t := range o.Persisted {
		for _, r := range b.byTask[t] {
			if r.state == attemptExited {
				r.endPersisted = true
				b.releaseRecord(r)
			}
		}
	}
	for _, name := range o.Exclude {
		b.ensureMachine(name).excluded = true
	}
	for _, name := range o.Include {
		b.ensureMachine(name).excluded = false
	}
	h.stopTasks(now, b, o.Stop)
	if len(o.Offers) > 0 {
		h.placeOffers(now, b, o.Offers)
		b.takenOfferSeq = o.OfferSeq
		if b.writing == nil {
			b.settledOfferSeq, b.urgent = o.OfferSeq, true
		}
	}
}

// terminateMachine takes in that a machine is deleted: nothing runs there any more.
func (h *Holder) terminateMachine(b *heldShard, m *machine) {
	m.terminated = true
	b.markChanged(m)
	for _, r := range slices.Clone(m.attempts) {
		if r.state == attemptRecording {
			r.stopMode = stopImmediately
		} else {
			b.removeAttempt(r, peer.EventReleased)
		}
	}
	h.images.Drop(m.name)
}

// stopTasks ends all attempts of tasks, with one direct command to each machine.
func (h *Holder) stopTasks(now clock.Micros, b *heldShard, tasks []peer.StopTask) {
	var stopped []*machine
	kills := map[*machine][]wire.Command{}
	for _, s := range tasks {
		for _, r := range b.byTask[s.Task] {
			if !r.requestStop(now, s.Checkpoint) {
				continue
			}
			if kills[r.machine] == nil {
				stopped = append(stopped, r.machine)
			}
			kills[r.machine] = append(kills[r.machine], r.killCommand())
		}
	}
	for _, m := range stopped {
		h.sendCommands(b, m, kills[m])
	}
}

// requestStop notes that an attempt is to end, and says whether its worker is to be told now.
func (r *taskAttempt) requestStop(now clock.Micros, save bool) bool {
	how := stopImmediately
	if save && r.group.CheckpointS > 0 {
		how = stopWithCheckpoint
	}
	if r.stopMode >= how {
		return false
	}
	r.stopMode = how
	if r.state == attemptExited {
		return false // a late copy of its order must find it listed still
	}
	r.stopRequestedAt = now
	return r.state != attemptRecording
}

// isSchedulable says whether a machine can be given tasks now. One that only answers commands, while
// none of its reports comes, has a lease that runs out whatever it answers.
func (h *Holder) isSchedulable(now clock.Micros, b *heldShard, m *machine) bool {
	fresh := 3 * h.params.HeartbeatInterval
	return now-max(m.lastReply, b.grantedAt) < fresh && m.tokenConfirmed && m.inInventory && !m.draining && !m.preemptionNotice && !m.terminated && !m.leaseExpired && m.unreachableSince == 0 && now-m.lastStatus < fresh
}

// freeCapacity is what is free on a machine; kept until something changes there.
func (h *Holder) freeCapacity(m *machine) *placement.Machine {
	if m.freeCapacity != nil {
		return m.freeCapacity
	}
	t := h.machineTypes[m.typeName]
	pm := &placement.Machine{Name: m.name, Type: m.typeName, Zone: m.zone, Spot: m.spot, CPUs: t.CPUs, GPUs: t.GPUs, Memory: t.MemoryGB, Images: m.images,
		Capacity: rebalancer.Resources{CPUs: t.CPUs, GPUs: t.GPUs, Memory: t.MemoryGB}}
	for _, r := range m.attempts {
		if r.state == attemptExited {
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
	m.freeCapacity = pm
	return pm
}

// requestRegrant tells the leader that the block needs a new grant.
func (h *Holder) requestRegrant(b *heldShard) {
	h.emit(SendToLeader{peer.ToLeader{Term: h.term, Updates: []peer.ShardUpdate{{Shard: b.id, FencingToken: b.fencingToken, NeedsRegrant: true}}}})
}

// dropShard gives up a block whose machines or key show a newer token.
func (h *Holder) dropShard(b *heldShard) {
	h.requestRegrant(b)
	delete(h.shards, b.id)
}
