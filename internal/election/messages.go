package election

import (
	"swiftledge/internal/clock"
	"swiftledge/internal/cluster"
	"swiftledge/internal/store"
)

// Message is what an Elector is told.
//
//sumtype:decl
type Message interface{ electionMessage() }

// LeaderKeyObserved is the leader key as the store had it at a revision.
type LeaderKeyObserved struct {
	Version  uint64 // 0: the key does not exist
	Record   Record
	Revision uint64 // of the store
}

// LeaseGranted answers RequestLease.
type LeaseGranted struct {
	Lease uint64
	Sent  clock.Micros // when the request was sent
	Err   error
}

// CampaignResult answers Campaign.
type CampaignResult struct {
	Lease  uint64
	Result store.TxnResult
	Err    error
}

// LeaseRenewed answers RenewLease.
type LeaseRenewed struct {
	Lease uint64
	Sent  clock.Micros // when the request was sent
	Err   error
}

// Resign ends a term early, if it is this controller's own.
type Resign struct{ Term cluster.Term }

// Tick lets time pass.
type Tick struct{}

func (LeaderKeyObserved) electionMessage() {}
func (LeaseGranted) electionMessage()      {}
func (CampaignResult) electionMessage()    {}
func (LeaseRenewed) electionMessage()      {}
func (Resign) electionMessage()            {}
func (Tick) electionMessage()              {}

// Effect is what an Elector asks for.
//
//sumtype:decl
type Effect interface{ electionEffect() }

// RequestLease asks for a store lease; LeaseGranted answers it.
type RequestLease struct{ TTL clock.Micros }

// Campaign asks to create the leader key under a lease; CampaignResult answers it.
type Campaign struct {
	Lease  uint64
	Record Record
}

// RenewLease asks to renew a lease; LeaseRenewed answers it.
type RenewLease struct{ Lease uint64 }

// RevokeLease asks to end a lease at once. No answer is needed: it expires in any case.
type RevokeLease struct{ Lease uint64 }

// ReadLeaderKey asks to read the leader key; LeaderKeyObserved answers it.
type ReadLeaderKey struct{}

// AcquireLeadership begins a term of this controller.
type AcquireLeadership struct {
	Term  cluster.Term
	Until clock.Micros // the leader may act until then, unless extended
}

// ExtendLeadership says until when the leader may act now.
type ExtendLeadership struct{ Until clock.Micros }

// LoseLeadership ends this controller's term.
type LoseLeadership struct{ Term cluster.Term }

// FollowLeader names the controller that leads.
type FollowLeader struct {
	Term       cluster.Term // 0: nobody leads
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
