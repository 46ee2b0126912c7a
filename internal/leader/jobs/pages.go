package jobs

import (
	"slices"
	"strconv"

	"swiftledge/internal/clock"
	"swiftledge/internal/cluster"
	"swiftledge/internal/store"
)

// ProgressPages owns the pages on which completed tasks are stored, many jobs on one page.
type ProgressPages struct {
	term         cluster.Term
	pagesCreated int // how many pages this term has made
	pages        []*progressPage
	writtenAt    clock.Micros
}

// NewProgressPages returns the pages of a term, to which those that are stored are to be added with Load.
func NewProgressPages(term cluster.Term) *ProgressPages { return &ProgressPages{term: term} }

// StoredPage is a page as an earlier leader stored it.
type StoredPage struct {
	Key     string
	Version uint64
	Record  ProgressRecord
}

// PageWrite is a transaction that stores a page, or deletes one that is empty.
type PageWrite struct {
	Key     string
	Version uint64 // of the key, on which a write that stores is conditional
	Record  ProgressRecord
	Delete  bool

	page    *progressPage
	written []chunkID // the chunks of Record
}

// Load takes in a stored page; valueBytes is the most that a value may hold.
func (p *ProgressPages) Load(stored StoredPage, table *Table, valueBytes int) {
	page := &progressPage{key: stored.Key, version: stored.Version, size: emptyPageBytes}
	p.pages = append(p.pages, page)
	for _, u := range stored.Record.Chunks {
		j := table.Get(u.Job)
		// A service that an older version held for a batch has no progress either.
		if j == nil || j.Spec.IsService() || u.Chunk < 0 || u.Chunk >= len(j.progress) {
			page.dirty = true // of a job that is over
			continue
		}
		id := chunkID{j, u.Chunk}
		c := id.chunk()
		c.completed.merge(u.Completed)
		c.persisted.merge(u.Completed)
		if c.page == nil && len(c.formerPages) == 0 {
			page.add(id)
			continue
		}
		// On several pages: one is enough, once it has what all had.
		c.addFormerPage(page)
	}
	if page.size > valueBytes {
		page.split()
	}
}

// Forget takes a job that is over off its pages; they are written without it in time.
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

// DueWrites returns the writes of pages that are due, deletions first; valueBytes is the most that a value may hold.
// The outcome of those that store is to be told with Committed or Failed.
func (p *ProgressPages) DueWrites(now clock.Micros, table *Table, valueBytes int) []PageWrite {
	if now-p.writtenAt < ProgressInterval {
		return nil
	}
	p.writtenAt = now
	for j := range table.Sorted() {
		p.placeDirtyChunks(j, valueBytes)
	}
	writes := p.deleteEmpty()
	for _, page := range p.pages {
		if !page.inFlight && page.dirty && page.pendingMoves == 0 {
			writes = append(writes, page.write())
		}
	}
	return writes
}

// placeDirtyChunks marks the pages to be written that hold the job's changed chunks. What ends now needs no progress.
func (p *ProgressPages) placeDirtyChunks(j *Job, valueBytes int) {
	for i := range j.progress {
		c := &j.progress[i]
		if !c.dirty || j.finishing {
			continue
		}
		if c.page == nil {
			p.place(chunkID{j, i}, valueBytes)
		}
		c.page.dirty = true
	}
}

// place puts a chunk on a page that has space for it. One that waits for chunks to be stored elsewhere, maybe this
// one, is not written before they are.
func (p *ProgressPages) place(id chunkID, valueBytes int) {
	need := id.chunk().storedBytes()
	for _, page := range p.pages {
		if page.pendingMoves == 0 && page.size+need <= valueBytes {
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

// deleteEmpty drops the pages that hold nothing any more, and returns the deletions of those that are stored.
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

// write begins the write of a page. It is conditional on the page's version: a late copy of an older write must not
// take back what was said to be stored.
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

// Committed takes in that a write succeeded, and returns the jobs, by reference, of which it stored completed tasks.
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

// Failed takes in that a write was not carried out, or may not have been. It reports whether the page's key has to be
// read before it can be written again: an unanswered write of ours may have changed it. See ReadBack.
func (p *ProgressPages) Failed(w PageWrite, result store.TxnResult, valueBytes int) (read bool) {
	page := w.page
	for _, id := range w.written {
		id.chunk().dirty = true
	}
	page.dirty = true
	if result.Rejected && !result.Ambiguous && page.size > valueBytes {
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

// ReadBack takes in the version of a page's key, which is 0 if there is none.
func (p *ProgressPages) ReadBack(w PageWrite, version uint64) {
	w.page.inFlight, w.page.version = false, version
}
