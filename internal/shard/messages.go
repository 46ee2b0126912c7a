package shard

import (
	"swiftledge/internal/cluster"
	"swiftledge/internal/peer"
	"swiftledge/wire"
)

// Message is what a Holder takes in, one at a time.
//
//sumtype:decl
type Message interface{ shardMessage() }

// Messages to a Holder.
type (
	// LeaderConnected says that the link to the leader of a term is up.
	LeaderConnected struct {
		Term     cluster.Term
		ViaStore bool // the link runs through the store: its messages take seconds
	}
	// LeaderDisconnected says that the link to the leader of a term ended.
	LeaderDisconnected struct{ Term cluster.Term }
	// LeaderMessage is a message that came from the leader over the link that is up.
	LeaderMessage struct{ Message *peer.FromLeader }
	// HeartbeatReceived is an agent's heartbeat, which waits for a reply.
	HeartbeatReceived struct {
		ReplyTo   Responder
		Heartbeat *wire.Heartbeat
	}
	// CommandsAnswered is the end of SendCommands. Code is the HTTP status, 0 without an answer, or NotSent.
	// Status is the agent's status after the commands; nil without one.
	CommandsAnswered struct {
		Request SendCommands
		Code    int
		Status  *wire.Heartbeat
	}
	// InspectionAnswered is the end of InspectAgent; Status is nil without an answer.
	InspectionAnswered struct {
		Request InspectAgent
		Status  *wire.Heartbeat
	}
	// AttemptsWritten is the end of WriteAttempts.
	AttemptsWritten struct {
		Shard         int
		FencingToken  wire.FencingToken
		Seq           int
		Committed     bool
		Fenced        bool   // another holder has the shard
		NeverExecuted bool   // certainly not carried out, nor will it be
		Revision      uint64 // the new version of the pages; 0 when it is not known
		TooLarge      bool   // the store takes no transaction as large as that
	}
	// PagesCompacted is the end of CompactPages.
	PagesCompacted struct {
		Shard        int
		FencingToken wire.FencingToken
		Committed    bool
		Fenced       bool   // another holder has the shard
		Revision     uint64 // the new page's version; 0 when it is not known
	}
	// Tick lets time pass.
	Tick struct{}
)

// NotSent is the Code of commands that certainly never left this controller.
const NotSent = -1

func (LeaderConnected) shardMessage()    {}
func (LeaderDisconnected) shardMessage() {}
func (LeaderMessage) shardMessage()      {}
func (HeartbeatReceived) shardMessage()  {}
func (CommandsAnswered) shardMessage()   {}
func (InspectionAnswered) shardMessage() {}
func (AttemptsWritten) shardMessage()    {}
func (PagesCompacted) shardMessage()     {}
func (Tick) shardMessage()               {}
