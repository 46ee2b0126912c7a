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
	"swiftledge/internal/exactjson"
	"swiftledge/internal/shard"
	"swiftledge/internal/store"
	"swiftledge/internal/trace"
	"swiftledge/wire"
)

// Limits of the HTTP server.
const (
	idleTimeout = 90 * time.Second
	readTimeout = 60 * time.Second
)

// Store has the operations of the store that users' requests need.
type Store interface {
	Get(ctx context.Context, priority store.Priority, key string) (wire.Item, error)
	TryCommit(ctx context.Context, priority store.Priority, txn wire.Txn) (store.TxnResult, error)
}

// Options configures a Service and provides its dependencies.
type Options struct {
	Config *config.Config
	Store  Store
	// Backoff waits before a retry of a request to the store. attempt counts from 0. It returns false if ctx
	// ends first.
	Backoff func(ctx context.Context, attempt int) bool
	Jobs    *JobCache
	// StoreHealthy reports whether the store has served this controller recently.
	StoreHealthy func() bool
	// HandleHeartbeat returns the reply to an agent's heartbeat. It may block.
	HandleHeartbeat func(*wire.Heartbeat) shard.HeartbeatReply
	// TimeOfDay returns the current time, which is stored as the acceptance time of jobs.
	TimeOfDay func() clock.Micros
	// Tracer receives the spans of submissions. If it is nil, nothing is traced.
	Tracer *trace.Tracer
}

// Service is the HTTP server of a controller.
type Service struct {
	options    Options
	validator  submissionValidator
	heartbeats *heartbeatAdmission
}

// New returns a service. Serve runs it.
func New(options Options) *Service {
	return &Service{options: options, validator: newSubmissionValidator(), heartbeats: newHeartbeatAdmission()}
}

// Serve answers requests on listener until ctx ends, which closes listener, or until listener fails. Serve must be
// called only once. It does not wait for requests in progress before it returns.
func (s *Service) Serve(ctx context.Context, listener net.Listener) error {
	ctx, stop := context.WithCancel(ctx)
	var admission sync.WaitGroup
	admission.Go(func() { s.heartbeats.run(ctx) })
	defer admission.Wait()
	defer stop()
	context.AfterFunc(ctx, func() { listener.Close() })
	if err := s.routes().Listener(listener, fiber.ListenConfig{DisableStartupMessage: true}); err != nil {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}

func (s *Service) routes() *fiber.App {
	app := fiber.New(fiber.Config{
		BodyLimit:    wire.MaxBodyBytes,
		IdleTimeout:  idleTimeout,
		ReadTimeout:  readTimeout,
		Concurrency:  s.options.Config.MaxHTTPConnections(),
		ErrorHandler: writeError,
		JSONEncoder:  json.Marshal,
		JSONDecoder:  exactjson.Unmarshal,
	})
	app.Post("/agent/beat", s.serveHeartbeat)
	app.Post("/api/jobs", s.serveSubmit)
	app.Get("/api/jobs/:ref", s.serveStatus)
	app.Post("/api/jobs/:ref/abort", s.serveCancel)
	app.Get("/ready", s.serveReady)
	return app
}

// Ready reports whether the load balancer should send users to this controller. It returns false when other controllers
// probably serve users better: when the store fails for this controller but not for the leader, or when this controller
// has contact neither with the store nor with any other controller, which may still reach the store. In an outage of
// the store for all controllers, all stay ready, since the load balancer is slow to include a controller again.
func (s *Service) Ready() bool {
	if s.options.StoreHealthy() {
		return true
	}
	view := s.options.Jobs.Lookup("")
	return !view.LeaderReachable && !view.Isolated
}
