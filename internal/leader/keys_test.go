package leader

import (
	"slices"
	"testing"

	"swiftledge/internal/clock"
	"swiftledge/internal/leader/jobs"
	"swiftledge/internal/store"
	"swiftledge/wire"
)

// Keys that are made of a term and a count: a leader of another version finds what they hold by their
// beginning, and must never make one that is there already.
func TestKeysOfAnEpoch(t *testing.T) {
	cases := []struct {
		name, want string
		key        func(l *Leader) string
	}{
		{"progress page", "prog/5-1", func(l *Leader) string {
			l.jobs.Get(spec.Ref).MarkCompleted(0)
			return l.progress.DueWrites(began+jobs.ProgressInterval, l.jobs, l.valueBytes)[0].Key
		}},
		{"found machines", "fleet/found-5-1", func(l *Leader) string {
			l.inventory.discovered["host-000009"] = wire.Machine{Name: "host-000009", Type: "small", Zone: "a"}
			l.effects = nil
			l.adoptDiscovered()
			return putKeys(l.effects)[0]
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := c.key(leading(t)); got != c.want {
				t.Errorf("the key is %s, want %s", got, c.want)
			}
		})
	}
}

// putKeys are the first keys that the effects' transactions put.
func putKeys(effects []Effect) (keys []string) {
	for _, e := range effects {
		if c, ok := e.(CommitTxn); ok && c.Txn.Writes[0].Put != "" {
			keys = append(keys, c.Txn.Writes[0].Put)
		}
	}
	return keys
}

// A leader of a site without machines writes these keys, in this order, before it asks the cloud.
func TestKeysOfANewSite(t *testing.T) {
	l := leading(t)
	l.Step(began, LeadershipLost{})
	l.Step(began, LeadershipAcquired{Term: 7})
	l.Step(began, LeadershipExtended{Until: began + 100*clock.Second})
	l.Step(began, PeerConnected{Controller: "n0", Link: testLink("link")})
	types := wire.Catalog{Types: []wire.MachineType{{Name: "small", CPUs: 4, MemoryGB: 8, Price: 1, SpotPrice: 0.5, BootS: 10, ZoneNames: []string{"a"}}}}
	effects := l.Step(began, StateLoaded{Term: 7, RequestedAt: began, Items: []wire.Item{item(t, CatalogKey, 1, types),
		item(t, JobPrefix+spec.Ref, 2, JobRecord{Spec: spec})}})
	var keys []string
	revision := uint64(10)
	for at := began; at < began+5*clock.Second; at += clock.Second / 4 {
		for len(effects) > 0 {
			e := effects[0]
			effects = effects[1:]
			if c, ok := e.(CommitTxn); ok {
				keys = append(keys, putKeys([]Effect{c})...)
				revision++
				effects = append(effects, l.Step(at, TxnCompleted{Term: 7, Tag: c.Tag, Result: store.TxnResult{Committed: true, Revision: revision}})...)
			}
		}
		l.Step(at, LeadershipExtended{Until: at + 100*clock.Second})
		effects = l.Step(at, Tick{})
	}
	if want := []string{"layout", "block/000", "fleet/r-7-1"}; !slices.Equal(keys, want) {
		t.Errorf("the keys are %v, want %v", keys, want)
	}
}
