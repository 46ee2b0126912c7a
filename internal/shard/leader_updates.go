package shard

import (
	"slices"

	"swiftledge/internal/clock"
	"swiftledge/internal/peer"
)

// pendingUpdate gathers what the leader is to be told of a shard.
type pendingUpdate struct {
	events           []peer.TaskEvent
	machines         []*machine // whose state changed
	receivedOfferSeq uint64     // of the leader's offers that were placed
	settledOfferSeq  uint64     // of those whose attempt records were written, too
	urgent           bool       // the leader waits for it
}

func (u *pendingUpdate) addEvent(event peer.TaskEvent) { u.events = append(u.events, event) }

// settleOffers notes that all offers so far are settled, which the leader waits for.
func (u *pendingUpdate) settleOffers() { u.settledOfferSeq, u.urgent = u.receivedOfferSeq, true }

func (u *pendingUpdate) isEmpty() bool { return len(u.events)+len(u.machines) == 0 }

// clear empties the update after it was sent.
func (u *pendingUpdate) clear() { u.events, u.machines, u.urgent = nil, nil, false }

// sendUpdates tells the leader what has changed.
func (h *Holder) sendUpdates(now clock.Micros) {
	if !h.leader.connected {
		return
	}
	due := h.leader.isUpdateDue(now)
	var updates []peer.ShardUpdate
	for _, s := range h.shardsInOrder() {
		if s.update.urgent || due && !s.update.isEmpty() {
			updates = append(updates, h.takeUpdate(now, s))
		}
	}
	if len(updates) > 0 {
		h.leader.lastUpdate = now
		h.emit(SendToLeader{peer.ToLeader{Term: h.leader.term, StoreOK: h.storeOK(), Updates: updates}})
	}
}

// takeUpdate returns what has gathered for a shard, and begins anew.
func (h *Holder) takeUpdate(now clock.Micros, s *heldShard) peer.ShardUpdate {
	update := peer.ShardUpdate{
		Shard:           s.id,
		FencingToken:    s.lease.fencingToken,
		SettledOfferSeq: s.update.settledOfferSeq,
		Events:          s.update.events,
	}
	for _, m := range s.update.machines {
		m.changed, m.reportedSchedulable = false, h.isSchedulable(now, s, m)
		update.Machines = append(update.Machines, h.machineState(m))
	}
	s.update.clear()
	return update
}

// machineState returns a machine's state for the leader.
func (h *Holder) machineState(m *machine) peer.MachineState {
	free := h.freeCapacity(m)
	state := peer.MachineState{
		Name:             m.name,
		Type:             m.info.typeName,
		Zone:             m.info.zone,
		Address:          m.info.address,
		Spot:             m.info.spot,
		Schedulable:      m.reportedSchedulable,
		Silent:           m.silent,
		PreemptionNotice: m.info.preemptionNotice,
		Terminated:       m.terminated,
		TokenConfirmed:   m.fence.confirmed,
		CPUs:             free.Free.CPUs,
		GPUs:             free.Free.GPUs,
		MemoryGB:         free.Free.Memory,
	}
	for _, a := range m.attempts {
		if a.state == attemptExited {
			continue
		}
		state.Tasks++
		if !slices.Contains(state.Images, a.group.Image) {
			state.Images = append(state.Images, a.group.Image)
		}
	}
	return state
}
