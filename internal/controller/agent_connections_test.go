package controller

import (
	"net"
	"testing"

	"github.com/valyala/fasthttp"
)

// Connections to agents that are not kept must be uncounted, or after a while none would be kept any more.
func TestConnectionCounterCountsOpenConnections(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan error, 1)
	go func() { served <- fasthttp.Serve(l, func(*fasthttp.RequestCtx) {}) }()
	t.Cleanup(func() {
		l.Close()
		if err := <-served; err != nil {
			t.Error(err)
		}
	})
	var connections connectionCounter
	client := &fasthttp.Client{Dial: connections.dial}
	get := func(last bool) {
		t.Helper()
		req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		req.SetRequestURI("http://" + l.Addr().String() + "/")
		if last {
			req.SetConnectionClose()
		}
		if err := client.Do(req, res); err != nil {
			t.Fatal(err)
		}
	}
	get(false)
	if open := connections.count(); open != 1 {
		t.Errorf("%d connections open, want the one that is kept", open)
	}
	get(true)
	if open := connections.count(); open != 0 {
		t.Errorf("%d connections open after the last was not kept", open)
	}
	connection, err := connections.dial(l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	connection.Close()
	connection.Close()
	if open := connections.count(); open != 0 {
		t.Errorf("%d connections open after one was closed twice", open)
	}
}
