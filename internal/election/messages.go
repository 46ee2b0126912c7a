package election

import (
	"swiftledge/internal/clock"
	"swiftledge/internal/cluster"
	"swiftledge/internal/store"
)

// Message is an input of an Elector.
//
//sumtype:decl
type Message interface{ electionMessage() }

// LeaderKeyObserved is the state of the leader key at a revision of the store.
type LeaderKeyObserved struct {
	Version  uint64 // 0: the key does not exist
	Record   Record
	Revision uint64 // of the store
}

// LeaderKeyRead is the result of ReadLeaderKey. If the read failed, Err is set and Observed is empty.
type LeaderKeyRead struct {
	Observed LeaderKeyObserved
	Err      error
}

// LeaseGranted is the result of RequestLease. If the request failed, Err is set and no lease is known.
type LeaseGranted struct {
	Lease  uint64
	SentAt clock.Micros // when the request was sent
	Err    error
}

// CampaignResult is the result of Campaign. If the transaction could not be sent or failed, or its outcome is unknown,
// Err is set.
type CampaignResult struct {
	Lease  uint64
	Result store.TxnResult
	Err    error
}

// LeaseRenewed is the result of RenewLease. If the renewal failed, Err is set. store.ErrNotFound means that the lease
// no longer exists.
type LeaseRenewed struct {
	Lease  uint64
	SentAt clock.Micros // when the request was sent
	Err    error
}

// Resign ends the controller's leadership early if the controller leads Term.
type Resign struct{ Term cluster.Term }

// Tick is sent periodically, for work that depends on time.
type Tick struct{}

func (LeaderKeyObserved) electionMessage() {}
func (LeaderKeyRead) electionMessage()     {}
func (LeaseGranted) electionMessage()      {}
func (CampaignResult) electionMessage()    {}
func (LeaseRenewed) electionMessage()      {}
func (Resign) electionMessage()            {}
func (Tick) electionMessage()              {}

// Effect is an action that an Elector asks its caller to carry out.
//
//sumtype:decl
type Effect interface{ electionEffect() }

// RequestLease requests a store lease. LeaseGranted reports the result, also of a failed request.
type RequestLease struct{ TTL clock.Micros }

// Campaign tries to create the leader key under a lease. CampaignResult reports the result, also of a failed
// transaction.
type Campaign struct {
	Lease  uint64
	Record Record
}

// RenewLease renews a lease. LeaseRenewed reports the result, also of a failed renewal.
type RenewLease struct{ Lease uint64 }

// RevokeLease ends a lease at once. It needs no answer, because the lease expires in any case.
type RevokeLease struct{ Lease uint64 }

// ReadLeaderKey reads the leader key. LeaderKeyRead reports the result, also of a failed read.
type ReadLeaderKey struct{}

// AcquireLeadership starts a term of this controller.
type AcquireLeadership struct {
	Term      cluster.Term
	ExpiresAt clock.Micros // the leader may act until then, or longer after an ExtendLeadership
}

// ExtendLeadership extends the time until which the leader may act.
type ExtendLeadership struct{ ExpiresAt clock.Micros }

// LoseLeadership ends this controller's term.
type LoseLeadership struct{ Term cluster.Term }

// FollowLeader reports which controller leads.
type FollowLeader struct {
	Term       cluster.Term // 0: no controller leads
	Controller string
}

func (RequestLease) electionEffect()      {}
func (Campaign) electionEffect()          {}
func (RenewLease) electionEffect()        {}
func (RevokeLease) electionEffect()       {}
func (ReadLeaderKey) electionEffect()     {}
func (AcquireLeadership) electionEffect() {}
func (ExtendLeadership) electionEffect()  {}
func (LoseLeadership) electionEffect()    {}
func (FollowLeader) electionEffect()      {}
