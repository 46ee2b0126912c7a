package leader

import (
	"swiftledge/internal/clock"
	"swiftledge/internal/cluster"
	"swiftledge/internal/peer"
	"swiftledge/internal/store"
	"swiftledge/wire"
)

// Link is a connection to a controller, maybe to this one. Links are compared: the holder of a shard is told of it
// over the link that it was granted over.
type Link interface {
	// Send hands a message over for delivery and does not wait for it.
	Send(message *peer.FromLeader)
}

// TxnTag says what a transaction or a read was for; it comes back with the outcome.
//
//sumtype:decl
type TxnTag interface{ txnTag() }

// Message is a message to a Leader.
//
//sumtype:decl
type Message interface{ leaderMessage() }

// Messages to a Leader.
type (
	// LeadershipAcquired begins a term; every write guards on Term, the leader key's version.
	LeadershipAcquired struct {
		Term        cluster.Term
		Incarnation cluster.Incarnation
	}
	// LeadershipExtended says until when the leader may act without a further renewal.
	LeadershipExtended struct{ Until clock.Micros }
	// LeadershipLost ends the term.
	LeadershipLost struct{}
	// StateLoaded is the store's content at the start of an term.
	StateLoaded struct {
		Term        cluster.Term
		Items       []wire.Item
		Revision    uint64
		TimeOfDay   clock.Micros // time of day
		RequestedAt clock.Micros // when the jobs were asked for
	}
	// PeerConnected is a new link to a controller, maybe to ourselves.
	PeerConnected struct {
		Controller  string
		Incarnation cluster.Incarnation
		Link        Link
		ViaStore    bool // through the store: messages take seconds
	}
	// PeerDisconnected is its end.
	PeerDisconnected struct {
		Controller string
		Link       Link
	}
	// HolderMessage is what a holder says.
	HolderMessage struct {
		Controller string
		Link       Link
		Message    *peer.ToLeader
	}
	// JobsChanged are changes of jobs, maybe none: all that there were until Asked, when they
	// were asked for.
	JobsChanged struct {
		Term        cluster.Term
		Events      []wire.Event
		RequestedAt clock.Micros
	}
	// TxnCompleted is the end of a transaction.
	TxnCompleted struct {
		Term   cluster.Term
		Tag    TxnTag
		Result store.TxnResult
		Err    error
	}
	// AttemptsLoaded are a shard's attempt records, read after its key was written.
	AttemptsLoaded struct {
		Term         cluster.Term
		Shard        int
		FencingToken wire.FencingToken
		Pages        map[string]peer.AttemptPage
	}
	// KeyRead is one key that was asked for.
	KeyRead struct {
		Term  cluster.Term
		Tag   TxnTag
		Item  wire.Item
		Found bool
	}
	// CatalogLoaded is the cloud's catalog.
	CatalogLoaded struct{ Types []wire.MachineType }
	// MachinesListed is the cloud's full machine list.
	MachinesListed struct{ Machines []wire.Machine }
	// MachinesProvisioned is a provision request's end.
	MachinesProvisioned struct {
		Term       cluster.Term
		RequestID  string
		Machines   []string
		NoCapacity bool
		Err        error
	}
	// MachinesDeleted is a deletion's end; when Err is nil the machines are gone.
	MachinesDeleted struct {
		Term     cluster.Term
		Machines []string
		Err      error
	}
	// StatusRequested is an operator's question; the answer goes to Tag.
	StatusRequested struct{ ReplyTo chan<- peer.Status }
	// Tick lets time pass.
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

// EndsTerm reports whether a message ends the term under way, and with it all that the term has asked for.
func EndsTerm(message Message) bool {
	switch message.(type) {
	case LeadershipAcquired, LeadershipLost:
		return true
	case LeadershipExtended, StatusRequested, event, answer:
		return false
	}
	return false
}

// event is a message that counts only while the controller leads.
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

// answer is the answer to an effect. Its term is that of the effect: an answer of an earlier term is not waited for
// any more.
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
