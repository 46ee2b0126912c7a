package shard

import (
	"testing"

	"swiftledge/internal/clock"
	"swiftledge/internal/peer"
	"swiftledge/internal/placement"
	"swiftledge/wire"
)

// The holder in the tests holds shard 0 under testToken, granted by the leader of testTerm.
const (
	testTerm  = 9
	testToken = 50
	now       = 100 * clock.Second
)

// task has the attempt records that newTestHolder loads; offeredTask is the task that offerTask offers.
var (
	task        = peer.Task{Job: "j-000001", Index: 3}
	offeredTask = peer.Task{Job: "j-000009"}
)

// testInventory lists the machines of the shard.
var testInventory = []peer.InventoryMachine{{Name: "m1", Address: "a1"}, {Name: "m2"}}

func testParams() Params {
	return Params{Controller: "n0", GrantTime: 20 * clock.Second, LongestGrant: 20 * clock.Second,
		AgentLease: 20 * clock.Second, HeartbeatInterval: 3 * clock.Second, MaxValueBytes: 4000, MaxTxnOps: 8}
}

// newTestHolder returns a holder of one shard with two attempt records of the same task: attempt 1 on m1 and attempt 2
// on m2.
func newTestHolder(t *testing.T) *Holder {
	t.Helper()
	auction := placement.Params{DecayRate: 0.001, Eta: 0.05, Epsilon: 0.01, LoadOffset: 0.5}
	h := New(testParams(), auction, func() bool { return true })
	h.Step(now, LeaderConnected{Term: testTerm})
	page := peer.AttemptPage{Machines: []string{"m1", "m2"},
		Groups: []peer.AttemptGroup{{Job: task.Job, Team: "red", CPUs: 1, Attempts: []int{3, 1, 0, 3, 2, 1}}}}
	h.Step(now, fromLeader(peer.FromLeader{Term: testTerm, Holders: []string{"n0"},
		Types: []wire.MachineType{{Name: "small", CPUs: 4, MemoryGB: 8}},
		Grants: []peer.ShardGrant{{Shard: 0, FencingToken: testToken, KeyVersion: 7, Machines: testInventory,
			Pages: map[string]peer.AttemptPage{"run/000/1-1": page}}}}))
	h.Step(now, renewal(h, testToken))
	return h
}

// afterUpdateIntervals returns the time n update intervals after now. A step then sends the leader all earlier
// changes.
func afterUpdateIntervals(n int) clock.Micros { return now + clock.Micros(n)*updateInterval }

// secondsLater returns the time n seconds after now.
func secondsLater(n clock.Micros) clock.Micros { return now + n*clock.Second }

// Messages of the leader.

func fromLeader(m peer.FromLeader) LeaderMessage { return LeaderMessage{Message: &m} }

// orders returns a message with orders for the shard of newTestHolder.
func orders(o peer.ShardOrders) LeaderMessage {
	o.FencingToken = testToken
	return fromLeader(peer.FromLeader{Term: testTerm, Orders: []peer.ShardOrders{o}})
}

// renewal returns the answer to the holder's last renewal request, for a lease under the token.
func renewal(h *Holder, token wire.FencingToken) LeaderMessage {
	return fromLeader(peer.FromLeader{Term: h.leader.term, RenewedSeq: h.leader.renewSeq,
		FencingTokens: map[int]wire.FencingToken{0: token}})
}

// offer returns a message that offers the first tasks of a job.
func offer(seq uint64, job wire.Job, tasks int) LeaderMessage {
	o := peer.TaskOffer{Job: job}
	for i := range tasks {
		o.TaskIndexes = append(o.TaskIndexes, i)
	}
	return orders(peer.ShardOrders{OfferSeq: seq, Offers: []peer.TaskOffer{o}})
}

// offerTask offers offeredTask to a holder and returns the resulting effects.
func offerTask(h *Holder, stepTime clock.Micros) []Effect {
	job := wire.Job{Ref: offeredTask.Job, Team: "red", Tasks: 1, CPUs: 1, MemoryGB: 1, Spot: true}
	return h.Step(stepTime, offer(1, job, 1))
}

// Messages of agents.

// discardResponder discards replies. Tests read them from the effects.
type discardResponder struct{}

func (discardResponder) Respond(HeartbeatReply) {}

// heartbeat returns a heartbeat of a machine's agent in its first epoch.
func heartbeat(
	machine string, seq uint64, token wire.FencingToken, tasks ...wire.TaskStatus,
) HeartbeatReceived {
	return HeartbeatReceived{ReplyTo: discardResponder{}, Heartbeat: &wire.Heartbeat{Machine: machine, Address: "a",
		Type: "small", AgentEpoch: 1, Seq: seq, FencingToken: token, Tasks: tasks}}
}

// inEpoch returns the heartbeat with another epoch of the agent.
func (m HeartbeatReceived) inEpoch(epoch wire.AgentEpoch) HeartbeatReceived {
	m.Heartbeat.AgentEpoch = epoch
	return m
}

// requestTo returns a request to a machine's agent in its first epoch.
func requestTo(machine string, commands ...wire.Command) SendCommands {
	return SendCommands{Shard: 0, Machine: machine,
		Body: wire.CommandBatch{FencingToken: testToken, AgentEpoch: 1, Commands: commands}}
}

// answered returns the answer, with a status, to a request without commands.
func answered(status HeartbeatReceived) CommandsAnswered {
	return CommandsAnswered{Request: requestTo(status.Heartbeat.Machine), Code: statusOK, Status: status.Heartbeat}
}

// inspected returns the result of an inspection of a machine.
func inspected(machine string, status *wire.Heartbeat) InspectionAnswered {
	return InspectionAnswered{Request: InspectAgent{Shard: 0, FencingToken: testToken, Machine: machine}, Status: status}
}

func running(attempt wire.AttemptID) wire.TaskStatus {
	return wire.TaskStatus{Task: TaskName(task), Attempt: attempt, State: wire.TaskRunning}
}

func exitedWith(attempt wire.AttemptID, cause wire.ExitCause) wire.TaskStatus {
	return wire.TaskStatus{Task: TaskName(task), Attempt: attempt, State: wire.TaskExited, Cause: cause}
}

// newAttempt returns an attempt under the holder's token, launched in the first epoch of the machine's agent.
func newAttempt(m *machine, task peer.Task, count uint64, state attemptState) *taskAttempt {
	return &taskAttempt{task: task, id: peer.NewAttemptID(testToken, count), machine: m,
		group: &peer.AttemptGroup{Job: task.Job}, state: state, launch: attemptLaunch{agentEpoch: 1}}
}

// m1IsSchedulable reports whether tasks can be placed on m1.
func m1IsSchedulable(h *Holder, stepTime clock.Micros) bool {
	return h.isSchedulable(stepTime, h.shards[0], h.shards[0].machines["m1"])
}

// Effects.

// effectsOf returns the effects of one type.
func effectsOf[T Effect](effects []Effect) (found []T) {
	for _, e := range effects {
		if e, ok := e.(T); ok {
			found = append(found, e)
		}
	}
	return found
}

// firstEffect returns the first effect of a type and fails the test if there is none.
func firstEffect[T Effect](t *testing.T, effects []Effect) T {
	t.Helper()
	found := effectsOf[T](effects)
	if len(found) == 0 {
		t.Fatalf("no effect of type %T, want at least one", *new(T))
	}
	return found[0]
}

func replyOf(t *testing.T, effects []Effect) HeartbeatReply {
	t.Helper()
	return firstEffect[HeartbeatReply](t, effects)
}

// updatesOf returns the shard updates that are sent to the leader.
func updatesOf(effects []Effect) (updates []peer.ShardUpdate) {
	for _, e := range effectsOf[SendToLeader](effects) {
		updates = append(updates, e.Message.Updates...)
	}
	return updates
}

// eventsOf returns the kinds of the events that are sent to the leader.
func eventsOf(effects []Effect) (kinds []peer.EventKind) {
	for _, update := range updatesOf(effects) {
		for _, event := range update.Events {
			kinds = append(kinds, event.Kind)
		}
	}
	return kinds
}

// countReleased counts how often a task of offeredTask's job was released, that is, returned to the leader.
func countReleased(effects []Effect) (count int) {
	for _, update := range updatesOf(effects) {
		for _, event := range update.Events {
			if event.Job == offeredTask.Job && event.Kind == peer.EventReleased {
				count++
			}
		}
	}
	return count
}

// requestsRegrant reports whether one of the effects requests a new grant from the leader.
func requestsRegrant(effects []Effect) bool {
	for _, update := range updatesOf(effects) {
		if update.NeedsRegrant {
			return true
		}
	}
	return false
}

// countAgentRequests counts the requests sent to agents.
func countAgentRequests(effects []Effect) int {
	return len(effectsOf[SendCommands](effects)) + len(effectsOf[InspectAgent](effects))
}
