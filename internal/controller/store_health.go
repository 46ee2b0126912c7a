package controller

import (
	"sync/atomic"
	"time"
)

// storeOutage is for how long the store may fail without a break before it counts as unavailable.
const storeOutage = 2 * time.Second

// storeHealth tells from the answers of the store whether it is available. Any goroutine may use it.
type storeHealth struct {
	start       time.Time
	failedSince atomic.Int64 // nanoseconds from start to the first failure of a row; 0: the last answer was good
}

func newStoreHealth() *storeHealth { return &storeHealth{start: time.Now()} }

// record takes in whether the store answered a request.
func (h *storeHealth) record(answered bool) {
	if answered {
		h.failedSince.Store(0)
		return
	}
	h.failedSince.CompareAndSwap(0, int64(time.Since(h.start))+1)
}

// available returns false after a while in which every request to the store has failed.
func (h *storeHealth) available() bool {
	since := time.Duration(h.failedSince.Load())
	return since == 0 || time.Since(h.start)-since < storeOutage
}
