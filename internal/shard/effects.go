package shard

import (
	"swiftledge/internal/pausedetect"
	"swiftledge/internal/peer"
	"swiftledge/internal/trace"
	"swiftledge/wire"
)

// Effect is what a Holder asks to have done.
//
//sumtype:decl
type Effect interface{ shardEffect() }

// Responder is where the reply to a heartbeat goes.
type Responder interface{ Respond(HeartbeatReply) }

// HTTP statuses of a reply to a heartbeat.
const (
	statusOK          = 200
	statusMisdirected = 421 // another controller answers the machine
	statusUnavailable = 503 // the agent had better ask again
)

// statusConflict is the HTTP status of an agent that refused commands, for their token or its epoch.
const statusConflict = 409

// Effects of a Holder.
type (
	// SendToLeader sends a message over the link to the leader.
	SendToLeader struct{ Message peer.ToLeader }
	// HeartbeatReply answers a heartbeat. Status is an HTTP status: 200 with a Body, 421 with a Redirect, or 503.
	HeartbeatReply struct {
		ReplyTo  Responder
		Status   int
		Body     wire.HeartbeatResponse
		Redirect wire.Redirect
	}
	// SendCommands sends commands to an agent without waiting for its heartbeat; CommandsAnswered is its end.
	SendCommands struct {
		Shard   int
		Machine string
		Address string
		Body    wire.CommandBatch
	}
	// InspectAgent asks an agent for its status; InspectionAnswered is its end.
	InspectAgent struct {
		Shard        int
		FencingToken wire.FencingToken
		Machine      string
		Address      string
	}
	// WriteAttempts writes the attempt records of a placement cycle before its tasks are launched;
	// AttemptsWritten is its end.
	WriteAttempts struct {
		Shard        int
		FencingToken wire.FencingToken
		Seq          int
		KeyVersion   uint64
		Pages        []PageWrite
	}
	// PageWrite puts one page over what its key held at Version.
	PageWrite struct {
		Key     string
		Version uint64
		Page    peer.AttemptPage
	}
	// CompactPages replaces pages by one that holds those of their records whose attempts are not proven gone;
	// PagesCompacted is its end. A replica that runs for hours would else keep a page full of records of tasks
	// long over, which count in full, are read at each failover and sent with each grant.
	CompactPages struct {
		Shard        int
		FencingToken wire.FencingToken
		KeyVersion   uint64
		Put          PageWrite
		Delete       []string
	}
	// DeletePages deletes pages whose attempts are proven gone.
	DeletePages struct {
		Shard      int
		KeyVersion uint64
		Keys       []string
	}
	// RecordSpan is a span for the trace.
	RecordSpan struct{ Span trace.Span }
	// PauseDetected says that this process was paused.
	PauseDetected struct{ Pause pausedetect.Pause }
	// Log is a warning for the log.
	Log struct {
		Message    string
		Attributes []any // alternating keys and values, as slog takes them
	}
)

func (SendToLeader) shardEffect()   {}
func (HeartbeatReply) shardEffect() {}
func (SendCommands) shardEffect()   {}
func (InspectAgent) shardEffect()   {}
func (WriteAttempts) shardEffect()  {}
func (CompactPages) shardEffect()   {}
func (DeletePages) shardEffect()    {}
func (RecordSpan) shardEffect()     {}
func (PauseDetected) shardEffect()  {}
func (Log) shardEffect()            {}
