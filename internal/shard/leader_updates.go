package shard

import (
	"slices"

	"swiftledge/internal/clock"
	"swiftledge/internal/peer"
)

// pendingUpdate collects the changes of a shard that are to be sent to the leader.
type pendingUpdate struct {
	events           []peer.TaskEvent
	machines         []*machine // machines whose state changed
	receivedOfferSeq uint64     // sequence number of the last offers received from the leader
	settledOfferSeq  uint64     // sequence number of the last settled offers; see settleOffers
	urgent           bool       // the leader waits for this update, so it is sent at once
}

func (u *pendingUpdate) addEvent(event peer.TaskEvent) { u.events = append(u.events, event) }

// settleOffers marks all offers received so far as settled. An offer is settled once no attempt record of its tasks is
// being written any more. Until then, the leader makes no further offer for the shard's free capacity.
func (u *pendingUpdate) settleOffers() { u.settledOfferSeq, u.urgent = u.receivedOfferSeq, true }

func (u *pendingUpdate) isEmpty() bool { return len(u.events)+len(u.machines) == 0 }

// clear empties the update after it was sent.
func (u *pendingUpdate) clear() { u.events, u.machines, u.urgent = nil, nil, false }

// sendUpdates sends the leader the changes of the shards whose updates are due or urgent.
func (h *Holder) sendUpdates(now clock.Micros) {
	if !h.leader.connected {
		return
	}
	due := h.leader.isUpdateDue(now)
	var updates []peer.ShardUpdate
	for _, s := range h.shardsInOrder() {
		if s.update.urgent || due && !s.update.isEmpty() {
			updates = append(updates, h.flushUpdate(now, s))
		}
	}
	if len(updates) > 0 {
		h.leader.lastUpdate = now
		h.emit(SendToLeader{peer.ToLeader{Term: h.leader.term, StoreOK: h.storeOK(), Updates: updates}})
	}
}

// flushUpdate returns the pending update of a shard and clears it.
func (h *Holder) flushUpdate(now clock.Micros, s *heldShard) peer.ShardUpdate {
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

// machineState returns the state of a machine as reported to the leader.
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
	if free.IsFull() {
		state.CPUs = 0 // the leader offers a machine without free processors no task
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
