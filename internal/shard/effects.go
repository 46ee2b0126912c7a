package shard

import (
	"swiftledge/internal/pausedetect"
	"swiftledge/internal/peer"
	"swiftledge/internal/trace"
	"swiftledge/wire"
)

// Effect is an action that a Holder asks its caller to carry out.
//
//sumtype:decl
type Effect interface{ shardEffect() }

// Responder delivers the reply to a heartbeat.
type Responder interface{ Respond(HeartbeatReply) }

// HTTP statuses of a reply to a heartbeat.
const (
	statusOK          = 200
	statusMisdirected = 421 // another controller is responsible for the machine
	statusUnavailable = 503 // the agent should retry
)

// statusConflict is the HTTP status with which an agent refuses commands because of their token or epoch.
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
	// SendCommands sends commands to an agent without waiting for its heartbeat. CommandsAnswered is its result.
	SendCommands struct {
		Shard   int
		Machine string
		Address string
		Body    wire.CommandBatch
		// Known is the version of the newest status of the agent when the commands were sent.
		Known StatusVersion
	}
	// InspectAgent asks an agent for its status. InspectionAnswered is its result.
	InspectAgent struct {
		Shard        int
		FencingToken wire.FencingToken
		Machine      string
		Address      string
		// Known is the version of the newest status of the agent when the request was sent.
		Known StatusVersion
	}
	// WriteAttempts writes the attempt records of a placement cycle before the tasks of the cycle are launched.
	// AttemptsWritten is its result.
	WriteAttempts struct {
		Shard        int
		FencingToken wire.FencingToken
		Seq          int
		KeyVersion   uint64
		Jobs         []JobCondition // jobs of the new records; none of them may have ended
		Pages        []PageWrite
	}
	// JobCondition requires that the key of a job is still at Version: the job has neither ended nor been cancelled.
	JobCondition struct {
		Job     string
		Version uint64
	}
	// PageWrite overwrites the page under Key if the key is still at Version.
	PageWrite struct {
		Key     string
		Version uint64
		Page    peer.AttemptPage
	}
	// CompactPages replaces pages with one new page, which keeps only the records of attempts that are not proven to have
	// ended.
	// PagesCompacted is its result. Without compaction, a replica that runs for hours would keep a page full of
	// records of tasks that ended long ago, which count in full, are read at each failover and sent with each grant.
	CompactPages struct {
		Shard        int
		FencingToken wire.FencingToken
		KeyVersion   uint64
		Put          PageWrite
		Delete       []string
	}
	// DeletePages deletes pages whose attempts are proven to have ended.
	DeletePages struct {
		Shard      int
		KeyVersion uint64
		Keys       []string
	}
	// RecordSpan adds a span to the trace.
	RecordSpan struct{ Span trace.Span }
	// PauseDetected reports that this process was paused.
	PauseDetected struct{ Pause pausedetect.Pause }
	// Log writes a warning to the log.
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
