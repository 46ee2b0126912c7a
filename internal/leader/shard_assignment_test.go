package leader

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"swiftledge/internal/clock"
	"swiftledge/internal/leader/assignment"
	"swiftledge/internal/peer"
	"swiftledge/internal/shard"
)

// Shards stay with a controller that can answer their agents while the other controllers are reached only through the
// store: a grant through the store may take longer than an agent's lease lasts.
func TestShardsDoNotMoveToControllerReachedThroughStore(t *testing.T) {
	moved := func(viaStore bool) bool {
		l := newGrantedLeader(t, nil)
		l.cfg.Facts.Quota.CPU, l.cfg.Facts.Workers.ReportS = 0.1, 3
		l.Step(startTime+clock.Second, PeerConnected{Controller: "n1", Link: testLink("other"), ViaStore: viaStore})
		message := HolderMessage{Controller: "n1", Link: testLink("other"), Message: &peer.ToLeader{Term: 5, StoreOK: true}}
		for i := range 20 {
			now := startTime + clock.Second + clock.Micros(i)*clock.Second/4
			l.Step(now, message)
			l.Step(now, HolderMessage{Controller: "n0", Link: testLink("link"), Message: &peer.ToLeader{Term: 5, StoreOK: true}})
			l.Step(now, Tick{})
		}
		return l.shards.all[0].Holder == "n1" || l.shards.all[1].Holder == "n1"
	}
	if moved(true) {
		t.Error("shard moved to a controller that is reached only through the store")
	}
	if !moved(false) {
		t.Error("no shard moved to a controller with a direct link, want at least one")
	}
}

// A controller that is the only one left takes as many shards as it can serve, that is, answer all agents of, given the
// cost of a heartbeat. If it takes fewer shards, tasks end because of agent leases that it could have renewed. If it
// takes more, every answer is late.
func TestLoneControllerTakesShardsItCanServe(t *testing.T) {
	for _, c := range []struct {
		cpu        float64
		machines   int
		heartbeatS float64
		minShards  int
		maxShards  int
	}{{0.029, 600, 3, 5, 6}, {0.029, 500, 3, 6, 6}, {0.029, 900, 3, 3, 4}, {0.029, 4000, 3, 3, 3}, {0.192, 1750, 5, 6, 6}} {
		l := newLeader(t)
		l.cfg.Facts.InitialSize, l.cfg.Facts.Quota.CPU, l.cfg.Facts.Workers.ReportS = 3, c.cpu, c.heartbeatS
		l.shards.all = make([]*shardLease, 6)
		for i := range c.machines {
			l.inventory.machines[fmt.Sprint("more", i)] = &machine{}
		}
		if n := l.controllerCapacity().MaxShards(len(l.shards.all)); n < c.minShards || n > c.maxShards {
			t.Errorf("lone controller with %g of a core and %d machines takes %d of 6 shards, want %d to %d", c.cpu, c.machines, n, c.minShards, c.maxShards)
		}
	}
}

// countShardWrites returns how many shard keys the effects write with the given holder.
func countShardWrites(t *testing.T, effects []Effect, holder string) (n int) {
	t.Helper()
	for _, e := range effects {
		c, ok := e.(CommitTxn)
		if !ok {
			continue
		}
		for _, write := range c.Txn.Writes {
			if !strings.HasPrefix(write.Put, shard.KeyPrefix) {
				continue
			}
			var record ShardRecord
			if err := json.Unmarshal(write.Value, &record); err != nil {
				t.Fatal(err)
			}
			if record.Holder == holder {
				n++
			}
		}
	}
	return n
}

// newLeaderWithShards returns a leader on n0 of a site with three controllers, with a shard for each of the given
// last holders and the given number of additional machines.
func newLeaderWithShards(t *testing.T, cpu float64, machines int, holders []string) *Leader {
	t.Helper()
	l := newLeader(t)
	facts := &l.cfg.Facts
	facts.InitialSize, facts.Quota.CPU, facts.Workers.ReportS, facts.Workers.LeaseS = 3, cpu, 3, 17
	l.shards.all = nil
	for i, holder := range holders {
		l.shards.all = append(l.shards.all, &shardLease{Shard: assignment.Shard{ID: i, Holder: holder, AttemptsRead: true}, tasks: map[peer.Task]*grantedTask{}})
	}
	for _, m := range l.inventory.machines {
		m.shard = l.shards.all[0]
	}
	for i := range machines {
		name := fmt.Sprint("more", i)
		l.inventory.machines[name] = &machine{name: name, shard: l.shards.all[i%len(l.shards.all)]}
	}
	return l
}

// A lone controller takes over the machines of lost controllers shard by shard, as fast as its processor share can
// serve their agents. When a controller took over all shards at once, every answer was late, the controller lost its
// own lease, and users got no answers for seconds. Only a controller with a large processor share takes over all shards
// at once.
func TestShardsAreTakenOverOneByOne(t *testing.T) {
	for _, c := range []struct {
		cpu       float64
		machines  int
		maxShards int // shards taken over within half a second
	}{{0.029, 500, 1}, {0.96, 500, 4}} {
		l := newLeaderWithShards(t, c.cpu, c.machines, []string{"n0", "n0", "n1", "n1", "n2", "n2"})
		taken, lastTakeover := 0, clock.Micros(0)
		maxAtOnce := 0
		for at := startTime + 2*clock.Second; taken < 4 && at < startTime+10*clock.Second; at += clock.Second / 4 {
			l.Step(at, LeadershipExtended{Until: at + 3*clock.Second})
			l.shards.controllers["n0"].lastHeartbeat = at
			l.jobsViewedAt = at
			before := taken
			l.Step(at, Tick{})
			taken = 0
			for _, lease := range l.shards.all[2:] {
				if lease.Holder == "n0" {
					taken++
				}
			}
			if taken > before {
				maxAtOnce = max(maxAtOnce, taken-before)
				lastTakeover = at
			}
		}
		if maxAtOnce > c.maxShards {
			t.Errorf("controller with %g of a core: %d shards taken over at once, want at most %d", c.cpu, maxAtOnce, c.maxShards)
		}
		if taken < 3 || lastTakeover > startTime+8*clock.Second {
			t.Errorf("controller with %g of a core: %d shards taken over, the last %g s after the start, want at least 3, the last at most 8 s after the start",
				c.cpu, taken, (lastTakeover - startTime).Seconds())
		}
	}
}

// When another controller reconnects, the lone controller hands over all shards beyond its even share together. If it
// handed them over one after the other, each would take an overloaded leader a second or more.
func TestShardsMoveTogetherToReconnectedController(t *testing.T) {
	l := newLeaderWithShards(t, 0.029, 500, []string{"n0", "n0", "n0", "n0", "n0", "n0"})
	for _, lease := range l.shards.all {
		lease.state, lease.link = granted, testLink("link")
	}
	reconnectedAt := startTime + 5*clock.Second
	l.Step(reconnectedAt, LeadershipExtended{Until: reconnectedAt + 10*clock.Second})
	l.shards.controllers["n0"].lastHeartbeat = reconnectedAt
	l.Step(reconnectedAt, PeerConnected{Controller: "n1", Link: testLink("other")})
	if n := countShardWrites(t, l.Step(reconnectedAt+assignment.MinConnectedTime/2, Tick{}), "n1"); n != 0 {
		t.Errorf("%d shards moved before the controller had been connected for MinConnectedTime, want none", n)
	}
	if n := countShardWrites(t, l.Step(reconnectedAt+2*assignment.MinConnectedTime, Tick{}), "n1"); n < 2 || n > 3 {
		t.Errorf("%d of six shards moved to the reconnected controller, want two or three", n)
	}
}
