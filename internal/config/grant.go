package config

import (
	"fmt"

	"swiftledge/internal/clock"
)

const (
	// cancelMargin is for drift (0.05% of each of the three times), and for a worker that looks at its lease
	// only now and then.
	cancelMargin = clock.Second
	// minGrantTime is the shortest time that is worth having for a shard lease: it is renewed every second.
	minGrantTime = 2 * clock.Second
	// priorVersionMargin is what the version in production leaves of a cancellation's time, whatever the
	// election's TTL.
	priorVersionMargin = 4.0
	// priorVersionMinGrant is the shortest grant of that version, in seconds.
	priorVersionMinGrant = 2.0
)

// GrantTime is how long a shard is granted to its holder: the operators' value, but no longer than the time
// for a cancellation allows. From the confirmation of a cancellation, by whichever controller, on
//
//   - for MaxViewAge a leader that has not seen it may renew grants,
//   - for GrantTime a holder may answer heartbeats under what was renewed,
//   - for AgentLeaseTime a task goes on after its agent's last answered heartbeat was sent,
//
// and all of it ends cancelMargin before cancel_s is over.
func (c *Config) GrantTime() clock.Micros {
	return min(clock.FromSeconds(c.Tuning.Grants.TimeS), c.maxGrantTime())
}

// maxGrantTime is what the time for a cancellation leaves for a grant.
func (c *Config) maxGrantTime() clock.Micros {
	return clock.FromSeconds(c.Facts.Workers.CancelS) - c.AgentLeaseTime() - c.MaxViewAge() - cancelMargin
}

// LongestGrantTime is how long a grant may last with a holder of this version or the one in production: a silent
// holder's shard may go to another only after it.
func (c *Config) LongestGrantTime() clock.Micros {
	workers := c.Facts.Workers
	priorGrant := max(priorVersionMinGrant, workers.CancelS-workers.LeaseS-priorVersionMargin)
	return max(c.GrantTime(), clock.FromSeconds(min(c.Tuning.Grants.TimeS, priorGrant)))
}

// MaxViewAge is how old the leader's view of the jobs may be for it to act on it. It is as long as its
// leadership lasts without a renewal, so that one bound holds whether it lost the store or only the watch.
func (c *Config) MaxViewAge() clock.Micros { return clock.FromSeconds(c.Tuning.Election.TTLS) }

// AgentLeaseTime is how long an agent's lease lasts after its last answered heartbeat was sent.
func (c *Config) AgentLeaseTime() clock.Micros { return clock.FromSeconds(c.Facts.Workers.LeaseS) }

// checkGrantTime returns an error if no grant is short enough for cancellations to be carried out in time.
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
