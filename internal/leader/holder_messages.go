package leader

import (
	"maps"
	"slices"
	"strings"

	"swiftledge/internal/clock"
	"swiftledge/internal/leader/assignment"
	"swiftledge/internal/peer"
	"swiftledge/wire"
)

// holderMessage handles a message of a controller in its role as a shard holder.
func (l *Leader) holderMessage(now clock.Micros, m HolderMessage) {
	c := l.shards.controllers[m.Controller]
	if c == nil || c.link != m.Link || m.Message.Term != l.term {
		return
	}
	c.recordHeartbeat(now, m.Message)
	if m.Message.RenewSeq > 0 && l.loaded && l.authorised(now) && l.viewIsFresh(now) {
		l.renewLeases(m.Link, m.Message.RenewSeq)
	}
	for _, update := range m.Message.Updates {
		lease := l.shards.leaseOf(update, m.Link)
		switch {
		case lease == nil:
		case update.NeedsRegrant:
			lease.state = unassigned
		default:
			l.shardUpdated(now, lease, update)
		}
	}
}

// renewLeases renews the leases of all shards that were granted over a link.
func (l *Leader) renewLeases(link Link, seq uint64) {
	renewal := peer.FromLeader{
		Term: l.term, RenewedSeq: seq, FencingTokens: map[int]wire.FencingToken{}, StoreOK: l.storeOK(),
	}
	for _, lease := range l.shards.all {
		if lease.state == granted && lease.link == link {
			renewal.FencingTokens[lease.ID] = lease.token
		}
	}
	l.emit(SendToHolder{link, renewal})
}

// shardUpdated applies the changes in a shard that its holder reports.
func (l *Leader) shardUpdated(now clock.Micros, lease *shardLease, update peer.ShardUpdate) {
	for _, event := range update.Events {
		l.taskEvent(now, lease, event)
	}
	for _, machine := range update.Machines {
		l.machineReported(now, machine)
	}
	if update.SettledOfferSeq == lease.offerSeq {
		lease.offerPending = false
	}
	l.scheduling.requested = true
}

// flushOrders sends the pending orders to the shard holders, one message to each.
func (l *Leader) flushOrders() {
	byLink := map[Link]*peer.FromLeader{}
	var links []Link
	for _, lease := range l.shards.all {
		if lease.state != granted || !lease.hasOrders() {
			continue
		}
		message := byLink[lease.link]
		if message == nil {
			message = &peer.FromLeader{Term: l.term}
			byLink[lease.link] = message
			links = append(links, lease.link)
		}
		message.Orders = append(message.Orders, lease.takeOrders())
	}
	for _, link := range links {
		l.emit(SendToHolder{link, *byLink[link]})
	}
}

// reportTaskCounts sends the changed task counts of jobs to all connected controllers, which answer the status requests
// of users.
func (l *Leader) reportTaskCounts(now clock.Micros) {
	confirmationTime := confirmationHeartbeats * clock.FromSeconds(l.cfg.Facts.Workers.ReportS)
	changed := l.jobs.ChangedCounts(now < l.startedAt+confirmationTime)
	for _, c := range l.controllersByName() {
		if counts := append(c.takeMissedCounts(l.jobs), changed...); len(counts) > 0 {
			l.emit(SendToHolder{c.link, peer.FromLeader{Term: l.term, TaskCounts: counts}})
		}
	}
}

// peerConnected registers a controller under a new link. Messages sent over an older link may be lost, so the shards
// of the controller are granted again.
func (l *Leader) peerConnected(now clock.Micros, m PeerConnected) {
	l.shards.controllers[m.Controller] = &controller{
		Controller:  assignment.Controller{Name: m.Controller, ViaStore: m.ViaStore, ConnectedAt: now},
		incarnation: m.Incarnation, link: m.Link, lastHeartbeat: now,
		// The controller may have missed counts that have not changed since, or have lost all of them in a restart.
		missedCounts: l.jobs.Refs(),
	}
	for _, lease := range l.shards.all {
		if lease.Holder == m.Controller && lease.link != m.Link && lease.state != writing {
			lease.state = unassigned
		}
	}
	l.emit(SendToHolder{m.Link, peer.FromLeader{Term: l.term, Types: l.autoscaler.catalog, Holders: l.shardHolders()}})
}

// controllersByName returns the connected controllers in a fixed order, so that the same state gives the same effects.
func (l *Leader) controllersByName() []*controller {
	byName := func(a, b *controller) int { return strings.Compare(a.Name, b.Name) }
	return slices.SortedFunc(maps.Values(l.shards.controllers), byName)
}
