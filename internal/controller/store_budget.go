package controller

import "swiftledge/internal/store"

// The shares of the store's limits that a controller goes by. Together they exceed the whole, since bursts seldom
// meet; see store.Budget. The leader writes most.
const (
	soleShare     = 0.95
	leaderShare   = 0.5
	followerShare = 0.35
)

// storeBudget returns this controller's part of the store's limits.
func (c *Controller) storeBudget(leading bool) store.Budget {
	share := followerShare
	switch {
	case len(c.cfg.Peers) == 0:
		share = soleShare
	case leading:
		share = leaderShare
	}
	limits := c.cfg.Facts.State
	return store.Budget{RequestsPerSecond: limits.RPS * share, WritesPerSecond: limits.WriteRPS * share}
}
