package config

const (
	bytesPerKB = 1 << 10
	bytesPerMB = 1 << 20
)

// Shares of the controller's socket quota. A controller that runs alone has connections with every machine of the
// site in both directions. The quota is therefore divided: most of it is for incoming connections, a fifth for direct
// commands, and the rest for the store, the cloud, the other controllers and connections that are being closed.
const (
	minHTTPSockets        = 64
	httpSocketsPercent    = 70
	commandSocketsPercent = 20
)

// Limits of the bytes that wait to be sent over the store transport.
const (
	minTransportBacklog           = 256 << 10
	transportBacklogMemoryDivisor = 32 // of the controller's memory
)

// MaxValueBytes returns how many bytes a value in the store may have, under the current and the next limits. The
// limits may drop at any moment, and the store would then refuse a larger value forever.
func (c *Config) MaxValueBytes() int {
	limitKB := c.Facts.State.ValueKB
	if next := c.Facts.State.Next; next != nil && next.ValueKB > 0 {
		limitKB = min(limitKB, next.ValueKB)
	}
	return int(limitKB * bytesPerKB)
}

// TargetValueBytes returns how many bytes are put into one value in the store: MaxValueBytes less a tenth, which is
// reserved for what a transaction adds.
func (c *Config) TargetValueBytes() int { return c.MaxValueBytes() * 9 / 10 }

// MaxTxnWrites returns how many puts and deletes a transaction may have, under the current and the next limits. The
// write rate needs no such precaution because it adapts to the store's responses.
func (c *Config) MaxTxnWrites() int {
	limit := c.Facts.State.TxnOps
	if next := c.Facts.State.Next; next != nil && next.TxnOps > 0 {
		limit = min(limit, next.TxnOps)
	}
	return limit
}

// StoreTransportBacklog returns how many bytes may wait to be sent on a link over the store transport. A grant lists
// every machine of its shard and every task on it, so its size grows with the site.
func (c *Config) StoreTransportBacklog() int {
	return max(minTransportBacklog, int(c.Facts.Quota.MemMB*bytesPerMB)/transportBacklogMemoryDivisor)
}

// MaxHTTPConnections returns how many connections from users and agents are served at once.
func (c *Config) MaxHTTPConnections() int {
	return max(minHTTPSockets, c.Facts.Quota.MaxSockets*httpSocketsPercent/100)
}

// MaxCommandConnections returns how many connections for direct commands to agents are kept open.
func (c *Config) MaxCommandConnections() int {
	return c.Facts.Quota.MaxSockets * commandSocketsPercent / 100
}
