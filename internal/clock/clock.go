// Package clock measures time in whole microseconds: points on the steady clock of this process, which nothing
// sets, spans, and the time of day where that leaves the process.
package clock

import "time"

// Micros is a point on the steady clock or a span, in microseconds.
type Micros int64

// Units of Micros.
const (
	Millisecond Micros = 1000
	Second      Micros = 1000 * Millisecond
	Minute      Micros = 60 * Second
)

// Clocks of two machines may drift apart by one part in driftPart while a span lasts, and driftMargin covers
// what is rounded.
const (
	driftPart   = 500
	driftMargin = Millisecond
)

// FromSeconds converts seconds to whole microseconds.
func FromSeconds(seconds float64) Micros { return Micros(seconds * float64(Second)) }

// Seconds returns the span in seconds.
func (m Micros) Seconds() float64 { return float64(m) / float64(Second) }

// Duration returns the span as the standard library counts it.
func (m Micros) Duration() time.Duration { return time.Duration(m) * time.Microsecond }

// Longer returns the span with the drift allowance added: after so long by this process's clock, at least m has
// passed by any other.
func (m Micros) Longer() Micros { return m + m/driftPart + driftMargin }

// Shorter returns the span with the drift allowance taken off: for so long by this process's clock one may rely
// on what another clock ends after m.
func (m Micros) Shorter() Micros { return m - m/driftPart - driftMargin }

// Steady is a clock that counts from its start and is never set.
type Steady struct{ start time.Time }

// NewSteady starts a steady clock.
func NewSteady() Steady { return Steady{start: time.Now()} }

// Now returns the time since the clock's start.
func (s Steady) Now() Micros { return Micros(time.Since(s.start) / time.Microsecond) }

// Wall returns the time of day, in microseconds since 1970.
func Wall() Micros { return Micros(time.Now().UnixMicro()) }
