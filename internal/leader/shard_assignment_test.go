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

// Blocks stay with a controller that can answer their workers while the others are linked
// through the state service only: there a grant may take longer than a lease lasts.
func TestBlocksStayWhileLinksAreSlow(t *testing.T) {
	moved := func(slow bool) bool {
		l := granting(t, nil)
		l.cfg.Facts.Quota.CPU, l.cfg.Facts.Workers.ReportS = 0.1, 3
		l.Step(began+clock.Second, PeerConnected{Controller: "n1", Link: testLink("other"), ViaStore: slow})
		message := HolderMessage{Controller: "n1", Link: testLink("other"), Message: &peer.ToLeader{Term: 5, StoreOK: true}}
		for i := range 20 {
			now := began + clock.Second + clock.Micros(i)*clock.Second/4
			l.Step(now, message)
			l.Step(now, HolderMessage{Controller: "n0", Link: testLink("link"), Message: &peer.ToLeader{Term: 5, StoreOK: true}})
			l.Step(now, Tick{})
		}
		return l.shards.all[0].Holder == "n1" || l.shards.all[1].Holder == "n1"
	}
	if moved(true) {
		t.Error("a block goes to a controller with a slow link")
	}
	if !moved(false) {
		t.Error("no block goes to a controller with a link")
	}
}

// A controller left alone takes as many blocks as it can answer all workers of, by what a
// report is measured to cost: with fewer, tasks end with leases that it could have kept, with
// more every answer is late.
func TestLoneControllerTakesWhatItCanAnswer(t *testing.T) {
	for _, c := range []struct {
		cpu      float64
		machines int
		reportS  float64
		least    int
		most     int
	}{{0.029, 600, 3, 5, 6}, {0.029, 500, 3, 6, 6}, {0.029, 900, 3, 3, 4}, {0.029, 4000, 3, 3, 3}, {0.192, 1750, 5, 6, 6}} {
		l := leading(t)
		l.cfg.Facts.InitialSize, l.cfg.Facts.Quota.CPU, l.cfg.Facts.Workers.ReportS = 3, c.cpu, c.reportS
		l.shards.all = make([]*shardLease, 6)
		for i := range c.machines {
			l.inventory.machines[fmt.Sprint("more", i)] = &machine{}
		}
		if n := l.controllerCapacity().MaxShards(len(l.shards.all)); n < c.least || n > c.most {
			t.Errorf("%g of a core and %d machines: %d of 6 blocks, want %d to %d", c.cpu, c.machines, n, c.least, c.most)
		}
	}
}

// blockWrites counts the blocks whose keys the effects write for a holder.
func blockWrites(t *testing.T, effects []Effect, holder string) (n int) {
	t.Helper()
	for _, e := range effects {
		c, ok := e.(CommitTxn)
		if !ok {
			continue
		}
		for _, w := range c.Txn.Writes {
			if !strings.HasPrefix(w.Put, shard.KeyPrefix) {
				continue
			}
			var r ShardRecord
			if err := json.Unmarshal(w.Value, &r); err != nil {
				t.Fatal(err)
			}
			if r.Holder == holder {
				n++
			}
		}
	}
	return n
}

// withBlocks makes a leader on n0 of six blocks that three controllers held, and many machines.
func withBlocks(t *testing.T, cpu float64, machines int, holders []string) *Leader {
	t.Helper()
	l := leading(t)
	f := &l.cfg.Facts
	f.InitialSize, f.Quota.CPU, f.Workers.ReportS, f.Workers.LeaseS = 3, cpu, 3, 17
	l.shards.all = nil
	for i, h := range holders {
		l.shards.all = append(l.shards.all, &shardLease{Shard: assignment.Shard{ID: i, Holder: h, AttemptsRead: true}, tasks: map[peer.Task]*grantedTask{}})
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

// The machines of controllers that are lost come to the one that is left block by block, as fast
// as its share of a core can take their workers in: with all at once it was late with every
// answer, lost its own lease, and users were not answered for seconds. A large share takes all.
func TestBlocksAreTakenOverOneAfterTheOther(t *testing.T) {
	for _, c := range []struct {
		cpu      float64
		machines int
		most     int // blocks of others within half a second
	}{{0.029, 500, 1}, {0.96, 500, 4}} {
		l := withBlocks(t, c.cpu, c.machines, []string{"n0", "n0", "n1", "n1", "n2", "n2"})
		taken, last := 0, clock.Micros(0)
		within := 0
		for at := began + 2*clock.Second; taken < 4 && at < began+10*clock.Second; at += clock.Second / 4 {
			l.Step(at, LeadershipExtended{Until: at + 3*clock.Second})
			l.shards.controllers["n0"].lastHeartbeat = at
			l.jobsViewedAt = at
			before := taken
			l.Step(at, Tick{})
			taken = 0
			for _, b := range l.shards.all[2:] {
				if b.Holder == "n0" {
					taken++
				}
			}
			if taken > before {
				within = max(within, taken-before)
				last = at
			}
		}
		if within > c.most {
			t.Errorf("%g of a core: %d blocks at once, want at most %d", c.cpu, within, c.most)
		}
		if taken < 3 || last > began+8*clock.Second {
			t.Errorf("%g of a core: %d blocks of the others taken, the last after %g s", c.cpu, taken, (last - began).Seconds())
		}
	}
}

// A controller that comes back relieves the one that was left alone of all blocks beyond its part
// together: one after the other, each takes the overloaded leader a second or more.
func TestBlocksMoveTogetherToAControllerThatIsBack(t *testing.T) {
	l := withBlocks(t, 0.029, 500, []string{"n0", "n0", "n0", "n0", "n0", "n0"})
	for _, b := range l.shards.all {
		b.state, b.link = granted, testLink("link")
	}
	joined := began + 5*clock.Second
	l.Step(joined, LeadershipExtended{Until: joined + 10*clock.Second})
	l.shards.controllers["n0"].lastHeartbeat = joined
	l.Step(joined, PeerConnected{Controller: "n1", Link: testLink("other")})
	if n := blockWrites(t, l.Step(joined+assignment.MinConnectedTime/2, Tick{}), "n1"); n != 0 {
		t.Errorf("%d blocks move before the controller has settled", n)
	}
	if n := blockWrites(t, l.Step(joined+2*assignment.MinConnectedTime, Tick{}), "n1"); n < 2 || n > 3 {
		t.Errorf("%d blocks move, want two or three of six", n)
	}
}
