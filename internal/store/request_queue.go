package store

import (
	"container/heap"
	"math"
)

// pendingRequest waits for the budget.
type pendingRequest struct {
	priority  Priority
	sequence  int // order of arrival
	writes    int
	admitted  chan struct{}   // closed when the request may be sent
	abandoned <-chan struct{} // closed when its sender no longer waits
}

// before says whether r is to be sent before other.
func (r *pendingRequest) before(other *pendingRequest) bool {
	if r.priority != other.priority {
		return r.priority < other.priority
	}
	return r.sequence < other.sequence
}

func (r *pendingRequest) isAbandoned() bool {
	select {
	case <-r.abandoned:
		return true
	default:
		return false
	}
}

// requestQueue is a heap for container/heap: the most important request first, then the oldest.
type requestQueue []*pendingRequest

// Len implements heap.Interface.
func (q requestQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q requestQueue) Less(i, j int) bool { return q[i].before(q[j]) }

// Swap implements heap.Interface.
func (q requestQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *requestQueue) Push(x any) { *q = append(*q, x.(*pendingRequest)) }

// Pop implements heap.Interface.
func (q *requestQueue) Pop() any {
	last := len(*q) - 1
	r := (*q)[last]
	*q = (*q)[:last]
	return r
}

// dropAbandoned removes requests from the head that nobody waits for any more.
func (q *requestQueue) dropAbandoned() {
	for len(*q) > 0 && (*q)[0].isAbandoned() {
		heap.Pop(q)
	}
}

// requestQueues are the requests that wait for the budget. Reads and writes are apart: what waits for the write
// limit must not hold up reads, which do not need it.
type requestQueues struct {
	reads, writes requestQueue
	arrived       int
}

func (q *requestQueues) push(r *pendingRequest) {
	r.sequence = q.arrived
	q.arrived++
	if r.writes > 0 {
		heap.Push(&q.writes, r)
	} else {
		heap.Push(&q.reads, r)
	}
}

// admit lets all requests pass that the bucket has enough for.
func (q *requestQueues) admit(bucket *tokenBucket) {
	for {
		q.reads.dropAbandoned()
		q.writes.dropAbandoned()
		queue := q.next(bucket)
		if queue == nil {
			return
		}
		r := heap.Pop(queue).(*pendingRequest)
		bucket.take(r)
		close(r.admitted)
	}
}

// next returns the queue whose first request may be sent now; nil if none may.
func (q *requestQueues) next(bucket *tokenBucket) *requestQueue {
	queue := &q.reads
	if len(q.writes) > 0 && bucket.missingWrites(q.writes[0]) <= 0 &&
		(len(q.reads) == 0 || q.writes[0].before(q.reads[0])) {
		queue = &q.writes
	}
	if len(*queue) == 0 || bucket.missingRequests() > 0 {
		return nil
	}
	return queue
}

// wait returns for how many seconds no request may be sent; infinity if there is none.
func (q *requestQueues) wait(bucket *tokenBucket) float64 {
	rate, wait := bucket.rate(), math.Inf(1)
	if len(q.writes) > 0 {
		wait = max(bucket.missingRequests()/rate.RequestsPerSecond,
			bucket.missingWrites(q.writes[0])/rate.WritesPerSecond)
	}
	if len(q.reads) > 0 {
		wait = min(wait, bucket.missingRequests()/rate.RequestsPerSecond)
	}
	return wait
}
