package fake

import (
	"maps"
	"slices"

	"swiftledge/internal/clock"
)

// lease is a lease of the state service. When it expires or is revoked, the keys written with it are deleted.
type lease struct {
	ttl, expiresAt clock.Micros
}

// GrantLease creates a lease and returns its ID.
func (s *Store) GrantLease(now, ttl clock.Micros) uint64 {
	s.lastLeaseID++
	s.leases[s.lastLeaseID] = &lease{ttl: ttl, expiresAt: now + ttl}
	return s.lastLeaseID
}

// RenewLease renews a lease for its full TTL. It returns false if the lease does not exist.
func (s *Store) RenewLease(now clock.Micros, id uint64) bool {
	l := s.leases[id]
	if l == nil {
		return false
	}
	l.expiresAt = now + l.ttl
	return true
}

// RevokeLease removes a lease and deletes its keys.
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

// ExpireLeases revokes the leases whose TTL has elapsed since their last renewal. During an outage no lease
// expires.
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
