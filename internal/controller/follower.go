package controller

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"swiftledge/internal/api"
	"swiftledge/internal/cluster"
	"swiftledge/internal/config"
	"swiftledge/internal/leader"
	"swiftledge/internal/netio"
	"swiftledge/internal/peer"
	"swiftledge/internal/shard"
)

const (
	// leaderDialRetry is how long to wait at least before the leader is dialed again; a random part of
	// leaderDialJitter is added.
	leaderDialRetry  = 200 * time.Millisecond
	leaderDialJitter = 100 * time.Millisecond
	// dialFailuresBeforeStore is how often in a row the leader may be out of reach before it is linked through
	// the store.
	dialFailuresBeforeStore = 4
	// directProbeInterval is how often a follower that is linked through the store tries to reach the leader
	// directly.
	directProbeInterval = 3 * time.Second
	// directProbeTimeout bounds one such try.
	directProbeTimeout = time.Second
)

// follower keeps the holder linked to the leader.
type follower struct {
	controller     string
	incarnation    cluster.Incarnation
	peers          []config.Peer
	log            *slog.Logger
	jobCache       *api.JobCache
	storeTransport *peer.StoreTransport
	leader         mailbox[leader.Message]
	holder         mailbox[shard.Message]
	background     *sync.WaitGroup // of what may outlast a link
}

// follow keeps a link to the leader of a term until another term begins or the context ends.
func (f *follower) follow(ctx context.Context, term cluster.Term, name string) {
	if name == f.controller {
		f.linkLocally(term)
		return
	}
	address, found := f.addressOf(name)
	if !found {
		f.log.Error("leader is not among the known controllers", "leader", name)
		return
	}
	hello := peer.Hello{Controller: f.controller, Incarnation: f.incarnation, Term: term}
	for failures := 0; ctx.Err() == nil && f.jobCache.Term() == term; {
		link, err := peer.Dial(address, hello)
		switch {
		case err == nil:
			failures = 0
			f.jobCache.Post(api.PeerContacted{})
			f.serve(ctx, term, link)
			continue
		case errors.Is(err, peer.ErrNotLeading):
			f.jobCache.Post(api.PeerContacted{})
		default:
			failures++
		}
		f.log.Debug("cannot reach the leader", "leader", name, "error", err)
		if failures >= dialFailuresBeforeStore {
			failures = 0
			f.followThroughStore(ctx, hello, name, address)
			continue
		}
		sleep(ctx, leaderDialRetry+rand.N(leaderDialJitter))
	}
}

// linkLocally links the holder to the leader of the same process.
func (f *follower) linkLocally(term cluster.Term) {
	holderLink := &localHolderLink{holder: f.holder, jobCache: f.jobCache}
	leaderLink := &localLeaderLink{controller: f.controller, leader: f.leader, otherEnd: holderLink}
	f.leader.send(leader.PeerConnected{Controller: f.controller, Incarnation: f.incarnation, Link: holderLink})
	f.holder.send(leaderLinkUp{shard.LeaderConnected{Term: term}, leaderLink})
}

func (f *follower) addressOf(name string) (string, bool) {
	for _, p := range f.peers {
		if p.Name == name {
			return p.Address, p.Address != ""
		}
	}
	return "", false
}

// followThroughStore links the holder to the leader through the store until the leader can be reached directly.
func (f *follower) followThroughStore(ctx context.Context, hello peer.Hello, name, address string) {
	link, err := f.storeTransport.Dial(ctx, name, hello)
	if err != nil {
		f.log.Debug("cannot reach the leader through the store", "leader", name, "error", err)
		return
	}
	f.log.Info("linked to the leader through the store", "leader", name)
	probeCtx, stopProbe := context.WithCancel(ctx)
	defer stopProbe()
	f.background.Go(func() {
		if waitUntilReachable(probeCtx, address) {
			link.Close()
		}
	})
	f.serve(ctx, hello.Term, link)
}

// waitUntilReachable tries to connect to an address until it succeeds. It returns false if the context ends first.
func waitUntilReachable(ctx context.Context, address string) bool {
	for sleep(ctx, directProbeInterval) {
		if conn, err := netio.Dial(address, directProbeTimeout); err == nil {
			conn.Close()
			return true
		}
	}
	return false
}

// serve hands over what the leader sends on a link, until either side or the context ends it.
func (f *follower) serve(ctx context.Context, term cluster.Term, link *peer.LeaderLink) {
	stop := context.AfterFunc(ctx, link.Close)
	defer stop()
	connected := shard.LeaderConnected{Term: term, ViaStore: link.ViaStore()}
	f.holder.send(leaderLinkUp{connected, link})
	link.Receive(func(message *peer.FromLeader) {
		f.jobCache.Post(api.PeerContacted{})
		f.jobCache.Post(api.LeaderMessage{Message: message})
		f.holder.send(shard.LeaderMessage{Message: message})
	})
	f.holder.send(leaderLinkDown{shard.LeaderDisconnected{Term: term}, link})
}
