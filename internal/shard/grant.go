package shard

import (
	"maps"
	"slices"

	"swiftledge/internal/clock"
	"swiftledge/internal/peer"
)

// acceptGrant takes a block over. What may run there is read from its start records alone.
func (h *Holder) acceptGrant(now clock.Micros, g peer.ShardGrant) {
	old := h.shards[g.Shard]
	if old != nil && old.fencingToken >= g.FencingToken {
		return
	}
	b := &heldShard{id: g.Shard, fencingToken: g.FencingToken, keyVersion: g.KeyVersion, grantedAt: now, machines: map[string]*machine{},
		byTask: map[peer.Task][]*taskAttempt{}, unreported: map[peer.Task]int{}}
	if old != nil {
		b.inheritMachines(old)
	}
	for _, r := range g.Machines {
		m := b.ensureMachine(r.Name)
		m.inInventory = true
		if m.address == "" {
			m.address = r.Address
		}
	}
	b.loadPages(g.Pages)
	h.shards[g.Shard] = b
	b.urgent = true
	h.fenceFirst(now, b, g.Machines)
}

// inheritMachines takes over what an earlier grant of the block knew of its machines; what may
// run on them is read anew from the records.
func (b *heldShard) inheritMachines(old *heldShard) {
	for _, m := range old.machineOrder {
		n := b.ensureMachine(m.name)
		n.address, n.typeName, n.zone, n.spot = m.address, m.typeName, m.zone, m.spot
		n.epoch, n.seq, n.heartbeatEpoch, n.heartbeatSeq = m.epoch, m.seq, m.heartbeatEpoch, m.heartbeatSeq
		n.epochSince, n.lastOutdated = m.epochSince, m.lastOutdated
		n.lastStatus, n.lastReply, n.preemptionNotice, n.terminated = m.lastStatus, m.lastReply, m.preemptionNotice, m.terminated
		n.unreachableSince, n.unansweredCommands, n.images, n.failedJobs = m.unreachableSince, m.unansweredCommands, m.images, m.failedJobs
	}
	b.expiresAt = old.expiresAt
}

// loadPages takes in the start records of a block.
func (b *heldShard) loadPages(pages map[string]peer.AttemptPage) {
	var over []*taskAttempt
	for _, key := range slices.Sorted(maps.Keys(pages)) {
		source := pages[key]
		pg := &attemptPage{key: key, sealed: true, fencingToken: source.FencingToken}
		for i := range source.Groups {
			group := &source.Groups[i]
			// The leader hands out no page that cannot be read in full.
			records, _ := source.Records(group)
			pg.storedRecords += len(records)
			for _, r := range records {
				m := b.ensureMachine(r.Machine)
				if m.attempt(r.Attempt) != nil {
					continue
				}
				a := &taskAttempt{task: peer.Task{Job: group.Job, Index: r.Index}, id: r.Attempt, machine: m, group: group, state: attemptLaunched, inherited: true}
				b.addAttempt(a)
				pg.add(a)
				if !m.inInventory || m.terminated {
					// Machines leave the roster only after their proven end, some time after it:
					// a new leader may still list what its predecessor has deleted.
					over = append(over, a)
				}
			}
		}
		b.pages = append(b.pages, pg)
	}
	for _, a := range over {
		b.removeAttempt(a, peer.EventReleased)
	}
}

// fenceFirst shows some machines the new token directly. Most report here within moments, which
// shows it to them; a direct command to each of hundreds would cost more than all else in a
// takeover. Those that do not come are fenced by tick.
func (h *Holder) fenceFirst(now clock.Micros, b *heldShard, roster []peer.InventoryMachine) {
	for i, r := range roster {
		if m := b.machines[r.Name]; i < maxFencesPerGrant && !h.overloaded(now) {
			h.fence(now, b, m)
		} else {
			m.lastFence = now
		}
	}
}
