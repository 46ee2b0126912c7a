package leader

import (
	"slices"
	"strconv"

	"swiftledge/internal/clock"
	"swiftledge/internal/peer"
	"swiftledge/internal/store"
	"swiftledge/wire"
)

// progressEvery is how long completed tasks may wait for their progress write;
// until then they stay listed on their workers, so nothing is lost.
const progressEvery = 5 * clock.Second

// progressPage is one key of progress. It holds chunks of several jobs, so that what one
// write costs does not grow with the number of jobs.
type progressPage struct {
	key    string
	stamp  uint64
	units  []progressPageUnit
	size   int
	dirty  bool // a chunk is to be written or removed
	busy   bool
	moving int // how many chunks that it is to lose are not stored elsewhere yet; it is left as it is until then
}

type progressPageUnit struct {
	j     *job
	chunk int
}

func chunkBytes(n int) int { return (n+2)/3*4 + 48 }

// place finds a progress page with room for a chunk. One that waits for chunks to be stored
// elsewhere, maybe this one, is not written before they are.
func (l *Leader) place(j *job, c int) *progressPage {
	need := chunkBytes(len(j.chunks[c].done))
	for _, s := range l.jobs.progressPages {
		if s.moving == 0 && s.size+need <= l.valueBytes {
			s.put(j, c)
			return s
		}
	}
	l.jobs.progressPageSeq++
	s := &progressPage{key: ProgressPrefix + strconv.FormatUint(uint64(l.term), 10) + "-" + strconv.Itoa(l.jobs.progressPageSeq), size: 32}
	l.jobs.progressPages = append(l.jobs.progressPages, s)
	s.put(j, c)
	return s
}

func (s *progressPage) put(j *job, c int) {
	s.units = append(s.units, progressPageUnit{j, c})
	s.size += chunkBytes(len(j.chunks[c].done))
	j.chunks[c].progressPage = s
}

// leaveProgressPages takes a job that is over off its progress pages; they are written without it in time.
func (j *job) leaveProgressPages() {
	for c := range j.chunks {
		j.chunks[c].leaveFormer()
		s := j.chunks[c].progressPage
		if s == nil {
			continue
		}
		s.units = slices.DeleteFunc(s.units, func(u progressPageUnit) bool { return u.j == j && u.chunk == c })
		s.size -= chunkBytes(len(j.chunks[c].done))
		s.dirty = true
		j.chunks[c].progressPage = nil
	}
}

// keepOn notes that a progress page holds the chunk and is to lose it, once another is stored that
// has all that is known of it.
func (c *chunk) keepOn(s *progressPage) {
	c.former = append(c.former, s)
	c.dirty = true
	s.moving++
	s.dirty = true
}

// leaveFormer notes that the former progress pages need not hold the chunk any more.
func (c *chunk) leaveFormer() {
	for _, s := range c.former {
		s.moving--
		s.dirty = true
	}
	c.former = nil
}

// loadProgressPage takes in progress as an earlier leader stored it.
func (l *Leader) loadProgressPage(it wire.Item, r ProgressRecord) {
	s := &progressPage{key: it.Key, stamp: it.Version, size: 32}
	l.jobs.progressPages = append(l.jobs.progressPages, s)
	for _, u := range r.Chunks {
		j := l.jobs.byRef[u.Job]
		// A service that an older version held for a batch has no progress either.
		if j == nil || j.record.Spec.IsService() || u.Chunk < 0 || u.Chunk >= len(j.chunks) {
			s.dirty = true // of a job that is over
			continue
		}
		ch := &j.chunks[u.Chunk]
		for i := range ch.done[:min(len(ch.done), len(u.Completed))] {
			ch.done[i] |= u.Completed[i]
			ch.saved[i] |= u.Completed[i]
		}
		if ch.progressPage == nil && len(ch.former) == 0 {
			s.put(j, u.Chunk)
			continue
		}
		// On several progress pages: one is enough, once it has what all had.
		ch.keepOn(s)
	}
	if s.size > l.valueBytes {
		s.split()
	}
}

// split gives up a progress page that was written when values could be larger: as it is, it could
// not be written again. Its chunks go to others, and it stays until they are stored there.
func (s *progressPage) split() {
	s.dirty = true
	for _, u := range s.units {
		ch := &u.j.chunks[u.chunk]
		ch.progressPage = nil
		ch.keepOn(s)
	}
	s.units = nil
}

type progressTag struct {
	progressPage *progressPage
	units        []progressPageUnit
	bits         [][]byte
}

// progress writes completed tasks now and then, many jobs in one value.
func (l *Leader) progress(now clock.Micros, refs []string) {
	if now-l.jobs.progressWrittenAt < progressEvery {
		return
	}
	l.jobs.progressWrittenAt = now
	for _, ref := range refs {
		j := l.jobs.byRef[ref]
		for c := range j.chunks {
			ch := &j.chunks[c]
			// What ends now needs no progress.
			if !ch.dirty || j.ending {
				continue
			}
			if ch.progressPage == nil {
				l.place(j, c)
			}
			ch.progressPage.dirty = true
		}
	}
	l.jobs.progressPages = slices.DeleteFunc(l.jobs.progressPages, func(s *progressPage) bool {
		if s.busy || !s.dirty || len(s.units) > 0 || s.moving > 0 {
			return false
		}
		if s.stamp > 0 {
			l.commit(store.PriorityBackground, nil, nil, []wire.Write{{Delete: s.key}})
		}
		return true
	})
	for _, s := range l.jobs.progressPages {
		if s.busy || !s.dirty || s.moving > 0 {
			continue
		}
		s.busy, s.dirty = true, false
		tag := progressTag{progressPage: s, units: slices.Clone(s.units)}
		var r ProgressRecord
		for _, u := range s.units {
			ch := &u.j.chunks[u.chunk]
			ch.dirty = false
			bits := slices.Clone(ch.done)
			tag.bits = append(tag.bits, bits)
			r.Chunks = append(r.Chunks, ProgressChunk{Job: u.j.record.Spec.Ref, Chunk: u.chunk, Completed: bits})
		}
		// A late copy of an older write must not take back what was said to be stored.
		l.commit(store.PriorityBackground, tag, []wire.Condition{{Key: s.key, Version: s.stamp}}, []wire.Write{put(s.key, r)})
	}
}

func (l *Leader) progressed(tag progressTag, m TxnCompleted) {
	s := tag.progressPage
	if m.Result.Committed {
		s.busy, s.stamp = false, m.Result.Revision
		saved := map[string]*job{}
		for i, u := range tag.units {
			copy(u.j.chunks[u.chunk].saved, tag.bits[i])
			if u.j.chunks[u.chunk].progressPage == s {
				u.j.chunks[u.chunk].leaveFormer()
			}
			saved[u.j.record.Spec.Ref] = u.j
		}
		for _, b := range l.shards.all {
			b.ack(func(t peer.Task) bool {
				j := saved[t.Job]
				return j != nil && j.stored(t.Index)
			})
		}
		return
	}
	for _, u := range tag.units {
		u.j.chunks[u.chunk].dirty = true
	}
	s.dirty = true
	if m.Result.Rejected && !m.Result.Ambiguous && s.size > l.valueBytes {
		s.busy = false
		s.split()
		return
	}
	if len(m.Result.FailedKeys) > 0 {
		l.emit(ReadKey{l.term, s.key, tag})
		return
	}
	s.busy = false
}

// progressPageRead goes on after the guard failed on what an unanswered write of ours did.
func (l *Leader) progressPageRead(tag progressTag, m KeyRead) {
	tag.progressPage.busy, tag.progressPage.stamp = false, m.Item.Version
}
