package jobs

import (
	"swiftledge/internal/clock"
)

// ProgressPrefix begins the keys of progress pages.
const ProgressPrefix = "prog/"

// TasksPerChunk is how many tasks' bits are stored as one.
const TasksPerChunk = 8192

// ProgressRecord is the value of a progress page: completed tasks of several jobs.
type ProgressRecord struct {
	Chunks []ProgressChunk `json:"u"`
}

// ProgressChunk has a bit for each completed task of a range of a job's tasks.
type ProgressChunk struct {
	Job       string `json:"j"`
	Chunk     int    `json:"c,omitempty"`
	Completed []byte `json:"b"`
}

// ProgressInterval is how long completed tasks may wait for their progress write; until then they stay listed on their
// agents, so nothing is lost.
const ProgressInterval = 5 * clock.Second

// taskBitmap has a bit for each task of a chunk.
type taskBitmap []byte

func newTaskBitmap(tasks int) taskBitmap { return make(taskBitmap, (tasks+7)/8) }

func (b taskBitmap) has(task int) bool { return b[task/8]&(1<<(task%8)) != 0 }

func (b taskBitmap) set(task int) { b[task/8] |= 1 << (task % 8) }

// merge adds the tasks of a stored bitmap, which may be of another length.
func (b taskBitmap) merge(stored []byte) {
	for i := range b[:min(len(b), len(stored))] {
		b[i] |= stored[i]
	}
}

// chunk is a range of a job's tasks whose progress is stored as one.
type chunk struct {
	completed, persisted taskBitmap
	dirty                bool
	page                 *progressPage   // where it is written
	formerPages          []*progressPage // others that hold it, and stay as they are until that one is stored
}

func newChunks(tasks int) []chunk {
	var chunks []chunk
	for left := tasks; left > 0; left -= TasksPerChunk {
		n := min(left, TasksPerChunk)
		chunks = append(chunks, chunk{completed: newTaskBitmap(n), persisted: newTaskBitmap(n)})
	}
	return chunks
}

// storedBytes is about what the chunk takes on a page.
func (c *chunk) storedBytes() int { return (len(c.completed)+2)/3*4 + 48 }

// addFormerPage notes that a page holds the chunk and is to lose it, once another is stored that has all that is known of it.
func (c *chunk) addFormerPage(page *progressPage) {
	c.formerPages = append(c.formerPages, page)
	c.dirty = true
	page.pendingMoves++
	page.dirty = true
}

// releaseFormerPages notes that the former pages need not hold the chunk any more.
func (c *chunk) releaseFormerPages() {
	for _, page := range c.formerPages {
		page.pendingMoves--
		page.dirty = true
	}
	c.formerPages = nil
}

// emptyPageBytes is about what a page without chunks takes.
const emptyPageBytes = 32

// progressPage is one key of progress. It holds chunks of several jobs, so that what one write costs does not grow
// with the number of jobs.
type progressPage struct {
	key      string
	version  uint64
	chunks   []chunkID
	size     int // in bytes, about
	dirty    bool
	inFlight bool // a write or read is under way
	// pendingMoves is how many chunks that it is to lose are not stored elsewhere yet; it is left as it is until then.
	pendingMoves int
}

// chunkID names a chunk of a job.
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

// split gives up a page that was written when values could be larger: as it is, it could not be written again. Its
// chunks go to others, and it stays until they are stored there.
func (p *progressPage) split() {
	p.dirty = true
	for _, id := range p.chunks {
		id.chunk().page = nil
		id.chunk().addFormerPage(p)
	}
	p.chunks = nil
}
