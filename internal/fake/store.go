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

// bytesPerKB converts the limit of a value, which the settings give in kilobytes.
const bytesPerKB = 1024

// conditionsPerWrite is how many conditions a transaction may have for each write that it may have.
const conditionsPerWrite = 4

// Store is the state service.
type Store struct {
	Down          bool // it answers 503 to all
	MaxValueBytes int
	MaxTxnWrites  int
	Writes        int // writes of all transactions so far

	revision    uint64
	items       map[string]wire.Item
	leases      map[uint64]*lease
	lastLeaseID uint64

	changes          []change // in the order of their revisions
	compactedThrough uint64   // the changes up to this revision are dropped
}

// change is an entry of the change log.
type change struct {
	revision uint64
	event    wire.Event
}

// NewStore makes an empty store with the limits of the settings.
func NewStore(valueKB float64, txnOps int) *Store {
	s := &Store{items: map[string]wire.Item{}, leases: map[uint64]*lease{}}
	s.SetLimits(valueKB, txnOps)
	return s
}

// SetLimits sets other limits; what is stored stays readable.
func (s *Store) SetLimits(valueKB float64, txnOps int) {
	s.MaxValueBytes, s.MaxTxnWrites = int(valueKB*bytesPerKB), txnOps
}

// EndOutage ends an outage: every lease has its full time again.
func (s *Store) EndOutage(now clock.Micros) {
	s.Down = false
	for _, l := range s.leases {
		l.expiresAt = now + l.ttl
	}
}

// Get reads a key.
func (s *Store) Get(key string) (wire.Item, bool) {
	item, ok := s.items[key]
	return item, ok
}

// List reads all keys with a prefix, and returns the store's revision.
func (s *Store) List(prefix string) ([]wire.Item, uint64) {
	var items []wire.Item
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if strings.HasPrefix(key, prefix) {
			items = append(items, s.items[key])
		}
	}
	return items, s.revision
}

// Txn carries out a transaction; problem tells of one that is malformed.
func (s *Store) Txn(t wire.Txn) (result store.TxnResult, problem string) {
	s.Writes += len(t.Writes)
	if result, problem = s.findProblem(t); problem != "" {
		return result, problem
	}
	for _, condition := range t.Conditions {
		if s.items[condition.Key].Version != condition.Version {
			result.FailedKeys = append(result.FailedKeys, condition.Key)
		}
	}
	result.Committed = len(result.FailedKeys) == 0
	if result.Committed && len(t.Writes) > 0 {
		s.revision++
		for _, write := range t.Writes {
			s.apply(write)
		}
	}
	result.Revision = s.revision
	return result, ""
}

// findProblem returns the problem of a transaction that breaks the limits or names no lease of the store.
func (s *Store) findProblem(t wire.Txn) (result store.TxnResult, problem string) {
	if len(t.Writes) > s.MaxTxnWrites || len(t.Conditions) > conditionsPerWrite*s.MaxTxnWrites {
		return result, "too many operations"
	}
	for _, write := range t.Writes {
		if len(write.Value) > s.MaxValueBytes {
			return result, "value of " + write.Put + " is too large"
		}
		if write.Put != "" && !json.Valid(write.Value) {
			return result, "value of " + write.Put + " is no JSON"
		}
		if write.Lease != 0 && s.leases[write.Lease] == nil {
			return store.TxnResult{LeaseExpired: true}, "no such lease"
		}
	}
	return result, ""
}

// apply carries out one write at the present revision.
func (s *Store) apply(write wire.Write) {
	if write.Put == "" {
		s.deleteKey(write.Delete)
		return
	}
	s.items[write.Put] = wire.Item{
		Key:     write.Put,
		Value:   slices.Clone(write.Value),
		Version: s.revision,
		Lease:   write.Lease,
	}
	s.appendChange(wire.Event{Put: write.Put, Value: slices.Clone(write.Value), Version: s.revision})
}

// deleteKey removes a key, if it is there.
func (s *Store) deleteKey(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.appendChange(wire.Event{Delete: key, Version: s.revision})
	}
}

// appendChange notes a change at the present revision.
func (s *Store) appendChange(event wire.Event) {
	s.changes = append(s.changes, change{s.revision, event})
}

// CompactChanges drops the changes so far: who has not seen them must read the keys again.
func (s *Store) CompactChanges() { s.changes, s.compactedThrough = nil, s.revision }

// HasChangesSince says whether the changes after a revision are still kept.
func (s *Store) HasChangesSince(revision uint64) bool { return revision >= s.compactedThrough }

// ChangesSince returns the changes of keys with a prefix after a revision.
func (s *Store) ChangesSince(prefix string, revision uint64) wire.WatchResponse {
	response := wire.WatchResponse{Revision: s.revision}
	first, _ := slices.BinarySearchFunc(s.changes, revision+1, func(c change, wanted uint64) int {
		return int(c.revision) - int(wanted)
	})
	for _, c := range s.changes[first:] {
		if strings.HasPrefix(c.event.Put+c.event.Delete, prefix) {
			response.Events = append(response.Events, c.event)
		}
	}
	return response
}
