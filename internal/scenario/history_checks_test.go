package scenario

import (
	"encoding/json"
	"strings"
	"testing"

	"swiftledge/internal/fake"
	"swiftledge/internal/leader"
	"swiftledge/internal/leader/jobs"
	"swiftledge/internal/peer"
	"swiftledge/wire"
)

// put commits a value encoded as JSON to the state service.
func (w *world) put(t *testing.T, key string, v any) {
	t.Helper()
	raw, err := json.Marshal(v)
	must(err)
	if result, problem := w.store.Txn(wire.Txn{Writes: []wire.Write{{Put: key, Value: raw}}}); !result.Committed {
		t.Fatal(problem)
	}
}

// TestHistoryChecks verifies that each check of the history reports a violation of its rule, and that none reports a
// legal sequence of events.
func TestHistoryChecks(t *testing.T) {
	const token, machine = 7, "host-000001"
	attempt := func(n uint64) *fake.Task {
		return &fake.Task{TaskStatus: wire.TaskStatus{Task: "j-000001/3", Attempt: peer.NewAttemptID(token, n)}, Job: wire.Job{Ref: "j-000001", Tasks: 8}, Index: 3}
	}
	page := peer.AttemptPage{
		FencingToken: token,
		Prefix:       "host-",
		Machines:     []string{"000001"},
		Groups:       []peer.AttemptGroup{{Job: "j-000001", Attempts: []int{3, 1, 0}}},
	}
	inventory := leader.InstanceGroupRecord{Machines: []string{machine}, Answered: true}
	done := jobs.ProgressRecord{Chunks: []jobs.ProgressChunk{{Job: "j-000001", Completed: []byte{1 << 3}}}}
	for _, c := range []struct {
		name, violated string
		run            func(w *world, h *history)
	}{
		{"a recorded start on a machine of the inventory", "", func(w *world, h *history) {
			w.put(t, "run/000/7-1", page)
			w.put(t, leader.InstanceGroupPrefix+"r", inventory)
			h.checkStart(machine, attempt(1))
		}},
		{"a start without a record", "unrecorded", func(w *world, h *history) {
			w.put(t, "run/000/7-1", page)
			w.put(t, leader.InstanceGroupPrefix+"r", inventory)
			h.checkStart(machine, attempt(2))
		}},
		{"a start whose record was overwritten", "unrecorded", func(w *world, h *history) {
			w.put(t, leader.InstanceGroupPrefix+"r", inventory)
			w.put(t, "run/000/7-1", page)
			h.sync()
			w.put(t, "run/000/7-1", peer.AttemptPage{FencingToken: token})
			h.checkStart(machine, attempt(1))
		}},
		{"a start on a machine that is in no inventory record", "unlisted", func(w *world, h *history) {
			w.put(t, "run/000/7-1", page)
			h.checkStart(machine, attempt(1))
		}},
		{"a start after the store compacted its changes", "", func(w *world, h *history) {
			w.put(t, "run/000/7-1", page)
			w.put(t, leader.InstanceGroupPrefix+"r", inventory)
			w.store.CompactChanges()
			h.checkStart(machine, attempt(1))
		}},
		{"one attempt on two machines", "attempt_repeated", func(_ *world, h *history) {
			h.checkRunCommand(machine, attempt(1))
			h.checkRunCommand("host-000002", attempt(1))
		}},
		{"a run command that arrives twice", "", func(_ *world, h *history) {
			h.checkRunCommand(machine, attempt(1))
			h.checkRunCommand(machine, attempt(1))
		}},
		{"one token for two grants", "token_repeated", func(_ *world, h *history) {
			h.checkGrant(peer.ShardGrant{Shard: 1, FencingToken: token})
			h.checkGrant(peer.ShardGrant{Shard: 2, FencingToken: token})
		}},
		{"a new attempt after the completion was stored", "ran_again", func(w *world, h *history) {
			h.noteCompletion(attempt(1))
			w.put(t, jobs.ProgressPrefix+"1-1", done)
			h.checkRestart(attempt(2))
		}},
		{"a new attempt after the job was stored as done", "ran_again", func(w *world, h *history) {
			h.noteCompletion(attempt(1))
			w.put(t, leader.FinalStatePrefix+"j-000001", leader.FinalStateRecord{State: wire.JobDone, Tasks: 8})
			h.checkRestart(attempt(2))
		}},
		{"a new attempt before the completion is stored", "", func(w *world, h *history) {
			h.noteCompletion(attempt(1))
			w.put(t, jobs.ProgressPrefix+"1-1", jobs.ProgressRecord{Chunks: []jobs.ProgressChunk{{Job: "j-000001", Completed: []byte{0xf7}}}})
			h.checkRestart(attempt(2))
		}},
		{"a late copy of the run command of the completed attempt", "", func(w *world, h *history) {
			h.noteCompletion(attempt(1))
			w.put(t, jobs.ProgressPrefix+"1-1", done)
			h.checkRestart(attempt(1))
		}},
	} {
		w := deployments()[0].world(t.Name())
		c.run(w, w.rules.history)
		w.stop()
		got := strings.Join(w.rules.violations, "; ")
		if c.violated == "" && got != "" || !strings.HasPrefix(got, c.violated) {
			t.Errorf("%s: got violations %q, want one that begins with %q, or none if that is empty", c.name, got, c.violated)
		}
	}
}
