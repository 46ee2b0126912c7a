package assignment

import (
	"slices"
	"testing"

	"swiftledge/internal/clock"
)

const now = 100 * clock.Second

// round has shards with the given last holders, granted where the holder is in touch, and controllers in touch that
// connected long ago.
func round(holders, inTouch []string) Round {
	r := Round{Now: now, Leader: "n0", Controllers: map[string]*Controller{},
		Capacity: Capacity{Controllers: 3, CPU: 0.1, HeartbeatS: 3, AgentLease: 20 * clock.Second, Machines: 30}}
	for _, name := range inTouch {
		r.Controllers[name] = &Controller{Name: name, ConnectedAt: clock.Second}
	}
	for i, holder := range holders {
		s := &Shard{ID: i, Holder: holder, AttemptsRead: true}
		if slices.Contains(inTouch, holder) {
			s.Phase, s.HolderConnected = Granted, true
		}
		r.Shards = append(r.Shards, s)
	}
	return r
}

func holders(r Round) (names []string) {
	for _, s := range r.Shards {
		names = append(names, s.Holder)
	}
	return names
}

func TestAssign(t *testing.T) {
	for _, c := range []struct {
		name    string
		holders []string
		inTouch []string
		change  func(r Round)
		want    []string
	}{
		{"holders in touch keep their shards", []string{"n0", "n1", "n2"}, []string{"n0", "n1", "n2"}, nil, []string{"n0", "n1", "n2"}},
		{"a shard without a holder goes to the one with the fewest", []string{"n0", "n1", "n1", ""}, []string{"n0", "n1", "n2"}, nil,
			[]string{"n0", "n1", "n1", "n2"}},
		{"the leader gets fewer", []string{"", ""}, []string{"n0", "n1"}, nil, []string{"n1", "n0"}},
		{"a holder that is back gets its shards again", []string{"n0", "n1"}, []string{"n0", "n1"}, func(r Round) { r.Shards[1].HolderConnected = false },
			[]string{"n0", "n1"}},
		{"a shard that is moving is left alone", []string{"n0", "n0", "n0"}, []string{"n0", "n1"}, func(r Round) {
			for _, s := range r.Shards {
				s.Phase = Moving
			}
		}, []string{"n0", "n0", "n0"}},
		{"shards even out to a controller that is connected long enough", []string{"n0", "n0", "n0", "n0"}, []string{"n0", "n1"}, nil,
			[]string{"n1", "n1", "n0", "n0"}},
		{"but not to one that has just connected", []string{"n0", "n0", "n0", "n0"}, []string{"n0", "n1"},
			func(r Round) { r.Controllers["n1"].ConnectedAt = now - MinConnectedTime }, []string{"n0", "n0", "n0", "n0"}},
		{"a controller that the store refuses loses its shards", []string{"n0", "n1"}, []string{"n0", "n1"},
			func(r Round) { r.Controllers["n1"].StoreRefusedSince = now - storeRefusalTolerance - 1 }, []string{"n0", "n0"}},
		{"one that hears no agent loses its shards", []string{"n0", "n1"}, []string{"n0", "n1"},
			func(r Round) { r.Controllers["n1"].NoAgentContactAt = now - clock.Second }, []string{"n0", "n0"}},
		{"if none is able, all of them have to do", []string{"n0"}, []string{"n0"},
			func(r Round) { r.Controllers["n0"].NoAgentContactAt = now - clock.Second }, []string{"n0"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := round(c.holders, c.inTouch)
			if c.change != nil {
				c.change(r)
			}
			Assign(r)
			if got := holders(r); !slices.Equal(got, c.want) {
				t.Errorf("holders %v, want %v", got, c.want)
			}
		})
	}
}
