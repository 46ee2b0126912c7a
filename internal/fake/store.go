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

// bytesPerKB converts the limit on the size of a value, which the settings give in kilobytes, to bytes.
const bytesPerKB = 1024

// conditionLimitFactor is the number of conditions that a transaction may have for each write that the limit on
// writes allows.
const conditionLimitFactor = 4

// Store is the fake state service: a key-value store with leases, transactions and watches.
type Store struct {
	Down          bool // during an outage the service answers 503 to all requests
	MaxValueBytes int  // limit on the size of one value
	MaxTxnWrites  int  // limit on the number of writes in one transaction
	Writes        int  // number of writes in all transactions so far, failed transactions included

	revision    uint64
	items       map[string]wire.Item
	leases      map[uint64]*lease
	lastLeaseID uint64

	changes          []change // in ascending order of revision
	compactedThrough uint64   // changes up to this revision have been dropped
}

// change is an entry of the change log that serves the watches.
type change struct {
	revision uint64
	event    wire.Event
}

// NewStore returns an empty store with the given limits on the size of a value and the writes of a transaction.
func NewStore(valueKB float64, txnOps int) *Store {
	s := &Store{items: map[string]wire.Item{}, leases: map[uint64]*lease{}}
	s.SetLimits(valueKB, txnOps)
	return s
}

// SetLimits changes the limits. Values that are already stored stay readable.
func (s *Store) SetLimits(valueKB float64, txnOps int) {
	s.MaxValueBytes, s.MaxTxnWrites = int(valueKB*bytesPerKB), txnOps
}

// EndOutage ends an outage and renews every lease for its full TTL.
func (s *Store) EndOutage(now clock.Micros) {
	s.Down = false
	for _, l := range s.leases {
		l.expiresAt = now + l.ttl
	}
}

// Get returns the item of a key, and false if the key does not exist.
func (s *Store) Get(key string) (wire.Item, bool) {
	item, ok := s.items[key]
	return item, ok
}

// List returns the items whose keys have a prefix, sorted by key, and the store's revision.
func (s *Store) List(prefix string) ([]wire.Item, uint64) {
	var items []wire.Item
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if strings.HasPrefix(key, prefix) {
			items = append(items, s.items[key])
		}
	}
	return items, s.revision
}

// Txn executes a transaction. It commits the writes if all conditions hold, and returns the keys of the failed
// conditions otherwise. The problem is not empty if the transaction is malformed.
func (s *Store) Txn(txn wire.Txn) (result store.TxnResult, problem string) {
	s.Writes += len(txn.Writes)
	if result, problem = s.findProblem(txn); problem != "" {
		return result, problem
	}
	for _, condition := range txn.Conditions {
		if s.items[condition.Key].Version != condition.Version {
			result.FailedKeys = append(result.FailedKeys, condition.Key)
		}
	}
	result.Committed = len(result.FailedKeys) == 0
	if result.Committed && len(txn.Writes) > 0 {
		s.revision++
		for _, write := range txn.Writes {
			s.apply(write)
		}
	}
	result.Revision = s.revision
	return result, ""
}

// findProblem returns why a transaction is malformed: it exceeds a limit, has a value that is not JSON, or refers to
// a lease that does not exist. The problem is empty if the transaction is valid.
func (s *Store) findProblem(txn wire.Txn) (result store.TxnResult, problem string) {
	if len(txn.Writes) > s.MaxTxnWrites || len(txn.Conditions) > conditionLimitFactor*s.MaxTxnWrites {
		return result, "too many operations"
	}
	for _, write := range txn.Writes {
		if len(write.Value) > s.MaxValueBytes {
			return result, "value of " + write.Put + " is too large"
		}
		if write.Put != "" && !json.Valid(write.Value) {
			return result, "value of " + write.Put + " is not valid JSON"
		}
		if write.Lease != 0 && s.leases[write.Lease] == nil {
			return store.TxnResult{LeaseExpired: true}, "no such lease"
		}
	}
	return result, ""
}

// apply executes one write at the current revision.
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

// deleteKey deletes a key and logs the change if the key exists.
func (s *Store) deleteKey(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.appendChange(wire.Event{Delete: key, Version: s.revision})
	}
}

// appendChange adds an event to the change log at the current revision.
func (s *Store) appendChange(event wire.Event) {
	s.changes = append(s.changes, change{s.revision, event})
}

// CompactChanges drops all changes so far. A watcher that has not received these changes must list the keys again.
func (s *Store) CompactChanges() { s.changes, s.compactedThrough = nil, s.revision }

// HasChangesSince reports whether the change log still holds all changes that were made after a revision.
func (s *Store) HasChangesSince(revision uint64) bool { return revision >= s.compactedThrough }

// ChangesSince returns the changes that were made after a revision to the keys with a prefix.
func (s *Store) ChangesSince(prefix string, revision uint64) wire.WatchResponse {
	response := wire.WatchResponse{Revision: s.revision}
	first, _ := slices.BinarySearchFunc(s.changes, revision+1, func(c change, target uint64) int {
		return int(c.revision) - int(target)
	})
	for _, c := range s.changes[first:] {
		if strings.HasPrefix(c.event.Put+c.event.Delete, prefix) {
			response.Events = append(response.Events, c.event)
		}
	}
	return response
}
