package shard

import (
	"strconv"
	"testing"

	"swiftledge/internal/clock"
	"swiftledge/internal/peer"
	"swiftledge/wire"
)

// What a report costs must not grow with the number of machines: hundreds come a second.
func TestReportCostsTheSameHoweverManyMachines(t *testing.T) {
	cost := func(machines int) float64 {
		h := newTestHolder(t)
		for i := range machines {
			h.Step(now, heartbeat("x"+strconv.Itoa(i), 1, 50))
		}
		h.Step(later(1), Tick{}) // the leader is told of them all
		seq := uint64(1)
		return testing.AllocsPerRun(100, func() {
			seq++
			h.Step(later(1), heartbeat("x3", seq, 50))
		})
	}
	if few, many := cost(10), cost(2000); many > few+1 {
		t.Errorf("%.0f allocations a report with 2000 machines, %.0f with 10", many, few)
	}
}

func countCommands(fx []Effect) (n int) {
	for _, e := range fx {
		_, commands := e.(SendCommands)
		_, inspection := e.(InspectAgent)
		if commands || inspection {
			n++
		}
	}
	return n
}

// A direct command costs a controller more than the answer to a report. One that is behind with
// its work lets the next report's answer carry a start; one that is not sends it at once.
func TestStartsWaitForReportsUnderOverload(t *testing.T) {
	const onTime, late = lateTickThreshold / 2, 2 * lateTickThreshold
	for _, c := range []struct {
		name  string
		ticks clock.Micros
		quiet clock.Micros // since the last report
		want  int
	}{
		{"ticks on time", onTime, 0, 1},
		{"a late tick", late, 0, 0},
		{"a late tick, and the report is overdue", late, 3 * clock.Second, 1},
	} {
		h := newTestHolder(t)
		at := now + clock.Second
		h.Step(at, heartbeat("m1", 1, 50, running(1)))
		h.Step(at, Tick{})
		at += c.ticks
		h.Step(at, Tick{})
		h.Step(at, heartbeat("m1", 2, 50, running(1)))
		at += c.quiet
		h.overload.lastTick = at // ticks meanwhile came as before
		if c.ticks == late {
			h.overload.lastLateTick = at
		}
		if n := countCommands(launchTask(t, h, at)); n != c.want {
			t.Errorf("%s: %d direct commands, want %d", c.name, n, c.want)
		}
		runs := 0
		for _, cmd := range replyOf(t, h.Step(at, heartbeat("m1", 3, 50, running(1)))).Body.Commands {
			if cmd.Verb == wire.VerbRun {
				runs++
			}
		}
		if runs != 1 {
			t.Errorf("%s: the next answer carries %d run orders, want 1", c.name, runs)
		}
	}
}

// A block that is granted to an overloaded controller is fenced by its machines' reports, not by
// a direct command to each.
func TestGrantUnderOverloadSendsNoCommands(t *testing.T) {
	for _, overloaded := range []bool{false, true} {
		h := newTestHolder(t)
		at := now + clock.Second
		h.Step(at, Tick{})
		if overloaded {
			at += 2 * lateTickThreshold
		}
		h.Step(at, Tick{})
		fx := h.Step(at, LeaderMessage{&peer.FromLeader{Term: 9, Grants: []peer.ShardGrant{{Shard: 0, FencingToken: 51, KeyVersion: 8,
			Machines: []peer.InventoryMachine{{Name: "m1", Address: "a1"}, {Name: "m2", Address: "a2"}}}}}})
		if n := countCommands(fx); (n == 0) != overloaded {
			t.Errorf("overloaded %v: %d direct commands", overloaded, n)
		}
	}
}
