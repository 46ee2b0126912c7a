package api

import (
	"bufio"
	"context"
	"io"
	"net"
	"reflect"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/valyala/fasthttp"

	"swiftledge/internal/clock"
	"swiftledge/internal/config"
	"swiftledge/internal/shard"
	"swiftledge/wire"
)

// serveInBackground runs a service until the test ends, and then waits for it to return.
func serveInBackground(tb testing.TB, s *Service, listener net.Listener) {
	tb.Helper()
	ctx, stop := context.WithCancel(context.Background())
	var serving sync.WaitGroup
	serving.Go(func() {
		if err := s.Serve(ctx, listener); err != nil {
			tb.Error(err)
		}
	})
	tb.Cleanup(func() {
		stop()
		serving.Wait()
	})
}

// newHeartbeatService returns a service that answers heartbeats with the given function.
func newHeartbeatService(
	tb testing.TB, cfg *config.Config, handle func(*wire.Heartbeat) shard.HeartbeatReply,
) *Service {
	tb.Helper()
	now := func() clock.Micros { return 0 }
	jobs := NewJobCache(cfg, now)
	go jobs.Run(tb.Context())
	return New(Options{
		Config:          cfg,
		Jobs:            jobs,
		StoreHealthy:    func() bool { return true },
		HandleHeartbeat: handle,
	})
}

// startService starts a service that gives the same reply to all heartbeats. It returns a function that sends a request
// to the service on a new connection.
func startService(
	t *testing.T, cfg *config.Config, reply shard.HeartbeatReply,
) (send func(request string) *fasthttp.Response) {
	t.Helper()
	return startListening(t, newHeartbeatService(t, cfg, func(*wire.Heartbeat) shard.HeartbeatReply { return reply }))
}

// startListening starts a service. It returns a function that sends a request to the service on a new connection.
func startListening(t *testing.T, s *Service) (send func(request string) *fasthttp.Response) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	serveInBackground(t, s, listener)
	return func(request string) *fasthttp.Response {
		t.Helper()
		conn, err := net.Dial("tcp4", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		if _, err := io.WriteString(conn, request); err != nil {
			t.Fatal(err)
		}
		var response fasthttp.Response
		if err := response.Read(bufio.NewReader(conn)); err != nil {
			t.Fatal(err)
		}
		return &response
	}
}

// heartbeatRequest returns an agent's heartbeat as an HTTP request.
func heartbeatRequest() string {
	return heartbeatRequestWith(`{"rig":"host-000001","stint":1,"tally":1}`)
}

// heartbeatRequestWith returns an HTTP request with the given body of a heartbeat.
func heartbeatRequestWith(body string) string {
	return "POST /agent/beat HTTP/1.1\r\nHost: a\r\nContent-Type: application/json\r\n" +
		"Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

// fewSocketsConfig returns the configuration of a controller with a low socket limit.
func fewSocketsConfig() *config.Config {
	cfg := &config.Config{}
	cfg.Facts.Quota.MaxSockets = 100
	return cfg
}

// Users and health probes can connect even if there are as many agents as the connection limit allows. Near the limit,
// the service closes an agent's connection after each answer.
func TestAgentsLeaveConnectionsForUsers(t *testing.T) {
	cfg := fewSocketsConfig()
	// The server counts a connection until its goroutine has returned, which is slightly later than the client sees the
	// end of the connection. The tenth of the limit that is left to users must have room for closing connections, too.
	cfg.Facts.Quota.MaxSockets = 400
	send := startService(t, cfg, shard.HeartbeatReply{Status: 200})
	keptOpen := 0
	for range 2 * cfg.MaxHTTPConnections() {
		response := send(heartbeatRequest())
		if response.StatusCode() != 200 {
			t.Fatalf("heartbeat: status %d, body %s, want 200", response.StatusCode(), response.Body())
		}
		if !response.ConnectionClose() {
			keptOpen++
		}
	}
	if keptOpen < cfg.MaxHTTPConnections()/2 || keptOpen >= cfg.MaxHTTPConnections() {
		t.Errorf("%d connections of agents kept open, want at least half of the limit of %d, and fewer than the limit", keptOpen, cfg.MaxHTTPConnections())
	}
	for range 5 {
		if response := send("GET /ready HTTP/1.1\r\nHost: a\r\n\r\n"); response.StatusCode() != 200 || response.ConnectionClose() {
			t.Errorf("health probe: status %d or connection closed, want 200 on an open connection", response.StatusCode())
		}
	}
	if !strings.HasPrefix(string(send("GET /api/jobs/nothing HTTP/1.1\r\nHost: a\r\n\r\n").Body()), "{") {
		t.Error("user's request got no JSON answer")
	}
}

// An agent whose heartbeat is refused goes to another controller and closes its connection. An isolated controller
// refuses all heartbeats. This controller saves hundreds of wake-ups per second by closing the connections with the
// answers.
func TestConnectionOfRefusedAgentIsClosed(t *testing.T) {
	for _, status := range []int{200, 421, 503} {
		send := startService(t, fewSocketsConfig(), shard.HeartbeatReply{Status: status})
		response := send(heartbeatRequest())
		if response.StatusCode() != status || response.ConnectionClose() != (status != 200) {
			t.Errorf("status %d, want %d; connection closed: %v", response.StatusCode(), status, response.ConnectionClose())
		}
	}
}

// TestUnknownFieldsOfHeartbeatAreIgnored guards against a field that differs from a known one in case alone being taken
// for it: the heartbeat would be that of another machine, or be refused.
func TestUnknownFieldsOfHeartbeatAreIgnored(t *testing.T) {
	received := make(chan wire.Heartbeat, 1)
	s := newHeartbeatService(t, fewSocketsConfig(), func(heartbeat *wire.Heartbeat) shard.HeartbeatReply {
		received <- *heartbeat
		return shard.HeartbeatReply{Status: 200}
	})
	body := `{"rig":"host-000001","stint":1,"tally":1,"lots":[{"lot":"j-000412/3","try":2,"status":"running","Try":9,"Cause":"done"}],
		"Rig":"host-000002","STINT":9,"Tally":"x","Baton":7,"Lots":[]}`
	if response := startListening(t, s)(heartbeatRequestWith(body)); response.StatusCode() != 200 {
		t.Fatalf("response was %d %s, want 200", response.StatusCode(), response.Body())
	}
	want := wire.Heartbeat{Machine: "host-000001", AgentEpoch: 1, Seq: 1,
		Tasks: []wire.TaskStatus{{Task: "j-000412/3", Attempt: 2, State: wire.TaskRunning}}}
	if got := <-received; !reflect.DeepEqual(got, want) {
		t.Errorf("heartbeat was taken for %+v, want %+v", got, want)
	}
}
