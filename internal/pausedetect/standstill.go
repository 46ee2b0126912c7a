// Package pausedetect notices that a process stood still while its clocks went on: it was stopped and resumed, or
// got no processor time. It holds no I/O; the time is passed in.
package pausedetect

import (
	"slices"
	"strings"

	"swiftledge/internal/clock"
)

// Threshold is the time between two messages of an actor from which it counts as having stood still. Ticks come
// several times a second.
const Threshold = 2 * clock.Second

// Detector notices pauses of one actor. The zero value has seen nothing yet.
type Detector struct {
	last    clock.Micros // when the last message was handled
	resumed clock.Micros // when the last pause ended
}

// Observe takes in that a message is handled now. After a pause it gives when the pause began, and true.
func (w *Detector) Observe(now clock.Micros) (began clock.Micros, paused bool) {
	began = w.last
	w.last = now
	if began == 0 || now-began < Threshold {
		return 0, false
	}
	w.resumed = now
	return began, true
}

// ExcludePause is the time from which silence since a moment may be counted: what others sent during a pause is only
// read after it.
func (w *Detector) ExcludePause(since clock.Micros) clock.Micros { return max(since, w.resumed) }

// Pause is a time in which a controller stood still.
type Pause struct {
	Began, Ended clock.Micros
	Expired      []string // what ran out meanwhile
}

// ExpiredText is what ran out in a pause, for a person.
func ExpiredText(expired []string) string {
	if len(expired) == 0 {
		return "nothing"
	}
	return strings.Join(expired, ", ")
}

// Length is how long the pause was.
func (p Pause) Length() clock.Micros { return p.Ended - p.Began }

// GatherTime is how long after a pause its parts are gathered: each actor notices it with its next message.
const GatherTime = clock.Second

// Recorder makes one pause of what the actors of a process notice of it, and remembers the last one.
type Recorder struct {
	open  *Pause
	last  Pause
	count int
}

// Add takes in what one actor noticed. It says whether this is the first word of the pause.
func (r *Recorder) Add(p Pause) (first bool) {
	if r.open == nil {
		r.open = &p
		return true
	}
	r.open.Began, r.open.Ended = min(r.open.Began, p.Began), max(r.open.Ended, p.Ended)
	r.open.Expired = append(r.open.Expired, p.Expired...)
	return false
}

// Close ends the gathering and gives the whole pause.
func (r *Recorder) Close() Pause {
	if r.open == nil {
		return Pause{}
	}
	slices.Sort(r.open.Expired)
	r.last, r.open = *r.open, nil
	r.count++
	return r.last
}

// Last gives the last pause and how many there were.
func (r *Recorder) Last() (Pause, int) { return r.last, r.count }
