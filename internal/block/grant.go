package block

import (
	"maps"
	"slices"

	"swiftledge/internal/clock"
	"swiftledge/internal/peer"
)

func (h *Holder) grant(now clock.Micros, g peer.Grant) {
	old := h.blocks[g.Block]
	if old != nil && old.token >= g.Token {
		return
	}
	b := &heldBlock{id: g.Block, token: g.Token, stamp: g.Stamp, since: now, machines: map[string]*machine{},
		byTask: map[peer.Task][]*taskAttempt{}, attempts: map[peer.Task]int{}}
	if old != nil {
		// What is known of the machines stays useful; what may run on them is read anew from the records.
		for _, m := range old.order {
			n := b.machine(m.name)
			n.address, n.typ, n.zone, n.spot = m.address, m.typ, m.zone, m.spot
			n.session, n.seq, n.beatSession, n.beatSeq = m.session, m.seq, m.beatSession, m.beatSeq
			n.began = m.began
			n.heard, n.answered, n.notice, n.gone = m.heard, m.answered, m.notice, m.gone
			n.deaf, n.unanswered, n.images, n.failed = m.deaf, m.unanswered, m.images, m.failed
		}
		b.expires = old.expires
	}
	for _, r := range g.Machines {
		m := b.machine(r.Name)
		m.known = true
		if m.address == "" {
			m.address = r.Address
		}
	}
	var over []*taskAttempt
	for _, key := range slices.Sorted(maps.Keys(g.Pages)) {
		src := g.Pages[key]
		pg := &page{key: key, fixed: true, token: src.Token}
		for i := range src.Groups {
			grp := &src.Groups[i]
			// The leader hands out no page that cannot be read in full.
			records, _ := src.Records(grp)
			pg.stored += len(records)
			for _, r := range records {
				m := b.machine(r.Machine)
				if m.find(r.Attempt) != nil {
					continue
				}
				rc := &taskAttempt{task: peer.Task{Job: grp.Job, Index: r.Index}, attempt: r.Attempt, m: m, group: grp, state: ordered, inherited: true}
				b.add(rc)
				pg.add(rc)
				if !m.known || m.gone {
					// Machines leave the roster only after their proven end, some time after it:
					// a new leader may still list what its predecessor has deleted.
					over = append(over, rc)
				}
			}
		}
		b.pages = append(b.pages, pg)
	}
	for _, r := range over {
		b.lose(r, peer.Back)
	}
	h.blocks[g.Block] = b
	b.tell = true
	// Most machines report here within moments, which shows them our token; a direct
	// command to each of hundreds would cost more than all else in a takeover. Those
	// that do not come are fenced by tick.
	for i, r := range g.Machines {
		if m := b.machines[r.Name]; i < fenceAtOnce && !h.overloaded(now) {
			h.fence(now, b, m)
		} else {
			m.fenced = now
		}
	}
}
