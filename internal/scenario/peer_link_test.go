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
	// linkRetry is how long a follower waits before it tries to connect again.
	linkRetry = 300 * clock.Millisecond
	// linkTimeout is how long it takes until a link breaks that carries nothing.
	linkTimeout = 4 * clock.Second
)

// simLink is a connection from a follower to the leader, or of the leader to itself.
type simLink struct {
	term                                   cluster.Term
	follower, leader                       *simController
	followerIncarnation, leaderIncarnation int
	broken                                 bool
	lastDelivery                           map[*simController]clock.Micros // when the latest message to an end arrives
}

// isUnreachableFrom says whether another controller's messages do not reach this one now.
func (c *simController) isUnreachableFrom(from *simController) bool {
	return c != from && (c.faults.peersUnreachable || from.faults.peersUnreachable ||
		c.faults.pausedUntil > c.world.now || c.world.isPartitioned(c.cfg.Zone, from.cfg.Zone))
}

// connectToLeader connects to the leader of a term as soon as it answers.
func (c *simController) connectToLeader(term cluster.Term, name string) {
	w := c.world
	w.after(w.latency(), c.ifSameProcess(func() {
		if c.term != term {
			return
		}
		to := w.controllers[slices.IndexFunc(w.controllers, func(o *simController) bool { return o.name == name })]
		isCut := to.isUnreachableFrom(c)
		if to.running && !isCut && to != c {
			c.jobCache.Post(api.PeerContacted{})
			to.jobCache.Post(api.PeerContacted{})
		}
		if !to.running || to.elector.Term() != term || isCut {
			w.after(linkRetry, c.ifSameProcess(func() { c.connectToLeader(term, name) }))
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

// Send implements leader.Link. It is not reached: the simulation carries messages over a link itself.
func (*simLink) Send(*peer.FromLeader) { panic("a simulated link was sent over") }

// followerAlive and leaderThere say whether the process at an end is still the one that was connected.
func (l *simLink) followerAlive() bool {
	return l.follower.running && l.follower.incarnation == l.followerIncarnation
}

func (l *simLink) leaderAlive() bool {
	return l.leader.running && l.leader.incarnation == l.leaderIncarnation
}

// disconnect breaks a link; both sides see it if they are still there.
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

// send brings a message to one end of the link; a cut one breaks after a while, and so
// does one whose other end is paused.
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
	// As over TCP, nothing overtakes.
	at := max(w.now+w.latency(), l.lastDelivery[to])
	l.lastDelivery[to] = at
	w.after(at-w.now, func() {
		to.whenResumed(func() {
			if !l.broken && l.followerAlive() && l.leaderAlive() {
				receive()
			}
		})
	})
}
