package api

import (
	"context"
	"sync"
	"time"
)

const (
	// admissionBatch is how many heartbeats are admitted before the network is polled again.
	admissionBatch = 8
	// admissionPause is the break between two batches while more heartbeats wait. It only has to make the
	// program idle for a moment, so that the runtime polls the network.
	admissionPause = 100 * time.Microsecond
	// admissionQueue is how many heartbeats may wait without blocking on the queue itself.
	admissionQueue = 1024
)

// heartbeatAdmission is the actor that keeps heartbeats from starving all other requests: it admits them in
// small batches. Most of a controller's work is to answer heartbeats. When it falls behind, hundreds of them
// are ready at once, and users, health probes and answers of the store, lease renewals among them, would wait
// until all were answered. Between two batches these get their turn.
type heartbeatAdmission struct {
	arrivals chan chan struct{}
	pause    func()    // between two batches
	turns    sync.Pool // of channels that are free for the next heartbeat
}

func newHeartbeatAdmission() *heartbeatAdmission {
	return &heartbeatAdmission{
		arrivals: make(chan chan struct{}, admissionQueue),
		pause:    func() { time.Sleep(admissionPause) },
		turns:    sync.Pool{New: func() any { return make(chan struct{}, 1) }}, // any: as sync.Pool wants it
	}
}

// wait returns when the caller's heartbeat is admitted.
func (a *heartbeatAdmission) wait() {
	turn := a.turns.Get().(chan struct{})
	a.arrivals <- turn
	<-turn
	a.turns.Put(turn)
}

// run admits heartbeats in the order in which they came until ctx ends.
func (a *heartbeatAdmission) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case turn := <-a.arrivals:
			turn <- struct{}{}
		}
		for range min(admissionBatch-1, len(a.arrivals)) {
			turn := <-a.arrivals
			turn <- struct{}{}
		}
		if len(a.arrivals) > 0 {
			a.pause()
		}
	}
}
