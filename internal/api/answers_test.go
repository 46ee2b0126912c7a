package api

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"testing"

	"swiftledge/internal/clock"
	"swiftledge/internal/config"
	"swiftledge/internal/fake"
	"swiftledge/internal/leader"
	"swiftledge/internal/store"
	"swiftledge/wire"
)

// between is a state service in which others write between two requests of ours.
type between struct {
	*fake.Store
	hook  map[string]func() // before a key is read, once
	lost  int               // of the next transactions, carried out without an answer
	then  func()            // after such a one
	after func()            // after the next read
}

func (b *between) Get(_ context.Context, _ int, key string) (wire.Item, error) {
	if f := b.hook[key]; f != nil {
		delete(b.hook, key)
		f()
	}
	it, ok := b.Store.Get(key)
	if f := b.after; f != nil {
		b.after = nil
		f()
	}
	if ok {
		return it, nil
	}
	return wire.Item{}, store.ErrNotFound
}

func (b *between) TryCommit(_ context.Context, _ int, t wire.Txn) (store.TxnResult, error) {
	o, _ := b.Store.Txn(t)
	if b.lost > 0 {
		b.lost--
		if b.then != nil {
			b.then()
		}
		return store.TxnResult{}, store.ErrOutcomeUnknown
	}
	return o, nil
}

// ends moves a job to its final state, as its leader or another node does.
func (b *between) ends(t *testing.T, ref string, state wire.JobState) {
	t.Helper()
	raw, err := json.Marshal(leader.FinalStateRecord{State: state, Tasks: 1})
	if err != nil {
		t.Fatal(err)
	}
	it, _ := b.Store.Get(leader.JobPrefix + ref)
	if o, problem := b.Txn(wire.Txn{Conditions: []wire.Condition{{Key: leader.JobPrefix + ref, Version: it.Version}},
		Writes: []wire.Write{{Put: leader.FinalStatePrefix + ref, Value: raw}, {Delete: leader.JobPrefix + ref}}}); !o.Committed {
		t.Fatal("the job does not end: ", problem)
	}
}

// Whatever other nodes write between two requests of this one, and whatever becomes of an
// answer from the state service, no user gets an older answer than one that was told.
func TestNoOlderAnswer(t *testing.T) {
	const ref = "j-000001"
	body := []byte(`{"ref":"` + ref + `","lane":"l","owner":"red","shape":"batch","rank":"high","lots":1,"cpus":1,"accelerators":0,"ramGb":1,
"kit":"i","imageGb":1,"breeds":null,"paddock":null,"together":false,"scatter":false,"stray":true,"reckonS":5,"waypointS":0,"stashS":0,"dueS":null}`)
	cases := []struct {
		name string
		play func(b *between, s *Service) Result
		code int
		want wire.JobState
	}{
		{"done between the two reads of a question", func(b *between, s *Service) Result {
			// Whichever is read first, the job moves right after.
			b.after = func() { b.ends(t, ref, wire.JobDone) }
			if r := s.Status(ref); r.Code == 404 {
				return r
			}
			return s.Status(ref)
		}, 200, wire.JobDone},
		{"done while a cancellation is under way", func(b *between, s *Service) Result {
			b.hook[leader.JobPrefix+ref] = func() { b.ends(t, ref, wire.JobDone) }
			return s.Cancel(ref)
		}, 200, wire.JobDone},
		{"cancelled, and only the answer is lost", func(b *between, s *Service) Result {
			b.lost = 1
			return s.Cancel(ref)
		}, 200, wire.JobCancelled},
		{"submitted again as it ends", func(b *between, s *Service) Result {
			b.ends(t, ref, wire.JobCancelled)
			return s.Submit(body)
		}, 200, wire.JobCancelled},
		{"submitted again malformed, once it is over", func(b *between, s *Service) Result {
			b.ends(t, ref, wire.JobDone)
			return s.Submit([]byte(`{"ref":"` + ref + `"}`))
		}, 200, wire.JobDone},
		{"submitted again by an unknown team", func(b *between, s *Service) Result {
			var form map[string]any
			if err := json.Unmarshal(body, &form); err != nil {
				t.Fatal(err)
			}
			form["owner"] = "nobody"
			raw, err := json.Marshal(form)
			if err != nil {
				t.Fatal(err)
			}
			return s.Submit(raw)
		}, 200, wire.JobQueued},
	}
	for _, c := range cases {
		b := &between{Store: fake.NewStore(4, 8), hook: map[string]func(){}}
		s := service(t, b)
		if r := s.Submit(body); r.Code != 201 {
			t.Fatalf("%s: submission gets %d %s", c.name, r.Code, r.Reason)
		}
		if r := c.play(b, s); r.Code != c.code || r.Status.State != c.want {
			t.Errorf("%s: %d %s %s, want %d %s", c.name, r.Code, r.Status.State, r.Reason, c.code, c.want)
		}
		// Another node, which has heard of none of it, answers the same.
		if r := service(t, b).Status(ref); r.Code != c.code || r.Status.State != c.want {
			t.Errorf("%s: another node says %d %s", c.name, r.Code, r.Status.State)
		}
	}
	// Accepted by a write whose answer was lost, and over before it is tried again.
	b := &between{Store: fake.NewStore(4, 8), hook: map[string]func(){}, lost: 1}
	b.then = func() { b.ends(t, ref, wire.JobCancelled) }
	if r := service(t, b).Submit(body); r.Code != 200 || r.Status.State != wire.JobCancelled {
		t.Errorf("accepted, cancelled by another node, tried again: %d %s", r.Code, r.Status.State)
	}
}

// refusing is a state service whose limit refuses reads; it notes their priorities.
type refusing struct {
	between
	refuse     bool
	priorities []int
}

func (r *refusing) Get(ctx context.Context, prio int, key string) (wire.Item, error) {
	r.priorities = append(r.priorities, prio)
	if r.refuse {
		return wire.Item{}, store.ErrNotExecuted
	}
	return r.between.Get(ctx, prio, key)
}

// When more is asked than the state service takes, chance must not leave the questions about one
// job unanswered for a minute: once they were refused for a while, the next goes first.
func TestStarvedQuestionsGoFirst(t *testing.T) {
	const ref = "j-000001"
	st := &refusing{between: between{Store: fake.NewStore(4, 8)}, refuse: true}
	var now clock.Micros
	s := serviceAt(t, st, func() clock.Micros { return now })
	ask := func(at clock.Micros) int {
		now = at
		st.priorities = nil
		s.Status(ref)
		return st.priorities[0]
	}
	for _, at := range []clock.Micros{0, starvedAfter / 2, starvedAfter - 1} {
		if prio := ask(clock.Second + at); prio != store.PriorityReads {
			t.Errorf("after %g s of refusals: priority %d, want %d", at.Seconds(), prio, store.PriorityReads)
		}
	}
	st.refuse = false
	if prio := ask(clock.Second + starvedAfter + 1); prio != store.PriorityStarvedReads {
		t.Errorf("a job that has waited: priority %d, want %d", prio, store.PriorityStarvedReads)
	}
	if prio := ask(clock.Second + 2*starvedAfter); prio != store.PriorityReads {
		t.Errorf("after an answer: priority %d, want %d", prio, store.PriorityReads)
	}
}

// Jobs that were refused once and are then asked for elsewhere must not use up the room for those
// that starve here.
func TestStarvedQuestionsAreRememberedAfterManyOthers(t *testing.T) {
	st := &refusing{between: between{Store: fake.NewStore(4, 8)}, refuse: true}
	var now clock.Micros
	s := serviceAt(t, st, func() clock.Micros { return now })
	for i := range leastRemembered {
		s.jobs.Post(questionRefused{fmt.Sprint("j-", 100000+i)})
	}
	s.Status("j-000001")
	now = starvedAfter + 1
	st.priorities = nil
	s.Status("j-000001")
	if prio := st.priorities[0]; prio != store.PriorityStarvedReads {
		t.Errorf("priority %d, want %d", prio, store.PriorityStarvedReads)
	}
}

func service(t *testing.T, st Store) *Service {
	return serviceAt(t, st, func() clock.Micros { return 0 })
}

func serviceAt(t *testing.T, st Store, now func() clock.Micros) *Service {
	cfg := &config.Config{Tuning: config.DefaultTuning()}
	cfg.Facts.Teams = []config.Team{{Name: "red", CPUs: 8, CPUsMax: 8}, {Name: "guest"}}
	cfg.Facts.State.ValueKB = 4
	directory := NewJobCache(cfg, now)
	go directory.Run(t.Context())
	directory.Post(typesRead{[]wire.MachineType{{Name: "small", CPUs: 4, MemoryGB: 8, ZoneNames: []string{"a"}}}})
	return New(cfg, st, func(context.Context, int) bool { return true }, directory, func() bool { return true }, nil, now, slog.New(slog.NewTextHandler(io.Discard, nil)))
}
