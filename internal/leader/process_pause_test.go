package leader

import (
	"slices"
	"testing"

	"swiftledge/internal/clock"
)

// After a process pause, a leader that still leads has the messages of the other controllers in its queue. The leader
// must not treat any controller as disconnected, or all shards would change holders.
func TestProcessPauseDisconnectsNoController(t *testing.T) {
	l := newLeader(t)
	resumed := startTime + controllerTimeout + clock.Second
	l.Step(startTime+clock.Second/2, Tick{})
	l.jobsViewedAt, l.authorityEnds = resumed, resumed+clock.Second
	effects := l.Step(resumed, Tick{})
	if l.shards.controllers["n0"] == nil {
		t.Error("controller n0 counted as disconnected because of the leader's own pause")
	}
	if !slices.ContainsFunc(effects, func(e Effect) bool { _, ok := e.(PauseDetected); return ok }) {
		t.Error("process pause was not detected")
	}
	for at := resumed; at < resumed+2*controllerTimeout; at += clock.Second / 2 {
		l.authorityEnds = at + clock.Second
		l.Step(at, Tick{})
	}
	if l.shards.controllers["n0"] != nil {
		t.Error("controller n0 still counted as connected although it sent nothing after the pause")
	}
}

// A detected process pause reports what expired during it.
func TestProcessPauseReportsWhatExpired(t *testing.T) {
	l := newLeader(t)
	l.Step(startTime+clock.Second, Tick{})
	l.authorityEnds = startTime + 3*clock.Second
	for _, e := range l.Step(startTime+10*clock.Second, Tick{}) {
		if p, ok := e.(PauseDetected); ok {
			if want := []string{"authority of epoch 5", "view of the jobs"}; !slices.Equal(p.Pause.Expired, want) {
				t.Errorf("pause reported %v as expired, want %v", p.Pause.Expired, want)
			}
			return
		}
	}
	t.Error("process pause was not detected")
}
