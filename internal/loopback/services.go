package loopback

import (
	"net"
	"time"

	"github.com/gofiber/fiber/v3"

	"swiftledge/internal/exactjson"
)

// shutdownTimeout bounds the time that a service waits for open requests when it stops.
const shutdownTimeout = time.Second

// serve starts an HTTP service with the given routes on a free loopback port and returns its address. The service runs
// until the environment stops.
func (e *environment) serve(routes func(*fiber.App)) (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	app := fiber.New()
	routes(app)
	e.goroutines.Go(func() {
		// Listener returns an error when the TCP listener is closed, which is the normal end of the service.
		_ = app.Listener(listener, fiber.ListenConfig{DisableStartupMessage: true})
	})
	e.goroutines.Go(func() {
		<-e.done
		listener.Close()
		// Requests that are still open after the timeout are dropped.
		_ = app.ShutdownWithTimeout(shutdownTimeout)
	})
	return listener.Addr().String(), nil
}

// decodeBody decodes the JSON body of a request. The error makes the service answer 400 if the body is
// malformed.
func decodeBody[T any](c fiber.Ctx) (body T, err error) {
	if exactjson.Unmarshal(c.Body(), &body) != nil {
		return body, fiber.NewError(fiber.StatusBadRequest, "malformed")
	}
	return body, nil
}
