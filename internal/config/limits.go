package config

const (
	bytesPerKB = 1 << 10
	bytesPerMB = 1 << 20
)

// Parts of the controller's quota of sockets. A controller that is left alone speaks to every machine of the
// site both ways, so the quota is divided: most for what comes in, a fifth for direct commands, and the rest
// for the store, the cloud, the other controllers and what is closing.
const (
	minHTTPSockets        = 64
	httpSocketsPercent    = 70
	commandSocketsPercent = 20
)

// Bounds of what waits to be sent through the store.
const (
	minRelayBacklog           = 256 << 10
	relayBacklogMemoryDivisor = 32 // of the controller's memory
)

// MaxValueBytes is how many bytes a value in the store may hold, now and later: limits may fall at any moment, and
// a value over them would be refused for ever.
func (c *Config) MaxValueBytes() int {
	limitKB := c.Facts.State.ValueKB
	if next := c.Facts.State.Next; next != nil && next.ValueKB > 0 {
		limitKB = min(limitKB, next.ValueKB)
	}
	return int(limitKB * bytesPerKB)
}

// TargetValueBytes is how many bytes are put into one value in the store: MaxValueBytes less a tenth for what a
// transaction adds.
func (c *Config) TargetValueBytes() int { return c.MaxValueBytes() * 9 / 10 }

// MaxTxnWrites is how many puts and deletes a transaction may hold, now and later. The rate of writes needs no such
// care: it follows what the store answers.
func (c *Config) MaxTxnWrites() int {
	limit := c.Facts.State.TxnOps
	if next := c.Facts.State.Next; next != nil && next.TxnOps > 0 {
		limit = min(limit, next.TxnOps)
	}
	return limit
}

// StoreTransportBacklog is how many bytes may wait on a link through the store. A grant names each machine of its
// shard and each task there, so it grows with the site.
func (c *Config) StoreTransportBacklog() int {
	return max(minRelayBacklog, int(c.Facts.Quota.MemMB*bytesPerMB)/relayBacklogMemoryDivisor)
}

// MaxHTTPConnections is how many connections from users and workers are served at once.
func (c *Config) MaxHTTPConnections() int {
	return max(minHTTPSockets, c.Facts.Quota.MaxSockets*httpSocketsPercent/100)
}

// MaxCommandConnections is how many connections for direct commands are kept open.
func (c *Config) MaxCommandConnections() int {
	return c.Facts.Quota.MaxSockets * commandSocketsPercent / 100
}
