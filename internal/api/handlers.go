package api

import (
	"errors"
	"strconv"
	"strings"

	"github.com/goccy/go-json"
	"github.com/gofiber/fiber/v3"

	"swiftledge/internal/trace"
	"swiftledge/wire"
)

// retryAfterSeconds is when a user that could not be served should come back.
const retryAfterSeconds = 1

// writeError answers for a handler that failed, and for requests that reach none.
func writeError(c fiber.Ctx, err error) error {
	code := fiber.StatusInternalServerError
	var httpError *fiber.Error
	if errors.As(err, &httpError) {
		code = httpError.Code
	}
	// A body over the limit is a malformed submission.
	if code == fiber.StatusRequestEntityTooLarge {
		code = fiber.StatusBadRequest
	}
	return c.Status(code).JSON(wire.ErrorResponse{Error: err.Error()})
}

// writeResult answers a user.
func writeResult(c fiber.Ctx, result Result) error {
	c.Status(result.Code)
	if result.Code == fiber.StatusServiceUnavailable {
		c.Set(fiber.HeaderRetryAfter, strconv.Itoa(retryAfterSeconds))
	}
	if result.Code >= fiber.StatusBadRequest {
		return c.JSON(wire.ErrorResponse{Error: result.Reason})
	}
	return c.JSON(result.Status)
}

// jobRef returns the reference in the path. It is copied: fiber's strings live only as long as the request,
// and the cache keeps references for longer.
func jobRef(c fiber.Ctx) string { return strings.Clone(c.Params("ref")) }

func (s *Service) serveSubmit(c fiber.Ctx) error {
	begin := s.options.Jobs.now()
	result := s.Submit(c.Body())
	if result.Status.Ref != "" {
		s.options.Tracer.Post(trace.Span{
			Job:        result.Status.Ref,
			Name:       "submit",
			Begin:      begin,
			End:        s.options.Jobs.now(),
			Attributes: []trace.Attribute{{Key: "answer", Value: strconv.Itoa(result.Code)}},
		})
	}
	return writeResult(c, result)
}

func (s *Service) serveStatus(c fiber.Ctx) error { return writeResult(c, s.Status(jobRef(c))) }

func (s *Service) serveCancel(c fiber.Ctx) error { return writeResult(c, s.Cancel(jobRef(c))) }

func (s *Service) serveReady(c fiber.Ctx) error {
	if !s.Ready() {
		response := wire.ErrorResponse{Error: "the state service refuses this node"}
		return c.Status(fiber.StatusServiceUnavailable).JSON(response)
	}
	return c.SendStatus(fiber.StatusOK)
}

func (s *Service) serveHeartbeat(c fiber.Ctx) error {
	s.heartbeats.wait()
	heartbeat := &wire.Heartbeat{}
	if err := json.Unmarshal(c.Body(), heartbeat); err != nil {
		return fiber.NewError(fiber.StatusBadRequest, "report: "+decodeErrorText(err))
	}
	reply := s.options.HandleHeartbeat(heartbeat)
	// A worker that is refused goes to another controller and closes its connection: to close it first
	// spares this controller the wake-up for that.
	if reply.Status != fiber.StatusOK || s.isNearSocketLimit(c.App()) {
		c.RequestCtx().SetConnectionClose()
	}
	switch reply.Status {
	case fiber.StatusOK:
		return c.JSON(reply.Body)
	case fiber.StatusMisdirectedRequest:
		return c.Status(fiber.StatusMisdirectedRequest).JSON(reply.Redirect)
	}
	return c.SendStatus(reply.Status)
}

// isNearSocketLimit reports whether workers are to give their connections up after each answer: they come
// every few seconds, and must not keep users and health probes out.
func (s *Service) isNearSocketLimit(app *fiber.App) bool {
	return int(app.Server().GetOpenConnectionsCount()) > s.options.Config.MaxHTTPConnections()*9/10
}
