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

// testRef is the job reference for tests with a single job.
const testRef = "j-000001"

// hookedStore is a store with hooks through which other controllers write between two requests of the service.
type hookedStore struct {
	*fake.Store
	beforeRead   map[string]func() // by key: called once, before the next read of the key
	afterRead    func()            // called once, after the next read
	lostOutcomes int               // number of coming transactions that are executed without an answer
	afterLost    func()            // called after each of these transactions
}

func newHookedStore() *hookedStore {
	return &hookedStore{Store: fake.NewStore(4, 8), beforeRead: map[string]func(){}}
}

// Get reads a key and calls the hooks before and after.
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

// TryCommit executes a transaction and returns its outcome, unless the outcome is to be lost.
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

// endJob moves the job testRef to a final state, as the leader or another controller does.
func (h *hookedStore) endJob(t *testing.T, state wire.JobState) {
	t.Helper()
	record, err := json.Marshal(leader.FinalStateRecord{State: state, Tasks: 1})
	if err != nil {
		t.Fatal(err)
	}
	item, _ := h.Store.Get(leader.JobPrefix + testRef)
	outcome, problem := h.Txn(wire.Txn{
		Conditions: []wire.Condition{{Key: leader.JobPrefix + testRef, Version: item.Version}},
		Writes:     []wire.Write{{Put: leader.FinalStatePrefix + testRef, Value: record}, {Delete: leader.JobPrefix + testRef}},
	})
	if !outcome.Committed {
		t.Fatal("cannot move the job to its final state: ", problem)
	}
}

// No user gets an older status of a job than a user got before, regardless of what other controllers write between two
// requests to the store and of lost answers from the store.
func TestJobStatusNeverRegresses(t *testing.T) {
	const ref = testRef
	body := []byte(`{"ref":"` + ref + `","lane":"l","owner":"red","shape":"batch","rank":"high","lots":1,"cpus":1,"accelerators":0,"ramGb":1,
"kit":"i","imageGb":1,"breeds":null,"paddock":null,"together":false,"scatter":false,"stray":true,"reckonS":5,"waypointS":0,"stashS":0,"dueS":null}`)
	cases := []struct {
		name string
		call func(hooked *hookedStore, service *Service) Result
		code int
		want wire.JobState
	}{
		{"done between the two reads of a poll", func(hooked *hookedStore, service *Service) Result {
			// The job ends right after the first read, whichever key that reads.
			hooked.afterRead = func() { hooked.endJob(t, wire.JobDone) }
			if r := service.Status(ref); r.Code == 404 {
				return r
			}
			return service.Status(ref)
		}, 200, wire.JobDone},
		{"done during a cancellation", func(hooked *hookedStore, service *Service) Result {
			hooked.beforeRead[leader.JobPrefix+ref] = func() { hooked.endJob(t, wire.JobDone) }
			return service.Cancel(ref)
		}, 200, wire.JobDone},
		{"cancelled, answer lost", func(hooked *hookedStore, service *Service) Result {
			hooked.lostOutcomes = 1
			return service.Cancel(ref)
		}, 200, wire.JobCancelled},
		{"submitted again after its end", func(hooked *hookedStore, service *Service) Result {
			hooked.endJob(t, wire.JobCancelled)
			return service.Submit(body)
		}, 200, wire.JobCancelled},
		{"malformed submission after its end", func(hooked *hookedStore, service *Service) Result {
			hooked.endJob(t, wire.JobDone)
			return service.Submit([]byte(`{"ref":"` + ref + `"}`))
		}, 200, wire.JobDone},
		{"submitted again with an unknown team", func(hooked *hookedStore, service *Service) Result {
			var submission map[string]any
			if err := json.Unmarshal(body, &submission); err != nil {
				t.Fatal(err)
			}
			submission["owner"] = "nobody"
			changedBody, err := json.Marshal(submission)
			if err != nil {
				t.Fatal(err)
			}
			return service.Submit(changedBody)
		}, 200, wire.JobQueued},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			hooked := newHookedStore()
			service := newService(t, hooked)
			if r := service.Submit(body); r.Code != 201 {
				t.Fatalf("first submission: status %d %s, want 201", r.Code, r.Reason)
			}
			if r := c.call(hooked, service); r.Code != c.code || r.Status.State != c.want {
				t.Errorf("got status %d, state %s, reason %s, want status %d, state %s", r.Code, r.Status.State, r.Reason, c.code, c.want)
			}
			// Another controller, with an empty cache, gives the same answer.
			if r := newService(t, hooked).Status(ref); r.Code != c.code || r.Status.State != c.want {
				t.Errorf("another controller answered status %d, state %s, want the same answer", r.Code, r.Status.State)
			}
		})
	}
	// A transaction without an answer accepts the job, and the job ends before the retry.
	hooked := newHookedStore()
	hooked.lostOutcomes = 1
	hooked.afterLost = func() { hooked.endJob(t, wire.JobCancelled) }
	if r := newService(t, hooked).Submit(body); r.Code != 200 || r.Status.State != wire.JobCancelled {
		t.Errorf("retry after the job was accepted and cancelled: status %d, state %s, want 200 and cancelled", r.Code, r.Status.State)
	}
}

// refusingStore is a store that can refuse reads. It records the priorities of all reads.
type refusingStore struct {
	*hookedStore
	refuseReads bool
	priorities  []store.Priority
}

// Get records the priority, and then refuses the read or reads the key.
func (r *refusingStore) Get(ctx context.Context, priority store.Priority, key string) (wire.Item, error) {
	r.priorities = append(r.priorities, priority)
	if r.refuseReads {
		return wire.Item{}, store.ErrNotExecuted
	}
	return r.hookedStore.Get(ctx, priority, key)
}

// If there are more polls than the store's limit allows, the polls for one job must not by chance stay unanswered for a
// minute. After a job's polls have failed for some time, its next poll gets a higher priority.
func TestStarvedPollsGetPriority(t *testing.T) {
	const ref = testRef
	refusing := &refusingStore{hookedStore: newHookedStore(), refuseReads: true}
	var now clock.Micros
	s := newServiceWithClock(t, refusing, func() clock.Micros { return now })
	pollAt := func(pollTime clock.Micros) store.Priority {
		now = pollTime
		refusing.priorities = nil
		s.Status(ref)
		return refusing.priorities[0]
	}
	for _, failingFor := range []clock.Micros{0, starvationThreshold / 2, starvationThreshold - 1} {
		if priority := pollAt(clock.Second + failingFor); priority != store.PriorityReads {
			t.Errorf("after %g s of refusals: priority %d, want %d", failingFor.Seconds(), priority, store.PriorityReads)
		}
	}
	refusing.refuseReads = false
	if priority := pollAt(clock.Second + starvationThreshold + 1); priority != store.PriorityStarvedReads {
		t.Errorf("after the threshold: priority %d, want %d", priority, store.PriorityStarvedReads)
	}
	if priority := pollAt(clock.Second + 2*starvationThreshold); priority != store.PriorityReads {
		t.Errorf("after an answered poll: priority %d, want %d", priority, store.PriorityReads)
	}
}

// Jobs with one failed poll on this controller, whose later polls go to other controllers, must not displace the
// starved jobs from the cache.
func TestStarvedPollsAreRememberedAfterManyFailedPolls(t *testing.T) {
	refusing := &refusingStore{hookedStore: newHookedStore(), refuseReads: true}
	var now clock.Micros
	s := newServiceWithClock(t, refusing, func() clock.Micros { return now })
	for i := range minCachedJobs {
		s.options.Jobs.Post(pollFailed{fmt.Sprint("j-", 100000+i)})
	}
	s.Status(testRef)
	now = starvationThreshold + 1
	refusing.priorities = nil
	s.Status(testRef)
	if priority := refusing.priorities[0]; priority != store.PriorityStarvedReads {
		t.Errorf("second poll after the threshold: priority %d, want %d", priority, store.PriorityStarvedReads)
	}
}

func newService(t *testing.T, testStore Store) *Service {
	t.Helper()
	return newServiceWithClock(t, testStore, func() clock.Micros { return 0 })
}

// newServiceWithClock returns a service with the given clock, two teams and one machine type.
func newServiceWithClock(t *testing.T, testStore Store, now func() clock.Micros) *Service {
	t.Helper()
	cfg := &config.Config{Tuning: config.DefaultTuning()}
	cfg.Facts.Teams = []config.Team{{Name: "red", CPUs: 8, CPUsMax: 8}, {Name: "guest"}}
	cfg.Facts.State.ValueKB = 4
	jobs := NewJobCache(cfg, now)
	go jobs.Run(t.Context())
	jobs.Post(catalogRead{[]wire.MachineType{{Name: "small", CPUs: 4, MemoryGB: 8, ZoneNames: []string{"a"}}}})
	return New(Options{
		Config:       cfg,
		Store:        testStore,
		Backoff:      func(context.Context, int) bool { return true },
		Jobs:         jobs,
		StoreHealthy: func() bool { return true },
		TimeOfDay:    now,
	})
}
