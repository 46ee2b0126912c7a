package pausedetect

import (
	"slices"
	"testing"

	"swiftledge/internal/clock"
)

func TestWatch(t *testing.T) {
	var w Detector
	for _, now := range []clock.Micros{5 * clock.Second, 6 * clock.Second, 6*clock.Second + Threshold - 1} {
		if _, paused := w.Observe(now); paused {
			t.Errorf("a pause at %v", now)
		}
	}
	began, paused := w.Observe(20 * clock.Second)
	if !paused || began != 6*clock.Second+Threshold-1 {
		t.Errorf("pause from %v, %v", began, paused)
	}
	if w.ExcludePause(8*clock.Second) != 20*clock.Second || w.ExcludePause(21*clock.Second) != 21*clock.Second {
		t.Error("silence is counted from before the end of the pause")
	}
}

// What two actors notice is one pause.
func TestRecorder(t *testing.T) {
	var r Recorder
	if !r.Add(Pause{Began: 10, Ended: 40, Expired: []string{"grant of block 1"}}) {
		t.Error("not the first word")
	}
	if r.Add(Pause{Began: 12, Ended: 45, Expired: []string{"authority"}}) {
		t.Error("a second pause")
	}
	p := r.Close()
	if p.Length() != 35 || !slices.Equal(p.Expired, []string{"authority", "grant of block 1"}) {
		t.Errorf("%+v", p)
	}
	if last, n := r.Last(); n != 1 || last.Ended != 45 {
		t.Errorf("%d pauses, the last %+v", n, last)
	}
	if r.Close().Length() != 0 {
		t.Error("a pause closed twice")
	}
}
