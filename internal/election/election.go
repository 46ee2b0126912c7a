// Package election decides which controller leads, by a key attached to a store
// lease. It holds no I/O: a message and the time give effects.
package election

import (
	"encoding/json"
	"errors"
	"fmt"

	"swiftledge/internal/clock"
	"swiftledge/internal/store"
	"swiftledge/wire"
)

// Record is the value of the leader key.
type Record struct {
	Node string `json:"node"`
	Run  uint64 `json:"run"`
}

// Messages to an Elector.
type (
	// Seen is the leader key as the store has it now; Version 0: there is none.
	Seen struct {
		Version  uint64
		Record   Record
		Revision uint64 // of the store, when it was so
	}
	// Leased answers GetLease; Sent is when it was asked.
	Leased struct {
		Lease uint64
		Sent  clock.Micros
		Err   error
	}
	// Claimed answers Claim.
	Claimed struct {
		Lease   uint64
		Outcome store.Outcome
		Err     error
	}
	// Renewed answers Renew; Sent is when it was asked.
	Renewed struct {
		Lease uint64
		Sent  clock.Micros
		Err   error
	}
	// Resign gives the epoch up.
	Resign struct{ Epoch uint64 }
	// Tick lets time pass.
	Tick struct{}
)

// Effects of an Elector.
type (
	// GetLease asks for a store lease.
	GetLease struct{ TTL clock.Micros }
	// Claim asks to create the leader key under a lease.
	Claim struct {
		Lease  uint64
		Record Record
	}
	// Renew renews the lease.
	Renew struct{ Lease uint64 }
	// Drop ends a lease at once.
	Drop struct{ Lease uint64 }
	// Look asks for Seen.
	Look struct{}
	// Lead begins an epoch of ours.
	Lead struct {
		Epoch uint64
		Until clock.Micros
	}
	// Extend says until when we may act.
	Extend struct{ Until clock.Micros }
	// Depose ends our epoch.
	Depose struct{ Epoch uint64 }
	// Follow names the leader; Epoch 0: nobody leads.
	Follow struct {
		Epoch uint64
		Node  string
	}
)

// Key is the leader key.
const Key = "leader"

// Txn creates the leader key under the lease.
func (c Claim) Txn() (wire.Txn, error) {
	raw, err := json.Marshal(c.Record)
	if err != nil {
		return wire.Txn{}, fmt.Errorf("leader record: %w", err)
	}
	return wire.Txn{Conditions: []wire.Condition{{Key: Key}}, Writes: []wire.Write{{Put: Key, Value: raw, Lease: c.Lease}}}, nil
}

// SeenKey is Seen for the leader key as it was at a revision; it.Version 0: absent.
func SeenKey(it wire.Item, revision uint64) (Seen, error) {
	s := Seen{Version: it.Version, Revision: revision}
	if it.Version == 0 {
		return s, nil
	}
	if err := json.Unmarshal(it.Value, &s.Record); err != nil {
		return s, fmt.Errorf("leader record: %w", err)
	}
	return s, nil
}

// SeenEvent is Seen for a change of the leader key; false for one of another key.
func SeenEvent(e wire.Event) (Seen, bool, error) {
	switch Key {
	case e.Put:
		s, err := SeenKey(wire.Item{Value: e.Value, Version: e.Version}, e.Version)
		return s, true, err
	case e.Delete:
		return Seen{Revision: e.Version}, true, nil
	}
	return Seen{}, false, nil
}

// Elector is the actor's state.
type Elector struct {
	me       Record
	ttl      clock.Micros
	known    bool // the leader key's state is known
	seen     Seen
	lease    uint64
	leaseAt  clock.Micros
	asking   bool
	claiming bool
	lost     bool   // a claim under the present lease got no answer
	doubt    bool   // so did one under an earlier lease: a key of ours may hang on that one
	epoch    uint64 // ours; 0: we do not lead
	until    clock.Micros
	told     Follow // what was last said of who leads
	renewAt  clock.Micros
	retryAt  clock.Micros
	fx       []any
}

// New makes an elector. me.VerbRun differs with each start of the process, so that
// nothing from before a restart is taken for ours.
func New(me Record, ttl clock.Micros) *Elector { return &Elector{me: me, ttl: ttl} }

// Epoch is ours while we lead, else 0.
func (e *Elector) Epoch() uint64 { return e.epoch }

// Step takes one message at a time.
func (e *Elector) Step(now clock.Micros, msg any) []any {
	e.fx = nil
	if e.epoch > 0 && now >= e.until {
		e.depose()
	}
	switch m := msg.(type) {
	case Seen:
		e.onSeen(now, m)
	case Leased:
		e.asking = false
		if m.Err != nil {
			e.retryAt = now + e.ttl/10
			break
		}
		e.lease, e.leaseAt = m.Lease, m.Sent
	case Claimed:
		e.onClaimed(now, m)
	case Renewed:
		e.onRenewed(now, m)
	case Resign:
		if e.epoch == m.Epoch && e.epoch > 0 {
			e.depose()
		}
	}
	e.advance(now)
	return e.fx
}

func (e *Elector) emit(x any) { e.fx = append(e.fx, x) }

func (e *Elector) depose() {
	e.emit(Depose{e.epoch})
	e.epoch = 0
	e.drop()
	e.look()
}

// drop gives the lease up. A claim under it that got no answer may be carried out as long as
// the lease lasts, also after newer ones.
func (e *Elector) drop() {
	e.emit(Drop{e.lease})
	e.doubt = e.doubt || e.lost
	e.lease, e.lost = 0, false
}

// look asks anew who leads; nothing is claimed until the answer is there.
func (e *Elector) look() {
	e.known = false
	e.emit(Look{})
}

func (e *Elector) onSeen(now clock.Micros, m Seen) {
	if m.Revision < e.seen.Revision {
		return // what the watch saw before a later read
	}
	e.known, e.seen = true, m
	if e.epoch > 0 && m.Version != e.epoch {
		e.depose() // the key has gone with its lease, or is another's
	}
	// A claim whose answer was lost.
	if e.epoch == 0 && m.Version > 0 && m.Record == e.me && e.lease > 0 {
		if !e.doubt {
			e.win(now, m.Version)
			return
		}
		// Renewed under the wrong lease, the key would go while we lead. So none is, and it goes now.
		e.drop()
	}
	if e.epoch == 0 {
		e.follow(m.Version, m.Record.Node)
	}
}

// follow says who leads, once: a second link to the same leader would cut the first.
func (e *Elector) follow(epoch uint64, node string) {
	if f := (Follow{epoch, node}); f != e.told {
		e.told = f
		e.emit(f)
	}
}

func (e *Elector) win(now clock.Micros, epoch uint64) {
	until := e.leaseAt + e.ttl.Shorter()
	if now >= until {
		// Too slow: the lease may be over already.
		e.drop()
		return
	}
	e.epoch, e.until = epoch, until
	e.renewAt = now
	e.emit(Lead{epoch, until})
	e.follow(epoch, e.me.Node)
}

func (e *Elector) onClaimed(now clock.Micros, m Claimed) {
	e.claiming = false
	if m.Lease != e.lease || e.epoch > 0 {
		return
	}
	switch {
	case m.Err == nil && m.Outcome.OK:
		e.seen = Seen{m.Outcome.Revision, e.me, m.Outcome.Revision}
		e.win(now, m.Outcome.Revision)
	case m.Outcome.NoLease:
		e.lease, e.lost = 0, false
	case errors.Is(m.Err, store.ErrUnknown):
		e.lost = true
		e.retryAt = now + e.ttl/10
		e.look() // it may have been carried out
	case m.Err == nil:
		e.look()
	default:
		e.retryAt = now + e.ttl/10
	}
}

func (e *Elector) onRenewed(now clock.Micros, m Renewed) {
	if m.Lease != e.lease {
		return
	}
	switch {
	case m.Err == nil:
		e.leaseAt = max(e.leaseAt, m.Sent)
		if e.epoch > 0 {
			// Our time runs from when the renewal was sent, not from its answer.
			e.until = max(e.until, m.Sent+e.ttl.Shorter())
			e.emit(Extend{e.until})
		}
	case errors.Is(m.Err, store.ErrMissing):
		if e.epoch > 0 {
			e.depose()
		}
		e.lease, e.lost = 0, false
	default:
		e.renewAt = now + e.ttl/20
	}
}

// advance starts what is due: a lease is kept ready so that a claim needs one call.
func (e *Elector) advance(now clock.Micros) {
	if e.epoch > 0 {
		// Renewals may overlap: one whose answer is late must not hold up the next, or a
		// controller that is behind with its work would lose a lease that it could keep.
		if now >= e.renewAt {
			e.renewAt = now + e.ttl/4
			e.emit(Renew{e.lease})
		}
		return
	}
	if !e.known || e.seen.Version > 0 || e.claiming || e.asking || now < e.retryAt {
		return
	}
	if e.lease == 0 || now-e.leaseAt > e.ttl/4 {
		if e.lease != 0 {
			e.drop()
		}
		e.asking = true
		e.emit(GetLease{e.ttl})
		return
	}
	e.claiming = true
	e.emit(Claim{e.lease, e.me})
}
