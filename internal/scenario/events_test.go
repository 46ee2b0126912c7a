package scenario

import (
	"container/heap"

	"swiftledge/internal/clock"
)

// event is a function to run at a moment of simulated time.
type event struct {
	dueAt clock.Micros
	seq   int // orders events of the same moment by when they were scheduled
	run   func()
}

// eventQueue holds the simulated time and runs the scheduled events in order.
type eventQueue struct {
	now     clock.Micros
	seq     int
	pending eventHeap
}

// after schedules an event after a delay.
func (q *eventQueue) after(delay clock.Micros, run func()) {
	q.seq++
	heap.Push(&q.pending, event{q.now + delay, q.seq, run})
}

// run advances the simulated time by a duration and runs all events that are due.
func (q *eventQueue) run(duration clock.Micros) {
	end := q.now + duration
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

// Push implements heap.Interface, whose elements have type any.
func (h *eventHeap) Push(e any) { *h = append(*h, e.(event)) }

// Pop implements heap.Interface, whose elements have type any.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}
