package fake

import (
	"maps"
	"slices"

	"swiftledge/internal/clock"
)

// lease is a lease of the state service: the keys written with it are removed when it ends.
type lease struct {
	ttl, expiresAt clock.Micros
}

// GrantLease makes a lease and returns its number.
func (s *Store) GrantLease(now, ttl clock.Micros) uint64 {
	s.lastLeaseID++
	s.leases[s.lastLeaseID] = &lease{ttl: ttl, expiresAt: now + ttl}
	return s.lastLeaseID
}

// RenewLease renews a lease; false when there is none.
func (s *Store) RenewLease(now clock.Micros, id uint64) bool {
	l := s.leases[id]
	if l == nil {
		return false
	}
	l.expiresAt = now + l.ttl
	return true
}

// RevokeLease ends a lease and removes its keys.
func (s *Store) RevokeLease(id uint64) {
	if s.leases[id] == nil {
		return
	}
	delete(s.leases, id)
	var keys []string
	for key, item := range s.items {
		if item.Lease == id {
			keys = append(keys, key)
		}
	}
	if len(keys) == 0 {
		return
	}
	s.revision++
	slices.Sort(keys)
	for _, key := range keys {
		s.deleteKey(key)
	}
}

// ExpireLeases ends the leases that were not renewed in time; during an outage, none.
func (s *Store) ExpireLeases(now clock.Micros) {
	if s.Down {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(s.leases)) {
		if now >= s.leases[id].expiresAt {
			s.RevokeLease(id)
		}
	}
}
