package controller

import "swiftledge/internal/store"

// Shares of the store's limits that one controller may use. The sum of the shares of all controllers exceeds 1, because
// bursts rarely coincide; see store.Budget. The leader writes most.
const (
	singleControllerShare = 0.95
	leaderShare           = 0.5
	followerShare         = 0.35
)

// storeBudget returns this controller's share of the store's limits.
func (c *Controller) storeBudget(isLeader bool) store.Budget {
	share := followerShare
	switch {
	case len(c.cfg.Peers) == 0:
		share = singleControllerShare
	case isLeader:
		share = leaderShare
	}
	limits := c.cfg.Facts.State
	return store.Budget{RequestsPerSecond: limits.RPS * share, WritesPerSecond: limits.WriteRPS * share}
}
