// Package controller wires the actors of one controller: it carries out their effects
// and brings the results back to them as messages.
package controller

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"swiftledge/internal/api"
	"swiftledge/internal/clock"
	"swiftledge/internal/cloud"
	"swiftledge/internal/cluster"
	"swiftledge/internal/config"
	"swiftledge/internal/election"
	"swiftledge/internal/leader"
	"swiftledge/internal/netio"
	"swiftledge/internal/peer"
	"swiftledge/internal/shard"
	"swiftledge/internal/store"
	"swiftledge/internal/trace"
	"swiftledge/wire"
)

// mailbox is how an actor is spoken to.
type mailbox chan any

// leastMailbox is how many messages wait for an actor at least before their senders do.
const leastMailbox = 4096

// mailboxSize leaves room for a message of each connection, so that the actors, which also write to
// each other, never wait for each other behind the machines' reports.
func mailboxSize(cfg *config.Config) int { return max(leastMailbox, 2*cfg.Facts.Quota.MaxSockets) }

// leastDirects is how many direct commands may be under way at least.
const leastDirects = 64

// mostDirects is how many direct commands may be under way: one to a machine that cannot be reached
// takes a second or more, and a zone of thousands may be out of reach while others are to be told.
func mostDirects(cfg *config.Config) int { return max(leastDirects, cfg.MaxCommandConnections()/4) }

// Controller is one controller.
type Controller struct {
	cfg            *config.Config
	log            *slog.Logger
	clock          clock.Steady
	incarnation    cluster.Incarnation
	store          *store.Client
	health         *health
	cloud          *cloud.Client
	workers        *fasthttp.Client
	dialled        dialled
	jobCache       *api.JobCache
	storeTransport *peer.StoreTransport
	tracer         *trace.Tracer // nil: nothing is traced

	elector, holder, pauses mailbox
	leader                  chan leader.Message
	cloudWork               chan func(context.Context)
	commandSlots            chan struct{}
}

// New makes a node; Serve runs it.
func New(cfg *config.Config, log *slog.Logger) *Controller {
	n := &Controller{cfg: cfg, log: log, clock: clock.NewSteady(), incarnation: cluster.Incarnation(rand.Uint64() >> 1),
		elector: make(mailbox, leastMailbox), leader: make(chan leader.Message, mailboxSize(cfg)), holder: make(mailbox, mailboxSize(cfg)),
		pauses: make(mailbox, 16), cloudWork: make(chan func(context.Context), 64), commandSlots: make(chan struct{}, mostDirects(cfg))}
	n.health = newHealth()
	n.store = store.New(cfg.Endpoints.State, n.share(false), n.health.note)
	n.cloud = cloud.New(cfg.Endpoints.Cloud, cfg.Facts.Cloud.RPS)
	n.workers = &fasthttp.Client{MaxConnsPerHost: 3, MaxIdemponentCallAttempts: 1, MaxIdleConnDuration: 40 * time.Second,
		RetryIfErr:               func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		NoDefaultUserAgentHeader: true, ReadBufferSize: 2048, WriteBufferSize: 2048,
		Dial: n.dialled.dial}
	n.jobCache = api.NewJobCache(cfg, n.clock.Now)
	n.storeTransport = peer.NewStoreTransport(cfg.Name, n.store, cfg.TargetValueBytes(), cfg.StoreTransportBacklog(), peer.FrameInterval)
	return n
}

// share is this node's part of the store's budget: the leader writes most. The
// parts add up to more than the whole, since bursts seldom meet; see store.Budget.
func (n *Controller) share(leads bool) store.Budget {
	part := 0.35
	switch {
	case len(n.cfg.Peers) == 0:
		part = 0.95
	case leads:
		part = 0.5
	}
	s := n.cfg.Facts.State
	return store.Budget{RequestsPerSecond: s.RPS * part, WritesPerSecond: s.WriteRPS * part}
}

// Serve runs the node until ctx ends or a listener fails.
func (n *Controller) Serve(ctx context.Context) error {
	back, err := netio.Listen(n.cfg.PeerAddress)
	if err != nil {
		return fmt.Errorf("listen for controllers: %w", err)
	}
	front, err := netio.Listen(n.cfg.ListenAddress)
	if err != nil {
		return fmt.Errorf("listen for users and workers: %w", err)
	}
	if err := n.startTracer(ctx); err != nil {
		return err
	}
	go n.store.Run(ctx)
	go n.tick(ctx)
	go n.runPauses(ctx)
	go n.runElector(ctx)
	go n.runLeader(ctx)
	go n.runHolder(ctx)
	for range cloudCalls {
		go n.runCloud(ctx)
	}
	go n.watchLeader(ctx)
	go n.acceptPeers(back)
	go n.storeTransport.Run(ctx, func(c net.Conn) { go n.acceptPeer(c, peer.TransportStore) })
	go n.jobCache.Run(ctx)
	svc := api.New(api.Options{
		Config:          n.cfg,
		Store:           n.store,
		Backoff:         store.Backoff,
		Jobs:            n.jobCache,
		StoreHealthy:    n.health.ok,
		HandleHeartbeat: n.report,
		TimeOfDay:       clock.Wall,
		Tracer:          n.tracer,
	})
	n.log.Info("serving", "node", n.cfg.Name, "on", n.cfg.ListenAddress)
	return svc.Serve(ctx, front)
}

// startTracer starts what writes spans, if the settings name a file.
func (n *Controller) startTracer(ctx context.Context) (err error) {
	t := n.cfg.Tuning.Trace
	if t.File == "" {
		return nil
	}
	s := trace.Settings{File: t.File, MaxBytes: int64(t.MaxFileMB * (1 << 20)), JobShare: t.JobShare, Queue: int(t.Queue)}
	if n.tracer, err = trace.New(s, n.cfg.Name, n.clock, n.log); err != nil {
		return err
	}
	go n.tracer.Run(ctx)
	return nil
}

// replyChannel takes the one answer to a heartbeat.
type replyChannel chan shard.HeartbeatReply

// Respond gives the answer to whoever waits for it.
func (c replyChannel) Respond(reply shard.HeartbeatReply) { c <- reply }

// report hands a worker's report to the holder and waits for its answer.
func (n *Controller) report(r *wire.Heartbeat) shard.HeartbeatReply {
	ch := make(replyChannel, 1)
	n.holder <- shard.HeartbeatReceived{ReplyTo: ch, Heartbeat: r}
	return <-ch
}

// tickEvery is how often time passes for the actors, for all of them at once: on a
// small machine each wake-up costs more than what is then done.
const tickEvery = 250 * time.Millisecond

func (n *Controller) tick(ctx context.Context) {
	t := time.NewTicker(tickEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		offer[any](n.elector, election.Tick{})
		offer[leader.Message](n.leader, leader.Tick{})
		offer[any](n.holder, shard.Tick{})
	}
}

// offer hands a message to an actor that has room for it in its mailbox.
func offer[T any](mailbox chan<- T, message T) {
	select {
	case mailbox <- message:
	default:
	}
}
