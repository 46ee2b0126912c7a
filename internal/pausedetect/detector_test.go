package pausedetect

import (
	"testing"

	"swiftledge/internal/clock"
)

func TestDetector(t *testing.T) {
	const pauseStart = 6*clock.Second + Threshold - 1
	var d Detector
	for _, now := range []clock.Micros{5 * clock.Second, 6 * clock.Second, pauseStart} {
		if _, paused := d.Observe(now); paused {
			t.Errorf("pause detected at %v, want none", now)
		}
	}
	detectedStart, paused := d.Observe(20 * clock.Second)
	if !paused || detectedStart != pauseStart {
		t.Errorf("pause detected: %v, from %v; want true, from %v", paused, detectedStart, pauseStart)
	}
	for since, want := range map[clock.Micros]clock.Micros{
		8 * clock.Second:  20 * clock.Second, // counted from the end of the pause
		21 * clock.Second: 21 * clock.Second,
	} {
		if got := d.ExcludePause(since); got != want {
			t.Errorf("silence since %v counted from %v, want %v", since, got, want)
		}
	}
}
