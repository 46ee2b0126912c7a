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

// attemptPrefix begins the keys of attempt records.
const attemptPrefix = "run/"

// placedAttempt is one attempt of a task on one machine.
type placedAttempt struct {
	task    string
	attempt wire.AttemptID
	machine string
}

// history is what has happened on the machines and in the state service, kept apart from the
// service that is judged by it.
type history struct {
	world        *world
	revision     uint64                    // of the state service, up to which the rest is known
	recorded     references[placedAttempt] // by pages of attempt records
	inventory    references[string]        // machines, by instance group records
	progress     map[string]jobs.ProgressRecord
	runCommands  map[wire.AttemptID]placedAttempt // by number
	shardByToken map[wire.FencingToken]int        // by token: the shard
	completed    map[wire.AttemptID]bool          // attempts that have completed
	// restarted counts starts of completed tasks, which exit at once, as their result is kept.
	restarted int
}

func newHistory(w *world) *history {
	h := &history{
		world:        w,
		runCommands:  map[wire.AttemptID]placedAttempt{},
		shardByToken: map[wire.FencingToken]int{},
		completed:    map[wire.AttemptID]bool{},
	}
	h.reset()
	return h
}

// reset begins anew with what is known of the state service.
func (h *history) reset() {
	h.recorded = newReferences[placedAttempt]()
	h.inventory = newReferences[string]()
	h.progress = map[string]jobs.ProgressRecord{}
}

// references counts in how many stored values something is named.
type references[T comparable] struct {
	byKey  map[string][]T
	counts map[T]int
}

func newReferences[T comparable]() references[T] {
	return references[T]{byKey: map[string][]T{}, counts: map[T]int{}}
}

// put takes in what the value of a key names now.
func (n *references[T]) put(key string, now []T) {
	for _, v := range n.byKey[key] {
		n.counts[v]--
	}
	for _, v := range now {
		n.counts[v]++
	}
	n.byKey[key] = now
}

// sync takes in what the state service has stored since.
func (h *history) sync() {
	if !h.world.store.HasChangesSince(h.revision) {
		items, revision := h.world.store.List("")
		h.revision = revision
		h.reset()
		for _, it := range items {
			h.apply(it.Key, it.Value)
		}
		return
	}
	changes := h.world.store.ChangesSince("", h.revision)
	h.revision = changes.Revision
	for _, e := range changes.Events {
		h.apply(e.Put+e.Delete, e.Value)
	}
}

// apply takes in the value of one key; none: it is deleted.
func (h *history) apply(key string, value []byte) {
	switch {
	case strings.HasPrefix(key, attemptPrefix):
		h.applyAttemptPage(key, value)
	case strings.HasPrefix(key, leader.InstanceGroupPrefix):
		h.applyInstanceGroup(key, value)
	case strings.HasPrefix(key, jobs.ProgressPrefix):
		delete(h.progress, key)
		if value != nil {
			var r jobs.ProgressRecord
			must(json.Unmarshal(value, &r))
			h.progress[key] = r
		}
	}
}

func (h *history) applyAttemptPage(key string, value []byte) {
	var attempts []placedAttempt
	if value != nil {
		pages, err := shard.DecodeAttemptPages([]wire.Item{{Key: key, Value: value}})
		must(err)
		page := pages[key]
		for i := range page.Groups {
			group := &page.Groups[i]
			records, err := page.Records(group)
			must(err)
			for _, r := range records {
				attempts = append(attempts, placedAttempt{shard.TaskName(peer.Task{Job: group.Job, Index: r.Index}), r.Attempt, r.Machine})
			}
		}
	}
	h.recorded.put(key, attempts)
}

func (h *history) applyInstanceGroup(key string, value []byte) {
	var r leader.InstanceGroupRecord
	if value != nil {
		must(json.Unmarshal(value, &r))
	}
	h.inventory.put(key, r.Machines)
}

// checkRunCommand judges a run command that a machine carries out for the first time: attempts never repeat.
func (h *history) checkRunCommand(machine string, t *fake.Task) {
	a := placedAttempt{t.Task, t.Attempt, machine}
	if before, ok := h.runCommands[t.Attempt]; ok && before != a {
		h.world.reportViolation("attempt_repeated: %d is %s on %s and %s on %s", t.Attempt, before.task, before.machine, a.task, a.machine)
	}
	h.runCommands[t.Attempt] = a
}

// checkGrant judges the grant of a shard: tokens never repeat.
func (h *history) checkGrant(g peer.ShardGrant) {
	if b, ok := h.shardByToken[g.FencingToken]; ok {
		h.world.reportViolation("token_repeated: %d was granted for shard %d and is for shard %d", g.FencingToken, b, g.Shard)
	}
	h.shardByToken[g.FencingToken] = g.Shard
}

// checkStart judges the start of a task that now has its image: it is recorded, its machine is in the
// durable inventory, and its completion is not stored.
func (h *history) checkStart(machine string, t *fake.Task) {
	h.sync()
	if h.recorded.counts[placedAttempt{t.Task, t.Attempt, machine}] == 0 {
		h.world.reportViolation("unrecorded: %s runs as attempt %d on %s", t.Task, t.Attempt, machine)
	}
	if h.inventory.counts[machine] == 0 {
		h.world.reportViolation("unlisted: %s runs on %s, which is not in the inventory", t.Task, machine)
	}
}

// checkRestart judges the start of a task whose result is kept, which exits at once. A late copy of an
// order may do that whose attempt has completed already (PROTOCOL, "forget"), and so may a new attempt
// as long as nobody has stored the completion.
func (h *history) checkRestart(t *fake.Task) {
	h.sync()
	h.restarted++
	if !h.completed[t.Attempt] && h.completionStored(t.Job.Ref, t.Index) {
		h.world.reportViolation("ran_again: %s is started as attempt %d after its completion was stored", t.Task, t.Attempt)
	}
	h.completed[t.Attempt] = true
}

// noteCompletion notes that an attempt has completed its task.
func (h *history) noteCompletion(t *fake.Task) { h.completed[t.Attempt] = true }

// completionStored says whether the state service knows that a task has completed.
func (h *history) completionStored(ref string, index int) bool {
	if _, ended := h.world.store.Get(leader.FinalStatePrefix + ref); ended {
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
