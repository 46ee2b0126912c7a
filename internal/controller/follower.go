package controller

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"swiftledge/internal/api"
	"swiftledge/internal/clock"
	"swiftledge/internal/cluster"
	"swiftledge/internal/config"
	"swiftledge/internal/leader"
	"swiftledge/internal/netio"
	"swiftledge/internal/peer"
	"swiftledge/internal/shard"
)

const (
	// leaderDialRetry is the minimum delay before the leader is dialed again. A random part of leaderDialJitter is
	// added to this delay.
	leaderDialRetry  = 200 * time.Millisecond
	leaderDialJitter = 100 * time.Millisecond
	// dialFailuresBeforeStore is the number of consecutive failed dials after which the follower links the holder to the
	// leader through the store.
	dialFailuresBeforeStore = 4
	// directDialInterval is how often a follower that is linked through the store tries to connect to the leader
	// directly.
	directDialInterval = 3 * time.Second
	// directDialTimeout bounds one attempt to connect to the leader directly.
	directDialTimeout = time.Second
)

// follower maintains the link from the holder to the leader.
type follower struct {
	controller     string
	incarnation    cluster.Incarnation
	peers          []config.Peer
	log            *slog.Logger
	jobCache       *api.JobCache
	storeTransport *peer.StoreTransport
	leader         mailbox[leader.Message]
	holder         mailbox[shard.Message]
	background     *sync.WaitGroup // goroutines that may outlive a link
}

// follow maintains a link to the leader of a term until another term begins or the context ends.
func (f *follower) follow(ctx context.Context, term cluster.Term, name string) {
	if name == f.controller {
		f.linkLocally(term)
		return
	}
	address, found := f.addressOf(name)
	if !found {
		f.log.Error("leader is not a configured controller", "leader", name)
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
		clock.Sleep(ctx, leaderDialRetry+rand.N(leaderDialJitter))
	}
}

// linkLocally links the holder to the leader in the same process.
func (f *follower) linkLocally(term cluster.Term) {
	holderLink := &localHolderLink{holder: f.holder, jobCache: f.jobCache}
	leaderLink := &localLeaderLink{controller: f.controller, leader: f.leader, holderLink: holderLink}
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

// followThroughStore links the holder to the leader through the store, because no direct connection can be made:
// messages are carried in frames in the store. The link lasts until the leader is reachable directly.
func (f *follower) followThroughStore(ctx context.Context, hello peer.Hello, name, address string) {
	link, err := f.storeTransport.Dial(ctx, name, hello)
	if err != nil {
		f.log.Debug("cannot reach the leader through the store", "leader", name, "error", err)
		return
	}
	f.log.Info("linked to the leader through the store", "leader", name)
	dialCtx, stopDialing := context.WithCancel(ctx)
	defer stopDialing()
	f.background.Go(func() {
		if waitUntilReachable(dialCtx, address) {
			link.Close()
		}
	})
	f.serve(ctx, hello.Term, link)
}

// waitUntilReachable tries to connect to an address until an attempt succeeds. It returns false if the context ends
// first.
func waitUntilReachable(ctx context.Context, address string) bool {
	for clock.Sleep(ctx, directDialInterval) {
		if conn, err := netio.Dial(address, directDialTimeout); err == nil {
			conn.Close()
			return true
		}
	}
	return false
}

// serve forwards the leader's messages on a link to the holder and the job cache until either side or the context ends
// the link.
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
