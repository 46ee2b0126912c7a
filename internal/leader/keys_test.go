package leader

import (
	"slices"
	"testing"

	"swiftledge/internal/clock"
	"swiftledge/internal/leader/jobs"
	"swiftledge/internal/store"
	"swiftledge/wire"
)

// Some keys consist of a prefix, a term and a counter. A leader of another version finds these keys by their prefix,
// and a leader must never create a key that already exists.
func TestKeysContainTerm(t *testing.T) {
	cases := []struct {
		name, want string
		key        func(l *Leader) string
	}{
		{"progress page", "prog/5-1", func(l *Leader) string {
			l.jobs.Get(testJob.Ref).MarkCompleted(0)
			return l.progress.DueWrites(startTime+jobs.ProgressInterval, l.jobs, l.valueBytes)[0].Key
		}},
		{"discovered machines", "fleet/found-5-1", func(l *Leader) string {
			l.inventory.discovered["host-000009"] = wire.Machine{Name: "host-000009", Type: "small", Zone: "a"}
			l.effects = nil
			l.adoptDiscovered()
			return putKeys(l.effects)[0]
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := c.key(newLeader(t)); got != c.want {
				t.Errorf("record written under key %s, want %s", got, c.want)
			}
		})
	}
}

// putKeys returns the first key that each transaction among the effects writes.
func putKeys(effects []Effect) (keys []string) {
	for _, e := range effects {
		if c, ok := e.(CommitTxn); ok && c.Txn.Writes[0].Put != "" {
			keys = append(keys, c.Txn.Writes[0].Put)
		}
	}
	return keys
}

// A leader of a site without machines writes the keys layout, block/000 and fleet/r-7-1, in this order, before it
// provisions machines.
func TestKeysOfANewSite(t *testing.T) {
	l := newLeader(t)
	l.Step(startTime, LeadershipLost{})
	l.Step(startTime, LeadershipAcquired{Term: 7})
	l.Step(startTime, LeadershipExtended{Until: startTime + 100*clock.Second})
	l.Step(startTime, PeerConnected{Controller: "n0", Link: testLink("link")})
	types := wire.Catalog{Types: []wire.MachineType{{Name: "small", CPUs: 4, MemoryGB: 8, Price: 1, SpotPrice: 0.5, BootS: 10, ZoneNames: []string{"a"}}}}
	effects := l.Step(startTime, StateLoaded{Term: 7, RequestedAt: startTime, Items: []wire.Item{storeItem(t, CatalogKey, 1, types),
		storeItem(t, JobPrefix+testJob.Ref, 2, JobRecord{Spec: testJob})}})
	var keys []string
	revision := uint64(10)
	for at := startTime; at < startTime+5*clock.Second; at += clock.Second / 4 {
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
		t.Errorf("written keys %v, want %v", keys, want)
	}
}
