// Package controller implements the process of one controller: it connects the actors that make the decisions
// (election, leader, shard) to the network. A Controller owns the mailboxes of the actors, the clients of the store,
// the cloud, the agents and the other controllers, and all goroutines. Each actor handles one message at a time and
// returns effects. The controller performs the effects in order, blocking ones in separate goroutines, and sends their
// results to the actor as messages. It makes no decisions itself: the actors determine what to do and when to retry.
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

	// Mailboxes of the actors, and the pause log, which is an actor too.
	elector mailbox[electorMessage]
	leader  mailbox[leader.Message]
	holder  mailbox[shard.Message]
	pauses  *pauseLog

	// Services and clients that perform the effects of the actors.
	store          *store.Client
	storeHealth    *storeHealth
	loader         *stateLoader
	cloud          *cloudWorker
	agents         *agentClient
	follower       *follower
	peers          *peerListener
	storeTransport *peer.StoreTransport
	jobCache       *api.JobCache
	tracer         *trace.Tracer // nil if tracing is disabled

	background sync.WaitGroup // all goroutines of Serve except those of the services
}

// New returns a controller. Its Serve method must be called only once.
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
		// Two consecutive answers must arrive within the maximum age of the leader's view of the jobs.
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

// Serve runs the controller until the context ends or an error prevents it from serving. When Serve returns, all
// goroutines have ended and all listeners are closed. It returns nil if the context has ended.
func (c *Controller) Serve(ctx context.Context) error {
	peerListener, err := netio.Listen(c.cfg.PeerAddress)
	if err != nil {
		return fmt.Errorf("listen for other controllers: %w", err)
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

// newTracer returns the tracer, or nil if the settings name no file for spans.
func (c *Controller) newTracer() (*trace.Tracer, error) {
	tuning := c.cfg.Tuning.Trace
	if tuning.File == "" {
		return nil, nil
	}
	settings := trace.Settings{
		File:      tuning.File,
		MaxBytes:  int64(tuning.MaxFileMB * (1 << 20)),
		JobShare:  tuning.JobShare,
		QueueSize: int(tuning.QueueSize),
	}
	return trace.New(settings, c.cfg.Name, c.clock, c.log)
}

// startServices starts the services whose answers the actors and the API wait for. The returned function stops the
// services and waits for their end. It must be called after the last request to the services.
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

// startActors starts the actors, the ticker and the cloud workers.
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

// serveAPI serves requests of users and agents until the context ends or the listener fails.
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
