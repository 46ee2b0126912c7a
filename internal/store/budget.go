package store

import (
	"container/heap"
	"context"
	"fmt"
	"math"
	"time"
)

// Budget is a node's part of the state service's limits. Most of the time the
// nodes do not all need theirs at once, so the parts may add up to more than the
// whole: a 429 shrinks the part in use, which then grows back.
type Budget struct{ RequestsPerSecond, WritesPerSecond float64 }

const (
	shrink   = 0.7  // of the budget's use after a 429
	leastUse = 0.25 // never less of the budget than this
	growBack = 0.1  // of the budget, each second
)

// pendingRequest waits for its turn in the budget.
type pendingRequest struct {
	priority, seq, writes int
	ready                 chan struct{}
	ctx                   context.Context
}

// requestQueue is a heap: the most important request first, then the oldest.
type requestQueue []*pendingRequest

func (t requestQueue) Len() int           { return len(t) }
func (t requestQueue) Less(i, j int) bool { return t[i].before(t[j]) }

func (t *pendingRequest) before(o *pendingRequest) bool {
	if t.priority != o.priority {
		return t.priority < o.priority
	}
	return t.seq < o.seq
}

func (t requestQueue) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *requestQueue) Push(x any)   { *t = append(*t, x.(*pendingRequest)) }
func (t *requestQueue) Pop() any {
	old := *t
	x := old[len(old)-1]
	*t = old[:len(old)-1]
	return x
}

// drop takes requests off the head that nobody waits for any more.
func (t *requestQueue) drop() {
	for len(*t) > 0 && (*t)[0].ctx.Err() != nil {
		heap.Pop(t)
	}
}

// SetBudget changes this node's part, as a leader needs more than the others.
func (c *Client) SetBudget(b Budget) { c.budget <- b }

// bucket is what is left of the budget at a moment.
type bucket struct {
	full           Budget
	use            float64 // part of it that is used, less after a 429
	requests, puts float64
	filled         time.Time
}

// rate is the budget that is used now.
func (b *bucket) rate() Budget {
	return Budget{b.full.RequestsPerSecond * b.use, b.full.WritesPerSecond * b.use}
}

// over takes in a 429.
func (b *bucket) over() {
	b.use = max(leastUse, b.use*shrink)
	b.requests, b.puts = 0, 0
}

// fill adds what has come since it was last filled.
func (b *bucket) fill(now time.Time) {
	dt := now.Sub(b.filled).Seconds()
	b.filled = now
	b.use = min(1, b.use+dt*growBack)
	r := b.rate()
	b.requests = min(r.RequestsPerSecond, b.requests+dt*r.RequestsPerSecond)
	b.puts = min(max(r.WritesPerSecond, 1), b.puts+dt*r.WritesPerSecond)
}

// missingPuts is how many puts have to come for a transaction. One larger than the bucket goes when the
// bucket is full.
func (b *bucket) missingPuts(t *pendingRequest) float64 {
	return min(float64(t.writes), max(b.rate().WritesPerSecond, 1)) - b.puts
}

// next is the queue whose first request may go now; nil if none may.
func (b *bucket) next(reads, writes *requestQueue) *requestQueue {
	from := reads
	if len(*writes) > 0 && b.missingPuts((*writes)[0]) <= 0 && (len(*reads) == 0 || (*writes)[0].before((*reads)[0])) {
		from = writes
	}
	if len(*from) == 0 || b.requests < 1 {
		return nil
	}
	return from
}

// wait is for how long none of the requests may go, in seconds; infinite if there are none.
func (b *bucket) wait(reads, writes *requestQueue) float64 {
	r, wait := b.rate(), math.Inf(1)
	if len(*writes) > 0 {
		wait = max((1-b.requests)/r.RequestsPerSecond, b.missingPuts((*writes)[0])/r.WritesPerSecond)
	}
	if len(*reads) > 0 {
		wait = min(wait, (1-b.requests)/r.RequestsPerSecond)
	}
	return wait
}

// pace is the actor that lets requests go within the budget. Reads and writes wait
// in queues of their own: what waits for puts must not hold up reads, which need none.
func (c *Client) pace(full Budget) {
	var reads, writes requestQueue
	left := bucket{full: full, use: 1, requests: full.RequestsPerSecond / 2, puts: full.WritesPerSecond / 2, filled: time.Now()}
	seq := 0
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case t := <-c.waiting:
			t.seq = seq
			seq++
			if t.writes > 0 {
				heap.Push(&writes, t)
			} else {
				heap.Push(&reads, t)
			}
		case left.full = <-c.budget:
		case <-c.over:
			left.over()
		case <-timer.C:
		}
		left.fill(time.Now())
		for {
			reads.drop()
			writes.drop()
			from := left.next(&reads, &writes)
			if from == nil {
				break
			}
			t := heap.Pop(from).(*pendingRequest)
			left.requests--
			left.puts -= float64(t.writes)
			close(t.ready)
		}
		if wait := left.wait(&reads, &writes); !math.IsInf(wait, 1) {
			timer.Reset(time.Duration(wait*float64(time.Second)) + time.Millisecond)
		}
	}
}

func (c *Client) admit(ctx context.Context, prio, puts int) error {
	t := &pendingRequest{priority: prio, writes: puts, ready: make(chan struct{}), ctx: ctx}
	select {
	case c.waiting <- t:
	case <-ctx.Done():
		return fmt.Errorf("%w: budget", ErrNotExecuted)
	}
	select {
	case <-t.ready:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("%w: budget", ErrNotExecuted)
	}
}
