package shard

import (
	"slices"
	"testing"

	"swiftledge/internal/clock"
	"swiftledge/internal/pausedetect"
	"swiftledge/internal/placement"
	"swiftledge/wire"
)

// A controller that was paused has the heartbeats of its agents in its queues yet: it neither reports lost contact nor
// its machines silent for what it could not read, and tells which leases expired.
func TestSilenceCountedFromEndOfPause(t *testing.T) {
	h, s := newHolderBeforePause()
	began := clock.Minute
	h.Step(began, Tick{})
	resumed := began + 12*clock.Second
	effects := h.Step(resumed, Tick{})
	if h.hasLostAgentContact(resumed) {
		t.Error("reports lost contact for heartbeats that it has not read yet")
	}
	for _, m := range s.machineOrder {
		if m.silent {
			t.Errorf("%s is silent", m.name)
		}
	}
	p := onlyEffect[PauseDetected](t, effects).Pause
	if p.Length() != 12*clock.Second || !slices.Equal(p.Expired, []string{"grant of block 0"}) {
		t.Errorf("%+v", p)
	}
	silentFor := 3 * h.params.HeartbeatInterval
	for at := resumed; at <= resumed+silentFor; at += pausedetect.Threshold / 4 {
		h.Step(at, Tick{})
	}
	if !h.hasLostAgentContact(resumed + silentFor) {
		t.Error("silence after the pause does not count")
	}
}

// newHolderBeforePause returns a holder of one shard of a few machines, whose lease expires soon after a minute.
func newHolderBeforePause() (*Holder, *heldShard) {
	h := New(testParams(), placement.Params{}, func() bool { return true })
	s := newHeldShard(0, shardLease{fencingToken: 1, grantedAt: clock.Second, expiresAt: clock.Minute + 5*clock.Second})
	h.shards[0] = s
	for _, name := range []string{"host-000001", "host-000002", "host-000003", "host-000004"} {
		m := s.ensureMachine(name)
		m.inInventory, m.fence.confirmed = true, true
		m.agent.lastStatus, m.agent.lastReply = clock.Minute, clock.Minute
		status := &wire.Heartbeat{Machine: name, AgentEpoch: 1, Seq: 1, FencingToken: 1, Type: "small"}
		h.recordStatus(clock.Minute, s, m, status)
	}
	return h, s
}
