package controller

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/goccy/go-json"
	"github.com/valyala/fasthttp"

	"swiftledge/internal/config"
	"swiftledge/internal/jsonhttp"
	"swiftledge/internal/shard"
	"swiftledge/wire"
)

const (
	// commandTimeout bounds a request that carries commands to an agent.
	commandTimeout = 3 * time.Second
	// inspectionTimeout bounds a request for an agent's heartbeat.
	inspectionTimeout = 2 * time.Second
	// agentIdleTimeout is how long an unused connection to an agent is kept.
	agentIdleTimeout = 40 * time.Second
	// connectionsPerAgent is how many connections to one agent may be open.
	connectionsPerAgent = 3
	// agentBufferBytes is the size of a connection's read and write buffers.
	agentBufferBytes = 2048
	// minAgentRequests is how many requests to agents may be under way at least.
	minAgentRequests = 64
)

// maxAgentRequests returns how many requests to agents may be under way. One to a machine that cannot be
// reached takes a second or more, and a zone of thousands may be unreachable while others are to be commanded.
func maxAgentRequests(cfg *config.Config) int {
	return max(minAgentRequests, cfg.MaxCommandConnections()/4)
}

// agentClient sends requests to the agents of machines, in place of waiting for their heartbeats.
type agentClient struct {
	http        *fasthttp.Client
	connections connectionCounter
	// maxKept is how many connections are kept open after their request.
	maxKept int
	slots   chan struct{} // one for each request that is under way
}

func newAgentClient(cfg *config.Config) *agentClient {
	a := &agentClient{maxKept: cfg.MaxCommandConnections(), slots: make(chan struct{}, maxAgentRequests(cfg))}
	a.http = &fasthttp.Client{
		Dial:                      a.connections.dial,
		MaxConnsPerHost:           connectionsPerAgent,
		MaxIdleConnDuration:       agentIdleTimeout,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		NoDefaultUserAgentHeader:  true,
		ReadBufferSize:            agentBufferBytes,
		WriteBufferSize:           agentBufferBytes,
	}
	return a
}

// acquire waits until another request may be sent. It returns false if the context ends first.
func (a *agentClient) acquire(ctx context.Context) bool {
	select {
	case a.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (a *agentClient) release() { <-a.slots }

// sendCommands sends commands to an agent and returns its answer. An error says that nothing was sent.
func (a *agentClient) sendCommands(ctx context.Context, request shard.SendCommands) (shard.CommandsAnswered, error) {
	answer := shard.CommandsAnswered{Request: request}
	if !a.acquire(ctx) {
		return answer, ctx.Err()
	}
	defer a.release()
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	if err := jsonhttp.Encode(req, http.MethodPost, request.Address, "/orders", request.Body); err != nil {
		return answer, fmt.Errorf("encode commands to %s: %w", request.Machine, err)
	}
	if a.connections.count() > a.maxKept {
		req.SetConnectionClose()
	}
	switch err := a.http.DoTimeout(req, res, commandTimeout); {
	case errors.Is(err, errNotConnected):
		answer.Code = shard.NotSent
	case err == nil:
		answer.Code = res.StatusCode()
		if answer.Code == http.StatusOK || answer.Code == http.StatusConflict {
			answer.Status = decodeHeartbeat(res.Body(), request.Machine)
		}
	}
	return answer, nil
}

// inspect asks an agent for its heartbeat. An error says that nothing was sent.
func (a *agentClient) inspect(ctx context.Context, request shard.InspectAgent) (shard.InspectionAnswered, error) {
	answer := shard.InspectionAnswered{Request: request}
	if !a.acquire(ctx) {
		return answer, ctx.Err()
	}
	defer a.release()
	code, body, err := a.http.GetTimeout(nil, "http://"+request.Address+"/inspect", inspectionTimeout)
	if err == nil && code == http.StatusOK {
		answer.Status = decodeHeartbeat(body, request.Machine)
	}
	return answer, nil
}

// decodeHeartbeat returns the heartbeat in an answer's body; nil if it is none of the machine's.
func decodeHeartbeat(body []byte, machine string) *wire.Heartbeat {
	var heartbeat wire.Heartbeat
	if json.Unmarshal(body, &heartbeat) != nil || heartbeat.Machine != machine {
		return nil
	}
	return &heartbeat
}
