package shard

import (
	"maps"
	"slices"

	"swiftledge/internal/clock"
	"swiftledge/internal/peer"
)

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
	var ups []peer.ShardUpdate
	for _, id := range slices.Sorted(maps.Keys(h.blocks)) {
		b := h.blocks[id]
		if !b.tell && !(due && len(b.events)+len(b.changed) > 0) {
			continue
		}
		u := peer.ShardUpdate{Shard: id, FencingToken: b.token, SettledOfferSeq: b.seq, Events: b.events}
		for _, m := range b.changed {
			m.dirty, m.wasFit = false, h.fit(now, b, m)
			u.Machines = append(u.Machines, h.state(m))
		}
		b.events, b.changed, b.tell = nil, nil, false
		ups = append(ups, u)
	}
	if len(ups) > 0 {
		h.flushed = now
		h.emit(SendToLeader{peer.ToLeader{Term: h.epoch, StoreOK: h.storeOK(), Updates: ups}})
	}
}

func (h *Holder) state(m *machine) peer.MachineState {
	pm := h.room(m)
	s := peer.MachineState{Name: m.name, Type: m.typ, Zone: m.zone, Address: m.address, Spot: m.spot, Schedulable: m.wasFit,
		Silent: m.silent, PreemptionNotice: m.notice, Terminated: m.gone, TokenConfirmed: m.shown, CPUs: pm.CPUs, GPUs: pm.GPUs, MemoryGB: pm.Memory}
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
