package scenario

import (
	"encoding/json"
	"slices"
	"strings"

	"swiftledge/internal/fake"
	"swiftledge/internal/leader"
	"swiftledge/internal/leader/jobs"
	"swiftledge/internal/peer"
	"swiftledge/internal/shard"
	"swiftledge/wire"
)

// attemptOn is one attempt of a task on one machine.
type attemptOn struct {
	task    string
	attempt wire.AttemptID
	machine string
}

// history is what has happened on the machines and in the state service, kept apart from the
// service that is judged by it.
type history struct {
	w         *world
	revision  uint64           // of the state service, up to which the rest is known
	recorded  named[attemptOn] // by pages of start records
	rostered  named[string]    // machines, by roster records
	progress  map[string]jobs.ProgressRecord
	ordered   map[wire.AttemptID]attemptOn // by number
	granted   map[wire.FencingToken]int    // by token: the block
	completed map[wire.AttemptID]bool      // attempts that have completed
	// restarted counts starts of completed tasks, which exit at once, as their result is kept.
	restarted int
}

func newHistory(w *world) *history {
	h := &history{w: w, ordered: map[wire.AttemptID]attemptOn{}, granted: map[wire.FencingToken]int{}, completed: map[wire.AttemptID]bool{}}
	h.forgetStored()
	return h
}

// forgetStored begins anew with what is known of the state service.
func (h *history) forgetStored() {
	h.recorded, h.rostered, h.progress = newNamed[attemptOn](), newNamed[string](), map[string]jobs.ProgressRecord{}
}

// named counts in how many stored values something is named.
type named[T comparable] struct {
	byKey map[string][]T
	times map[T]int
}

func newNamed[T comparable]() named[T] {
	return named[T]{byKey: map[string][]T{}, times: map[T]int{}}
}

// put takes in what the value of a key names now.
func (n *named[T]) put(key string, now []T) {
	for _, v := range n.byKey[key] {
		n.times[v]--
	}
	for _, v := range now {
		n.times[v]++
	}
	n.byKey[key] = now
}

// sync takes in what the state service has stored since.
func (h *history) sync() {
	if !h.w.store.HasChangesSince(h.revision) {
		items, revision := h.w.store.List("")
		h.revision = revision
		h.forgetStored()
		for _, it := range items {
			h.stored(it.Key, it.Value)
		}
		return
	}
	changes := h.w.store.ChangesSince("", h.revision)
	h.revision = changes.Revision
	for _, e := range changes.Events {
		h.stored(e.Put+e.Delete, e.Value)
	}
}

// stored takes in the value of one key; none: it is deleted.
func (h *history) stored(key string, value []byte) {
	switch {
	case strings.HasPrefix(key, "run/"):
		h.storedPage(key, value)
	case strings.HasPrefix(key, leader.InstanceGroupPrefix):
		h.storedRoster(key, value)
	case strings.HasPrefix(key, jobs.ProgressPrefix):
		delete(h.progress, key)
		if value != nil {
			var r jobs.ProgressRecord
			must(json.Unmarshal(value, &r))
			h.progress[key] = r
		}
	}
}

func (h *history) storedPage(key string, value []byte) {
	var attempts []attemptOn
	if value != nil {
		pages, err := shard.DecodeAttemptPages([]wire.Item{{Key: key, Value: value}})
		must(err)
		page := pages[key]
		for i := range page.Groups {
			group := &page.Groups[i]
			records, err := page.Records(group)
			must(err)
			for _, r := range records {
				attempts = append(attempts, attemptOn{shard.TaskName(peer.Task{Job: group.Job, Index: r.Index}), r.Attempt, r.Machine})
			}
		}
	}
	h.recorded.put(key, attempts)
}

func (h *history) storedRoster(key string, value []byte) {
	var r leader.InstanceGroupRecord
	if value != nil {
		must(json.Unmarshal(value, &r))
	}
	h.rostered.put(key, r.Machines)
}

// order judges a run order that a machine carries out for the first time: attempts never repeat.
func (h *history) order(machine string, t *fake.Task) {
	a := attemptOn{t.Task, t.Attempt, machine}
	if before, ok := h.ordered[t.Attempt]; ok && before != a {
		h.w.breaks("attempt_repeated: %d is %s on %s and %s on %s", t.Attempt, before.task, before.machine, a.task, a.machine)
	}
	h.ordered[t.Attempt] = a
}

// grant judges a grant of a block: tokens never repeat.
func (h *history) grant(g peer.ShardGrant) {
	if b, ok := h.granted[g.FencingToken]; ok {
		h.w.breaks("token_repeated: %d was granted for block %d and is for block %d", g.FencingToken, b, g.Shard)
	}
	h.granted[g.FencingToken] = g.Shard
}

// start judges the start of a task that now has its image: it is recorded, its machine is in the
// durable roster, and its completion is not stored.
func (h *history) start(machine string, t *fake.Task) {
	h.sync()
	if h.recorded.times[attemptOn{t.Task, t.Attempt, machine}] == 0 {
		h.w.breaks("unrecorded: %s runs as attempt %d on %s", t.Task, t.Attempt, machine)
	}
	if h.rostered.times[machine] == 0 {
		h.w.breaks("unlisted: %s runs on %s, which is not in the roster", t.Task, machine)
	}
}

// restart judges the start of a task whose result is kept, which exits at once. A late copy of an
// order may do that whose attempt has completed already (PROTOCOL, "forget"), and so may a new attempt
// as long as nobody has stored the completion.
func (h *history) restart(t *fake.Task) {
	h.sync()
	h.restarted++
	if !h.completed[t.Attempt] && h.completionStored(t.Job.Ref, t.Index) {
		h.w.breaks("ran_again: %s is started as attempt %d after its completion was stored", t.Task, t.Attempt)
	}
	h.completed[t.Attempt] = true
}

// complete notes that an attempt has completed its task.
func (h *history) complete(t *fake.Task) { h.completed[t.Attempt] = true }

// completionStored says whether the state service knows that a task has completed.
func (h *history) completionStored(ref string, index int) bool {
	if _, over := h.w.store.Get(leader.FinalStatePrefix + ref); over {
		return true
	}
	chunk, bit := index/jobs.TasksPerChunk, index%jobs.TasksPerChunk
	for _, r := range h.progress {
		if slices.ContainsFunc(r.Chunks, func(u jobs.ProgressChunk) bool {
			return u.Job == ref && u.Chunk == chunk && bit/8 < len(u.Completed) && u.Completed[bit/8]&(1<<(bit%8)) != 0
		}) {
			return true
		}
	}
	return false
}
