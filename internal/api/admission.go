package api

import (
	"context"
	"sync"
	"time"
)

const (
	// admissionBatchSize is the number of heartbeats that are admitted before the runtime polls the network again.
	admissionBatchSize = 8
	// admissionPause is the pause between two batches while more heartbeats wait. The pause only has to make the
	// process idle for a moment, so that the runtime polls the network.
	admissionPause = 100 * time.Microsecond
	// admissionQueueSize is the number of heartbeats that can be queued before senders block on the queue itself.
	admissionQueueSize = 1024
)

// heartbeatAdmission is the actor that prevents heartbeats from starving all other requests: it admits them in small
// batches. Answering heartbeats is most of a controller's work. When the controller falls behind, hundreds of
// heartbeats are ready at once. Without batches, users' requests, health probes and the store's answers, which include
// those to lease renewals, would wait until all heartbeats are answered. With batches, they are served between two
// batches.
type heartbeatAdmission struct {
	arrivals    chan chan struct{}
	pause       func()    // called between two batches
	channelPool sync.Pool // channels for reuse by later heartbeats
}

func newHeartbeatAdmission() *heartbeatAdmission {
	return &heartbeatAdmission{
		arrivals:    make(chan chan struct{}, admissionQueueSize),
		pause:       func() { time.Sleep(admissionPause) },
		channelPool: sync.Pool{New: func() any { return make(chan struct{}, 1) }}, // any: required by sync.Pool
	}
}

// wait blocks until the caller's heartbeat is admitted.
func (a *heartbeatAdmission) wait() {
	admitted := a.channelPool.Get().(chan struct{})
	a.arrivals <- admitted
	<-admitted
	a.channelPool.Put(admitted)
}

// run admits heartbeats in order of arrival until ctx ends.
func (a *heartbeatAdmission) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case admitted := <-a.arrivals:
			admitted <- struct{}{}
		}
		for range min(admissionBatchSize-1, len(a.arrivals)) {
			admitted := <-a.arrivals
			admitted <- struct{}{}
		}
		if len(a.arrivals) > 0 {
			a.pause()
		}
	}
}
