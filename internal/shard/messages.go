// Package shard is a controller's part as the holder of shard leases: the dialogue with the agents of a shard's
// machines, the placement cycles, and the write-ahead attempt records. It holds no I/O: a message and the time give
// effects.
package shard

import (
	"fmt"
	"hash/fnv"

	"github.com/goccy/go-json"

	"swiftledge/internal/clock"
	"swiftledge/internal/cluster"
	"swiftledge/internal/pausedetect"
	"swiftledge/internal/peer"
	"swiftledge/internal/rebalancer"
	"swiftledge/internal/store"
	"swiftledge/internal/trace"
	"swiftledge/wire"
)

// ForMachine is the block, out of n, that a machine belongs to.
func ForMachine(machine string, n int) int {
	h := fnv.New32a()
	h.Write([]byte(machine))
	return int(h.Sum32() % uint32(n))
}

// KeyPrefix is where the store keeps who holds each block.
const KeyPrefix = "block/"

// Key is the store key that says who holds a block.
func Key(block int) string { return KeyPrefix + padShard(block) }

// AttemptPrefix is where a block's start records are kept.
func AttemptPrefix(block int) string { return "run/" + padShard(block) + "/" }

func padShard(n int) string {
	return string([]byte{'0' + byte(n/100%10), '0' + byte(n/10%10), '0' + byte(n%10)})
}

// NotSent is the status of a direct command that certainly never left.
const NotSent = -1

// Message is what a Holder takes in, one at a time.
//
//sumtype:decl
type Message interface{ shardMessage() }

// Effect is what a Holder asks to have done; Step returns effects in the order in which they are to be carried out.
//
//sumtype:decl
type Effect interface{ shardEffect() }

// Responder is where the answer to a heartbeat goes.
type Responder interface{ Respond(HeartbeatReply) }

// Messages to a Holder.
type (
	// LeaderConnected says that a link to the leader of an epoch is up; Slow, that its messages
	// take seconds.
	LeaderConnected struct {
		Term     cluster.Term
		ViaStore bool
	}
	// LeaderDisconnected says that it ended.
	LeaderDisconnected struct{ Term cluster.Term }
	// LeaderMessage is a message that came from the leader over the link that is up.
	LeaderMessage struct{ Message *peer.FromLeader }
	// HeartbeatReceived is a worker's heartbeat that waits for an answer under ReplyTo.
	HeartbeatReceived struct {
		ReplyTo   Responder
		Heartbeat *wire.Heartbeat
	}
	// CommandsAnswered is the end of a direct command: the worker's status, or 0 without an answer.
	CommandsAnswered struct {
		Request SendCommands
		Code    int
		Status  *wire.Heartbeat
	}
	// InspectionAnswered is the end of an Inspect; R is nil without an answer.
	InspectionAnswered struct {
		Request InspectAgent
		Status  *wire.Heartbeat
	}
	// AttemptsWritten is the end of a cycle's write of start records. Revision is the new
	// version of its pages, or 0 when it is not known.
	AttemptsWritten struct {
		Shard         int
		FencingToken  wire.FencingToken
		Seq           int
		Committed     bool
		Fenced        bool
		NeverExecuted bool // certainly not carried out, nor will it be
		Revision      uint64
		TooLarge      bool // the state service takes no transaction as large as that
	}
	// Tick lets time pass.
	Tick struct{}
)

// Effects of a Holder.
type (
	// SendToLeader goes to the leader.
	SendToLeader struct{ Message peer.ToLeader }
	// HeartbeatReply goes to the worker that waits under Tag. Status is 200, 421 or 503.
	HeartbeatReply struct {
		ReplyTo  Responder
		Status   int
		Body     wire.HeartbeatResponse
		Redirect wire.Redirect
	}
	// SendCommands is a direct command.
	SendCommands struct {
		Shard   int
		Machine string
		Address string
		Body    wire.CommandBatch
	}
	// InspectAgent asks a worker for its report.
	InspectAgent struct {
		Shard        int
		FencingToken wire.FencingToken
		Machine      string
		Address      string
	}
	// WriteAttempts writes a cycle's start records before its tasks are ordered.
	WriteAttempts struct {
		Shard        int
		FencingToken wire.FencingToken
		Seq          int
		KeyVersion   uint64
		Pages        []PageWrite
	}
	// PageWrite puts one page over what it held at Version.
	PageWrite struct {
		Key     string
		Version uint64
		Page    peer.AttemptPage
	}
	// RecordSpan is a span to be written.
	RecordSpan struct{ Span trace.Span }
	// PauseDetected tells that the controller stood still.
	PauseDetected struct{ Pause pausedetect.Pause }
	// Log is a line for the log.
	Log struct {
		Message    string
		Attributes []any
	}
	// DeletePages removes start records whose tasks are proven gone.
	DeletePages struct {
		Shard      int
		KeyVersion uint64
		Keys       []string
	}
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

// Txn writes the pages, guarded on the block's key and on the version of each page:
// a copy that is applied late must not put an older page over a newer one.
func (r WriteAttempts) Txn() (wire.Txn, error) {
	t := wire.Txn{Conditions: []wire.Condition{{Key: Key(r.Shard), Version: r.KeyVersion}}}
	for _, p := range r.Pages {
		raw, err := json.Marshal(p.Page)
		if err != nil {
			return wire.Txn{}, fmt.Errorf("start records %s: %w", p.Key, err)
		}
		t.Conditions = append(t.Conditions, wire.Condition{Key: p.Key, Version: p.Version})
		t.Writes = append(t.Writes, wire.Write{Put: p.Key, Value: raw})
	}
	return t, nil
}

// Result is what the outcome of the transaction means. Only this grant's holder
// writes its pages, one write at a time: when a page's guard fails, an earlier try
// of the same write got no answer, but went through.
func (r WriteAttempts) Result(o store.TxnResult) AttemptsWritten {
	done := AttemptsWritten{Shard: r.Shard, FencingToken: r.FencingToken, Seq: r.Seq, Committed: o.Committed, Fenced: o.FailedOn(Key(r.Shard)), TooLarge: o.Rejected}
	if o.Committed {
		done.Revision = o.Revision
	}
	done.NeverExecuted = !o.Committed && !o.Ambiguous && len(o.FailedKeys) == 0
	done.Committed = o.Committed || !done.Fenced && o.Ambiguous && len(o.FailedKeys) > 0
	return done
}

// DecodeAttemptPages reads start records; all of them, or it fails.
func DecodeAttemptPages(items []wire.Item) (map[string]peer.AttemptPage, error) {
	pages := make(map[string]peer.AttemptPage, len(items))
	for _, it := range items {
		var p peer.AttemptPage
		err := json.Unmarshal(it.Value, &p)
		if err == nil {
			err = p.Validate()
		}
		if err != nil {
			return nil, fmt.Errorf("%s: %w", it.Key, err)
		}
		pages[it.Key] = p
	}
	return pages, nil
}

// Txn removes the records, guarded on the block's key.
func (e DeletePages) Txn() wire.Txn {
	t := wire.Txn{Conditions: []wire.Condition{{Key: Key(e.Shard), Version: e.KeyVersion}}}
	for _, k := range e.Keys {
		t.Writes = append(t.Writes, wire.Write{Delete: k})
	}
	return t
}

// Params are a Holder's settings.
type Params struct {
	Controller string
	GrantTime  clock.Micros
	// LongestGrantTime is the most that any other holder's grant may last.
	LongestGrant      clock.Micros
	AgentLease        clock.Micros
	HeartbeatInterval clock.Micros
	ValueBytes        int
	TxnOps            int
	// Bound limits where tasks are placed, by load; nil: nothing does.
	Bound *rebalancer.Bound
	// TracingEnabled has spans made of the attempts.
	TracingEnabled bool
}
