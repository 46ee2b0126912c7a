package scenario

import (
	"slices"
	"strings"

	"swiftledge/internal/exactjson"
	"swiftledge/internal/fake"
	"swiftledge/internal/leader"
	"swiftledge/internal/leader/jobs"
	"swiftledge/internal/peer"
	"swiftledge/internal/shard"
	"swiftledge/wire"
)

// attemptPrefix is the prefix of the keys of attempt pages.
const attemptPrefix = "run/"

// placedAttempt is one attempt of a task on one machine.
type placedAttempt struct {
	task    string
	attempt wire.AttemptID
	machine string
}

// history is a record of the events on the machines and of the stored state. It is independent of the controllers,
// whose decisions are checked against it.
type history struct {
	world        *world
	revision     uint64                           // revision of the state service up to which changes were applied
	recorded     references[placedAttempt]        // stored attempt records, by key of the attempt page
	inventory    references[string]               // machines of the stored inventory, by key of the instance group record
	progress     map[string]jobs.ProgressRecord   // stored progress pages, by key
	runCommands  map[wire.AttemptID]placedAttempt // attempts whose run command a machine has executed
	shardByToken map[wire.FencingToken]int        // shards that were granted, by fencing token
	completed    map[wire.AttemptID]bool          // attempts that have completed their tasks
	// restarted counts the starts of completed tasks. Such a task exits at once because its result is already stored.
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

// reset clears everything that was read from the state service.
func (h *history) reset() {
	h.recorded = newReferences[placedAttempt]()
	h.inventory = newReferences[string]()
	h.progress = map[string]jobs.ProgressRecord{}
}

// references counts, for items of type T, how many stored values mention each item.
type references[T comparable] struct {
	byKey  map[string][]T
	counts map[T]int
}

func newReferences[T comparable]() references[T] {
	return references[T]{byKey: map[string][]T{}, counts: map[T]int{}}
}

// put replaces the items that the value of a key mentions.
func (n *references[T]) put(key string, items []T) {
	for _, item := range n.byKey[key] {
		n.counts[item]--
	}
	for _, item := range items {
		n.counts[item]++
	}
	n.byKey[key] = items
}

// sync applies the changes of the state service since the last call. If these changes were compacted, sync reads all
// stored values.
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

// apply applies the new value of a key, which is nil if the key was deleted.
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
			must(exactjson.Unmarshal(value, &r))
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
		must(exactjson.Unmarshal(value, &r))
	}
	h.inventory.put(key, r.Machines)
}

// checkRunCommand is called when a machine executes a run command for a new attempt. It checks the rule that no two
// tasks or machines get the same attempt ID.
func (h *history) checkRunCommand(machine string, t *fake.Task) {
	a := placedAttempt{t.Task, t.Attempt, machine}
	if earlier, ok := h.runCommands[t.Attempt]; ok && earlier != a {
		h.world.reportViolation("attempt_repeated: attempt %d was started for %s on %s and for %s on %s", t.Attempt, earlier.task, earlier.machine, a.task, a.machine)
	}
	h.runCommands[t.Attempt] = a
}

// checkGrant checks the rule that no two shard grants have the same fencing token.
func (h *history) checkGrant(g peer.ShardGrant) {
	if earlierShard, ok := h.shardByToken[g.FencingToken]; ok {
		h.world.reportViolation("token_repeated: fencing token %d was granted for shard %d and again for shard %d", g.FencingToken, earlierShard, g.Shard)
	}
	h.shardByToken[g.FencingToken] = g.Shard
}

// checkStart checks the start of a task whose image has been fetched: the attempt must be recorded, and its machine
// must be in the durable inventory.
func (h *history) checkStart(machine string, t *fake.Task) {
	h.sync()
	if h.recorded.counts[placedAttempt{t.Task, t.Attempt, machine}] == 0 {
		h.world.reportViolation("unrecorded: task %s started as attempt %d on %s without an attempt record", t.Task, t.Attempt, machine)
	}
	if h.inventory.counts[machine] == 0 {
		h.world.reportViolation("unlisted: task %s started on %s, which is not in the inventory", t.Task, machine)
	}
}

// checkRestart checks the start of a completed task, which exits at once because its result is already stored. Such a
// start is legal for a late copy of the run command of a completed attempt (PROTOCOL, "forget"), and for a new attempt
// as long as the state service has not stored the completion.
func (h *history) checkRestart(t *fake.Task) {
	h.sync()
	h.restarted++
	if !h.completed[t.Attempt] && h.completionStored(t.Job.Ref, t.Index) {
		h.world.reportViolation("ran_again: task %s was started as attempt %d after its completion was stored", t.Task, t.Attempt)
	}
	h.completed[t.Attempt] = true
}

// noteCompletion records that an attempt has completed its task.
func (h *history) noteCompletion(t *fake.Task) { h.completed[t.Attempt] = true }

// completionStored reports whether the completion of a task is stored in the state service.
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
