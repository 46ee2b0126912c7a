package leader

import (
	"swiftledge/internal/clock"
	"swiftledge/internal/cluster"
	"swiftledge/internal/peer"
	"swiftledge/internal/store"
	"swiftledge/wire"
)

// Link is a connection to a controller, possibly to this controller itself. Links are compared: the holder of a shard
// receives the orders for the shard over the link over which the shard was granted.
type Link interface {
	// Send queues a message for delivery and returns without waiting for it.
	Send(message *peer.FromLeader)
}

// TxnTag identifies the purpose of a transaction or a read. The tag is part of the message with the outcome.
//
//sumtype:decl
type TxnTag interface{ txnTag() }

// Message is a message to a Leader.
//
//sumtype:decl
type Message interface{ leaderMessage() }

// Messages to a Leader.
type (
	// LeadershipAcquired begins a term. Every write of the term is conditional on Term, the version of the leader key.
	LeadershipAcquired struct {
		Term        cluster.Term
		Incarnation cluster.Incarnation
	}
	// LeadershipExtended sets the time until which the leader may act without a further renewal.
	LeadershipExtended struct{ Until clock.Micros }
	// LeadershipLost ends the term.
	LeadershipLost struct{}
	// StateLoaded has the content of the store at the start of a term.
	StateLoaded struct {
		Term        cluster.Term
		Items       []wire.Item
		Revision    uint64
		TimeOfDay   clock.Micros
		RequestedAt clock.Micros // when the read of the jobs was requested
	}
	// PeerConnected reports a new link to a controller, possibly to this controller itself.
	PeerConnected struct {
		Controller  string
		Incarnation cluster.Incarnation
		Link        Link
		ViaStore    bool // messages go through the store, because no direct connection can be made, and take seconds
	}
	// PeerDisconnected reports the end of a link.
	PeerDisconnected struct {
		Controller string
		Link       Link
	}
	// HolderMessage is a message of a controller in its role as a shard holder.
	HolderMessage struct {
		Controller string
		Link       Link
		Message    *peer.ToLeader
	}
	// JobsChanged has the changes of jobs, possibly none, up to RequestedAt, when they were requested.
	JobsChanged struct {
		Term        cluster.Term
		Events      []wire.Event
		RequestedAt clock.Micros
	}
	// TxnCompleted is the outcome of a transaction.
	TxnCompleted struct {
		Term   cluster.Term
		Tag    TxnTag
		Result store.TxnResult
		Err    error
	}
	// AttemptsLoaded has a shard's attempt records, read after the shard's key was written.
	AttemptsLoaded struct {
		Term         cluster.Term
		Shard        int
		FencingToken wire.FencingToken
		Pages        map[string]peer.AttemptPage
	}
	// KeyRead is the answer to ReadKey.
	KeyRead struct {
		Term  cluster.Term
		Tag   TxnTag
		Item  wire.Item
		Found bool
	}
	// CatalogLoaded has the cloud's catalog.
	CatalogLoaded struct{ Types []wire.MachineType }
	// MachinesListed has the cloud's full machine list.
	MachinesListed struct{ Machines []wire.Machine }
	// MachinesProvisioned is the outcome of a provision request.
	MachinesProvisioned struct {
		Term       cluster.Term
		RequestID  string
		Machines   []string
		NoCapacity bool
		Err        error
	}
	// MachinesDeleted is the outcome of a deletion. If Err is nil, the machines are gone.
	MachinesDeleted struct {
		Term     cluster.Term
		Machines []string
		Err      error
	}
	// StatusRequested is an operator's request for the status. The answer is sent to ReplyTo.
	StatusRequested struct{ ReplyTo chan<- peer.Status }
	// Tick reports that time has passed, at regular intervals.
	Tick struct{}
)

func (LeadershipAcquired) leaderMessage()  {}
func (LeadershipExtended) leaderMessage()  {}
func (LeadershipLost) leaderMessage()      {}
func (StatusRequested) leaderMessage()     {}
func (PeerConnected) leaderMessage()       {}
func (PeerDisconnected) leaderMessage()    {}
func (HolderMessage) leaderMessage()       {}
func (CatalogLoaded) leaderMessage()       {}
func (MachinesListed) leaderMessage()      {}
func (Tick) leaderMessage()                {}
func (StateLoaded) leaderMessage()         {}
func (JobsChanged) leaderMessage()         {}
func (TxnCompleted) leaderMessage()        {}
func (AttemptsLoaded) leaderMessage()      {}
func (KeyRead) leaderMessage()             {}
func (MachinesProvisioned) leaderMessage() {}
func (MachinesDeleted) leaderMessage()     {}

// EndsTerm reports whether a message ends the current term, and with it everything that the term has requested.
func EndsTerm(message Message) bool {
	switch message.(type) {
	case LeadershipAcquired, LeadershipLost:
		return true
	case LeadershipExtended, StatusRequested, event, answer:
		return false
	}
	return false
}

// event is a message that does not depend on the requests of a certain term. It is handled only while the controller
// leads.
//
//sumtype:decl
type event interface {
	Message
	leaderEvent()
}

func (PeerConnected) leaderEvent()    {}
func (PeerDisconnected) leaderEvent() {}
func (HolderMessage) leaderEvent()    {}
func (CatalogLoaded) leaderEvent()    {}
func (MachinesListed) leaderEvent()   {}
func (Tick) leaderEvent()             {}

// answer is the answer to an effect. Its term is that of the effect: an answer to an earlier term's effect is ignored.
//
//sumtype:decl
type answer interface {
	Message
	answeredTerm() cluster.Term
}

func (m StateLoaded) answeredTerm() cluster.Term         { return m.Term }
func (m JobsChanged) answeredTerm() cluster.Term         { return m.Term }
func (m TxnCompleted) answeredTerm() cluster.Term        { return m.Term }
func (m AttemptsLoaded) answeredTerm() cluster.Term      { return m.Term }
func (m KeyRead) answeredTerm() cluster.Term             { return m.Term }
func (m MachinesProvisioned) answeredTerm() cluster.Term { return m.Term }
func (m MachinesDeleted) answeredTerm() cluster.Term     { return m.Term }
