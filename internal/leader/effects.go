package leader

import (
	"swiftledge/internal/cluster"
	"swiftledge/internal/pausedetect"
	"swiftledge/internal/peer"
	"swiftledge/internal/store"
	"swiftledge/internal/trace"
	"swiftledge/wire"
)

// Effect is an action that a Leader requests from the controller.
//
//sumtype:decl
type Effect interface{ leaderEffect() }

// Effects of a Leader.
type (
	// SendToHolder sends a message to a controller.
	SendToHolder struct {
		Link    Link
		Message peer.FromLeader
	}
	// LoadState requests all of the scheduler's data in the store, and a watch of the jobs from the revision of that
	// data on.
	LoadState struct{ Term cluster.Term }
	// LoadAttempts requests a shard's attempt records.
	LoadAttempts struct {
		Term         cluster.Term
		Shard        int
		FencingToken wire.FencingToken
	}
	// CommitTxn requests a transaction. Its conditions include the one on the term.
	CommitTxn struct {
		Term     cluster.Term
		Priority store.Priority
		Txn      wire.Txn
		Tag      TxnTag
	}
	// ReadKey requests the value of one key.
	ReadKey struct {
		Term cluster.Term
		Key  string
		Tag  TxnTag
	}
	// ProvisionMachines sends a provision request to the cloud.
	ProvisionMachines struct {
		Term    cluster.Term
		Request wire.ProvisionRequest
	}
	// DeleteMachines has the cloud delete machines.
	DeleteMachines struct {
		Term     cluster.Term
		Machines []string
	}
	// ListMachines requests the machine list.
	ListMachines struct{}
	// LoadCatalog requests the catalog.
	LoadCatalog struct{}
	// PauseDetected reports a pause of the controller process.
	PauseDetected struct{ Pause pausedetect.Pause }
	// ReplyStatus answers an operator's status request.
	ReplyStatus struct {
		ReplyTo chan<- peer.Status
		Status  peer.Status
	}
	// Resign ends the term before its lease expires.
	Resign struct{ Reason string }
	// RecordSpan writes a trace span.
	RecordSpan struct{ Span trace.Span }
	// Log writes a log line.
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
