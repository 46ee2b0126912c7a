// Package controller is the process of one controller: it wires the actors that decide (election, leader, shard)
// to the network. A Controller owns the actors' mailboxes, the clients of the store, the cloud, the agents and the
// other controllers, and every goroutine. Each actor handles one message at a time and returns effects; the
// controller carries them out in their order, those that wait for somebody in goroutines of their own, and sends
// what came of them to the actor as messages. It decides nothing itself: what to do, and when to try again, is the
// actors' to say.
package controller

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"

	"swiftledge/internal/api"
	"swiftledge/internal/clock"
	"swiftledge/internal/cloud"
	"swiftledge/internal/cluster"
	"swiftledge/internal/config"
	"swiftledge/internal/leader"
	"swiftledge/internal/netio"
	"swiftledge/internal/peer"
	"swiftledge/internal/shard"
	"swiftledge/internal/store"
	"swiftledge/internal/trace"
)

// Controller is one controller of the cluster.
type Controller struct {
	cfg         *config.Config
	log         *slog.Logger
	clock       clock.Steady
	incarnation cluster.Incarnation

	// The actors.
	elector mailbox[electorMessage]
	leader  mailbox[leader.Message]
	holder  mailbox[shard.Message]
	pauses  *pauseLog

	// What they speak to.
	store          *store.Client
	storeHealth    *storeHealth
	loader         *stateLoader
	cloud          *cloudWorker
	agents         *agentClient
	follower       *follower
	peers          *peerListener
	storeTransport *peer.StoreTransport
	jobCache       *api.JobCache
	tracer         *trace.Tracer // nil: nothing is traced

	background sync.WaitGroup // all goroutines of Serve but those of the services
}

// New returns a controller. Serve runs it, once.
func New(cfg *config.Config, log *slog.Logger) *Controller {
	c := &Controller{
		cfg:         cfg,
		log:         log,
		clock:       clock.NewSteady(),
		incarnation: cluster.Incarnation(rand.Uint64() >> 1),
		elector:     newMailbox[electorMessage](minMailboxSize),
		leader:      newMailbox[leader.Message](mailboxSize(cfg)),
		holder:      newMailbox[shard.Message](mailboxSize(cfg)),
		storeHealth: newStoreHealth(),
		agents:      newAgentClient(cfg),
	}
	c.pauses = newPauseLog(log, c.clock)
	c.store = store.New(cfg.Endpoints.State, c.storeBudget(false), c.storeHealth.record)
	c.cloud = newCloudWorker(cloud.New(cfg.Endpoints.Cloud, cfg.Facts.Cloud.RPS), c.leader, log)
	c.jobCache = api.NewJobCache(cfg, c.clock.Now)
	c.storeTransport = peer.NewStoreTransport(
		cfg.Name, c.store, cfg.TargetValueBytes(), cfg.StoreTransportBacklog(), peer.FrameInterval)
	c.loader = c.newStateLoader()
	c.follower = c.newFollower()
	c.peers = c.newPeerListener()
	return c
}

func (c *Controller) newStateLoader() *stateLoader {
	return &stateLoader{
		store:  c.store,
		clock:  c.clock,
		log:    c.log,
		leader: c.leader,
		resign: c.resign,
		// Two answers, one behind the other, have to come within the time that a view may be old.
		watchTime: c.cfg.MaxViewAge() / 3,
	}
}

func (c *Controller) newFollower() *follower {
	return &follower{
		controller:     c.cfg.Name,
		incarnation:    c.incarnation,
		peers:          c.cfg.Peers,
		log:            c.log,
		jobCache:       c.jobCache,
		storeTransport: c.storeTransport,
		leader:         c.leader,
		holder:         c.holder,
		background:     &c.background,
	}
}

// Serve runs the controller until the context ends or it cannot serve any more. All goroutines have ended and all
// listeners are closed when it returns; nil says that the context has ended.
func (c *Controller) Serve(ctx context.Context) error {
	peerListener, err := netio.Listen(c.cfg.PeerAddress)
	if err != nil {
		return fmt.Errorf("listen for controllers: %w", err)
	}
	defer peerListener.Close()
	apiListener, err := netio.Listen(c.cfg.ListenAddress)
	if err != nil {
		return fmt.Errorf("listen for users and agents: %w", err)
	}
	defer apiListener.Close()
	if c.tracer, err = c.newTracer(); err != nil {
		return err
	}
	stopServices := c.startServices(ctx)
	defer stopServices()
	ctx, stop := context.WithCancel(ctx)
	defer c.background.Wait()
	defer stop()
	c.startActors(ctx)
	c.background.Go(func() { c.watchLeaderKey(ctx) })
	c.background.Go(func() { c.peers.run(ctx, peerListener) })
	c.background.Go(func() {
		c.storeTransport.Run(ctx, func(conn net.Conn) {
			c.background.Go(func() { c.peers.serve(ctx, conn, peer.TransportStore) })
		})
	})
	return c.serveAPI(ctx, apiListener)
}

// newTracer returns what writes spans; nil if the settings name no file.
func (c *Controller) newTracer() (*trace.Tracer, error) {
	tuning := c.cfg.Tuning.Trace
	if tuning.File == "" {
		return nil, nil
	}
	settings := trace.Settings{
		File:     tuning.File,
		MaxBytes: int64(tuning.MaxFileMB * (1 << 20)),
		JobShare: tuning.JobShare,
		Queue:    int(tuning.Queue),
	}
	return trace.New(settings, c.cfg.Name, c.clock, c.log)
}

// startServices starts what the actors and the API ask and wait for. The function that it returns ends the
// services and waits for them; it is called when nobody asks any more.
func (c *Controller) startServices(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	var services sync.WaitGroup
	services.Go(func() { c.store.Run(ctx) })
	services.Go(func() { c.jobCache.Run(ctx) })
	if c.tracer != nil {
		services.Go(func() { c.tracer.Run(ctx) })
	}
	return func() {
		cancel()
		services.Wait()
	}
}

// startActors starts the actors and what serves them.
func (c *Controller) startActors(ctx context.Context) {
	c.background.Go(func() { c.tick(ctx) })
	c.background.Go(func() { c.pauses.run(ctx) })
	c.background.Go(func() { c.runElector(ctx) })
	c.background.Go(func() { c.runLeader(ctx) })
	c.background.Go(func() { c.runHolder(ctx) })
	for range cloudWorkers {
		c.background.Go(func() { c.cloud.run(ctx) })
	}
}

// serveAPI serves users and agents until the context ends or the listener fails.
func (c *Controller) serveAPI(ctx context.Context, listener net.Listener) error {
	service := api.New(api.Options{
		Config:          c.cfg,
		Store:           c.store,
		Backoff:         store.Backoff,
		Jobs:            c.jobCache,
		StoreHealthy:    c.storeHealth.available,
		HandleHeartbeat: c.answerHeartbeat,
		TimeOfDay:       clock.Wall,
		Tracer:          c.tracer,
	})
	c.log.Info("serving", "controller", c.cfg.Name, "address", c.cfg.ListenAddress)
	if err := service.Serve(ctx, listener); ctx.Err() == nil {
		return err
	}
	return nil
}
