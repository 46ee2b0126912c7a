package assignment

import (
	"slices"
	"testing"

	"swiftledge/internal/clock"
)

const now = 100 * clock.Second

// round returns a round with the named controllers, which connected long ago, and a shard for each of the given last
// holders. A shard is granted if its holder is connected.
func round(holders, connected []string) Round {
	r := Round{Now: now, Leader: "n0", Controllers: map[string]*Controller{},
		Capacity: Capacity{Controllers: 3, CPU: 0.1, HeartbeatS: 3, AgentLease: 20 * clock.Second, Machines: 30}}
	for _, name := range connected {
		r.Controllers[name] = &Controller{Name: name, ConnectedAt: clock.Second}
	}
	for i, holder := range holders {
		s := &Shard{ID: i, Holder: holder, AttemptsRead: true}
		if slices.Contains(connected, holder) {
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
		name      string
		holders   []string
		connected []string
		change    func(r Round)
		want      []string
	}{
		{"connected holders keep their shards", []string{"n0", "n1", "n2"}, []string{"n0", "n1", "n2"}, nil, []string{"n0", "n1", "n2"}},
		{"shard without a holder goes to the least loaded controller", []string{"n0", "n1", "n1", ""}, []string{"n0", "n1", "n2"}, nil,
			[]string{"n0", "n1", "n1", "n2"}},
		{"leader is chosen last", []string{"", ""}, []string{"n0", "n1"}, nil, []string{"n1", "n0"}},
		{"reconnected holder gets its shards back", []string{"n0", "n1"}, []string{"n0", "n1"}, func(r Round) { r.Shards[1].HolderConnected = false },
			[]string{"n0", "n1"}},
		{"moving shard keeps its holder", []string{"n0", "n0", "n0"}, []string{"n0", "n1"}, func(r Round) {
			for _, s := range r.Shards {
				s.Phase = Moving
			}
		}, []string{"n0", "n0", "n0"}},
		{"shards move to a controller connected for long enough", []string{"n0", "n0", "n0", "n0"}, []string{"n0", "n1"}, nil,
			[]string{"n1", "n1", "n0", "n0"}},
		{"no shard moves to a controller that has just connected", []string{"n0", "n0", "n0", "n0"}, []string{"n0", "n1"},
			func(r Round) { r.Controllers["n1"].ConnectedAt = now - MinConnectedTime }, []string{"n0", "n0", "n0", "n0"}},
		{"controller refused by the store loses its shards", []string{"n0", "n1"}, []string{"n0", "n1"},
			func(r Round) { r.Controllers["n1"].StoreRefusedSince = now - storeRefusalTolerance - 1 }, []string{"n0", "n0"}},
		{"controller without agent contact loses its shards", []string{"n0", "n1"}, []string{"n0", "n1"},
			func(r Round) { r.Controllers["n1"].NoAgentContactAt = now - clock.Second }, []string{"n0", "n0"}},
		{"if no controller is fit, all are eligible", []string{"n0"}, []string{"n0"},
			func(r Round) { r.Controllers["n0"].NoAgentContactAt = now - clock.Second }, []string{"n0"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := round(c.holders, c.connected)
			if c.change != nil {
				c.change(r)
			}
			Assign(r)
			if got := holders(r); !slices.Equal(got, c.want) {
				t.Errorf("holders of the shards are %v, want %v", got, c.want)
			}
		})
	}
}
