// Package api serves users and workers over HTTP. The handlers only translate;
// what jobs become is decided by transactions in the store.
package api

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-json"
	"github.com/gofiber/fiber/v3"

	"swiftledge/internal/clock"
	"swiftledge/internal/config"
	"swiftledge/internal/shard"
	"swiftledge/internal/trace"
	"swiftledge/wire"
)

const maxBody = 64 << 10

// Service is the HTTP side of a node.
type Service struct {
	cfg     *config.Config
	store   Store
	pause   func(ctx context.Context, n int) bool // before try n+1
	jobs    *JobCache
	storeOK func() bool
	report  func(*wire.Heartbeat) shard.HeartbeatReply
	wall    func() clock.Micros // time of day
	log     *slog.Logger
	form    formChecker
	reports *admission
	app     *fiber.App
	tracer  *trace.Tracer // nil: nothing is traced
}

// New makes the service; report answers a worker.
func New(cfg *config.Config, s Store, pause func(context.Context, int) bool, d *JobCache, storeOK func() bool, report func(*wire.Heartbeat) shard.HeartbeatReply, wall func() clock.Micros, log *slog.Logger) *Service {
	return &Service{cfg: cfg, store: s, pause: pause, jobs: d, storeOK: storeOK, report: report, wall: wall, log: log, form: newFormChecker(), reports: newAdmission()}
}

// Serve answers on l until it fails.
func (s *Service) Serve(l net.Listener) error {
	s.app = s.routes()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go s.reports.run(ctx)
	if err := s.app.Listener(l, fiber.ListenConfig{DisableStartupMessage: true}); err != nil {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}

func (s *Service) routes() *fiber.App {
	app := fiber.New(fiber.Config{
		BodyLimit:    maxBody,
		IdleTimeout:  90 * time.Second,
		ReadTimeout:  60 * time.Second,
		Concurrency:  s.cfg.HTTPSockets(),
		ErrorHandler: problem,
		JSONEncoder:  json.Marshal,
		JSONDecoder:  json.Unmarshal,
	})
	app.Post("/agent/beat", s.beat)
	app.Post("/api/jobs", s.submit)
	app.Get("/api/jobs/:ref", s.status)
	app.Post("/api/jobs/:ref/abort", s.abort)
	app.Get("/ready", s.ready)
	return app
}

// crowded says whether workers are to give their connections up after each answer:
// they come every few seconds, and must not keep users and health probes out.
func (s *Service) crowded() bool {
	return int(s.app.Server().GetOpenConnectionsCount()) > s.cfg.HTTPSockets()*9/10
}

func problem(c fiber.Ctx, err error) error {
	code := fiber.StatusInternalServerError
	var fe *fiber.Error
	if errors.As(err, &fe) {
		code = fe.Code
	}
	// A body over the limit is a malformed submission.
	if code == fiber.StatusRequestEntityTooLarge {
		code = fiber.StatusBadRequest
	}
	return c.Status(code).JSON(wire.ErrorResponse{Error: err.Error()})
}

// retryAfterS is when a user that could not be served should come back.
const retryAfterS = 1

func (s *Service) reply(c fiber.Ctx, r Result) error {
	switch {
	case r.Code == 503:
		c.Set("Retry-After", strconv.Itoa(retryAfterS))
		return c.Status(503).JSON(wire.ErrorResponse{Error: r.Reason})
	case r.Code >= 400:
		return c.Status(r.Code).JSON(wire.ErrorResponse{Error: r.Reason})
	}
	return c.Status(r.Code).JSON(r.Status)
}

// SetTracer has spans of submissions written; it is called before Serve.
func (s *Service) SetTracer(t *trace.Tracer) { s.tracer = t }

func (s *Service) submit(c fiber.Ctx) error {
	begin := s.jobs.now()
	r := s.Submit(c.Body())
	if r.Status.Ref != "" {
		s.tracer.Post(trace.Span{Job: r.Status.Ref, Name: "submit", Begin: begin, End: s.jobs.now(),
			Attributes: []trace.Attribute{{Key: "answer", Value: strconv.Itoa(r.Code)}}})
	}
	return s.reply(c, r)
}

// ref is copied: fiber's strings live only as long as the request, and the
// directory keeps references to jobs for longer.
func ref(c fiber.Ctx) string { return strings.Clone(c.Params("ref")) }

func (s *Service) status(c fiber.Ctx) error { return s.reply(c, s.Status(ref(c))) }

func (s *Service) abort(c fiber.Ctx) error { return s.reply(c, s.Cancel(ref(c))) }

func (s *Service) ready(c fiber.Ctx) error {
	if !s.Ready() {
		return c.Status(503).JSON(wire.ErrorResponse{Error: "the state service refuses this node"})
	}
	return c.SendStatus(200)
}

// Ready says whether users fare no better elsewhere: when the state service fails
// this node, but not the leader, or when it is gone together with all other
// controllers, which may well have it. In an outage for all, all stay ready: a node
// that was taken out comes back slowly.
func (s *Service) Ready() bool {
	if s.storeOK() {
		return true
	}
	v := s.jobs.Lookup("")
	return !v.LeaderReachable && !v.Isolated
}

func (s *Service) beat(c fiber.Ctx) error {
	s.reports.wait()
	r := &wire.Heartbeat{}
	if err := json.Unmarshal(c.Body(), r); err != nil {
		return fiber.NewError(400, "report: "+decodeErrorText(err))
	}
	a := s.report(r)
	// Who is refused goes to another node: closing first spares us the wake-up for its end.
	if a.Status != 200 || s.crowded() {
		c.RequestCtx().SetConnectionClose()
	}
	switch a.Status {
	case 200:
		return c.JSON(a.Body)
	case 421:
		return c.Status(421).JSON(a.Redirect)
	}
	return c.SendStatus(a.Status)
}
