package shard

import (
	"maps"
	"slices"

	"swiftledge/internal/clock"
	"swiftledge/internal/peer"
)

// acceptGrant starts a new lease of a shard. Only the attempt records in the grant say which attempts may run there.
func (h *Holder) acceptGrant(now clock.Micros, grant peer.ShardGrant) {
	earlier := h.shards[grant.Shard]
	if earlier != nil && earlier.lease.fencingToken >= grant.FencingToken {
		return
	}
	lease := shardLease{fencingToken: grant.FencingToken, keyVersion: grant.KeyVersion, grantedAt: now}
	s := newHeldShard(grant.Shard, lease)
	if earlier != nil {
		s.inherit(earlier)
	}
	for _, listed := range grant.Machines {
		m := s.ensureMachine(listed.Name)
		m.inInventory = true
		if m.info.address == "" {
			m.info.address = listed.Address
		}
	}
	s.loadPages(grant.Pages)
	h.shards[grant.Shard] = s
	s.update.urgent = true
	h.fenceAfterGrant(now, s, grant.Machines)
}

// inherit copies the state of the machines from an earlier lease, whose expiry applies until the new lease is renewed.
func (s *heldShard) inherit(earlier *heldShard) {
	for _, m := range earlier.machineOrder {
		s.ensureMachine(m.name).inherit(m)
	}
	s.lease.expiresAt = earlier.lease.expiresAt
}

// loadPages adds the attempts recorded under earlier leases.
func (s *heldShard) loadPages(pages map[string]peer.AttemptPage) {
	var ended []*taskAttempt
	for _, key := range slices.Sorted(maps.Keys(pages)) {
		for _, a := range s.loadPage(key, pages[key]) {
			if !a.machine.inInventory || a.machine.terminated {
				// A machine leaves the inventory only some time after its end is proven. A new leader may therefore
				// still list a machine that the former leader has deleted.
				ended = append(ended, a)
			}
		}
	}
	for _, a := range ended {
		s.removeAttempt(a)
	}
}

// loadPage adds the attempts recorded on a page and returns the attempts that were not known yet.
func (s *heldShard) loadPage(key string, source peer.AttemptPage) (added []*taskAttempt) {
	page := &attemptPage{key: key, sealed: true, fencingToken: source.FencingToken}
	for i := range source.Groups {
		group := source.Groups[i]                     // a copy, since the leader may share the page
		group.Image = peer.RecordedImage(group.Image) // an older version stored the full name
		// The leader sends only pages that can be decoded in full.
		records, _ := source.Records(&group)
		page.storedRecords += len(records)
		for _, r := range records {
			m := s.ensureMachine(r.Machine)
			if m.attempt(r.Attempt) != nil {
				continue
			}
			a := &taskAttempt{
				task:      peer.Task{Job: group.Job, Index: r.Index},
				id:        r.Attempt,
				machine:   m,
				group:     &group,
				state:     attemptLaunched,
				inherited: true,
			}
			s.addAttempt(a)
			page.add(a)
			added = append(added, a)
		}
	}
	s.log.pages = append(s.log.pages, page)
	return added
}
