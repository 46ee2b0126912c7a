package jobs

import "math/bits"

// wordBits is the number of tasks in one word of waitingTasks.
const wordBits = 64

// waitingTasks is the set of a job's waiting tasks, ordered by index.
type waitingTasks struct {
	words []uint64
	count int
	head  int // lower bound: no task with a lower index waits
}

func newWaitingTasks(tasks int) waitingTasks {
	return waitingTasks{words: make([]uint64, (tasks+wordBits-1)/wordBits)}
}

func (w *waitingTasks) has(task int) bool { return w.words[task/wordBits]&(1<<(task%wordBits)) != 0 }

func (w *waitingTasks) add(task int) {
	if w.has(task) {
		return
	}
	w.words[task/wordBits] |= 1 << (task % wordBits)
	w.count++
	w.head = min(w.head, task)
}

func (w *waitingTasks) remove(task int) {
	if !w.has(task) {
		return
	}
	w.words[task/wordBits] &^= 1 << (task % wordBits)
	w.count--
}

// first returns the waiting task with the lowest index, or -1 if the set is empty.
func (w *waitingTasks) first() int {
	for i := w.head / wordBits; i < len(w.words); i++ {
		if w.words[i] != 0 {
			return i*wordBits + bits.TrailingZeros64(w.words[i])
		}
	}
	return -1
}

// popFirst removes the waiting task with the lowest index and returns it, or -1 if the set is empty.
func (w *waitingTasks) popFirst() int {
	task := w.first()
	if task >= 0 {
		w.remove(task)
		w.head = task + 1
	}
	return task
}
