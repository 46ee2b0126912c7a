package scenario

import (
	"container/heap"

	"swiftledge/internal/clock"
)

// event is something that happens at a moment of simulated time.
type event struct {
	dueAt clock.Micros
	seq   int // orders events of one moment by when they were scheduled
	run   func()
}

// eventQueue is the simulated time: it plays what is scheduled, in order.
type eventQueue struct {
	now     clock.Micros
	seq     int
	pending eventHeap
}

// after schedules something.
func (q *eventQueue) after(delay clock.Micros, run func()) {
	q.seq++
	heap.Push(&q.pending, event{q.now + delay, q.seq, run})
}

// run lets time pass.
func (q *eventQueue) run(d clock.Micros) {
	end := q.now + d
	for len(q.pending) > 0 && q.pending[0].dueAt <= end {
		next := heap.Pop(&q.pending).(event)
		q.now = next.dueAt
		next.run()
	}
	q.now = end
}

// eventHeap implements heap.Interface: the next event comes first.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].dueAt != h[j].dueAt {
		return h[i].dueAt < h[j].dueAt
	}
	return h[i].seq < h[j].seq
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface, whose elements are any.
func (h *eventHeap) Push(e any) { *h = append(*h, e.(event)) }

// Pop implements heap.Interface, whose elements are any.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}
