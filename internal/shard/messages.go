package shard

import (
	"swiftledge/internal/cluster"
	"swiftledge/internal/peer"
	"swiftledge/wire"
)

// Message is an input of a Holder. A Holder handles one Message at a time.
//
//sumtype:decl
type Message interface{ shardMessage() }

// Messages to a Holder.
type (
	// LeaderConnected reports that the link to the leader of a term is up.
	LeaderConnected struct {
		Term     cluster.Term
		ViaStore bool // messages are carried in frames through the store, which takes seconds
	}
	// LeaderDisconnected reports that the link to the leader of a term is down.
	LeaderDisconnected struct{ Term cluster.Term }
	// LeaderMessage is a message received from the leader over the current link.
	LeaderMessage struct{ Message *peer.FromLeader }
	// HeartbeatReceived is a heartbeat of an agent that waits for the reply.
	HeartbeatReceived struct {
		ReplyTo   Responder
		Heartbeat *wire.Heartbeat
	}
	// CommandsAnswered is the result of SendCommands. Code is the HTTP status, NoAnswer or NotSent.
	// Status is the agent's status after the commands, or nil if the answer contains no status.
	CommandsAnswered struct {
		Request SendCommands
		Code    int
		Status  *wire.Heartbeat
	}
	// InspectionAnswered is the result of InspectAgent. Status is nil without an answer.
	InspectionAnswered struct {
		Request InspectAgent
		Status  *wire.Heartbeat
	}
	// AttemptsWritten is the result of WriteAttempts.
	AttemptsWritten struct {
		Shard         int
		FencingToken  wire.FencingToken
		Seq           int
		Committed     bool
		Fenced        bool     // another controller holds the shard
		EndedJobs     []string // jobs that have ended or been cancelled
		NeverExecuted bool     // certainly not executed, neither now nor later
		Revision      uint64   // the new version of the pages; 0 if it is unknown
		TooLarge      bool     // the store rejected the transaction for its size
	}
	// PagesCompacted is the result of CompactPages.
	PagesCompacted struct {
		Shard        int
		FencingToken wire.FencingToken
		Committed    bool
		Fenced       bool   // another controller holds the shard
		Revision     uint64 // the version of the new page; 0 if it is unknown
	}
	// Tick is sent periodically, for work that depends on time.
	Tick struct{}
)

// Values of CommandsAnswered.Code in place of an HTTP status.
const (
	NoAnswer = 0  // the agent may execute the commands, now or later
	NotSent  = -1 // the commands certainly never left this controller
)

func (LeaderConnected) shardMessage()    {}
func (LeaderDisconnected) shardMessage() {}
func (LeaderMessage) shardMessage()      {}
func (HeartbeatReceived) shardMessage()  {}
func (CommandsAnswered) shardMessage()   {}
func (InspectionAnswered) shardMessage() {}
func (AttemptsWritten) shardMessage()    {}
func (PagesCompacted) shardMessage()     {}
func (Tick) shardMessage()               {}
