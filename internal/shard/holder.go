// Package shard implements the role of a controller as a holder of shard leases. A shard is a fixed subset of the
// machines. The leader grants the lease of a shard, under a fencing token, to one controller at a time.
//
// The Holder owns the state of the machines in its shards and of the task attempts on these machines. It answers the
// heartbeats of the machines' agents, sends the agents commands, places the tasks offered by the leader by auction, and
// writes a write-ahead record of each attempt to the store before it sends the run command. It takes a Message and the
// current time and returns Effects, which the caller carries out in order.
//
// The package does no I/O and starts no goroutines. To return a task to the leader, or to release it, is to report that
// the task is on no machine of the shard, so that the leader can dispatch it again. A Holder never does so while an
// attempt of the task may still run. An attempt is proven to have ended by its agent's status, by the expiry of the
// agent's lease, or by a higher fencing token.
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

// Params are the settings of a Holder.
type Params struct {
	// Controller is the name of the controller that this Holder is part of.
	Controller string
	// GrantTime is how long a renewed shard lease lasts.
	GrantTime clock.Micros
	// LongestGrant is the longest time that any other holder's shard lease may last.
	LongestGrant clock.Micros
	// AgentLease is how long an agent keeps its tasks without a reply to its heartbeats.
	AgentLease clock.Micros
	// HeartbeatInterval is the time between two heartbeats of an agent.
	HeartbeatInterval clock.Micros
	// MaxValueBytes and MaxTxnOps are the store's limits on the size of a value and the operations of a transaction.
	MaxValueBytes int
	MaxTxnOps     int
	// LoadBound limits the load of the machines on which tasks are placed; nil: no limit.
	LoadBound *load.Bound
	// TracingEnabled says whether spans are recorded for attempts.
	TracingEnabled bool
}

// Holder manages the shards whose leases this controller holds. It is not safe for concurrent use.
type Holder struct {
	params          Params
	placementParams placement.Params
	leader          leaderLink
	overload        overloadDetector
	pauseDetector   pausedetect.Detector
	shards          map[int]*heldShard
	holders         []string // by shard: the controller that holds it
	machineTypes    map[string]wire.MachineType
	visits          *placement.VisitHistory // the machines to which tasks of each image were assigned
	fetchRates      *load.FetchRates        // as measured on this controller's machines
	lastStatus      clock.Micros            // when the last status of any agent arrived
	storeOK         func() bool             // reports whether the store is available to this controller
	effects         []Effect                // of the current Step
}

// New returns a Holder without shards. The result of storeOK is reported to the leader, which uses the result to tell
// whether the store fails for one controller or for all controllers.
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

// FromConfig returns a Holder with the settings of a controller.
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
		params.LoadBound = &load.Bound{MaxRelativeLoad: spread.Bound, ImbalanceCostS: spread.ImbalanceCostS}
	}
	tuning := cfg.Tuning.Placement
	auction := placement.Params{DecayRate: tuning.AffinityDecay, Eta: tuning.MinAffinity, Epsilon: tuning.MinPriceRise,
		LoadOffset: tuning.UnstartedOffset}
	return New(params, auction, storeOK)
}

// Step handles one message and returns the resulting effects.
func (h *Holder) Step(now clock.Micros, message Message) []Effect {
	h.effects = nil
	if pauseStart, paused := h.pauseDetector.Observe(now); paused {
		h.handlePause(pauseStart, now)
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

// handlePause reports that this process was paused, and which shard leases expired during the pause.
func (h *Holder) handlePause(pauseStart, now clock.Micros) {
	pause := pausedetect.Pause{Start: pauseStart, End: now}
	for id, s := range h.shardsInOrder() {
		if expiresAt := s.lease.expiresAt; expiresAt > pauseStart && expiresAt <= now {
			// The status shows this text to operators, who know a shard lease as the grant of a block.
			pause.Expired = append(pause.Expired, fmt.Sprintf("grant of block %d", id))
		}
	}
	h.emit(PauseDetected{pause})
}

// shardsInOrder yields the held shards in ascending order of their numbers.
func (h *Holder) shardsInOrder() iter.Seq2[int, *heldShard] {
	return func(yield func(int, *heldShard) bool) {
		for _, id := range slices.Sorted(maps.Keys(h.shards)) {
			if !yield(id, h.shards[id]) {
				return
			}
		}
	}
}

// shardWithToken returns the shard if it is held under the fencing token, and nil otherwise.
func (h *Holder) shardWithToken(id int, token wire.FencingToken) *heldShard {
	if s := h.shards[id]; s != nil && s.lease.fencingToken == token {
		return s
	}
	return nil
}

// machineWithToken returns a machine and its shard if the shard is held under the fencing token, and nil otherwise.
func (h *Holder) machineWithToken(id int, token wire.FencingToken, name string) (*heldShard, *machine) {
	s := h.shardWithToken(id, token)
	if s == nil {
		return nil, nil
	}
	return s, s.machines[name]
}

// dropShard drops a shard whose machines or store key show a newer token, which makes the state in this Holder
// obsolete.
func (h *Holder) dropShard(s *heldShard) {
	h.requestRegrant(s)
	delete(h.shards, s.id)
}

// requestRegrant asks the leader for a new grant of the shard.
func (h *Holder) requestRegrant(s *heldShard) {
	update := peer.ShardUpdate{Shard: s.id, FencingToken: s.lease.fencingToken, NeedsRegrant: true}
	h.emit(SendToLeader{peer.ToLeader{Term: h.leader.term, Updates: []peer.ShardUpdate{update}}})
}
