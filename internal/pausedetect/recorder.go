package pausedetect

import (
	"slices"
	"strings"

	"swiftledge/internal/clock"
)

// CollectionWindow is how long after the first report of a pause further reports are merged with the first report. Each
// actor detects a pause only when it handles its next message.
const CollectionWindow = clock.Second

// Pause is a period during which a process was paused.
type Pause struct {
	Start, End clock.Micros
	// Expired lists what expired during the pause, in the terms that the status shows to operators.
	Expired []string
}

// Length returns the duration of the pause.
func (p Pause) Length() clock.Micros { return p.End - p.Start }

// ExpiredText returns a human-readable list of what expired during a pause.
func ExpiredText(expired []string) string {
	if len(expired) == 0 {
		return "nothing"
	}
	return strings.Join(expired, ", ")
}

// Recorder merges the reports of a pause by the actors of a process into one pause and keeps the last merged pause.
type Recorder struct {
	openPause *Pause // the pause being collected; nil if there is none
	last      Pause
	count     int // pauses so far
}

// Add merges the report of one actor into the pause being collected. It returns whether the report starts a new pause.
func (r *Recorder) Add(p Pause) (first bool) {
	if r.openPause == nil {
		r.openPause = &p
		return true
	}
	r.openPause.Start, r.openPause.End = min(r.openPause.Start, p.Start), max(r.openPause.End, p.End)
	r.openPause.Expired = append(r.openPause.Expired, p.Expired...)
	return false
}

// Close ends the collection and returns the merged pause, or the zero Pause if no pause is being collected.
func (r *Recorder) Close() Pause {
	if r.openPause == nil {
		return Pause{}
	}
	slices.Sort(r.openPause.Expired)
	r.last, r.openPause = *r.openPause, nil
	r.count++
	return r.last
}

// Last returns the last pause and the number of pauses so far.
func (r *Recorder) Last() (last Pause, count int) { return r.last, r.count }
