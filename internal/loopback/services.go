package loopback

import (
	"encoding/json"
	"net"
	"time"

	"github.com/gofiber/fiber/v3"
)

// shutdownTimeout is how long a service waits at its end for requests that it is answering.
const shutdownTimeout = time.Second

// serve answers on loopback until the site ends, and returns the address.
func (s *environment) serve(routes func(*fiber.App)) (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	app := fiber.New()
	routes(app)
	s.goroutines.Go(func() {
		// It fails when the listener is closed, which is its end.
		_ = app.Listener(listener, fiber.ListenConfig{DisableStartupMessage: true})
	})
	s.goroutines.Go(func() {
		<-s.done
		listener.Close()
		// Requests that are still open then are dropped, as by a site that ends.
		_ = app.ShutdownWithTimeout(shutdownTimeout)
	})
	return listener.Addr().String(), nil
}

// decodeBody reads the body of a request.
func decodeBody[T any](c fiber.Ctx) (body T, err error) {
	if json.Unmarshal(c.Body(), &body) != nil {
		return body, fiber.NewError(fiber.StatusBadRequest, "malformed")
	}
	return body, nil
}
