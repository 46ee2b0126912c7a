package leader

import (
	"slices"

	"swiftledge/internal/clock"
	"swiftledge/internal/leader/assignment"
)

const (
	// controllerTimeout is how long a controller may send nothing before it counts as gone, and
	// controllerTimeoutViaStore the same for one that is connected through the store.
	controllerTimeout         = 4 * clock.Second
	controllerTimeoutViaStore = 12 * clock.Second
	// connectGrace is how long a new leader waits for the other controllers, so that shards stay
	// where they are.
	connectGrace = 1200 * clock.Millisecond
)

// assignShards finds holders for shards that have none, evens out, and has the keys of those that move written.
func (l *Leader) assignShards(now clock.Micros) {
	l.dropSilentControllers(now)
	connected := len(l.shards.controllers)
	if connected == 0 || connected < l.cfg.Facts.InitialSize && now-l.startedAt < connectGrace {
		return
	}
	changed := l.shards.assign(assignment.Round{Now: now, Leader: l.self, Capacity: l.controllerCapacity()})
	for part := range slices.Chunk(changed, max(l.txnOps, 1)) {
		l.writeShardKeys(part)
	}
}

// controllerCapacity is what the controllers of the site are able to do.
func (l *Leader) controllerCapacity() assignment.Capacity {
	facts := &l.cfg.Facts
	return assignment.Capacity{Controllers: facts.InitialSize, CPU: facts.Quota.CPU, HeartbeatS: facts.Workers.ReportS,
		AgentLease: l.cfg.AgentLeaseTime(), Machines: len(l.inventory.machines)}
}

// dropSilentControllers forgets controllers that have sent nothing for too long.
func (l *Leader) dropSilentControllers(now clock.Micros) {
	for _, c := range l.shards.controllers {
		timeout := controllerTimeout
		if c.ViaStore {
			timeout = controllerTimeoutViaStore
		}
		if now-l.pauses.ExcludePause(c.lastHeartbeat) > timeout {
			delete(l.shards.controllers, c.Name)
		}
	}
}
