package store

import (
	"container/heap"
	"math"
)

// pendingRequest is a request that waits for the budget.
type pendingRequest struct {
	priority  Priority
	sequence  int // order of arrival
	writes    int
	admitted  chan struct{}   // closed when the request may be sent
	abandoned <-chan struct{} // closed when the sender no longer waits
}

// before reports whether r has to be sent before other.
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

// requestQueue is a priority queue for container/heap. Requests of the same priority are in order of arrival.
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

// dropAbandoned removes abandoned requests from the head of the queue.
func (q *requestQueue) dropAbandoned() {
	for len(*q) > 0 && (*q)[0].isAbandoned() {
		heap.Pop(q)
	}
}

// requestQueues holds the requests that wait for the budget. Reads and writes have separate queues, so that requests
// that wait for the write limit do not delay reads. The write limit does not apply to reads.
type requestQueues struct {
	reads, writes requestQueue
	nextSequence  int
}

func (q *requestQueues) push(r *pendingRequest) {
	r.sequence = q.nextSequence
	q.nextSequence++
	if r.writes > 0 {
		heap.Push(&q.writes, r)
	} else {
		heap.Push(&q.reads, r)
	}
}

// admit admits all requests that the bucket has enough tokens for.
func (q *requestQueues) admit(bucket *tokenBucket) {
	for {
		q.reads.dropAbandoned()
		q.writes.dropAbandoned()
		queue := q.nextQueue(bucket)
		if queue == nil {
			return
		}
		r := heap.Pop(queue).(*pendingRequest)
		bucket.consume(r)
		close(r.admitted)
	}
}

// nextQueue returns the queue whose first request may be sent now, or nil if there is none.
func (q *requestQueues) nextQueue(bucket *tokenBucket) *requestQueue {
	queue := &q.reads
	if len(q.writes) > 0 && bucket.missingWriteTokens(q.writes[0]) <= 0 &&
		(len(q.reads) == 0 || q.writes[0].before(q.reads[0])) {
		queue = &q.writes
	}
	if len(*queue) == 0 || bucket.missingRequestTokens() > 0 {
		return nil
	}
	return queue
}

// waitSeconds returns the time in seconds until the next request may be sent, or infinity if both queues are empty.
func (q *requestQueues) waitSeconds(bucket *tokenBucket) float64 {
	rate, waitS := bucket.rate(), math.Inf(1)
	if len(q.writes) > 0 {
		waitS = max(bucket.missingRequestTokens()/rate.RequestsPerSecond,
			bucket.missingWriteTokens(q.writes[0])/rate.WritesPerSecond)
	}
	if len(q.reads) > 0 {
		waitS = min(waitS, bucket.missingRequestTokens()/rate.RequestsPerSecond)
	}
	return waitS
}
