package api

import (
	"context"
	"sync"
	"time"
)

const (
	// admissionBatch is how many reports are admitted before the network is looked at again.
	admissionBatch = 8
	// admissionPause is the break between two batches while more reports wait. It only has to
	// make the program idle for a moment, so that the runtime polls the network.
	admissionPause = 100 * time.Microsecond
	// admissionQueue is how many reports may wait without blocking on the queue itself.
	admissionQueue = 1024
)

// admission is the actor that lets workers' reports in by small batches. Most of a controller's
// work is to answer reports. When it falls behind, hundreds of them are ready at once, and users,
// health probes and answers of the state service, lease renewals among them, would wait until
// all were answered. Between two batches these get their turn.
type admission struct {
	arrivals chan chan struct{}
	pause    func()    // between two batches
	turns    sync.Pool // of channels that have told their report's turn
}

func newAdmission() *admission {
	return &admission{
		arrivals: make(chan chan struct{}, admissionQueue),
		pause:    func() { time.Sleep(admissionPause) },
		turns:    sync.Pool{New: func() any { return make(chan struct{}, 1) }},
	}
}

// wait returns when the caller's report is admitted.
func (a *admission) wait() {
	turn := a.turns.Get().(chan struct{})
	a.arrivals <- turn
	<-turn
	a.turns.Put(turn)
}

// run admits reports in the order in which they came until ctx ends.
func (a *admission) run(ctx context.Context) {
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
