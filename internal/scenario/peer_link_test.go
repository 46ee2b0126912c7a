package scenario

import (
	"slices"

	"swiftledge/internal/api"
	"swiftledge/internal/clock"
	"swiftledge/internal/cluster"
	"swiftledge/internal/leader"
	"swiftledge/internal/peer"
	"swiftledge/internal/shard"
)

const (
	// linkRetryDelay is how long a follower waits before it tries again to connect to the leader.
	linkRetryDelay = 300 * clock.Millisecond
	// linkTimeout is the time from a message that cannot be delivered until its link breaks.
	linkTimeout = 4 * clock.Second
)

// simLink is a simulated connection of a follower to the leader, or of the leader to itself.
type simLink struct {
	term                                   cluster.Term
	follower, leader                       *simController
	followerIncarnation, leaderIncarnation int
	broken                                 bool
	lastDelivery                           map[*simController]clock.Micros // by receiver: when the latest message to it arrives
}

// isUnreachableFrom reports whether messages from another controller cannot reach this controller now.
func (c *simController) isUnreachableFrom(from *simController) bool {
	return c != from && (c.faults.peersUnreachable || from.faults.peersUnreachable ||
		c.faults.pausedUntil > c.world.now || c.world.isPartitioned(c.cfg.Zone, from.cfg.Zone))
}

// connectToLeader connects to the leader of a term. It retries until it succeeds or the controller follows another term.
func (c *simController) connectToLeader(term cluster.Term, name string) {
	w := c.world
	w.after(w.latency(), c.ifSameProcess(func() {
		if c.term != term {
			return
		}
		to := w.controllers[slices.IndexFunc(w.controllers, func(o *simController) bool { return o.name == name })]
		unreachable := to.isUnreachableFrom(c)
		if to.running && !unreachable && to != c {
			c.jobCache.Post(api.PeerContacted{})
			to.jobCache.Post(api.PeerContacted{})
		}
		if !to.running || to.elector.Term() != term || unreachable {
			w.after(linkRetryDelay, c.ifSameProcess(func() { c.connectToLeader(term, name) }))
			return
		}
		if c.leaderLink != nil {
			c.leaderLink.disconnect()
		}
		link := &simLink{
			term:                term,
			follower:            c,
			leader:              to,
			followerIncarnation: c.incarnation,
			leaderIncarnation:   to.incarnation,
			lastDelivery:        map[*simController]clock.Micros{},
		}
		c.leaderLink = link
		incarnation := cluster.Incarnation(c.incarnation)
		to.leaderStep(leader.PeerConnected{Controller: c.name, Incarnation: incarnation, Link: link})
		c.holderStep(shard.LeaderConnected{Term: term})
	}))
}

// Send implements leader.Link. It must not be called: the simulation delivers the messages of a link itself.
func (*simLink) Send(*peer.FromLeader) { panic("Send called on a simulated link") }

// followerAlive and leaderAlive report whether the follower's or the leader's process runs and is the same process that
// opened the link: a restarted process does not have the link any more.
func (l *simLink) followerAlive() bool {
	return l.follower.running && l.follower.incarnation == l.followerIncarnation
}

func (l *simLink) leaderAlive() bool {
	return l.leader.running && l.leader.incarnation == l.leaderIncarnation
}

// disconnect breaks a link and notifies each side whose process is still alive.
func (l *simLink) disconnect() {
	if l.broken {
		return
	}
	l.broken = true
	l.leader.whenResumed(func() {
		if l.leaderAlive() {
			l.leader.leaderStep(leader.PeerDisconnected{Controller: l.follower.name, Link: l})
		}
	})
	l.follower.whenResumed(func() {
		if !l.followerAlive() || l.follower.leaderLink != l {
			return
		}
		l.follower.leaderLink = nil
		l.follower.holderStep(shard.LeaderDisconnected{Term: l.term})
		if l.follower.term == l.term {
			l.follower.connectToLeader(l.term, l.leader.name)
		}
	})
}

// send delivers a message to one end of the link. If that end is unreachable or its process is paused, the message is
// lost and the link breaks after linkTimeout.
func (l *simLink) send(to *simController, receive func()) {
	w := to.world
	from := l.follower
	if to == from {
		from = l.leader
	}
	if to.isUnreachableFrom(from) {
		w.after(linkTimeout, l.disconnect)
		return
	}
	if to != from {
		w.traffic.peerMessages++
	}
	// Messages arrive in order, as over TCP.
	arrivesAt := max(w.now+w.latency(), l.lastDelivery[to])
	l.lastDelivery[to] = arrivesAt
	w.after(arrivesAt-w.now, func() {
		to.whenResumed(func() {
			if !l.broken && l.followerAlive() && l.leaderAlive() {
				receive()
			}
		})
	})
}
