package scenario

import (
	"container/heap"

	"swiftledge/internal/clock"
)

type event struct {
	at  clock.Micros
	seq int
	f   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

func (w *world) after(d clock.Micros, f func()) {
	w.seq++
	heap.Push(&w.events, event{w.now + d, w.seq, f})
}

// lat is the delay of one message.
func (w *world) lat() clock.Micros { return clock.Millisecond + clock.Micros(w.rng.IntN(2000)) }
