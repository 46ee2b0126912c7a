package api

import (
	"testing"

	"swiftledge/internal/clock"
	"swiftledge/internal/config"
	"swiftledge/internal/leader"
	"swiftledge/internal/peer"
	"swiftledge/wire"
)

func newTestCacheState() *cacheState {
	cfg := &config.Config{}
	cfg.Peers = []config.Peer{{Name: "c1"}}
	return newCacheState(cfg)
}

// The leader counts as reachable until leaderContactTimeout after its last message that has the current term, confirms
// a lease renewal and says that the leader has access to the store.
func TestLeaderIsReachableAfterItsMessages(t *testing.T) {
	reachable := peer.FromLeader{Term: 7, RenewedSeq: 1, StoreOK: true}
	for _, c := range []struct {
		name    string
		message peer.FromLeader
		after   clock.Micros
		want    bool
	}{
		{"immediately after the message", reachable, 0, true},
		{"just before the timeout", reachable, leaderContactTimeout - 1, true},
		{"at the timeout", reachable, leaderContactTimeout, false},
		{"message of another term", peer.FromLeader{Term: 6, RenewedSeq: 1, StoreOK: true}, 0, false},
		{"message without access to the store", peer.FromLeader{Term: 7, RenewedSeq: 1}, 0, false},
		{"message without a renewal", peer.FromLeader{Term: 7, StoreOK: true}, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newTestCacheState()
			s.handle(LeaderChanged{Term: 7, Controller: "c1"}, clock.Second)
			s.handle(LeaderMessage{&c.message}, 2*clock.Second)
			if got := s.view("", 2*clock.Second+c.after).LeaderReachable; got != c.want {
				t.Errorf("leader reachable: %v, want %v", got, c.want)
			}
			s.handle(LeaderChanged{Term: 8, Controller: "c2"}, 2*clock.Second)
			if view := s.view("", 2*clock.Second); view.LeaderReachable || view.Term != 8 || view.Leader != "c2" {
				t.Errorf("view after a change of leader is %+v, want c2 in term 8, not yet reachable", view)
			}
		})
	}
}

// A controller is isolated if it has had no contact with any other controller for longer than the timeout. A controller
// without peers is never isolated.
func TestIsolation(t *testing.T) {
	s := newTestCacheState()
	s.handle(PeerContacted{}, clock.Second)
	if s.view("", clock.Second+isolationTimeout).Isolated {
		t.Error("controller counted as isolated before the timeout")
	}
	if !s.view("", clock.Second+isolationTimeout+1).Isolated {
		t.Error("controller not counted as isolated after the timeout without contact with other controllers")
	}
	if newCacheState(&config.Config{}).view("", isolationTimeout+1).Isolated {
		t.Error("controller without peers counted as isolated")
	}
}

// A job's final state replaces its task counts. An answered poll resets the record of failed polls.
func TestJobView(t *testing.T) {
	s := newTestCacheState()
	count := peer.TaskCount{Job: testRef, Done: 2, Running: 3}
	s.handle(LeaderMessage{&peer.FromLeader{TaskCounts: []peer.TaskCount{count}}}, clock.Second)
	s.handle(pollFailed{testRef}, clock.Second)
	s.handle(pollFailed{testRef}, 2*clock.Second)
	view := s.view(testRef, 4*clock.Second)
	if view.Count != count || view.FinalState != nil || view.UnansweredFor != 3*clock.Second {
		t.Errorf("view of a running job is %+v, want its task counts and 3 s without an answered poll", view)
	}
	s.handle(pollAnswered{testRef}, 4*clock.Second)
	s.handle(jobEnded{testRef, leader.FinalStateRecord{State: wire.JobDone, Tasks: 5}}, 4*clock.Second)
	view = s.view(testRef, 5*clock.Second)
	if view.Count.Done != 0 || view.FinalState == nil || view.FinalState.Tasks != 5 || view.UnansweredFor != 0 {
		t.Errorf("view of a finished job is %+v, want only its final state", view)
	}
}

// The cache keeps the machine types if a message of the leader has none.
func TestMachineTypesAreKept(t *testing.T) {
	s := newTestCacheState()
	s.handle(catalogRead{[]wire.MachineType{{Name: "small"}}}, 0)
	s.handle(LeaderMessage{&peer.FromLeader{}}, 0)
	if types := s.view("", 0).Types; len(types) != 1 || types[0].Name != "small" {
		t.Errorf("machine types %+v after a message without types, want only small", types)
	}
	s.handle(LeaderMessage{&peer.FromLeader{Types: []wire.MachineType{{Name: "large"}, {Name: "g8"}}}}, 0)
	if types := s.view("", 0).Types; len(types) != 2 {
		t.Errorf("machine types %+v after a message with two types, want these two", types)
	}
}

// TestTaskCountsOfFormerLeaderAreIgnored guards against a late message of a former leader that replaces newer counts.
func TestTaskCountsOfFormerLeaderAreIgnored(t *testing.T) {
	s := newTestCacheState()
	s.handle(LeaderChanged{Term: 7, Controller: "c1"}, clock.Second)
	for _, message := range []peer.FromLeader{
		{Term: 7, TaskCounts: []peer.TaskCount{{Job: testRef, Running: 6}}},
		{Term: 6, TaskCounts: []peer.TaskCount{{Job: testRef, Running: 12}}},
	} {
		s.handle(LeaderMessage{&message}, clock.Second)
	}
	if count := s.view(testRef, clock.Second).Count; count.Running != 6 {
		t.Errorf("%d tasks told as running, want the 6 of the current leader", count.Running)
	}
}
