package api

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"

	"swiftledge/internal/clock"
	"swiftledge/internal/config"
	"swiftledge/internal/fake"
	"swiftledge/internal/leader"
	"swiftledge/internal/store"
	"swiftledge/wire"
)

// testRef is the job that tests of single jobs are about.
const testRef = "j-000001"

// hookedStore is a store in which others write between two requests of the service.
type hookedStore struct {
	*fake.Store
	beforeRead   map[string]func() // before a key is read, once
	afterRead    func()            // after the next read
	lostOutcomes int               // so many of the next transactions are carried out without an answer
	afterLost    func()            // after each of these
}

func newHookedStore() *hookedStore {
	return &hookedStore{Store: fake.NewStore(4, 8), beforeRead: map[string]func(){}}
}

// Get reads a key between its hooks.
func (h *hookedStore) Get(_ context.Context, _ store.Priority, key string) (wire.Item, error) {
	if hook := h.beforeRead[key]; hook != nil {
		delete(h.beforeRead, key)
		hook()
	}
	item, ok := h.Store.Get(key)
	if hook := h.afterRead; hook != nil {
		h.afterRead = nil
		hook()
	}
	if ok {
		return item, nil
	}
	return wire.Item{}, store.ErrNotFound
}

// TryCommit carries a transaction out, and loses its outcome if it is told to.
func (h *hookedStore) TryCommit(_ context.Context, _ store.Priority, txn wire.Txn) (store.TxnResult, error) {
	outcome, _ := h.Store.Txn(txn)
	if h.lostOutcomes > 0 {
		h.lostOutcomes--
		if h.afterLost != nil {
			h.afterLost()
		}
		return store.TxnResult{}, store.ErrOutcomeUnknown
	}
	return outcome, nil
}

// endJob moves the job testRef to its final state, as its leader or another controller does.
func (h *hookedStore) endJob(t *testing.T, state wire.JobState) {
	t.Helper()
	raw, err := json.Marshal(leader.FinalStateRecord{State: state, Tasks: 1})
	if err != nil {
		t.Fatal(err)
	}
	item, _ := h.Store.Get(leader.JobPrefix + testRef)
	outcome, problem := h.Txn(wire.Txn{
		Conditions: []wire.Condition{{Key: leader.JobPrefix + testRef, Version: item.Version}},
		Writes:     []wire.Write{{Put: leader.FinalStatePrefix + testRef, Value: raw}, {Delete: leader.JobPrefix + testRef}},
	})
	if !outcome.Committed {
		t.Fatal("the job does not end: ", problem)
	}
}

// Whatever other controllers write between two requests of this one, and whatever becomes of an answer from
// the store, no user gets an older answer than one that was given before.
func TestAnswersNeverGoBack(t *testing.T) {
	const ref = testRef
	body := []byte(`{"ref":"` + ref + `","lane":"l","owner":"red","shape":"batch","rank":"high","lots":1,"cpus":1,"accelerators":0,"ramGb":1,
"kit":"i","imageGb":1,"breeds":null,"paddock":null,"together":false,"scatter":false,"stray":true,"reckonS":5,"waypointS":0,"stashS":0,"dueS":null}`)
	cases := []struct {
		name string
		play func(h *hookedStore, s *Service) Result
		code int
		want wire.JobState
	}{
		{"done between the two reads of a poll", func(h *hookedStore, s *Service) Result {
			// Whichever is read first, the job moves right after.
			h.afterRead = func() { h.endJob(t, wire.JobDone) }
			if r := s.Status(ref); r.Code == 404 {
				return r
			}
			return s.Status(ref)
		}, 200, wire.JobDone},
		{"done while a cancellation is under way", func(h *hookedStore, s *Service) Result {
			h.beforeRead[leader.JobPrefix+ref] = func() { h.endJob(t, wire.JobDone) }
			return s.Cancel(ref)
		}, 200, wire.JobDone},
		{"cancelled, and only the answer is lost", func(h *hookedStore, s *Service) Result {
			h.lostOutcomes = 1
			return s.Cancel(ref)
		}, 200, wire.JobCancelled},
		{"submitted again as it ends", func(h *hookedStore, s *Service) Result {
			h.endJob(t, wire.JobCancelled)
			return s.Submit(body)
		}, 200, wire.JobCancelled},
		{"submitted again malformed, once it is over", func(h *hookedStore, s *Service) Result {
			h.endJob(t, wire.JobDone)
			return s.Submit([]byte(`{"ref":"` + ref + `"}`))
		}, 200, wire.JobDone},
		{"submitted again by an unknown team", func(h *hookedStore, s *Service) Result {
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
		t.Run(c.name, func(t *testing.T) {
			h := newHookedStore()
			s := newService(t, h)
			if r := s.Submit(body); r.Code != 201 {
				t.Fatalf("submission gets %d %s", r.Code, r.Reason)
			}
			if r := c.play(h, s); r.Code != c.code || r.Status.State != c.want {
				t.Errorf("%d %s %s, want %d %s", r.Code, r.Status.State, r.Reason, c.code, c.want)
			}
			// Another controller, which knows nothing of it, answers the same.
			if r := newService(t, h).Status(ref); r.Code != c.code || r.Status.State != c.want {
				t.Errorf("another controller says %d %s", r.Code, r.Status.State)
			}
		})
	}
	// Accepted by a transaction whose outcome was lost, and over before it is tried again.
	h := newHookedStore()
	h.lostOutcomes = 1
	h.afterLost = func() { h.endJob(t, wire.JobCancelled) }
	if r := newService(t, h).Submit(body); r.Code != 200 || r.Status.State != wire.JobCancelled {
		t.Errorf("accepted, cancelled by another controller, tried again: %d %s", r.Code, r.Status.State)
	}
}

// refusingStore is a store that may refuse reads; it notes their priorities.
type refusingStore struct {
	*hookedStore
	refuses    bool
	priorities []store.Priority
}

// Get refuses to read a key, or reads it.
func (r *refusingStore) Get(ctx context.Context, priority store.Priority, key string) (wire.Item, error) {
	r.priorities = append(r.priorities, priority)
	if r.refuses {
		return wire.Item{}, store.ErrNotExecuted
	}
	return r.hookedStore.Get(ctx, priority, key)
}

// When there are more polls than the store takes, chance must not leave those for one job unanswered for a
// minute: once they have failed for a while, the next goes first.
func TestStarvedPollsGoFirst(t *testing.T) {
	const ref = testRef
	st := &refusingStore{hookedStore: newHookedStore(), refuses: true}
	var now clock.Micros
	s := newServiceAt(t, st, func() clock.Micros { return now })
	poll := func(at clock.Micros) store.Priority {
		now = at
		st.priorities = nil
		s.Status(ref)
		return st.priorities[0]
	}
	for _, at := range []clock.Micros{0, starvedAfter / 2, starvedAfter - 1} {
		if priority := poll(clock.Second + at); priority != store.PriorityReads {
			t.Errorf("after %g s of refusals: priority %d, want %d", at.Seconds(), priority, store.PriorityReads)
		}
	}
	st.refuses = false
	if priority := poll(clock.Second + starvedAfter + 1); priority != store.PriorityStarvedReads {
		t.Errorf("a job that has waited: priority %d, want %d", priority, store.PriorityStarvedReads)
	}
	if priority := poll(clock.Second + 2*starvedAfter); priority != store.PriorityReads {
		t.Errorf("after an answer: priority %d, want %d", priority, store.PriorityReads)
	}
}

// Jobs whose polls failed once and are then sent elsewhere must not use up the space for those that starve
// here.
func TestStarvedPollsAreRememberedAfterManyOthers(t *testing.T) {
	st := &refusingStore{hookedStore: newHookedStore(), refuses: true}
	var now clock.Micros
	s := newServiceAt(t, st, func() clock.Micros { return now })
	for i := range minCachedJobs {
		s.options.Jobs.Post(pollFailed{fmt.Sprint("j-", 100000+i)})
	}
	s.Status(testRef)
	now = starvedAfter + 1
	st.priorities = nil
	s.Status(testRef)
	if priority := st.priorities[0]; priority != store.PriorityStarvedReads {
		t.Errorf("priority %d, want %d", priority, store.PriorityStarvedReads)
	}
}

func newService(t *testing.T, st Store) *Service {
	t.Helper()
	return newServiceAt(t, st, func() clock.Micros { return 0 })
}

// newServiceAt makes a service with a clock, two teams and one machine type.
func newServiceAt(t *testing.T, st Store, now func() clock.Micros) *Service {
	t.Helper()
	cfg := &config.Config{Tuning: config.DefaultTuning()}
	cfg.Facts.Teams = []config.Team{{Name: "red", CPUs: 8, CPUsMax: 8}, {Name: "guest"}}
	cfg.Facts.State.ValueKB = 4
	jobs := NewJobCache(cfg, now)
	go jobs.Run(t.Context())
	jobs.Post(catalogRead{[]wire.MachineType{{Name: "small", CPUs: 4, MemoryGB: 8, ZoneNames: []string{"a"}}}})
	return New(Options{
		Config:       cfg,
		Store:        st,
		Backoff:      func(context.Context, int) bool { return true },
		Jobs:         jobs,
		StoreHealthy: func() bool { return true },
		TimeOfDay:    now,
	})
}
