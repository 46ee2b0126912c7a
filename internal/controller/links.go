package controller

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"time"

	"swiftledge/internal/api"
	"swiftledge/internal/cluster"
	"swiftledge/internal/leader"
	"swiftledge/internal/netio"
	"swiftledge/internal/peer"
)

// follow keeps a link to the leader of an epoch until another epoch begins.
func (n *Controller) follow(ctx context.Context, epoch cluster.Term, name string) {
	if name == n.cfg.Name {
		l := localLink{n, epoch}
		n.leader <- leader.PeerConnected{Controller: n.cfg.Name, Incarnation: n.incarnation, Link: l}
		n.holder <- holderUp{epoch, l}
		return
	}
	addr := ""
	for _, p := range n.cfg.Peers {
		if p.Name == name {
			addr = p.Address
		}
	}
	if addr == "" {
		n.log.Error("leader is not among the known controllers", "leader", name)
		return
	}
	for fails := 0; ctx.Err() == nil && n.jobCache.Term() == epoch; {
		l, err := peer.Dial(addr, peer.Hello{Controller: n.cfg.Name, Incarnation: n.incarnation, Term: epoch})
		switch {
		case err == nil:
			fails = 0
			n.jobCache.Post(api.PeerContacted{})
			n.linked(epoch, l)
			continue
		case errors.Is(err, peer.ErrNotLeading):
			n.jobCache.Post(api.PeerContacted{})
		default:
			fails++
		}
		n.log.Debug("cannot reach the leader", "error", err)
		if fails >= dialFailuresBeforeRelay {
			fails = 0
			n.followByRelay(ctx, epoch, name, addr)
			continue
		}
		time.Sleep(200*time.Millisecond + rand.N(100*time.Millisecond))
	}
}

// dialFailuresBeforeRelay is how often in a row the leader may be out of reach before frames are tried.
const dialFailuresBeforeRelay = 4

// followByRelay speaks to the leader through the state service until it can be reached again.
func (n *Controller) followByRelay(ctx context.Context, epoch cluster.Term, name, addr string) {
	l, err := n.storeTransport.Dial(ctx, name, peer.Hello{Controller: n.cfg.Name, Incarnation: n.incarnation, Term: epoch})
	if err != nil {
		n.log.Debug("no answer to frames", "leader", name, "error", err)
		return
	}
	n.log.Info("linked through the state service", "leader", name)
	over := make(chan struct{})
	go func() {
		for {
			select {
			case <-over:
				return
			case <-time.After(3 * time.Second):
			}
			if c, err := netio.Dial(addr, time.Second); err == nil {
				c.Close()
				l.Close()
				return
			}
		}
	}()
	n.linked(epoch, l)
	close(over)
}

// linked serves a link to the leader until it ends.
func (n *Controller) linked(epoch cluster.Term, l *peer.LeaderLink) {
	n.holder <- holderUp{epoch, l}
	l.Receive(func(d *peer.FromLeader) {
		n.jobCache.Post(api.PeerContacted{})
		n.jobCache.Post(api.LeaderMessage{Message: d})
		n.holder <- d
	})
	n.holder <- holderDown{epoch, l}
}

// statusWithin bounds how long an operator's question waits for the leader actor, which may be busy.
const statusWithin = 3 * time.Second

// status answers an operator's question: the leader actor's word, and whom this node follows.
func (n *Controller) status() peer.Status {
	answer := make(chan peer.Status, 1)
	s := peer.Status{Controller: n.cfg.Name}
	select {
	case n.leader <- leader.StatusRequested{ReplyTo: answer}:
		select {
		case s = <-answer:
		case <-time.After(statusWithin):
		}
	default: // its mailbox is full; what little is known here has to do
	}
	s.Pauses, s.LastPause = n.pausesSeen()
	v := n.jobCache.Lookup("")
	s.Leader, s.Term = v.Leader, v.Term
	return s
}

func (n *Controller) acceptPeers(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			n.log.Error("accept controller", "error", err)
			time.Sleep(100 * time.Millisecond)
			continue
		}
		go n.acceptPeer(c, peer.TransportTCP)
	}
}

// acceptPeer answers on a connection that another controller or an operator has made.
func (n *Controller) acceptPeer(conn net.Conn, transport peer.Transport) {
	server := peer.Server{
		Controller: n.cfg.Name, Incarnation: n.incarnation,
		Status: n.status,
		IsLeader: func(term cluster.Term) bool {
			n.jobCache.Post(api.PeerContacted{})
			q := askEpoch{make(chan cluster.Term, 1)}
			n.elector <- q
			leading := <-q.answer
			return leading > 0 && leading == term
		},
		Connected: func(link *peer.HolderLink) {
			n.leader <- leader.PeerConnected{
				Controller: link.Peer.Controller, Incarnation: link.Peer.Incarnation, Link: link, ViaStore: link.ViaStore(),
			}
		},
		Received: func(link *peer.HolderLink, message *peer.ToLeader) {
			n.jobCache.Post(api.PeerContacted{})
			n.leader <- leader.HolderMessage{Controller: link.Peer.Controller, Link: link, Message: message}
		},
		Disconnected: func(link *peer.HolderLink) {
			n.leader <- leader.PeerDisconnected{Controller: link.Peer.Controller, Link: link}
		},
	}
	server.Serve(conn, transport)
}
