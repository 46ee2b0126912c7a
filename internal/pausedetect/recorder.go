package pausedetect

import (
	"slices"
	"strings"

	"swiftledge/internal/clock"
)

// CollectionTime is how long after the first report of a pause further ones belong to it: each actor notices a pause
// with its next message.
const CollectionTime = clock.Second

// Pause is a time in which a process was paused.
type Pause struct {
	Began, Ended clock.Micros
	// Expired names what expired meanwhile, in the words of the status.
	Expired []string
}

// Length returns how long the pause was.
func (p Pause) Length() clock.Micros { return p.Ended - p.Began }

// ExpiredText returns what expired in a pause, for a person.
func ExpiredText(expired []string) string {
	if len(expired) == 0 {
		return "nothing"
	}
	return strings.Join(expired, ", ")
}

// Recorder makes one pause of what the actors of a process notice of it, and remembers the last one.
type Recorder struct {
	open  *Pause
	last  Pause
	count int
}

// Add takes in what one actor noticed, and returns whether a pause begins with it.
func (r *Recorder) Add(p Pause) (first bool) {
	if r.open == nil {
		r.open = &p
		return true
	}
	r.open.Began, r.open.Ended = min(r.open.Began, p.Began), max(r.open.Ended, p.Ended)
	r.open.Expired = append(r.open.Expired, p.Expired...)
	return false
}

// Close ends the collection and returns the whole pause; the zero Pause if there was none.
func (r *Recorder) Close() Pause {
	if r.open == nil {
		return Pause{}
	}
	slices.Sort(r.open.Expired)
	r.last, r.open = *r.open, nil
	r.count++
	return r.last
}

// Last returns the last pause and how many there were.
func (r *Recorder) Last() (last Pause, count int) { return r.last, r.count }
