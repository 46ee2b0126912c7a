package shard

import "swiftledge/internal/clock"

const (
	// lateTickThreshold is the time between two Ticks from which this controller counts as overloaded: they are sent
	// several times as often, so messages wait for longer than that to be handled.
	lateTickThreshold = 500 * clock.Millisecond
	// overloadCooldown is how long after the last late Tick the controller still counts as overloaded.
	overloadCooldown = 2 * clock.Second
)

// overloadDetector notices that this controller falls behind with its messages.
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

// isActive says whether this controller has lately fallen behind.
func (d *overloadDetector) isActive(now clock.Micros) bool {
	return d.lastLateTick > 0 && now-d.lastLateTick < overloadCooldown
}
