// Package shard is a controller's part as the holder of shard leases. A shard is a fixed share of the machines; the
// leader grants its lease, under a fencing token, to one controller at a time.
//
// The Holder owns what is known of the machines of its shards and of the task attempts on them. It answers the
// heartbeats of their agents, sends them commands, places the tasks that the leader offers by auction, and keeps a
// write-ahead record of each attempt in the store before the run command goes out. A Message and the time go in;
// Effects come out, in the order in which they are to be carried out.
//
// The package does no I/O and starts no goroutines. It never gives a task back while an attempt of it may still run:
// an attempt ends by the word of its agent, by the end of the agent's lease, or by a higher fencing token.
package shard

import (
	"fmt"
	"iter"
	"maps"
	"slices"

	"swiftledge/internal/clock"
	"swiftledge/internal/config"
	"swiftledge/internal/load"
	"swiftledge/internal/pausedetect"
	"swiftledge/internal/peer"
	"swiftledge/internal/placement"
	"swiftledge/wire"
)

// Params are a Holder's settings.
type Params struct {
	// Controller is the name of the controller that this Holder is part of.
	Controller string
	// GrantTime is how long a renewed shard lease lasts.
	GrantTime clock.Micros
	// LongestGrant is the most that any other holder's shard lease may last.
	LongestGrant clock.Micros
	// AgentLease is how long an agent keeps its tasks without a reply to its heartbeats.
	AgentLease clock.Micros
	// HeartbeatInterval is the pause between two heartbeats of an agent.
	HeartbeatInterval clock.Micros
	// MaxValueBytes and MaxTxnOps are what the store takes in one value and in one transaction.
	MaxValueBytes int
	MaxTxnOps     int
	// LoadBound limits where tasks are placed, by load; nil: nothing does.
	LoadBound *load.Bound
	// TracingEnabled asks for spans of the attempts.
	TracingEnabled bool
}

// Holder holds the leases of shards. It is not safe for concurrent use.
type Holder struct {
	params          Params
	placementParams placement.Params
	leader          leaderLink
	overload        overloadDetector
	pauseDetector   pausedetect.Detector
	shards          map[int]*heldShard
	holders         []string // by shard: the controller that answers its agents
	machineTypes    map[string]wire.MachineType
	visits          *placement.VisitHistory
	fetchRates      *load.FetchRates // as seen on this controller's machines
	lastStatus      clock.Micros     // when any agent's status last came
	storeOK         func() bool
	effects         []Effect
}

// New returns a Holder without shards. The result of storeOK goes to the leader, which judges by it whether the
// store fails one controller or all.
func New(params Params, placementParams placement.Params, storeOK func() bool) *Holder {
	return &Holder{
		params:          params,
		placementParams: placementParams,
		leader:          leaderLink{renewSentAt: map[uint64]clock.Micros{}},
		shards:          map[int]*heldShard{},
		machineTypes:    map[string]wire.MachineType{},
		visits:          placement.NewVisitHistory(),
		fetchRates:      load.NewFetchRates(),
		storeOK:         storeOK,
	}
}

// FromConfig returns the Holder that a controller's settings ask for.
func FromConfig(cfg *config.Config, storeOK func() bool) *Holder {
	params := Params{
		Controller:        cfg.Name,
		GrantTime:         cfg.GrantTime(),
		LongestGrant:      cfg.LongestGrantTime(),
		AgentLease:        cfg.AgentLeaseTime(),
		HeartbeatInterval: clock.FromSeconds(cfg.Facts.Workers.ReportS),
		MaxValueBytes:     cfg.TargetValueBytes(),
		MaxTxnOps:         cfg.MaxTxnWrites(),
		TracingEnabled:    cfg.Tuning.Trace.File != "",
	}
	if spread := cfg.Tuning.Spread; spread.Enabled {
		params.LoadBound = &load.Bound{MaxRelativeLoad: spread.Bound, ImbalanceCostS: spread.ImbalanceS}
	}
	tuning := cfg.Tuning.Placement
	auction := placement.Params{DecayRate: tuning.AffinityDecay, Eta: tuning.MinAffinity, Epsilon: tuning.MinPriceRise,
		LoadOffset: tuning.UnstartedOffset}
	return New(params, auction, storeOK)
}

// Step handles one message and returns the effects that follow from it.
func (h *Holder) Step(now clock.Micros, message Message) []Effect {
	h.effects = nil
	if began, paused := h.pauseDetector.Observe(now); paused {
		h.handlePause(began, now)
	}
	switch m := message.(type) {
	case LeaderConnected:
		h.handleLeaderConnected(now, m)
	case LeaderDisconnected:
		h.leader.disconnect(m.Term)
	case LeaderMessage:
		h.handleLeaderMessage(now, m.Message)
	case HeartbeatReceived:
		h.handleHeartbeat(now, m)
	case CommandsAnswered:
		h.handleCommandsAnswered(now, m)
	case InspectionAnswered:
		h.handleInspectionAnswered(now, m)
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

func (h *Holder) emit(effect Effect) { h.effects = append(h.effects, effect) }

// handlePause reports that this process was paused, and which shard leases expired meanwhile.
func (h *Holder) handlePause(began, now clock.Micros) {
	pause := pausedetect.Pause{Began: began, Ended: now}
	for id, s := range h.shardsInOrder() {
		if expiresAt := s.lease.expiresAt; expiresAt > began && expiresAt <= now {
			// Operators read this text in the status, in their own words.
			pause.Expired = append(pause.Expired, fmt.Sprintf("grant of block %d", id))
		}
	}
	h.emit(PauseDetected{pause})
}

// shardsInOrder yields the held shards by their numbers.
func (h *Holder) shardsInOrder() iter.Seq2[int, *heldShard] {
	return func(yield func(int, *heldShard) bool) {
		for _, id := range slices.Sorted(maps.Keys(h.shards)) {
			if !yield(id, h.shards[id]) {
				return
			}
		}
	}
}

// shardUnder returns the shard if it is held under the fencing token, else nil.
func (h *Holder) shardUnder(id int, token wire.FencingToken) *heldShard {
	if s := h.shards[id]; s != nil && s.lease.fencingToken == token {
		return s
	}
	return nil
}

// machineUnder returns a machine and its shard if the shard is held under the fencing token, else nil.
func (h *Holder) machineUnder(id int, token wire.FencingToken, name string) (*heldShard, *machine) {
	s := h.shardUnder(id, token)
	if s == nil {
		return nil, nil
	}
	return s, s.machines[name]
}

// dropShard gives up a shard whose machines or store key show a newer token: what is known of it no longer counts.
func (h *Holder) dropShard(s *heldShard) {
	h.requestRegrant(s)
	delete(h.shards, s.id)
}

// requestRegrant asks the leader for a new grant of the shard.
func (h *Holder) requestRegrant(s *heldShard) {
	update := peer.ShardUpdate{Shard: s.id, FencingToken: s.lease.fencingToken, NeedsRegrant: true}
	h.emit(SendToLeader{peer.ToLeader{Term: h.leader.term, Updates: []peer.ShardUpdate{update}}})
}
