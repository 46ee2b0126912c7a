package controller

import (
	"net"
	"testing"

	"github.com/valyala/fasthttp"
)

// Closing a connection must decrement the counter, which would otherwise grow until no connection is kept open. A
// second Close must not decrement the counter again.
func TestConnectionCounterCountsOpenConnections(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan error, 1)
	go func() { served <- fasthttp.Serve(listener, func(*fasthttp.RequestCtx) {}) }()
	t.Cleanup(func() {
		listener.Close()
		if err := <-served; err != nil {
			t.Error(err)
		}
	})
	var connections connectionCounter
	client := &fasthttp.Client{Dial: connections.dial}
	get := func(closeAfter bool) {
		t.Helper()
		req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		req.SetRequestURI("http://" + listener.Addr().String() + "/")
		if closeAfter {
			req.SetConnectionClose()
		}
		if err := client.Do(req, res); err != nil {
			t.Fatal(err)
		}
	}
	get(false)
	if open := connections.count(); open != 1 {
		t.Errorf("%d connections open after a request with keep-alive, want 1", open)
	}
	get(true)
	if open := connections.count(); open != 0 {
		t.Errorf("%d connections open after a request without keep-alive, want 0", open)
	}
	connection, err := connections.dial(listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	connection.Close()
	connection.Close()
	if open := connections.count(); open != 0 {
		t.Errorf("%d connections open after one was closed twice, want 0", open)
	}
}
