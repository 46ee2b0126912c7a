package controller

import (
	"sync/atomic"
	"time"
)

// health remembers how long the state service has failed us without a break.
type health struct {
	start time.Time
	since atomic.Int64 // nanoseconds after start of the first failure; 0: served
}

func newHealth() *health { return &health{start: time.Now()} }

func (h *health) note(ok bool) {
	if ok {
		h.since.Store(0)
	} else {
		h.since.CompareAndSwap(0, int64(time.Since(h.start))+1)
	}
}

// ok is false after two seconds of failures and nothing else.
func (h *health) ok() bool {
	s := h.since.Load()
	return s == 0 || time.Since(h.start)-time.Duration(s) < 2*time.Second
}
