package api

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/goccy/go-json"
	"github.com/gofiber/fiber/v3"

	"swiftledge/internal/clock"
	"swiftledge/internal/config"
	"swiftledge/internal/shard"
	"swiftledge/internal/store"
	"swiftledge/internal/trace"
	"swiftledge/wire"
)

// Limits of the HTTP server.
const (
	maxBodyBytes = 64 << 10
	idleTimeout  = 90 * time.Second
	readTimeout  = 60 * time.Second
)

// Store is what the users' requests need of the store.
type Store interface {
	Get(ctx context.Context, priority store.Priority, key string) (wire.Item, error)
	TryCommit(ctx context.Context, priority store.Priority, txn wire.Txn) (store.TxnResult, error)
}

// Options are what a Service works with.
type Options struct {
	Config *config.Config
	Store  Store
	// Backoff waits before a request to the store is sent again; attempt counts from 0. It returns false
	// when ctx ends first.
	Backoff func(ctx context.Context, attempt int) bool
	Jobs    *JobCache
	// StoreHealthy reports whether the store has served this controller lately.
	StoreHealthy func() bool
	// HandleHeartbeat answers a worker's heartbeat. It may block.
	HandleHeartbeat func(*wire.Heartbeat) shard.HeartbeatReply
	// TimeOfDay is the time at which jobs are accepted.
	TimeOfDay func() clock.Micros
	// Tracer takes the spans of submissions; with nil nothing is traced.
	Tracer *trace.Tracer
}

// Service is the HTTP side of a controller.
type Service struct {
	options    Options
	validator  submissionValidator
	heartbeats *heartbeatAdmission
}

// New makes a service; Serve runs it.
func New(options Options) *Service {
	return &Service{options: options, validator: newSubmissionValidator(), heartbeats: newHeartbeatAdmission()}
}

// Serve answers requests on l until ctx ends, which closes l, or l fails. It is called once. Requests that
// are under way when it returns are not awaited.
func (s *Service) Serve(ctx context.Context, l net.Listener) error {
	ctx, stop := context.WithCancel(ctx)
	var admission sync.WaitGroup
	admission.Go(func() { s.heartbeats.run(ctx) })
	defer admission.Wait()
	defer stop()
	context.AfterFunc(ctx, func() { l.Close() })
	if err := s.routes().Listener(l, fiber.ListenConfig{DisableStartupMessage: true}); err != nil {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}

func (s *Service) routes() *fiber.App {
	app := fiber.New(fiber.Config{
		BodyLimit:    maxBodyBytes,
		IdleTimeout:  idleTimeout,
		ReadTimeout:  readTimeout,
		Concurrency:  s.options.Config.MaxHTTPConnections(),
		ErrorHandler: writeError,
		JSONEncoder:  json.Marshal,
		JSONDecoder:  json.Unmarshal,
	})
	app.Post("/agent/beat", s.serveHeartbeat)
	app.Post("/api/jobs", s.serveSubmit)
	app.Get("/api/jobs/:ref", s.serveStatus)
	app.Post("/api/jobs/:ref/abort", s.serveCancel)
	app.Get("/ready", s.serveReady)
	return app
}

// Ready reports whether the load balancer should send users here. It is false where they fare better
// elsewhere: when the store fails this controller but not the leader, or when the store is gone together with
// all other controllers, which may well have it. In an outage for all, all controllers stay ready, as the
// load balancer takes one back only slowly.
func (s *Service) Ready() bool {
	if s.options.StoreHealthy() {
		return true
	}
	view := s.options.Jobs.Lookup("")
	return !view.LeaderReachable && !view.Isolated
}
