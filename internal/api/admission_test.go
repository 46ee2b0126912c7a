package api

import (
	"sync"
	"testing"
)

// When a controller falls behind, hundreds of heartbeats are ready at once. After every batch of heartbeats, other
// requests must be served: users' requests, health probes, and the answers that renew the leader's lease.
func TestHeartbeatsAreAdmittedInBatches(t *testing.T) {
	const heartbeats = 5*admissionBatchSize + 3
	admission := newHeartbeatAdmission()
	var admitted []chan struct{}
	for range heartbeats {
		channel := make(chan struct{}, 1)
		admitted = append(admitted, channel)
		admission.arrivals <- channel
	}
	isAdmitted := func(i int) bool { return len(admitted[i]) > 0 }
	pauses := 0
	admission.pause = func() {
		pauses++
		for i := range admitted {
			if want := i < pauses*admissionBatchSize; isAdmitted(i) != want {
				t.Errorf("pause %d: heartbeat %d admitted: %v, want %v", pauses, i, !want, want)
			}
		}
	}
	go admission.run(t.Context())
	<-admitted[heartbeats-1]
	if pauses != heartbeats/admissionBatchSize {
		t.Errorf("%d pauses for %d heartbeats, want one after each full batch", pauses, heartbeats)
	}
}

// Every heartbeat is admitted eventually, even when many arrive at the same time.
func TestEveryHeartbeatIsAdmitted(t *testing.T) {
	admission := newHeartbeatAdmission()
	go admission.run(t.Context())
	var waiting sync.WaitGroup
	for range 20 * admissionBatchSize {
		waiting.Go(admission.wait)
	}
	waiting.Wait()
}
