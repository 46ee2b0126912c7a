package shard

import "swiftledge/internal/clock"

const (
	// lateTickThreshold is the time between two Ticks above which this controller counts as overloaded. Ticks are sent
	// twice as often, so a late Tick means that messages wait too long to be handled.
	lateTickThreshold = 500 * clock.Millisecond
	// overloadCooldown is how long the controller still counts as overloaded after the last late Tick.
	overloadCooldown = 2 * clock.Second
)

// overloadDetector detects that this controller falls behind in handling its messages.
type overloadDetector struct {
	lastTick     clock.Micros
	lastLateTick clock.Micros
}

func (d *overloadDetector) observeTick(now clock.Micros) {
	if d.lastTick > 0 && now-d.lastTick > lateTickThreshold {
		d.lastLateTick = now
	}
	d.lastTick = now
}

// isActive reports whether this controller has recently fallen behind.
func (d *overloadDetector) isActive(now clock.Micros) bool {
	return d.lastLateTick > 0 && now-d.lastLateTick < overloadCooldown
}
