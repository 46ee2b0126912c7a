package stage

import (
	"sync"
	"time"

	"swiftledge/internal/clock"
	"swiftledge/internal/fake"
	"swiftledge/internal/store"
	"swiftledge/wire"
)

// StateLimits are the limits of the state service and its latency.
type StateLimits struct {
	RPS, WriteRPS, ValueKB float64
	TxnOps                 int
	// Latency is the time that a request takes, one half before it is executed and one half after.
	Latency time.Duration
}

// State is the state service.
type State struct {
	Address string

	limits StateLimits
	clock  clock.Steady

	mutex    sync.Mutex
	store    *fake.Store
	changed  chan struct{} // closed at the next change
	requests bucket
	writes   bucket
}

// bucket allows a rate with bursts of one second's worth.
type bucket struct {
	rate, level float64
	filledAt    clock.Micros
}

func (b *bucket) take(now clock.Micros, amount float64) bool {
	b.level = min(b.rate, b.level+(now-b.filledAt).Seconds()*b.rate)
	b.filledAt = now
	if b.level < amount {
		return false
	}
	b.level -= amount
	return true
}

// NewState returns an empty state service.
func NewState(limits StateLimits, steady clock.Steady) *State {
	return &State{
		limits: limits, clock: steady,
		store: fake.NewStore(limits.ValueKB, limits.TxnOps), changed: make(chan struct{}),
		requests: bucket{rate: limits.RPS, level: limits.RPS},
		writes:   bucket{rate: limits.WriteRPS, level: limits.WriteRPS},
	}
}

// admit reports whether a request with a number of writes is within the limits.
func (s *State) admit(writes int) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.clock.Now()
	return s.requests.take(now, 1) && s.writes.take(now, float64(writes))
}

// execute carries out a transaction.
func (s *State) execute(txn wire.Txn) (result store.TxnResult, problem string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	before := s.revision()
	result, problem = s.store.Txn(txn)
	s.wake(before)
	return result, problem
}

// revision returns the current revision. The mutex must be held.
func (s *State) revision() uint64 {
	_, revision := s.store.List(" ") // no key begins with a blank
	return revision
}

// wake wakes the watches after a change. The mutex must be held.
func (s *State) wake(before uint64) {
	if s.revision() == before {
		return
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// expireLeases ends the leases that were not renewed in time.
func (s *State) expireLeases() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	before := s.revision()
	s.store.ExpireLeases(s.clock.Now())
	s.wake(before)
}
