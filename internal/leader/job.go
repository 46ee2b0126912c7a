package leader

import (
	"fmt"
	"math/bits"
	"slices"
	"strings"

	"github.com/goccy/go-json"

	"swiftledge/internal/clock"
	"swiftledge/internal/failures"
	"swiftledge/internal/peer"
	"swiftledge/internal/shard"
	"swiftledge/internal/store"
	"swiftledge/wire"
)

// chunk is a range of a job's tasks whose progress is stored as one.
type chunk struct {
	done, saved  []byte // bits
	dirty        bool
	progressPage *progressPage   // where it is written
	former       []*progressPage // others that hold it, and stay as they are until that one is stored
}

// shape is what a job's tasks take and where they may be.
type shape struct {
	cpus, gpus, mem float64
	types, zone     string
	spot            bool
}

type job struct {
	shape     shape
	record    JobRecord
	stamp     uint64
	chunks    []chunk
	nDone     int
	running   int
	want      []uint64 // bits of the tasks that wait here
	nWant     int
	head      int         // no task before it waits
	out       map[int]int // tasks in blocks' grants, and in how many
	cancelled bool
	ending    bool                 // the write of its end is under way
	failures  *failures.Job        // which of its tasks failed where
	delayed   map[int]clock.Micros // tasks that wait until then to be tried again
	waits     clock.Micros         // since when its tasks wait for room and none was handed out; 0: none waits
	replicas  map[int]*replica     // of a service, those that ended and were to go on
}

// replica is what is remembered of a service's task between its attempts.
type replica struct {
	ends  int          // how often it ended by itself soon after its start
	since clock.Micros // when it was last seen to end; 0: it runs
	cause string
}

func (l *Leader) addJob(r JobRecord, stamp uint64) *job {
	n := r.Spec.Tasks
	s := &r.Spec
	j := &job{shape: shape{s.CPUs, s.GPUs, s.MemoryGB, fmt.Sprint(s.Types), s.Zone, s.Spot}, record: r, stamp: stamp, out: map[int]int{}, failures: &failures.Job{}, delayed: map[int]clock.Micros{}, replicas: map[int]*replica{}, want: make([]uint64, (n+63)/64)}
	for left := n; left > 0; left -= TasksPerChunk {
		n := (min(left, TasksPerChunk) + 7) / 8
		j.chunks = append(j.chunks, chunk{done: make([]byte, n), saved: make([]byte, n)})
	}
	l.jobs.byRef[r.Spec.Ref] = j
	l.jobs.classesSeen[r.Spec.Class] = true
	return j
}

func bit(bits []byte, i int) bool { return bits[i%TasksPerChunk/8]&(1<<(i%8)) != 0 }

func (j *job) isDone(i int) bool { return bit(j.chunks[i/TasksPerChunk].done, i) }

func (j *job) stored(i int) bool { return bit(j.chunks[i/TasksPerChunk].saved, i) }

func (j *job) markDone(i int) bool {
	if j.isDone(i) {
		return false
	}
	ch := &j.chunks[i/TasksPerChunk]
	ch.done[i%TasksPerChunk/8] |= 1 << (i % 8)
	ch.dirty = true
	j.nDone++
	j.setWaiting(i, false)
	return true
}

// setWaiting notes whether a task waits here to be offered.
func (j *job) setWaiting(i int, yes bool) {
	w, mask := i/64, uint64(1)<<(i%64)
	if (j.want[w]&mask != 0) == yes {
		return
	}
	j.want[w] ^= mask
	if yes {
		j.nWant++
		j.head = min(j.head, i)
	} else {
		j.nWant--
	}
}

// first is the first task that waits, or -1.
func (j *job) first() int {
	for w := j.head / 64; w < len(j.want); w++ {
		if j.want[w] != 0 {
			return w*64 + bits.TrailingZeros64(j.want[w])
		}
	}
	return -1
}

// take gives the first task that waits, which then waits no more.
func (j *job) take() int {
	i := j.first()
	if i >= 0 {
		j.setWaiting(i, false)
		j.head = i + 1
	}
	return i
}

func (j *job) fillWaiting() {
	for i := range j.record.Spec.Tasks {
		if !j.isDone(i) && j.out[i] == 0 {
			j.setWaiting(i, true)
		}
	}
}

// takeOut notes that a task is in a grant.
func (j *job) takeOut(i int) {
	j.out[i]++
	j.setWaiting(i, false)
}

func (j *job) gone(i int) {
	if j.out[i]--; j.out[i] <= 0 {
		delete(j.out, i)
	}
}

// returnToFormerHolders lets a task that has left its last grant wait again.
func (j *job) giveBack(i int) {
	j.gone(i)
	if j.out[i] == 0 && !j.isDone(i) {
		j.setWaiting(i, true)
	}
}

// unservedFor is how long a job's tasks may wait, and none be handed out, before they go to
// machines not worth their price as well: nothing is to be left waiting for 90 s beside room.
const unservedFor = 45 * clock.Second

// unserved says whether the job has waited for that long.
func (j *job) unserved(now clock.Micros) bool { return j.waits > 0 && now-j.waits > unservedFor }

// begun says whether a task of the job was ever handed out.
func (j *job) begun() bool { return j.nDone > 0 || len(j.out) > 0 }

func (l *Leader) watched(now clock.Micros, e wire.Event) {
	if e.Put != "" {
		ref := strings.TrimPrefix(e.Put, JobPrefix)
		if l.jobs.byRef[ref] != nil {
			return
		}
		r, ok := decode[JobRecord](l, wire.Item{Key: e.Put, Value: e.Value})
		if !ok {
			return
		}
		l.addJob(r, e.Version).fillWaiting()
		l.scheduling.requested, l.scheduling.urgent = true, true
		return
	}
	// Only an abort deletes a job's key without the leader's doing. While the end is
	// being written, its outcome tells which of the two it was; a progress write
	// under way must not hide an abort.
	if j := l.jobs.byRef[strings.TrimPrefix(e.Delete, JobPrefix)]; j != nil && !j.ending {
		l.cancel(now, j)
	}
}

// cancel stops a cancelled job's tasks wherever they may be.
func (l *Leader) cancel(now clock.Micros, j *job) {
	ref := j.record.Spec.Ref
	j.cancelled = true
	j.failures.Withdraw()
	l.jobOver(now, j, wire.JobCancelled)
	delete(l.jobs.byRef, ref)
	delete(l.jobs.reportedCounts, ref)
	for _, b := range l.shards.all {
		b.stop(ref)
		// What has completed, too: a late copy of its order must not start it again.
		for _, t := range b.unpersisted {
			if t.Job == ref {
				b.orders.Stop = append(b.orders.Stop, peer.StopTask{Task: t})
			}
		}
		b.ack(func(t peer.Task) bool { return t.Job == ref })
	}
	j.leaveProgressPages()
}

// stop tells the holder to end all tasks of a job.
func (b *shardLease) stop(ref string) {
	b.stopThose(ref, func(*grantedTask) bool { return true })
}

// stopThose tells the holder to end those tasks of a job that concerned names.
func (b *shardLease) stopThose(ref string, concerned func(*grantedTask) bool) {
	from := len(b.orders.Stop)
	for t, h := range b.tasks {
		if t.Job == ref && concerned(h) {
			b.orders.Stop = append(b.orders.Stop, peer.StopTask{Task: t})
		}
	}
	slices.SortFunc(b.orders.Stop[from:], func(a, c peer.StopTask) int { return a.Index - c.Index })
}

func (b *shardLease) ack(stored func(peer.Task) bool) {
	b.unpersisted = slices.DeleteFunc(b.unpersisted, func(t peer.Task) bool {
		if stored(t) {
			b.orders.Persisted = append(b.orders.Persisted, t)
			return true
		}
		return false
	})
}

type endTag struct{ ref string }

// end writes a job's final state once all its tasks are done.
func (l *Leader) end(j *job) {
	if j.ending || j.cancelled || j.nDone < j.record.Spec.Tasks {
		return
	}
	ref := j.record.Spec.Ref
	j.ending = true
	l.commit(store.PriorityAttempts, endTag{ref}, []wire.Condition{{Key: JobPrefix + ref, Version: j.stamp}},
		[]wire.Write{put(FinalStatePrefix+ref, FinalStateRecord{State: wire.JobDone, Tasks: j.nDone}), {Delete: JobPrefix + ref}})
}

func (l *Leader) ended(now clock.Micros, tag endTag, m TxnCompleted) {
	j := l.jobs.byRef[tag.ref]
	if j == nil {
		return
	}
	switch {
	case m.Result.Committed:
		l.finish(now, j)
	case len(m.Result.FailedKeys) > 0:
		// A user's abort came first, or an earlier copy of this write did.
		l.emit(ReadKey{l.term, FinalStatePrefix + tag.ref, tag})
	default:
		j.ending = false
	}
}

func (l *Leader) endRead(now clock.Micros, tag endTag, m KeyRead) {
	j := l.jobs.byRef[tag.ref]
	if j == nil {
		return
	}
	j.ending = false
	var r FinalStateRecord
	if m.Found && json.Unmarshal(m.Item.Value, &r) == nil {
		if r.State == wire.JobDone {
			l.finish(now, j)
		} else {
			l.cancel(now, j)
		}
	}
}

func (l *Leader) finish(now clock.Micros, j *job) {
	ref := j.record.Spec.Ref
	l.jobOver(now, j, wire.JobDone)
	delete(l.jobs.byRef, ref)
	delete(l.jobs.reportedCounts, ref)
	for _, b := range l.shards.all {
		b.ack(func(t peer.Task) bool { return t.Job == ref })
		// A copy that a stale record still names must not run on.
		b.stop(ref)
	}
	j.leaveProgressPages()
}

// steady is how long a replica runs before it is taken for sound.
const steady = 10 * clock.Second

// fell notes that a replica has ended and is to run again elsewhere; one that keeps
// ending by itself waits longer each time.
func (l *Leader) fell(now clock.Micros, j *job, e peer.TaskEvent, h *grantedTask) {
	r := j.replicas[e.Index]
	if r == nil {
		r = &replica{}
		j.replicas[e.Index] = r
	}
	if h.running || h.inherited && r.since == 0 {
		up := 0.0
		if h.running {
			up = (now - h.since).Seconds()
		}
		r.since, r.cause = now, string(e.Kind)
		if e.Kind == peer.EventReleased && h.stopped != "" {
			r.cause = h.stopped
		}
		l.info("replica ended", "task", shard.TaskName(e.Task), "machine", h.machine, "cause", r.cause, "ran_s", up)
	}
	l.scheduling.urgent = true
	if e.Kind == peer.EventReleased {
		return
	}
	if h.running && now-h.since > 6*steady {
		r.ends = 0
	}
	if r.ends++; r.ends > 1 {
		j.delay(e.Index, now+failures.Pause(r.ends-1))
	}
}

// rose notes that a replica runs, again or for the first time.
func (l *Leader) rose(now clock.Micros, j *job, t peer.Task, h *grantedTask) {
	r := j.replicas[t.Index]
	if r == nil || r.since == 0 {
		if !h.inherited {
			l.emit(Log{Debug: true, Message: "replica runs", Attributes: []any{"task", shard.TaskName(t), "machine", h.machine,
				"after_s", (now + l.wallOffset - j.record.AcceptedAt).Seconds()}})
		}
		return
	}
	l.info("replica runs again", "task", shard.TaskName(t), "machine", h.machine, "cause", r.cause, "down_s", (now - r.since).Seconds())
	r.since = 0
}

// barredFor is how long a service's replicas stay away from a machine where one failed.
const barredFor = 30 * clock.Second

// barred says whether a service had better wait than try a machine again.
func (j *job) barred(now clock.Micros, m *machine) bool {
	at, failed := j.failures.FailedOn(m.name)
	return failed && j.record.Spec.IsService() && now-at < barredFor
}

// delay has a task wait before it is tried again.
func (j *job) delay(i int, until clock.Micros) {
	j.delayed[i] = until
	j.setWaiting(i, false)
}

// retry lets tasks wait for room again whose pause is over.
func (l *Leader) retry(now clock.Micros, j *job) {
	for i, until := range j.delayed {
		if now < until {
			continue
		}
		delete(j.delayed, i)
		if j.out[i] == 0 && !j.isDone(i) {
			j.setWaiting(i, true)
			l.scheduling.urgent, l.scheduling.requested = true, true
		}
	}
}

// runsWell says whether a replica of a service has run for a while, so that one that
// fails elsewhere is its machine's fault.
func (l *Leader) runsWell(now clock.Micros, j *job) (well bool) {
	l.eachHeld(j, func(_ peer.Task, h *grantedTask) { well = well || h.running && now-h.since > steady })
	return well
}

// remaining estimates a task's run time from its owner's word and its class's history.
func (l *Leader) remaining(j *job) float64 {
	est := j.record.Spec.EstimateS
	if c := l.jobs.runTimes[j.record.Spec.Class]; c != nil && c.n >= 5 {
		est *= c.ratio
	}
	return est + 1
}
