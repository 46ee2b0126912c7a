package controller

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/valyala/fasthttp"

	"swiftledge/internal/config"
	"swiftledge/internal/exactjson"
	"swiftledge/internal/jsonhttp"
	"swiftledge/internal/shard"
	"swiftledge/wire"
)

const (
	// commandTimeout bounds a request that carries commands to an agent.
	commandTimeout = 3 * time.Second
	// inspectionTimeout bounds a request for an agent's status.
	inspectionTimeout = 2 * time.Second
	// agentIdleTimeout is how long an idle connection to an agent is kept open.
	agentIdleTimeout = 40 * time.Second
	// connectionsPerAgent is the maximum number of open connections to one agent.
	connectionsPerAgent = 3
	// agentBufferBytes is the size of the read buffer and of the write buffer of a connection.
	agentBufferBytes = 2048
	// minAgentRequests is the lower bound of maxAgentRequests.
	minAgentRequests = 64
)

// maxAgentRequests returns the maximum number of concurrent requests to agents. A request to an unreachable machine
// takes a second or more, and a zone of thousands of machines may be unreachable while others need commands.
func maxAgentRequests(cfg *config.Config) int {
	return max(minAgentRequests, cfg.MaxCommandConnections()/4)
}

// agentClient sends requests to agents, so that the controller does not have to wait for the agents' heartbeats.
type agentClient struct {
	http        *fasthttp.Client
	connections connectionCounter
	// maxKeepAlive is the maximum number of connections that are kept open after a request.
	maxKeepAlive int
	requestSlots chan struct{} // one for each request in progress
}

func newAgentClient(cfg *config.Config) *agentClient {
	a := &agentClient{maxKeepAlive: cfg.MaxCommandConnections(), requestSlots: make(chan struct{}, maxAgentRequests(cfg))}
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

// acquireRequestSlot waits for a request slot. It returns false if the context ends first.
func (a *agentClient) acquireRequestSlot(ctx context.Context) bool {
	select {
	case a.requestSlots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (a *agentClient) releaseRequestSlot() { <-a.requestSlots }

// sendCommands sends commands to an agent and returns its answer. An error means that nothing was sent: the answer's
// code is then shard.NotSent.
func (a *agentClient) sendCommands(ctx context.Context, request shard.SendCommands) (shard.CommandsAnswered, error) {
	answer := shard.CommandsAnswered{Request: request, Code: shard.NotSent}
	if !a.acquireRequestSlot(ctx) {
		return answer, ctx.Err()
	}
	defer a.releaseRequestSlot()
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	if err := jsonhttp.Encode(req, http.MethodPost, request.Address, "/orders", request.Body); err != nil {
		return answer, fmt.Errorf("encode commands to %s: %w", request.Machine, err)
	}
	if a.connections.count() > a.maxKeepAlive {
		req.SetConnectionClose()
	}
	switch err := a.http.DoTimeout(req, res, commandTimeout); {
	case errors.Is(err, errNotConnected):
	case err != nil:
		answer.Code = shard.NoAnswer
	default:
		answer.Code = res.StatusCode()
		if answer.Code == http.StatusOK || answer.Code == http.StatusConflict {
			answer.Status = decodeStatus(res.Body(), request.Machine)
		}
	}
	return answer, nil
}

// inspect requests the status of an agent. An error means that nothing was sent.
func (a *agentClient) inspect(ctx context.Context, request shard.InspectAgent) (shard.InspectionAnswered, error) {
	answer := shard.InspectionAnswered{Request: request}
	if !a.acquireRequestSlot(ctx) {
		return answer, ctx.Err()
	}
	defer a.releaseRequestSlot()
	code, body, err := a.http.GetTimeout(nil, "http://"+request.Address+"/inspect", inspectionTimeout)
	if err == nil && code == http.StatusOK {
		answer.Status = decodeStatus(body, request.Machine)
	}
	return answer, nil
}

// decodeStatus decodes an agent status in a response body. It returns nil if the status is invalid or of another
// machine.
func decodeStatus(body []byte, machine string) *wire.Heartbeat {
	var heartbeat wire.Heartbeat
	if exactjson.Unmarshal(body, &heartbeat) != nil || heartbeat.Machine != machine {
		return nil
	}
	return &heartbeat
}
