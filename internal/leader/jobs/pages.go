package jobs

import (
	"slices"
	"strconv"

	"swiftledge/internal/clock"
	"swiftledge/internal/cluster"
	"swiftledge/internal/store"
)

// ProgressPages owns the progress pages. A progress page is a value in the store that lists completed tasks of many
// jobs.
type ProgressPages struct {
	term         cluster.Term
	pagesCreated int // number of pages created in this term
	pages        []*progressPage
	writtenAt    clock.Micros
}

// NewProgressPages returns an empty set of progress pages for a term. Load adds the stored pages.
func NewProgressPages(term cluster.Term) *ProgressPages { return &ProgressPages{term: term} }

// StoredPage is a progress page as an earlier leader stored it.
type StoredPage struct {
	Key     string
	Version uint64
	Record  ProgressRecord
}

// PageWrite is a transaction that stores a progress page or deletes an empty progress page.
type PageWrite struct {
	Key     string
	Version uint64 // expected version of the key, the condition of a write that stores a page
	Record  ProgressRecord
	Delete  bool

	page    *progressPage
	written []chunkID // chunks in Record, in the same order
}

// Load adds a stored progress page. maxValueBytes is the maximum size of a value.
func (p *ProgressPages) Load(stored StoredPage, table *Table, maxValueBytes int) {
	page := &progressPage{key: stored.Key, version: stored.Version, size: emptyPageBytes}
	p.pages = append(p.pages, page)
	for _, storedChunk := range stored.Record.Chunks {
		j := table.Get(storedChunk.Job)
		// The chunk of a finished job is obsolete. A service has no progress, even if an older version treated it as a
		// batch job and stored some.
		if j == nil || j.Spec.IsService() || storedChunk.Chunk < 0 || storedChunk.Chunk >= len(j.progress) {
			page.dirty = true // the next write of the page drops the chunk
			continue
		}
		id := chunkID{j, storedChunk.Chunk}
		c := id.chunk()
		c.completed.merge(storedChunk.Completed)
		c.persisted.merge(storedChunk.Completed)
		if c.page == nil && len(c.formerPages) == 0 {
			page.add(id)
			continue
		}
		// Several pages hold the chunk. One page is enough once it holds the completions of all these pages.
		c.addFormerPage(page)
	}
	if page.size > maxValueBytes {
		page.split()
	}
}

// Forget removes a finished job from its progress pages. Later writes of the pages omit the job.
func (p *ProgressPages) Forget(j *Job) {
	for i := range j.progress {
		c := &j.progress[i]
		c.releaseFormerPages()
		if c.page == nil {
			continue
		}
		c.page.chunks = slices.DeleteFunc(c.page.chunks, func(id chunkID) bool { return id == chunkID{j, i} })
		c.page.size -= c.storedBytes()
		c.page.dirty = true
		c.page = nil
	}
}

// DueWrites returns the page writes that are due, deletions first. maxValueBytes is the maximum size of a value. The
// caller reports the outcome of each write that stores a page with Committed or Failed.
func (p *ProgressPages) DueWrites(now clock.Micros, table *Table, maxValueBytes int) []PageWrite {
	if now-p.writtenAt < ProgressInterval {
		return nil
	}
	p.writtenAt = now
	for j := range table.Sorted() {
		p.placeDirtyChunks(j, maxValueBytes)
	}
	writes := p.deleteEmpty()
	for _, page := range p.pages {
		if !page.inFlight && page.dirty && page.pendingMoves == 0 {
			writes = append(writes, page.write())
		}
	}
	return writes
}

// placeDirtyChunks places changed chunks of the job that are on no page yet, and marks the pages of all changed chunks
// as dirty. A finishing job needs no more progress writes.
func (p *ProgressPages) placeDirtyChunks(j *Job, maxValueBytes int) {
	for i := range j.progress {
		c := &j.progress[i]
		if !c.dirty || j.finishing {
			continue
		}
		if c.page == nil {
			p.place(chunkID{j, i}, maxValueBytes)
		}
		c.page.dirty = true
	}
}

// place adds a chunk to a page with enough space. It skips pages with pending moves: such a page is not written until
// the chunks that leave it, possibly including this chunk, are stored on other pages.
func (p *ProgressPages) place(id chunkID, maxValueBytes int) {
	neededBytes := id.chunk().storedBytes()
	for _, page := range p.pages {
		if page.pendingMoves == 0 && page.size+neededBytes <= maxValueBytes {
			page.add(id)
			return
		}
	}
	p.pagesCreated++
	key := ProgressPrefix + strconv.FormatUint(uint64(p.term), 10) + "-" + strconv.Itoa(p.pagesCreated)
	page := &progressPage{key: key, size: emptyPageBytes}
	p.pages = append(p.pages, page)
	page.add(id)
}

// deleteEmpty drops the pages without chunks, and returns the deletions of the dropped pages that are stored.
func (p *ProgressPages) deleteEmpty() (writes []PageWrite) {
	p.pages = slices.DeleteFunc(p.pages, func(page *progressPage) bool {
		if page.inFlight || !page.dirty || len(page.chunks) > 0 || page.pendingMoves > 0 {
			return false
		}
		if page.version > 0 {
			writes = append(writes, PageWrite{Key: page.key, Delete: true})
		}
		return true
	})
	return writes
}

// write returns the transaction that stores the page, and marks it as in flight. The transaction is conditional on
// the page's version: a delayed copy of an older write must not revert completions that were reported as stored.
func (p *progressPage) write() PageWrite {
	p.inFlight, p.dirty = true, false
	w := PageWrite{Key: p.key, Version: p.version, page: p, written: slices.Clone(p.chunks)}
	for _, id := range p.chunks {
		c := id.chunk()
		c.dirty = false
		w.Record.Chunks = append(w.Record.Chunks,
			ProgressChunk{Job: id.job.Spec.Ref, Chunk: id.index, Completed: slices.Clone(c.completed)})
	}
	return w
}

// Committed records that a write succeeded, and returns the jobs, by reference, whose completed tasks were stored.
func (p *ProgressPages) Committed(w PageWrite, revision uint64) map[string]*Job {
	w.page.inFlight, w.page.version = false, revision
	stored := map[string]*Job{}
	for i, id := range w.written {
		c := id.chunk()
		copy(c.persisted, w.Record.Chunks[i].Completed)
		if c.page == w.page {
			c.releaseFormerPages()
		}
		stored[id.job.Spec.Ref] = id.job
	}
	return stored
}

// Failed records that a write did not succeed, or that its outcome is unknown. It reports whether the page's key must
// be read before the next write, because an unanswered write of this leader may have changed it. See ReadBack.
func (p *ProgressPages) Failed(w PageWrite, result store.TxnResult, maxValueBytes int) (mustRead bool) {
	page := w.page
	for _, id := range w.written {
		id.chunk().dirty = true
	}
	page.dirty = true
	if result.Rejected && !result.Ambiguous && page.size > maxValueBytes {
		page.inFlight = false
		page.split()
		return false
	}
	if len(result.FailedKeys) > 0 {
		return true
	}
	page.inFlight = false
	return false
}

// ReadBack records the version of a page's key that was read after a failed write. 0 means that there is no such key.
func (p *ProgressPages) ReadBack(w PageWrite, version uint64) {
	w.page.inFlight, w.page.version = false, version
}
