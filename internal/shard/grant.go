package shard

import (
	"maps"
	"slices"

	"swiftledge/internal/clock"
	"swiftledge/internal/peer"
)

// grant takes a block over. What may run there is read from its start records alone.
func (h *Holder) grant(now clock.Micros, g peer.ShardGrant) {
	old := h.blocks[g.Shard]
	if old != nil && old.token >= g.FencingToken {
		return
	}
	b := &heldBlock{id: g.Shard, token: g.FencingToken, stamp: g.KeyVersion, since: now, machines: map[string]*machine{},
		byTask: map[peer.Task][]*taskAttempt{}, attempts: map[peer.Task]int{}}
	if old != nil {
		b.inheritMachines(old)
	}
	for _, r := range g.Machines {
		m := b.machine(r.Name)
		m.known = true
		if m.address == "" {
			m.address = r.Address
		}
	}
	b.readPages(g.Pages)
	h.blocks[g.Shard] = b
	b.tell = true
	h.fenceFirst(now, b, g.Machines)
}

// inheritMachines takes over what an earlier grant of the block knew of its machines; what may
// run on them is read anew from the records.
func (b *heldBlock) inheritMachines(old *heldBlock) {
	for _, m := range old.order {
		n := b.machine(m.name)
		n.address, n.typ, n.zone, n.spot = m.address, m.typ, m.zone, m.spot
		n.session, n.seq, n.beatSession, n.beatSeq = m.session, m.seq, m.beatSession, m.beatSeq
		n.began, n.stale = m.began, m.stale
		n.heard, n.answered, n.notice, n.gone = m.heard, m.answered, m.notice, m.gone
		n.deaf, n.unanswered, n.images, n.failed = m.deaf, m.unanswered, m.images, m.failed
	}
	b.expires = old.expires
}

// readPages takes in the start records of a block.
func (b *heldBlock) readPages(pages map[string]peer.AttemptPage) {
	var over []*taskAttempt
	for _, key := range slices.Sorted(maps.Keys(pages)) {
		source := pages[key]
		pg := &page{key: key, fixed: true, token: source.FencingToken}
		for i := range source.Groups {
			group := &source.Groups[i]
			// The leader hands out no page that cannot be read in full.
			records, _ := source.Records(group)
			pg.stored += len(records)
			for _, r := range records {
				m := b.machine(r.Machine)
				if m.find(r.Attempt) != nil {
					continue
				}
				a := &taskAttempt{task: peer.Task{Job: group.Job, Index: r.Index}, attempt: r.Attempt, m: m, group: group, state: ordered, inherited: true}
				b.add(a)
				pg.add(a)
				if !m.known || m.gone {
					// Machines leave the roster only after their proven end, some time after it:
					// a new leader may still list what its predecessor has deleted.
					over = append(over, a)
				}
			}
		}
		b.pages = append(b.pages, pg)
	}
	for _, a := range over {
		b.lose(a, peer.EventReleased)
	}
}

// fenceFirst shows some machines the new token directly. Most report here within moments, which
// shows it to them; a direct command to each of hundreds would cost more than all else in a
// takeover. Those that do not come are fenced by tick.
func (h *Holder) fenceFirst(now clock.Micros, b *heldBlock, roster []peer.InventoryMachine) {
	for i, r := range roster {
		if m := b.machines[r.Name]; i < fenceAtOnce && !h.overloaded(now) {
			h.fence(now, b, m)
		} else {
			m.fenced = now
		}
	}
}
