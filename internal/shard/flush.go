package shard

import (
	"maps"
	"slices"

	"swiftledge/internal/clock"
	"swiftledge/internal/peer"
)

// updateInterval is how long what the leader is to know is gathered, so that many
// reports cost it one message; what it waits for goes at once.
const updateInterval = 150 * clock.Millisecond

// sendUpdates tells the leader what has changed.
func (h *Holder) sendUpdates(now clock.Micros) {
	if !h.connected {
		return
	}
	every := updateInterval
	if h.viaStore {
		every = clock.Second
	}
	due := now-h.lastUpdate >= every
	var ups []peer.ShardUpdate
	for _, id := range slices.Sorted(maps.Keys(h.shards)) {
		b := h.shards[id]
		if !b.urgent && !(due && len(b.events)+len(b.changed) > 0) {
			continue
		}
		u := peer.ShardUpdate{Shard: id, FencingToken: b.fencingToken, SettledOfferSeq: b.settledOfferSeq, Events: b.events}
		for _, m := range b.changed {
			m.changed, m.reportedSchedulable = false, h.isSchedulable(now, b, m)
			u.Machines = append(u.Machines, h.machineState(m))
		}
		b.events, b.changed, b.urgent = nil, nil, false
		ups = append(ups, u)
	}
	if len(ups) > 0 {
		h.lastUpdate = now
		h.emit(SendToLeader{peer.ToLeader{Term: h.term, StoreOK: h.storeOK(), Updates: ups}})
	}
}

func (h *Holder) machineState(m *machine) peer.MachineState {
	pm := h.freeCapacity(m)
	s := peer.MachineState{Name: m.name, Type: m.typeName, Zone: m.zone, Address: m.address, Spot: m.spot, Schedulable: m.reportedSchedulable,
		Silent: m.silent, PreemptionNotice: m.preemptionNotice, Terminated: m.terminated, TokenConfirmed: m.tokenConfirmed, CPUs: pm.CPUs, GPUs: pm.GPUs, MemoryGB: pm.Memory}
	for _, r := range m.attempts {
		if r.state != attemptExited {
			s.Tasks++
			if !slices.Contains(s.Images, r.group.Image) {
				s.Images = append(s.Images, r.group.Image)
			}
		}
	}
	return s
}
