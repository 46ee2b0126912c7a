package shard

import (
	"slices"
	"testing"

	"swiftledge/internal/clock"
	"swiftledge/internal/pausedetect"
	"swiftledge/internal/placement"
	"swiftledge/wire"
)

// A controller that stood still has the reports of its workers in its queues yet: it neither calls itself blind nor
// its machines silent for what it could not read, and tells which grants ran out.
func TestSilenceIsCountedFromTheEndOfAPause(t *testing.T) {
	h, b := pausedHolder(t)
	began := clock.Minute
	h.Step(began, Tick{})
	thawed := began + 12*clock.Second
	fx := h.Step(thawed, Tick{})
	if h.hasLostAgentContact(thawed) {
		t.Error("calls itself blind for reports that it has not read yet")
	}
	for _, m := range b.machineOrder {
		if m.silent {
			t.Errorf("%s is silent", m.name)
		}
	}
	at := slices.IndexFunc(fx, func(e Effect) bool { _, ok := e.(PauseDetected); return ok })
	if at < 0 {
		t.Fatal("the pause was not noticed")
	}
	if p := fx[at].(PauseDetected).Pause; p.Length() != 12*clock.Second || !slices.Equal(p.Expired, []string{"grant of block 0"}) {
		t.Errorf("%+v", p)
	}
	silentFor := 3 * h.params.HeartbeatInterval
	for at := thawed; at <= thawed+silentFor; at += pausedetect.Threshold / 4 {
		h.Step(at, Tick{})
	}
	if !h.hasLostAgentContact(thawed + silentFor) {
		t.Error("silence after the pause does not count")
	}
}

// pausedHolder is a holder of one block of a few machines, whose grant runs out soon after a minute.
func pausedHolder(t *testing.T) (*Holder, *heldShard) {
	t.Helper()
	h := New(Params{Controller: "n0", GrantTime: 20 * clock.Second, LongestGrant: 20 * clock.Second, AgentLease: 20 * clock.Second,
		HeartbeatInterval: 3 * clock.Second, MaxValueBytes: 3600, MaxTxnOps: 8}, placement.Params{}, func() bool { return true })
	b := newHeldShard(0, shardLease{fencingToken: 1, grantedAt: clock.Second, expiresAt: clock.Minute + 5*clock.Second})
	h.shards[0] = b
	for _, name := range []string{"host-000001", "host-000002", "host-000003", "host-000004"} {
		m := b.ensureMachine(name)
		m.inInventory, m.fence.confirmed = true, true
		m.agent.lastStatus, m.agent.lastReply = clock.Minute, clock.Minute
		h.recordStatus(clock.Minute, b, m, &wire.Heartbeat{Machine: name, AgentEpoch: 1, Seq: 1, FencingToken: 1, Type: "small"})
	}
	return h, b
}
