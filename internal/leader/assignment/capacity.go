package assignment

import "swiftledge/internal/clock"

const (
	// heartbeatCoreSeconds is the processor time that one heartbeat and its handling take. 600 machines with a
	// heartbeat every 3 s take 0.022 of a core on three controllers, 0.00011 core-seconds for each heartbeat. The
	// constant is higher to leave capacity for the leader's other work.
	heartbeatCoreSeconds = 0.00015
	// takeoverCoreSeconds is the processor time to take over one machine: its agent connects, sends a heartbeat,
	// receives the new fencing token, sends another heartbeat, and receives its commands.
	takeoverCoreSeconds = 0.0003
	// takeoversPerLease is the number of shards that every controller may take over within one agent lease, however
	// small its processor share.
	takeoversPerLease = 16
)

// Capacity is the figures that determine how many shards one controller can hold.
type Capacity struct {
	Controllers int          // number of controllers of the site, connected or not
	CPU         float64      // processor time of one controller, as a share of a core
	HeartbeatS  float64      // heartbeat interval of an agent in seconds
	AgentLease  clock.Micros // how long an agent keeps its tasks running without an answer to its heartbeats
	Machines    int          // number of machines of the site
}

// MaxShards returns how many of the given number of shards one controller takes while others are disconnected. The
// controller must be able to answer the agents of all its shards. With more shards every answer would be late, and the
// agents of the controller's original shards would lose their leases, too.
func (c Capacity) MaxShards(shards int) int {
	controllers := max(c.Controllers, 1)
	share := (shards+controllers-1)/controllers + max(1, shards/6)
	return max(share, c.maxServableShards(shards))
}

// maxServableShards returns the number of shards, out of the given number, whose agents one controller can all answer
// in time.
func (c Capacity) maxServableShards(shards int) int {
	serviceable := c.CPU / heartbeatCoreSeconds * c.HeartbeatS / max(1, float64(c.Machines)) * float64(shards)
	return int(min(serviceable, float64(shards)))
}

// takeoverTime returns how long a controller is busy with the agents of a shard that it takes over, if the machines are
// distributed over the given number of shards. Taking over several shards at once would delay every answer and cost a
// leader its lease.
func (c Capacity) takeoverTime(shards int) clock.Micros {
	machines := float64(c.Machines) / float64(shards)
	busy := machines * takeoverCoreSeconds / c.CPU
	return clock.FromSeconds(min(busy, c.AgentLease.Seconds()/takeoversPerLease))
}

// reassignDelay returns how long shards beyond MaxShards wait for their former holder to reconnect. The former holder's
// last answers keep the leases of its agents valid for longer than this delay.
func (c Capacity) reassignDelay() clock.Micros {
	if c.Controllers <= 1 {
		return 0
	}
	return c.AgentLease * 9 / 10
}
