// Package clock measures time in whole microseconds.
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

// FromSeconds turns seconds into whole microseconds.
func FromSeconds(s float64) Micros { return Micros(s * float64(Second)) }

// Seconds is the span in seconds.
func (m Micros) Seconds() float64 { return float64(m) / float64(Second) }

// Duration is the span as the standard library counts it.
func (m Micros) Duration() time.Duration { return time.Duration(m) * time.Microsecond }

// Longer is the span with the drift allowance added: how long a wait must be by
// our clock so that by any other clock at least m has passed.
func (m Micros) Longer() Micros { return m + m/500 + Millisecond }

// Shorter is the span with the drift allowance taken off: how long we may rely
// on something that another clock ends after m.
func (m Micros) Shorter() Micros { return m - m/500 - Millisecond }

// Steady reads the steady clock since the process began.
type Steady struct{ start time.Time }

// NewSteady starts a steady clock.
func NewSteady() Steady { return Steady{start: time.Now()} }

// Now is the steady time.
func (s Steady) Now() Micros { return Micros(time.Since(s.start) / time.Microsecond) }

// Wall is the time of day in microseconds since 1970.
func Wall() Micros { return Micros(time.Now().UnixMicro()) }
