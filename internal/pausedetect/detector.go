// Package pausedetect detects that a process was paused while its clocks continued, because it was stopped and resumed
// or got no processor time. A Detector detects the pauses of one actor from the times of its messages. A Recorder
// merges the detections of one pause by the actors of a process and keeps the last pause. The package does no I/O and
// reads no clock: the time is passed in.
package pausedetect

import "swiftledge/internal/clock"

// Threshold is the time between two messages of an actor from which on the actor counts as paused. Without a pause, the
// actor gets several Ticks per second.
const Threshold = 2 * clock.Second

// Detector detects pauses of one actor. The zero value is ready for the first message.
type Detector struct {
	lastMessageAt clock.Micros // when the last message was handled
	lastPauseEnd  clock.Micros // when the last pause ended
}

// Observe records that a message is handled now. After a pause it returns the start of the pause and true.
func (d *Detector) Observe(now clock.Micros) (pauseStart clock.Micros, paused bool) {
	pauseStart = d.lastMessageAt
	d.lastMessageAt = now
	if pauseStart == 0 || now-pauseStart < Threshold {
		return 0, false
	}
	d.lastPauseEnd = now
	return pauseStart, true
}

// ExcludePause returns the time from which silence since a given time is to be counted. The returned time is not before
// the end of the last pause, because messages that were sent during a pause are read only after the pause.
func (d *Detector) ExcludePause(since clock.Micros) clock.Micros { return max(since, d.lastPauseEnd) }
