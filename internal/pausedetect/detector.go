// Package pausedetect notices that a process was paused while its clocks went on: it was stopped and resumed, or got
// no processor time. A Detector belongs to one actor and owns when its last message came; a Recorder merges what the
// actors of a process notice of one pause, and remembers the last. The package does no I/O and reads no clock: the
// time is passed in.
package pausedetect

import "swiftledge/internal/clock"

// Threshold is the time between two messages of an actor from which it counts as paused. Ticks come several times a
// second.
const Threshold = 2 * clock.Second

// Detector notices pauses of one actor. The zero value has seen no message yet.
type Detector struct {
	lastMessage clock.Micros // when the last message was handled
	resumed     clock.Micros // when the last pause ended
}

// Observe takes in that a message is handled now. After a pause it returns when the pause began, and true.
func (d *Detector) Observe(now clock.Micros) (began clock.Micros, paused bool) {
	began = d.lastMessage
	d.lastMessage = now
	if began == 0 || now-began < Threshold {
		return 0, false
	}
	d.resumed = now
	return began, true
}

// ExcludePause returns the time from which silence since a moment may be counted: what others sent during a pause is
// only read after it.
func (d *Detector) ExcludePause(since clock.Micros) clock.Micros { return max(since, d.resumed) }
