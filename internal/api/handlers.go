package api

import (
	"errors"
	"strconv"
	"strings"

	"github.com/gofiber/fiber/v3"

	"swiftledge/internal/exactjson"
	"swiftledge/internal/trace"
	"swiftledge/wire"
)

// retryAfterSeconds is the Retry-After time for users that could not be served.
const retryAfterSeconds = 1

// writeError writes the response for a handler that failed and for requests that match no route.
func writeError(c fiber.Ctx, err error) error {
	code := fiber.StatusInternalServerError
	var httpError *fiber.Error
	if errors.As(err, &httpError) {
		code = httpError.Code
	}
	// A submission with a body over the size limit counts as malformed.
	if code == fiber.StatusRequestEntityTooLarge {
		code = fiber.StatusBadRequest
	}
	return c.Status(code).JSON(wire.ErrorResponse{Error: err.Error()})
}

// writeResult writes the response to a user's request.
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

// jobRef returns the job reference in the path. It copies the string, since fiber's strings are only valid during the
// request and the cache keeps references for longer.
func jobRef(c fiber.Ctx) string { return strings.Clone(c.Params("ref")) }

func (s *Service) serveSubmit(c fiber.Ctx) error {
	start := s.options.Jobs.now()
	result := s.Submit(c.Body())
	if result.Status.Ref != "" {
		s.options.Tracer.Post(trace.Span{
			Job:        result.Status.Ref,
			Name:       "submit",
			Begin:      start,
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
	if err := exactjson.Unmarshal(c.Body(), heartbeat); err != nil {
		return fiber.NewError(fiber.StatusBadRequest, "report: "+decodeErrorText(err))
	}
	reply := s.options.HandleHeartbeat(heartbeat)
	// An agent whose heartbeat is refused goes to another controller and closes its connection. Closing the
	// connection with the answer saves this controller a wake-up.
	if reply.Status != fiber.StatusOK || s.isNearConnectionLimit(c.App()) {
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

// isNearConnectionLimit reports whether so many connections are open that agents' connections are closed after each
// answer. Agents send heartbeats every few seconds, and their open connections must not prevent users and health probes
// from connecting.
func (s *Service) isNearConnectionLimit(app *fiber.App) bool {
	return int(app.Server().GetOpenConnectionsCount()) > s.options.Config.MaxHTTPConnections()*9/10
}
