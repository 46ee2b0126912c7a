// Package fake holds our own stand-ins for the state service, the cloud and
// the workers, written from the protocol's pages. They know no time but what
// they are told, so scenarios replay the same each time.
package fake

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"swiftledge/internal/clock"
	"swiftledge/internal/store"
	"swiftledge/wire"
)

type lease struct {
	ttl, ends clock.Micros
}

type change struct {
	rev uint64
	ev  wire.Event
}

// Store is the state service.
type Store struct {
	Down     bool // answers 503 to all
	ValueMax int
	TxnOps   int
	Puts     int

	rev    uint64
	oldest uint64 // changes after it are kept
	items  map[string]wire.Item
	leases map[uint64]*lease
	nextID uint64
	log    []change
}

// NewStore makes an empty store with the limits of the settings.
func NewStore(valueKB float64, txnOps int) *Store {
	return &Store{ValueMax: int(valueKB * 1024), TxnOps: txnOps, items: map[string]wire.Item{}, leases: map[uint64]*lease{}}
}

// Lower sets other limits; what is stored stays readable.
func (s *Store) Lower(valueKB float64, txnOps int) {
	s.ValueMax, s.TxnOps = int(valueKB*1024), txnOps
}

// Expire ends leases that were not renewed in time.
func (s *Store) Expire(now clock.Micros) {
	if s.Down {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(s.leases)) {
		if now >= s.leases[id].ends {
			s.RevokeLease(id)
		}
	}
}

// Up ends an outage: every lease has its full time again.
func (s *Store) Up(now clock.Micros) {
	s.Down = false
	for _, l := range s.leases {
		l.ends = now + l.ttl
	}
}

// GrantLease makes a lease.
func (s *Store) GrantLease(now, ttl clock.Micros) uint64 {
	s.nextID++
	s.leases[s.nextID] = &lease{ttl, now + ttl}
	return s.nextID
}

// Touch renews a lease; false when there is none.
func (s *Store) Touch(now clock.Micros, id uint64) bool {
	l := s.leases[id]
	if l == nil {
		return false
	}
	l.ends = now + l.ttl
	return true
}

// RevokeLease ends a lease and removes its keys.
func (s *Store) RevokeLease(id uint64) {
	if s.leases[id] == nil {
		return
	}
	delete(s.leases, id)
	var keys []string
	for k, it := range s.items {
		if it.Lease == id {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	if len(keys) > 0 {
		s.rev++
	}
	for _, k := range keys {
		delete(s.items, k)
		s.log = append(s.log, change{s.rev, wire.Event{Delete: k, Version: s.rev}})
	}
}

// Get reads a key.
func (s *Store) Get(key string) (wire.Item, bool) {
	it, ok := s.items[key]
	return it, ok
}

// List reads all keys with a prefix.
func (s *Store) List(prefix string) ([]wire.Item, uint64) {
	var out []wire.Item
	for _, k := range slices.Sorted(maps.Keys(s.items)) {
		if strings.HasPrefix(k, prefix) {
			out = append(out, s.items[k])
		}
	}
	return out, s.rev
}

// Txn carries out a transaction; problem tells of one that is malformed.
func (s *Store) Txn(t wire.Txn) (o store.TxnResult, problem string) {
	s.Puts += len(t.Writes)
	if len(t.Writes) > s.TxnOps || len(t.Conditions) > 4*s.TxnOps {
		return o, "too many operations"
	}
	for _, w := range t.Writes {
		if len(w.Value) > s.ValueMax {
			return o, "value of " + w.Put + " is too large"
		}
		if w.Put != "" && !json.Valid(w.Value) {
			return o, "value of " + w.Put + " is no JSON"
		}
		if w.Lease != 0 && s.leases[w.Lease] == nil {
			return store.TxnResult{LeaseExpired: true}, "no such lease"
		}
	}
	for _, g := range t.Conditions {
		if s.items[g.Key].Version != g.Version {
			o.FailedKeys = append(o.FailedKeys, g.Key)
		}
	}
	o.Revision = s.rev
	if len(o.FailedKeys) > 0 || len(t.Writes) == 0 {
		o.Committed = len(o.FailedKeys) == 0
		return o, ""
	}
	s.rev++
	for _, w := range t.Writes {
		if w.Put != "" {
			s.items[w.Put] = wire.Item{Key: w.Put, Value: slices.Clone(w.Value), Version: s.rev, Lease: w.Lease}
			s.log = append(s.log, change{s.rev, wire.Event{Put: w.Put, Value: slices.Clone(w.Value), Version: s.rev}})
		} else if _, ok := s.items[w.Delete]; ok {
			delete(s.items, w.Delete)
			s.log = append(s.log, change{s.rev, wire.Event{Delete: w.Delete, Version: s.rev}})
		}
	}
	o.Committed, o.Revision = true, s.rev
	return o, ""
}

// Forget drops the changes so far: who has not seen them must read the keys again.
func (s *Store) Forget() { s.log, s.oldest = nil, s.rev }

// Known says whether the changes after a revision are still kept.
func (s *Store) Known(rev uint64) bool { return rev >= s.oldest }

// Since gives the changes under a prefix after a revision.
func (s *Store) Since(prefix string, rev uint64) wire.WatchResponse {
	a := wire.WatchResponse{Revision: s.rev}
	i, _ := slices.BinarySearchFunc(s.log, rev+1, func(c change, r uint64) int { return int(c.rev) - int(r) })
	for _, c := range s.log[i:] {
		if strings.HasPrefix(c.ev.Put+c.ev.Delete, prefix) {
			a.Events = append(a.Events, c.ev)
		}
	}
	return a
}
