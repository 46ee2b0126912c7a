package leader

import (
	"encoding/json"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"

	"swiftledge/internal/clock"
	"swiftledge/internal/peer"
	"swiftledge/internal/store"
	"swiftledge/wire"
)

// progressEvery is how long completed tasks may wait for their job's progress
// write; until then they stay listed on their workers, so nothing is lost.
const progressEvery = 8 * clock.Second

type chunk struct {
	done, saved []byte // bits
	stamp       uint64
	dirty       bool
}

type job struct {
	rec       JobRecord
	stamp     uint64
	chunks    []chunk
	nDone     int
	running   int
	waiting   []int32
	out       map[int]int // tasks in blocks' grants, and in how many
	cancelled bool
	saving    bool // a write of it is under way
	ending    bool // the write of its end is
	savedAt   clock.Micros
	okay      bool // one of its tasks has completed
	errAt     map[string]bool
	errs      int
	notBefore clock.Micros
}

func (l *Leader) addJob(r JobRecord, stamp uint64) *job {
	j := &job{rec: r, stamp: stamp, out: map[int]int{}, errAt: map[string]bool{}}
	for left := r.Spec.Tasks; left > 0; left -= ChunkTasks {
		n := (min(left, ChunkTasks) + 7) / 8
		j.chunks = append(j.chunks, chunk{done: make([]byte, n), saved: make([]byte, n)})
	}
	l.jobs[r.Spec.Ref] = j
	return j
}

func (j *job) loadChunk(c int, bits []byte, stamp uint64) {
	if c < 0 || c >= len(j.chunks) {
		return
	}
	ch := &j.chunks[c]
	copy(ch.done, bits)
	copy(ch.saved, bits)
	ch.stamp = stamp
	for i := c * ChunkTasks; i < min((c+1)*ChunkTasks, j.rec.Spec.Tasks); i++ {
		if j.isDone(i) {
			j.nDone++
			j.okay = true
		}
	}
}

func bit(bits []byte, i int) bool { return bits[i%ChunkTasks/8]&(1<<(i%8)) != 0 }

func (j *job) isDone(i int) bool { return bit(j.chunks[i/ChunkTasks].done, i) }

func (j *job) stored(i int) bool { return bit(j.chunks[i/ChunkTasks].saved, i) }

func (j *job) markDone(i int) bool {
	if j.isDone(i) {
		return false
	}
	ch := &j.chunks[i/ChunkTasks]
	ch.done[i%ChunkTasks/8] |= 1 << (i % 8)
	ch.dirty = true
	j.nDone++
	return true
}

func (j *job) fillWaiting() {
	for i := range j.rec.Spec.Tasks {
		if !j.isDone(i) && j.out[i] == 0 {
			j.waiting = append(j.waiting, int32(i))
		}
	}
}

// takeOut notes that a task is in a grant.
func (j *job) takeOut(i int) {
	j.out[i]++
	if k := slices.Index(j.waiting, int32(i)); k >= 0 {
		j.waiting = slices.Delete(j.waiting, k, k+1)
	}
}

func (j *job) gone(i int) {
	if j.out[i]--; j.out[i] <= 0 {
		delete(j.out, i)
	}
}

// giveBack puts a task that has left its last grant at the head of the queue.
func (j *job) giveBack(i int) {
	j.gone(i)
	if j.out[i] == 0 && !j.isDone(i) {
		j.waiting = slices.Insert(j.waiting, 0, int32(i))
	}
}

func (l *Leader) watched(now clock.Micros, e wire.Event) {
	if e.Put != "" {
		ref := strings.TrimPrefix(e.Put, JobPrefix)
		if l.jobs[ref] != nil {
			return
		}
		r, ok := decode[JobRecord](l, wire.Item{Key: e.Put, Value: e.Value})
		if !ok {
			return
		}
		l.addJob(r, e.Version).fillWaiting()
		l.stirred, l.urgent = true, true
		return
	}
	// Only an abort deletes a job's key without the leader's doing. While the end is
	// being written, its outcome tells which of the two it was; a progress write
	// under way must not hide an abort.
	if j := l.jobs[strings.TrimPrefix(e.Delete, JobPrefix)]; j != nil && !j.ending {
		l.cancel(j)
	}
}

// cancel stops a cancelled job's tasks wherever they may be.
func (l *Leader) cancel(j *job) {
	ref := j.rec.Spec.Ref
	j.cancelled = true
	delete(l.jobs, ref)
	delete(l.counts, ref)
	for _, b := range l.blocks {
		var ts []peer.Task
		for t := range b.tasks {
			if t.Job == ref {
				ts = append(ts, t)
			}
		}
		slices.SortFunc(ts, func(a, c peer.Task) int { return a.Index - c.Index })
		for _, t := range ts {
			b.orders.Stop = append(b.orders.Stop, peer.StopTask{Task: t})
		}
		b.ack(func(t peer.Task) bool { return t.Job == ref })
	}
	l.dropProgress(j)
}

func (b *lblock) ack(stored func(peer.Task) bool) {
	b.unstored = slices.DeleteFunc(b.unstored, func(t peer.Task) bool {
		if stored(t) {
			b.orders.Stored = append(b.orders.Stored, t)
			return true
		}
		return false
	})
}

// dropProgress removes the progress of a job whose final state is stored.
func (l *Leader) dropProgress(j *job) {
	var ws []wire.Write
	for c, ch := range j.chunks {
		if ch.stamp > 0 {
			ws = append(ws, wire.Write{Delete: progKey(j.rec.Spec.Ref, c)})
		}
	}
	for len(ws) > 0 {
		k := min(len(ws), l.cfg.Facts.State.TxnOps)
		l.commit(store.Lazy, nil, nil, ws[:k])
		ws = ws[k:]
	}
}

func progKey(ref string, c int) string { return ProgPrefix + ref + "/" + strconv.Itoa(c) }

type persistTag struct {
	ref    string
	final  bool
	chunks []int
	bits   [][]byte
}

// persist writes a job's end at once and its progress now and then.
func (l *Leader) persist(now clock.Micros, j *job) {
	if j.saving || j.cancelled {
		return
	}
	ref := j.rec.Spec.Ref
	if j.nDone == j.rec.Spec.Tasks {
		j.saving, j.ending = true, true
		l.commit(store.Starts, persistTag{ref: ref, final: true}, []wire.Guard{{Key: JobPrefix + ref, Version: j.stamp}},
			[]wire.Write{put(EndPrefix+ref, EndRecord{State: wire.Done, Tasks: j.nDone}), {Delete: JobPrefix + ref}})
		return
	}
	if now-j.savedAt < progressEvery {
		return
	}
	tag := persistTag{ref: ref}
	guards := []wire.Guard{{Key: JobPrefix + ref, Version: j.stamp}}
	var writes []wire.Write
	for c := range j.chunks {
		ch := &j.chunks[c]
		if !ch.dirty || len(writes) == l.cfg.Facts.State.TxnOps {
			continue
		}
		ch.dirty = false
		tag.chunks = append(tag.chunks, c)
		tag.bits = append(tag.bits, slices.Clone(ch.done))
		guards = append(guards, wire.Guard{Key: progKey(ref, c), Version: ch.stamp})
		writes = append(writes, put(progKey(ref, c), ProgRecord{ch.done}))
	}
	if len(writes) == 0 {
		return
	}
	j.saving = true
	j.savedAt = now
	l.commit(store.Lazy, tag, guards, writes)
}

func (l *Leader) persisted(now clock.Micros, tag persistTag, m Committed) {
	j := l.jobs[tag.ref]
	if j == nil {
		return
	}
	if tag.final {
		switch {
		case m.Outcome.OK:
			l.finish(j)
		case len(m.Outcome.Failed) > 0:
			// A user's abort came first, or an earlier copy of this write did.
			l.emit(ReadKey{l.epoch, EndPrefix + tag.ref, tag})
		default:
			j.saving, j.ending = false, false
		}
		return
	}
	if m.Outcome.FailedOn(JobPrefix + tag.ref) {
		l.cancel(j)
		return
	}
	if m.Outcome.OK {
		for i, c := range tag.chunks {
			j.chunks[c].stamp = m.Outcome.Revision
			copy(j.chunks[c].saved, tag.bits[i])
		}
		j.saving = false
		for _, b := range l.blocks {
			b.ack(func(t peer.Task) bool { return t.Job == tag.ref && j.stored(t.Index) })
		}
		l.persist(now, j)
		return
	}
	for _, c := range tag.chunks {
		j.chunks[c].dirty = true
	}
	if m.Outcome.FailedOn(progKey(tag.ref, tag.chunks[0])) || len(m.Outcome.Failed) > 0 {
		l.emit(ReadKey{l.epoch, m.Outcome.Failed[0], tag})
		return
	}
	j.saving = false
}

// reread goes on after a guard failed on what an unanswered write of ours may have done.
func (l *Leader) reread(tag persistTag, m Read) {
	j := l.jobs[tag.ref]
	if j == nil {
		return
	}
	j.saving, j.ending = false, false
	if tag.final {
		var r EndRecord
		if m.Found && json.Unmarshal(m.Item.Value, &r) == nil {
			if r.State == wire.Done {
				l.finish(j)
			} else {
				l.cancel(j)
			}
		}
		return
	}
	for _, c := range tag.chunks {
		if progKey(tag.ref, c) == m.Item.Key {
			j.chunks[c].stamp = m.Item.Version
		}
	}
}

func (l *Leader) finish(j *job) {
	ref := j.rec.Spec.Ref
	delete(l.jobs, ref)
	delete(l.counts, ref)
	for _, b := range l.blocks {
		b.ack(func(t peer.Task) bool { return t.Job == ref })
		// A copy that a stale record still names must not run on.
		for t := range b.tasks {
			if t.Job == ref {
				b.orders.Stop = append(b.orders.Stop, peer.StopTask{Task: t})
			}
		}
	}
	l.dropProgress(j)
}

// errored tells faulty machines from jobs that fail everywhere.
func (l *Leader) errored(now clock.Micros, j *job, name string) {
	j.errs++
	j.errAt[name] = true
	if m := l.machines[name]; m != nil {
		m.errRun++
		if m.errs == nil {
			m.errs = map[string]int{}
		}
		m.errs[j.rec.Spec.Ref]++
		// Two jobs failed in a row here, or one that does well elsewhere.
		if !m.drain && m.errRun >= 2 && (len(m.errs) >= 2 || j.okay) {
			l.drain(m, "fails its tasks")
		}
	}
	if !j.okay && len(j.errAt) >= 2 {
		back := clock.FromSeconds(math.Min(60, math.Pow(2, float64(min(j.errs, 6)))))
		j.notBefore = now + back
	}
}

// remaining estimates a task's run time from its owner's word and its class's history.
func (l *Leader) remaining(j *job) float64 {
	est := j.rec.Spec.EstimateS
	if c := l.classes[j.rec.Spec.Class]; c != nil && c.n >= 5 {
		est *= c.ratio
	}
	return est + 1
}

// queueKey orders a team's jobs: those that can still be in time before those
// that cannot, then by priority, then by the latest start that is in time, then
// by submission. A job without a deadline of its own has that of its class's
// objective.
func (l *Leader) queueKey(now clock.Micros, j *job) [4]float64 {
	s := &j.rec.Spec
	due := math.Inf(1)
	if s.DeadlineS != nil {
		due = *s.DeadlineS
	} else if o, ok := l.within[s.Class]; ok {
		due = o
	}
	age := (now + l.wall - j.rec.At).Seconds()
	// The least time in which the rest can be done within the team's limit.
	need := l.remaining(j)
	if most := l.teams[s.Team].CPUsMax; most > 0 {
		need = max(need, float64(s.Tasks-j.nDone)*s.CPUs*need/most)
	}
	rank := wire.Rank(s.Priority)
	late := 0.0
	if rank >= wire.Rank(wire.Standard) && age+need > due {
		late = 1
	}
	third := due - age - need
	if s.DeadlineS == nil {
		third = need
	}
	return [4]float64{late, float64(rank), third, -age}
}

type queued struct {
	j   *job
	key [4]float64
}

func (q queued) rank() float64 { return q.key[1] }

// gather is how long room that comes free is collected before it is offered, so
// that one start record serves several tasks. New jobs do not wait for it.
const gather = 120 * clock.Millisecond

// schedule hands waiting tasks to blocks with room: teams in turn by their
// shares, guarantees first.
func (l *Leader) schedule(now clock.Micros) {
	if !l.stirred || !l.urgent && now-l.lastSchedule < gather {
		return
	}
	// Until every block's start records are read, a task that waits here may run
	// in one of them, and the teams' use is not known.
	if slices.ContainsFunc(l.blocks, func(b *lblock) bool { return !b.known }) {
		return
	}
	l.stirred, l.urgent = false, false
	l.lastSchedule = now
	var ms []*machine
	for _, name := range slices.Sorted(maps.Keys(l.machines)) {
		m := l.machines[name]
		if m.state.Fit && !m.drain && !m.shun && m.state.CPUs > 0 {
			if b := l.blockOf(name); b.state == granted && !b.offered {
				m.cpus, m.gpus, m.mem = m.state.CPUs, m.state.GPUs, m.state.Memory
				ms = append(ms, m)
			}
		}
	}
	if len(ms) == 0 {
		return
	}
	teams := map[string][]queued{}
	for _, ref := range slices.Sorted(maps.Keys(l.jobs)) {
		j := l.jobs[ref]
		if len(j.waiting) > 0 && now >= j.notBefore && !j.cancelled {
			t := j.rec.Spec.Team
			teams[t] = append(teams[t], queued{j, l.queueKey(now, j)})
		}
	}
	names := slices.Sorted(maps.Keys(teams))
	for _, q := range teams {
		slices.SortStableFunc(q, func(a, b queued) int {
			return slices.Compare(a.key[:], b.key[:])
		})
	}
	type offerKey struct {
		block int
		job   string
		zone  string
	}
	offers := map[offerKey]int{}
	for len(names) > 0 {
		best, bestKey := -1, [3]float64{}
		for i, name := range names {
			team := l.teams[name]
			u := l.usage[name]
			if u == nil {
				u = &use{}
				l.usage[name] = u
			}
			q := teams[name]
			for len(q) > 0 {
				s := &q[0].j.rec.Spec
				if len(q[0].j.waiting) > 0 {
					if u.takes(s, team.CPUsMax, team.GPUsMax) {
						break
					}
					// What the limit holds back must not be passed by smaller tasks of
					// less important jobs, which would take every bit of room that comes free.
					q = slices.DeleteFunc(q[1:], func(o queued) bool { return o.rank() > q[0].rank() })
					continue
				}
				q = q[1:]
			}
			teams[name] = q
			if len(q) == 0 {
				continue
			}
			s := &q[0].j.rec.Spec
			borrow := 0.0
			if !u.takes(s, team.CPUs, team.GPUs) {
				borrow = 1
			}
			key := [3]float64{borrow, q[0].rank(), u.cpus / max(team.CPUs, 1)}
			if best < 0 || slices.Compare(key[:], bestKey[:]) < 0 {
				best, bestKey = i, key
			}
		}
		if best < 0 {
			break
		}
		name := names[best]
		j := teams[name][0].j
		m, zone := l.roomFor(j, ms)
		if m == nil {
			teams[name] = teams[name][1:]
			continue
		}
		i := int(j.waiting[0])
		j.waiting = j.waiting[1:]
		if j.isDone(i) || j.out[i] > 0 {
			continue
		}
		s := &j.rec.Spec
		m.cpus -= s.CPUs
		m.gpus -= s.GPUs
		m.mem -= s.MemoryGB
		b := l.blockOf(m.name)
		h := &held{team: s.Team, cpus: s.CPUs, gpus: s.GPUs, zone: zone, since: now}
		b.tasks[peer.Task{Job: s.Ref, Index: i}] = h
		l.charge(h, 1)
		j.out[i]++
		k := offerKey{b.id, s.Ref, zone}
		at, ok := offers[k]
		if !ok {
			at = len(b.orders.Offers)
			offers[k] = at
			b.orders.Offers = append(b.orders.Offers, peer.Offer{Job: *s, Zone: zone})
		}
		b.orders.Offers[at].Indexes = append(b.orders.Offers[at].Indexes, i)
	}
	for _, b := range l.blocks {
		if len(b.orders.Offers) > 0 {
			b.offerSeq++
			b.orders.Seq = b.offerSeq
			b.offered = true
		}
	}
}

// roomFor finds the machine whose room the next task of a job takes, and the
// zone that the task is bound to, if any.
func (l *Leader) roomFor(j *job, ms []*machine) (*machine, string) {
	s := &j.rec.Spec
	bound := s.OneZone || s.Spread
	inZone := map[string]int{}
	if bound {
		for i := range j.out {
			for _, b := range l.blocks {
				if h := b.tasks[peer.Task{Job: s.Ref, Index: i}]; h != nil {
					inZone[h.zone]++
				}
			}
		}
		// A task that may be anywhere leaves no zone that is surely allowed.
		if inZone[""] > 0 {
			return nil, ""
		}
	}
	var best *machine
	var bestKey [4]float64
	for _, m := range ms {
		if m.cpus+1e-9 < s.CPUs || m.gpus+1e-9 < s.GPUs || m.mem+1e-9 < s.MemoryGB ||
			m.opt.Spot && !s.Spot || s.Zone != "" && s.Zone != m.opt.Zone ||
			len(s.Types) > 0 && !slices.Contains(s.Types, m.opt.Type.Name) {
			continue
		}
		if s.OneZone && len(inZone) > 0 && inZone[m.opt.Zone] == 0 {
			continue
		}
		if s.Spread && inZone[m.opt.Zone] >= (s.Tasks+1)/2 {
			continue
		}
		key := [4]float64{1, 0, m.opt.Price() / max(m.opt.Type.CPUs, 1), m.cpus}
		if slices.Contains(m.state.Images, s.Image) {
			key[0] = 0
		}
		if j.errAt[m.name] {
			key[1] = 1
		}
		if best == nil || slices.Compare(key[:], bestKey[:]) < 0 {
			best, bestKey = m, key
		}
	}
	if best == nil {
		return nil, ""
	}
	if bound {
		return best, best.opt.Zone
	}
	return best, ""
}
