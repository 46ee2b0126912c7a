package leader

import (
	"slices"

	"swiftledge/internal/clock"
	"swiftledge/internal/leader/assignment"
)

const (
	// controllerTimeout is how long a controller may send nothing before it counts as disconnected.
	// controllerTimeoutViaStore is the same for a controller that is reached only through the store.
	controllerTimeout         = 4 * clock.Second
	controllerTimeoutViaStore = 12 * clock.Second
	// connectGrace is how long a new leader waits for the other controllers to connect, so that shards keep their
	// holders.
	connectGrace = 1200 * clock.Millisecond
)

// assignShards assigns holders to shards without one, balances the shards over the controllers, and writes the keys of
// the shards whose holder changes.
func (l *Leader) assignShards(now clock.Micros) {
	l.dropSilentControllers(now)
	connected := len(l.shards.controllers)
	if connected == 0 || connected < l.cfg.Facts.InitialSize && now-l.startedAt < connectGrace {
		return
	}
	changed := l.shards.assign(assignment.Round{Now: now, Leader: l.self, Capacity: l.controllerCapacity()})
	for leases := range slices.Chunk(changed, max(l.txnOps, 1)) {
		l.writeShardKeys(leases)
	}
}

// controllerCapacity describes the capacity of the site's controllers and the load on them.
func (l *Leader) controllerCapacity() assignment.Capacity {
	facts := &l.cfg.Facts
	return assignment.Capacity{Controllers: facts.InitialSize, CPU: facts.Quota.CPU, HeartbeatS: facts.Workers.ReportS,
		AgentLease: l.cfg.AgentLeaseTime(), Machines: len(l.inventory.machines)}
}

// dropSilentControllers removes controllers that have sent nothing for too long.
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
