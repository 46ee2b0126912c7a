package jobs

import (
	"swiftledge/internal/clock"
)

// ProgressPrefix is the key prefix of progress pages.
const ProgressPrefix = "prog/"

// TasksPerChunk is the number of tasks in one chunk, the unit in which progress is stored.
const TasksPerChunk = 8192

// ProgressRecord is the value of a progress page: the completed tasks of several jobs.
type ProgressRecord struct {
	Chunks []ProgressChunk `json:"u"`
}

// ProgressChunk is the stored bitmap of the completed tasks in one range of a job's tasks.
type ProgressChunk struct {
	Job       string `json:"j"`
	Chunk     int    `json:"c,omitempty"`
	Completed []byte `json:"b"`
}

// ProgressInterval is the interval between progress writes. A completed task stays listed on its agent until its
// completion is stored, so a delayed write loses nothing.
const ProgressInterval = 5 * clock.Second

// taskBitmap has one bit for each task of a chunk.
type taskBitmap []byte

func newTaskBitmap(tasks int) taskBitmap { return make(taskBitmap, (tasks+7)/8) }

func (b taskBitmap) has(task int) bool { return b[task/8]&(1<<(task%8)) != 0 }

func (b taskBitmap) set(task int) { b[task/8] |= 1 << (task % 8) }

// merge adds the tasks of a stored bitmap, whose length may differ.
func (b taskBitmap) merge(stored []byte) {
	for i := range b[:min(len(b), len(stored))] {
		b[i] |= stored[i]
	}
}

// chunk is a range of a job's tasks whose progress is stored as a unit.
type chunk struct {
	completed, persisted taskBitmap
	dirty                bool            // the chunk must be written again
	page                 *progressPage   // page that holds the chunk
	formerPages          []*progressPage // other pages that hold the chunk; not rewritten until page is stored
}

func newChunks(tasks int) []chunk {
	var chunks []chunk
	for remaining := tasks; remaining > 0; remaining -= TasksPerChunk {
		n := min(remaining, TasksPerChunk)
		chunks = append(chunks, chunk{completed: newTaskBitmap(n), persisted: newTaskBitmap(n)})
	}
	return chunks
}

// storedBytes returns the approximate size of the chunk on a page.
func (c *chunk) storedBytes() int { return (len(c.completed)+2)/3*4 + 48 }

// addFormerPage records that a page holds the chunk, and must drop the chunk once another page that has all known
// completions of the chunk is stored.
func (c *chunk) addFormerPage(page *progressPage) {
	c.formerPages = append(c.formerPages, page)
	c.dirty = true
	page.pendingMoves++
	page.dirty = true
}

// releaseFormerPages records that the former pages no longer need to hold the chunk.
func (c *chunk) releaseFormerPages() {
	for _, page := range c.formerPages {
		page.pendingMoves--
		page.dirty = true
	}
	c.formerPages = nil
}

// emptyPageBytes is the approximate size of a page without chunks.
const emptyPageBytes = 32

// progressPage is the content of one progress key. It holds chunks of several jobs, so that the cost of a write does
// not grow with the number of jobs.
type progressPage struct {
	key      string
	version  uint64
	chunks   []chunkID
	size     int  // approximate, in bytes
	dirty    bool // the page must be written again
	inFlight bool // a write or read is in flight
	// pendingMoves counts the chunks that this page must drop and that are not stored on another page yet. The page is
	// not written while there are such chunks.
	pendingMoves int
}

// chunkID identifies a chunk of a job.
type chunkID struct {
	job   *Job
	index int
}

func (id chunkID) chunk() *chunk { return &id.job.progress[id.index] }

func (p *progressPage) add(id chunkID) {
	p.chunks = append(p.chunks, id)
	p.size += id.chunk().storedBytes()
	id.chunk().page = p
}

// split empties a page that was written when the maximum value size was larger, and that can no longer be written as
// it is. Its chunks move to other pages. The old page stays in the store until all its chunks are stored on these.
func (p *progressPage) split() {
	p.dirty = true
	for _, id := range p.chunks {
		id.chunk().page = nil
		id.chunk().addFormerPage(p)
	}
	p.chunks = nil
}
