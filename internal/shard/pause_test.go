package shard

import (
	"slices"
	"testing"

	"swiftledge/internal/clock"
	"swiftledge/internal/pausedetect"
	"swiftledge/internal/placement"
	"swiftledge/wire"
)

// After a pause, the heartbeats that agents sent during the pause are still queued. The controller must report neither
// lost agent contact nor silent machines because of heartbeats that it could not read, and it reports which leases
// expired.
func TestSilenceCountedFromEndOfPause(t *testing.T) {
	h, s := newHolderBeforePause()
	pauseStart := clock.Minute
	h.Step(pauseStart, Tick{})
	resumed := pauseStart + 12*clock.Second
	effects := h.Step(resumed, Tick{})
	if h.hasLostAgentContact(resumed) {
		t.Error("agent contact counted as lost because of heartbeats not read yet")
	}
	for _, m := range s.machineOrder {
		if m.silent {
			t.Errorf("%s counted as silent right after the pause, want silence counted from the end of the pause", m.name)
		}
	}
	p := firstEffect[PauseDetected](t, effects).Pause
	if p.Length() != 12*clock.Second || !slices.Equal(p.Expired, []string{"grant of block 0"}) {
		t.Errorf("reported pause %+v, want a length of 12 s and one expired grant", p)
	}
	silentFor := 3 * h.params.HeartbeatInterval
	for stepTime := resumed; stepTime <= resumed+silentFor; stepTime += pausedetect.Threshold / 4 {
		h.Step(stepTime, Tick{})
	}
	if !h.hasLostAgentContact(resumed + silentFor) {
		t.Error("agent contact not counted as lost although all agents were silent after the pause")
	}
}

// newHolderBeforePause returns a holder of one shard with a few machines. The shard lease expires 5 s after the first
// minute.
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
