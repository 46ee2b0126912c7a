package shard

import (
	"encoding/json"
	"math"
	"strconv"
	"testing"

	"swiftledge/internal/peer"
	"swiftledge/wire"
)

// The heartbeat of a machine with the maximum number of tasks is within the protocol's limit, whatever the tasks' names
// and states.
func TestHeartbeatOfFullMachineIsWithinLimit(t *testing.T) {
	h := wire.Heartbeat{Machine: "host-000000000000231", Address: "255.255.255.255:65535", Type: "a long machine type",
		Zone: "a long zone", AgentEpoch: math.MaxUint64, Seq: math.MaxUint64, FencingToken: math.MaxUint64}
	for i := range wire.MaxTasksPerHeartbeat {
		h.Tasks = append(h.Tasks, wire.TaskStatus{Task: "j-999999999999999999/" + strconv.Itoa(99_999-i),
			Attempt: math.MaxUint64, State: wire.TaskExited, Cause: wire.ExitStopped, Checkpointed: true})
	}
	raw, err := json.Marshal(h)
	if err != nil || len(raw) > wire.MaxBodyBytes {
		t.Errorf("heartbeat of %d tasks has %d bytes, error %v; want at most %d", len(h.Tasks), len(raw), err, wire.MaxBodyBytes)
	}
}

// Guards against a sound machine that is lost because its heartbeat is too large: exited tasks count, too, as long as
// the agent lists them.
func TestFullMachineGetsNoTask(t *testing.T) {
	const free = 3
	h := newTestHolder(t)
	h.Step(now, heartbeat("m1", 1, testToken))
	s := h.shards[0]
	m := s.machines["m1"]
	for i := len(m.attempts); i < wire.MaxTasksPerHeartbeat-free; i++ {
		state := []attemptState{attemptConfirmed, attemptExited}[i%2]
		s.addAttempt(newAttempt(m, peer.Task{Job: "j-000002", Index: i}, uint64(i+10), state))
	}
	job := wire.Job{Ref: "j-000009", Team: "red", CPUs: 0.001, Spot: true, Tasks: 10}
	effects := h.Step(now, offer(1, job, job.Tasks))
	write := firstEffect[WriteAttempts](t, effects)
	if n := countRecords(t, write.Pages[0].Page); n != free {
		t.Errorf("%d tasks placed, want %d", n, free)
	}
	if state := h.machineState(m); state.CPUs != 0 || !h.freeCapacity(m).IsFull() {
		t.Errorf("full machine reported with %g free processors, want none", state.CPUs)
	}
	s.removeAttempt(m.attempts[0])
	if state := h.machineState(m); state.CPUs == 0 {
		t.Error("machine reported without free processors although a task is listed no more")
	}
}
