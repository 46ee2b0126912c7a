package shard

import (
	"encoding/json"
	"testing"

	"swiftledge/internal/peer"
	"swiftledge/wire"
)

func checkSize(t *testing.T, message any) {
	t.Helper()
	raw, err := json.Marshal(message)
	if err != nil {
		t.Fatal(err)
	}
	if len(raw) > wire.MaxBodyBytes {
		t.Errorf("message of %d bytes, want at most the protocol's limit", len(raw))
	}
}

// A machine may have more tasks than fit into the commands of one message to its agent. Kill commands go first, and
// the other commands follow in later messages.
func TestCommandsFitMessageSizeLimit(t *testing.T) {
	const tasks = 3 * maxCommandsPerMessage
	h := newTestHolder(t)
	h.Step(now, heartbeat("m1", 1, testToken))
	s := h.shards[0]
	m := s.machines["m1"]
	var listed []wire.TaskStatus
	var stop []peer.StopTask
	for i := range tasks {
		a := newAttempt(m, peer.Task{Job: "j-000002", Index: i}, uint64(i+1), attemptConfirmed)
		s.addAttempt(a)
		listed = append(listed, wire.TaskStatus{Task: TaskName(a.task), Attempt: a.id, State: wire.TaskRunning})
		if i >= 2*maxCommandsPerMessage {
			stop = append(stop, peer.StopTask{Task: a.task})
		}
	}
	killed := 0
	stopAll := orders(peer.ShardOrders{Stop: append(stop, peer.StopTask{Task: task})})
	for _, sent := range effectsOf[SendCommands](h.Step(now, stopAll)) {
		checkSize(t, sent.Body)
		killed += len(sent.Body.Commands)
	}
	if killed < len(stop) {
		t.Errorf("kill commands sent for %d of %d tasks, want all of them", killed, len(stop))
	}
	// Run commands whose effect no status has shown are repeated in the reply, after the kill commands.
	for i := range 2 * maxCommandsPerMessage {
		m.attempts[i+1].state = attemptLaunched
	}
	reply := replyOf(t, h.Step(now, heartbeat("m1", 5, testToken, listed[2*maxCommandsPerMessage:]...)))
	checkSize(t, reply.Body)
	for i, c := range reply.Body.Commands {
		if kill := i < len(stop); (c.Verb == wire.VerbKill) != kill {
			t.Fatalf("command %d of %d in the reply is %s, want the kill commands first", i, len(reply.Body.Commands), c.Verb)
		}
	}
}

// Guards against a machine whose reports and commands cannot be answered: an accepted job may declare a time to save near
// the largest number, and a grace period beyond it would be infinite, which JSON cannot encode.
func TestGracePeriodCanBeEncoded(t *testing.T) {
	a := &taskAttempt{task: task, group: &peer.AttemptGroup{Job: task.Job, SaveS: 1.5e308}, stop: stopWithCheckpoint}
	command := a.killCommand()
	raw, err := json.Marshal(command)
	if err != nil {
		t.Fatal(err)
	}
	if *command.GraceS < a.group.SaveS {
		t.Errorf("command %s, want a grace period of at least the time that the task needs", raw)
	}
}
