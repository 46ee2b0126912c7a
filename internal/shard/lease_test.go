package shard

import (
	"testing"

	"swiftledge/internal/peer"
	"swiftledge/wire"
)

// The inventory of a new leader may still list a machine that the former leader has deleted, and there may be attempt
// records for the machine. The holder knows that these attempts have ended and reports this to the new leader.
func TestAttemptsOnDeletedMachineReleasedAtGrant(t *testing.T) {
	h := newTestHolder(t)
	h.Step(now, orders(peer.ShardOrders{Terminated: []string{"m1"}}))
	h.Step(now, LeaderConnected{Term: 10})
	page := peer.AttemptPage{Machines: []string{"m1"},
		Groups: []peer.AttemptGroup{{Job: task.Job, Team: "red", CPUs: 1, Attempts: []int{3, 1, 0}}}}
	effects := h.Step(afterUpdateIntervals(2), fromLeader(peer.FromLeader{Term: 10, Grants: []peer.ShardGrant{
		{Shard: 0, FencingToken: 60, KeyVersion: 8, Machines: testInventory,
			Pages: map[string]peer.AttemptPage{"run/000/1-1": page}}}}))
	if kinds := eventsOf(effects); len(kinds) != 1 || kinds[0] != peer.EventReleased {
		t.Errorf("events %v after a grant with a record on a deleted machine, want released", kinds)
	}
	reported := false
	for _, update := range updatesOf(effects) {
		for _, m := range update.Machines {
			reported = reported || m.Name == "m1" && m.Terminated
		}
	}
	if !reported {
		t.Error("m1 not reported to the leader as terminated")
	}
}

// A repeated or older grant does not start a new lease, because the new lease would reuse attempt IDs.
func TestRepeatedGrantIsIgnored(t *testing.T) {
	h := newTestHolder(t)
	s := h.shards[0]
	for _, token := range []wire.FencingToken{testToken, testToken - 1} {
		grant := peer.ShardGrant{Shard: 0, FencingToken: token, KeyVersion: 7}
		h.Step(now, fromLeader(peer.FromLeader{Term: testTerm, Grants: []peer.ShardGrant{grant}}))
		if h.shards[0] != s {
			t.Errorf("grant under token %d started a new lease after token %d", token, testToken)
		}
	}
}

// Messages of an older leader, or for an older lease, are ignored.
func TestStaleLeaderMessagesAreIgnored(t *testing.T) {
	terminated := func(token wire.FencingToken) []peer.ShardOrders {
		return []peer.ShardOrders{{Shard: 0, FencingToken: token, Terminated: []string{"m1"}}}
	}
	grants := []peer.ShardGrant{{Shard: 0, FencingToken: 60, KeyVersion: 9}}
	for name, message := range map[string]peer.FromLeader{
		"orders of an older leader":  {Term: testTerm - 1, Orders: terminated(testToken)},
		"orders for an older lease":  {Term: testTerm, Orders: terminated(testToken - 1)},
		"grant of an older leader":   {Term: testTerm - 1, Grants: grants},
		"holders of an older leader": {Term: testTerm - 1, Holders: []string{"n1"}},
	} {
		h := newTestHolder(t)
		h.Step(now, fromLeader(message))
		if s := h.shards[0]; s == nil || s.lease.fencingToken != testToken || s.machines["m1"].terminated {
			t.Errorf("%s: message applied, want it ignored", name)
		}
	}
	h := newTestHolder(t)
	expiresAt := h.shards[0].lease.expiresAt
	h.Step(secondsLater(2), Tick{})
	h.Step(secondsLater(2), renewal(h, testToken-1))
	if h.shards[0].lease.expiresAt != expiresAt {
		t.Error("renewal of an older shard lease extended the current lease")
	}
}
