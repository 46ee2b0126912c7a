package config

import (
	"fmt"

	"swiftledge/internal/clock"
)

const (
	// cancelMargin covers clock drift (0.05% of each of the three periods of GrantTime) and agents that check
	// their lease only periodically.
	cancelMargin = clock.Second
	// minGrantTime is the shortest useful duration of a shard lease, which is renewed every second.
	minGrantTime = 2 * clock.Second
	// priorVersionMarginS is the part of cancel_s, besides lease_s, that the version in production does not use
	// for a grant, regardless of the election's TTL.
	priorVersionMarginS = 4.0
	// priorVersionMinGrantS is the shortest grant of the version in production.
	priorVersionMinGrantS = 2.0
)

// GrantTime returns how long a shard is granted to its holder: the operators' value, limited by the time that a
// cancellation may take. After any controller has confirmed a cancellation, three periods may follow one another:
//
//   - for MaxViewAge, a leader that has not seen the cancellation may renew grants,
//   - for GrantTime, a holder may answer heartbeats under the grant that was last renewed,
//   - for AgentLeaseTime, a task keeps running after its agent sent the last heartbeat that was answered.
//
// Together these periods end cancelMargin before cancel_s has passed.
func (c *Config) GrantTime() clock.Micros {
	return min(clock.FromSeconds(c.Tuning.Grants.DurationS), c.maxGrantTime())
}

// maxGrantTime returns the part of cancel_s that is left for a grant.
func (c *Config) maxGrantTime() clock.Micros {
	return clock.FromSeconds(c.Facts.Workers.CancelS) - c.AgentLeaseTime() - c.MaxViewAge() - cancelMargin
}

// LongestGrantTime returns the longest time that a grant may last at a holder of this version or of the version in
// production. The shard of a silent holder may go to another holder only after that time.
func (c *Config) LongestGrantTime() clock.Micros {
	workers := c.Facts.Workers
	priorGrantS := max(priorVersionMinGrantS, workers.CancelS-workers.LeaseS-priorVersionMarginS)
	return max(c.GrantTime(), clock.FromSeconds(min(c.Tuning.Grants.DurationS, priorGrantS)))
}

// MaxViewAge returns the maximum age of the leader's view of the jobs at which the leader may still act on the view.
// The maximum age equals the time that leadership lasts without a renewal, so the same bound holds whether the leader
// lost the store or only the watch.
func (c *Config) MaxViewAge() clock.Micros { return clock.FromSeconds(c.Tuning.Election.TTLS) }

// AgentLeaseTime returns how long an agent's lease lasts after the agent sent the last heartbeat that was answered.
func (c *Config) AgentLeaseTime() clock.Micros { return clock.FromSeconds(c.Facts.Workers.LeaseS) }

// checkGrantTime returns an error if even the shortest grant is too long for cancellations to finish in time.
func (c *Config) checkGrantTime() error {
	available := c.maxGrantTime()
	if available >= minGrantTime {
		return nil
	}
	const format = "workers.cancel_s %g leaves %.1f s for a grant, after workers.lease_s %g and election.ttl_s %g; " +
		"at least %g s are needed"
	workers := c.Facts.Workers
	ttl := c.Tuning.Election.TTLS
	return fmt.Errorf(format, workers.CancelS, available.Seconds(), workers.LeaseS, ttl, minGrantTime.Seconds())
}
