package controller

import (
	"sync/atomic"
	"time"
)

// storeOutageThreshold is how long all requests to the store must fail before the store counts as unavailable.
const storeOutageThreshold = 2 * time.Second

// storeHealth derives from the results of requests whether the store is available. It is safe for concurrent use.
type storeHealth struct {
	startTime      time.Time
	failingSinceNs atomic.Int64 // from startTime to the first consecutive failure; 0 if the last request succeeded
}

func newStoreHealth() *storeHealth { return &storeHealth{startTime: time.Now()} }

// record records whether the store answered a request.
func (h *storeHealth) record(answered bool) {
	if answered {
		h.failingSinceNs.Store(0)
		return
	}
	h.failingSinceNs.CompareAndSwap(0, int64(time.Since(h.startTime))+1)
}

// available returns false if every request to the store has failed for storeOutageThreshold.
func (h *storeHealth) available() bool {
	since := time.Duration(h.failingSinceNs.Load())
	return since == 0 || time.Since(h.startTime)-since < storeOutageThreshold
}
