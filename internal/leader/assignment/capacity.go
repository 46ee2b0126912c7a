package assignment

import "swiftledge/internal/clock"

const (
	// heartbeatCoreSeconds is what one heartbeat a second takes of a core, with all that follows from it: 600 machines
	// with a heartbeat every 3 s take three controllers 0.022 of a core, 0.00011 for each heartbeat. What is more is
	// left for the leader's work besides.
	heartbeatCoreSeconds = 0.00015
	// takeoverCoreSeconds is what it takes of a core-second to take over one machine: its agent connects, sends a
	// heartbeat, learns the new fencing token, sends another, and is told of its tasks.
	takeoverCoreSeconds = 0.0003
	// takeoversPerLease bounds how many shards a controller takes over within the lease of an agent.
	takeoversPerLease = 16
)

// Capacity is what controllers are able to do.
type Capacity struct {
	Controllers int          // of the site, in touch or not
	CPU         float64      // of one controller, as a share of a core
	HeartbeatS  float64      // seconds between two heartbeats of an agent
	AgentLease  clock.Micros // how long an agent goes on without an answer
	Machines    int
}

// MaxShards is how many of the shards one controller takes at once while others are out of touch: it must be able to
// answer the agents of all. More would make it late with every answer, so that the agents of its own shards would
// lose their leases, too.
func (c Capacity) MaxShards(shards int) int {
	size := max(c.Controllers, 1)
	share := (shards+size-1)/size + max(1, shards/6)
	return max(share, c.serviceableShards(shards))
}

// serviceableShards is of how many of the shards one controller can answer all agents.
func (c Capacity) serviceableShards(shards int) int {
	able := c.CPU / heartbeatCoreSeconds * c.HeartbeatS / max(1, float64(c.Machines)) * float64(shards)
	return int(min(able, float64(shards)))
}

// takeoverTime is how long a controller is busy with the agents of a shard that it takes over. Several shards at once
// would make it late with every answer and cost a leader its lease.
func (c Capacity) takeoverTime(shards int) clock.Micros {
	machines := float64(c.Machines) / float64(shards)
	busy := machines * takeoverCoreSeconds / c.CPU
	return clock.FromSeconds(min(busy, c.AgentLease.Seconds()/takeoversPerLease))
}

// reassignDelay is how long shards beyond MaxShards wait for a holder to come back: the last answers of the former
// one hold the leases of its agents for longer.
func (c Capacity) reassignDelay() clock.Micros {
	if c.Controllers <= 1 {
		return 0
	}
	return c.AgentLease * 9 / 10
}
