package controller

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"time"

	"swiftledge/internal/api"
	"swiftledge/internal/clock"
	"swiftledge/internal/cluster"
	"swiftledge/internal/leader"
	"swiftledge/internal/peer"
)

// acceptRetry is the delay after a failed accept.
const acceptRetry = 100 * time.Millisecond

// peerListener serves connections from other controllers, which follow this controller while it leads, and from
// operators, who request its status.
type peerListener struct {
	log         *slog.Logger
	jobCache    *api.JobCache
	leader      mailbox[leader.Message]
	leadingTerm func() cluster.Term // returns 0 if this controller does not lead
	server      peer.Server
}

func (c *Controller) newPeerListener() *peerListener {
	l := &peerListener{log: c.log, jobCache: c.jobCache, leader: c.leader, leadingTerm: c.leadingTerm}
	l.server = peer.Server{
		Controller:   c.cfg.Name,
		Incarnation:  c.incarnation,
		Status:       c.status,
		IsLeader:     l.isLeader,
		Connected:    l.connected,
		Received:     l.received,
		Disconnected: l.disconnected,
	}
	return l
}

// run accepts connections until the context ends. Then it closes the connections and the listener.
func (l *peerListener) run(ctx context.Context, listener net.Listener) {
	var connections sync.WaitGroup
	defer connections.Wait()
	stop := context.AfterFunc(ctx, func() { listener.Close() })
	defer stop()
	for {
		conn, err := listener.Accept()
		switch {
		case err == nil:
			connections.Go(func() { l.serve(ctx, conn, peer.TransportTCP) })
		case ctx.Err() != nil:
			return
		default:
			l.log.Error("cannot accept a connection from a controller", "error", err)
			clock.Sleep(ctx, acceptRetry)
		}
	}
}

// serve serves one connection until either side closes it or the context ends.
func (l *peerListener) serve(ctx context.Context, conn net.Conn, transport peer.Transport) {
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	l.server.Serve(conn, transport)
}

// isLeader reports whether this controller leads the term that another controller wants to follow.
func (l *peerListener) isLeader(term cluster.Term) bool {
	l.jobCache.Post(api.PeerContacted{})
	leadingTerm := l.leadingTerm()
	return leadingTerm > 0 && leadingTerm == term
}

func (l *peerListener) connected(link *peer.HolderLink) {
	l.leader.send(leader.PeerConnected{
		Controller:  link.Peer.Controller,
		Incarnation: link.Peer.Incarnation,
		Link:        link,
		ViaStore:    link.ViaStore(),
	})
}

func (l *peerListener) received(link *peer.HolderLink, message *peer.ToLeader) {
	l.jobCache.Post(api.PeerContacted{})
	l.leader.send(leader.HolderMessage{Controller: link.Peer.Controller, Link: link, Message: message})
}

func (l *peerListener) disconnected(link *peer.HolderLink) {
	l.leader.send(leader.PeerDisconnected{Controller: link.Peer.Controller, Link: link})
}
