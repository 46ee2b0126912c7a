package leader

import (
	"testing"

	"swiftledge/internal/block"
	"swiftledge/internal/clock"
	"swiftledge/internal/peer"
	"swiftledge/wire"
)

// Start records name two attempts of a replica, as those of a former grant are erased late. That one
// of them has completed is no end of the other: the replica is not offered again, and what runs of
// it is not told to stop, before the holder says that the last attempt has ended.
func TestReplicaWaitsForItsLastAttempt(t *testing.T) {
	page := peer.RecordPage{Machines: names[:1], Groups: []peer.RecordGroup{{Job: spec.Ref, Team: "red", CPUs: 1, Starts: []int{0, 1, 0, 0, 2, 0, 1, 3, 0}}}}
	l := granting(t, map[string]peer.RecordPage{"p": page})
	l.jobs[spec.Ref].record.Spec.Shape = wire.Service
	b := l.blocks[block.Of(names[0], 2)]
	one := peer.Task{Job: spec.Ref, Index: 0}
	say := func(kinds ...string) []any {
		u := peer.BlockUpdate{Block: b.id, Token: b.token}
		for _, kind := range kinds {
			u.Events = append(u.Events, peer.Event{Task: one, Kind: kind, Machine: names[0]})
		}
		return l.Step(began+clock.Second, Said{Node: "n0", Link: "link", Up: &peer.Up{Epoch: 5, Updates: []peer.BlockUpdate{u}}})
	}
	fx := say(peer.Remains, peer.Done)
	stops := 0
	for _, o := range toldOf(fx) {
		stops += len(o.Stop)
	}
	if n := offers(fx); n != 0 || stops != 0 || b.tasks[one] == nil {
		t.Errorf("%d tasks offered, %d stopped, counted %v while another attempt may run", n, stops, b.tasks[one] != nil)
	}
	if n := offers(say(peer.Back)); n != 1 {
		t.Errorf("%d tasks offered after the last attempt, want the replica", n)
	}
}
