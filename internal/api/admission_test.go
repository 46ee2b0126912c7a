package api

import (
	"sync"
	"testing"
)

// When a controller is behind, hundreds of heartbeats are ready at once. After every few of them
// others get their turn: users, probes, and the answers that renew the leader's lease.
func TestHeartbeatsAreAdmittedInBatches(t *testing.T) {
	const heartbeats = 5*admissionBatch + 3
	admission := newHeartbeatAdmission()
	var waiting []chan struct{}
	for range heartbeats {
		turn := make(chan struct{}, 1)
		waiting = append(waiting, turn)
		admission.arrivals <- turn
	}
	isAdmitted := func(i int) bool { return len(waiting[i]) > 0 }
	pauses := 0
	admission.pause = func() {
		pauses++
		for i := range waiting {
			if want := i < pauses*admissionBatch; isAdmitted(i) != want {
				t.Errorf("at pause %d heartbeat %d is admitted: %v, want %v", pauses, i, !want, want)
			}
		}
	}
	go admission.run(t.Context())
	<-waiting[heartbeats-1]
	if pauses != heartbeats/admissionBatch {
		t.Errorf("%d pauses for %d heartbeats", pauses, heartbeats)
	}
}

// Who waits is admitted in the end, however many come meanwhile.
func TestEveryHeartbeatIsAdmitted(t *testing.T) {
	admission := newHeartbeatAdmission()
	go admission.run(t.Context())
	var all sync.WaitGroup
	for range 20 * admissionBatch {
		all.Go(admission.wait)
	}
	all.Wait()
}
