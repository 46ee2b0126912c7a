package leader

import (
	"swiftledge/internal/cluster"
	"swiftledge/internal/pausedetect"
	"swiftledge/internal/peer"
	"swiftledge/internal/store"
	"swiftledge/internal/trace"
	"swiftledge/wire"
)

// Effect is what a Leader wants done.
//
//sumtype:decl
type Effect interface{ leaderEffect() }

// Effects of a Leader.
type (
	// SendToHolder goes to a holder.
	SendToHolder struct {
		Link    Link
		Message peer.FromLeader
	}
	// LoadState asks for all that the store holds of ours, and a watch of the jobs from there on.
	LoadState struct{ Term cluster.Term }
	// LoadAttempts asks for a shard's attempt records.
	LoadAttempts struct {
		Term         cluster.Term
		Shard        int
		FencingToken wire.FencingToken
	}
	// CommitTxn is a transaction; Guards on the term are part of it.
	CommitTxn struct {
		Term     cluster.Term
		Priority store.Priority
		Txn      wire.Txn
		Tag      TxnTag
	}
	// ReadKey asks for one key.
	ReadKey struct {
		Term cluster.Term
		Key  string
		Tag  TxnTag
	}
	// ProvisionMachines asks the cloud for machines.
	ProvisionMachines struct {
		Term    cluster.Term
		Request wire.ProvisionRequest
	}
	// DeleteMachines returns machines.
	DeleteMachines struct {
		Term     cluster.Term
		Machines []string
	}
	// ListMachines asks for the machine list.
	ListMachines struct{}
	// LoadCatalog asks for the catalog.
	LoadCatalog struct{}
	// PauseDetected tells that the controller stood still.
	PauseDetected struct{ Pause pausedetect.Pause }
	// ReplyStatus answers an operator's question.
	ReplyStatus struct {
		ReplyTo chan<- peer.Status
		Status  peer.Status
	}
	// Resign gives up the term.
	Resign struct{ Reason string }
	// RecordSpan is a span to be written.
	RecordSpan struct{ Span trace.Span }
	// Log is a line for the log.
	Log struct {
		Debug      bool
		Message    string
		Attributes []any
	}
)

func (SendToHolder) leaderEffect()      {}
func (LoadState) leaderEffect()         {}
func (LoadAttempts) leaderEffect()      {}
func (CommitTxn) leaderEffect()         {}
func (ReadKey) leaderEffect()           {}
func (ProvisionMachines) leaderEffect() {}
func (DeleteMachines) leaderEffect()    {}
func (ListMachines) leaderEffect()      {}
func (LoadCatalog) leaderEffect()       {}
func (PauseDetected) leaderEffect()     {}
func (ReplyStatus) leaderEffect()       {}
func (Resign) leaderEffect()            {}
func (RecordSpan) leaderEffect()        {}
func (Log) leaderEffect()               {}

func (shardsTag) txnTag()        {}
func (instanceGroupTag) txnTag() {}
