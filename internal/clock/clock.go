// Package clock represents time in whole microseconds. It covers points on the process's steady (monotonic) clock,
// which is never set, durations, and the time of day for what leaves the process. It also has the wait that a context
// can end.
package clock

import "time"

// Micros is a point on the steady clock, or a duration, in microseconds.
type Micros int64

// Units of Micros.
const (
	Millisecond Micros = 1000
	Second      Micros = 1000 * Millisecond
	Minute      Micros = 60 * Second
)

// The clocks of two machines may drift apart by one part in driftPart over a duration. driftMargin covers rounding
// errors.
const (
	driftPart   = 500
	driftMargin = Millisecond
)

// FromSeconds converts seconds to whole microseconds.
func FromSeconds(seconds float64) Micros { return Micros(seconds * float64(Second)) }

// Seconds returns the duration in seconds.
func (m Micros) Seconds() float64 { return float64(m) / float64(Second) }

// Duration returns the duration as a time.Duration.
func (m Micros) Duration() time.Duration { return time.Duration(m) * time.Microsecond }

// PlusDrift returns the duration plus the drift allowance. When the returned duration has passed on this process's
// clock, at least m has passed on any other clock.
func (m Micros) PlusDrift() Micros { return m + m/driftPart + driftMargin }

// MinusDrift returns the duration minus the drift allowance. Until the returned duration has passed on this process's
// clock, less than m has passed on any other clock. So a lease that another process ends after m is still valid.
func (m Micros) MinusDrift() Micros { return m - m/driftPart - driftMargin }

// Steady is a monotonic clock that counts from its start and is never set.
type Steady struct{ start time.Time }

// NewSteady starts a steady clock.
func NewSteady() Steady { return Steady{start: time.Now()} }

// Now returns the time since the clock was started.
func (s Steady) Now() Micros { return Micros(time.Since(s.start) / time.Microsecond) }

// Wall returns the time of day in microseconds since 1970 (Unix time).
func Wall() Micros { return Micros(time.Now().UnixMicro()) }
