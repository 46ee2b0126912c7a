// Package store is the client of the state service, a linearizable key-value store with versioned keys,
// transactions on conditions, leases and watches.
//
// It owns the controller's share of the service's request and write limits: every request waits in a rate
// limiter until the budget allows it, the important ones first. It retries only where that is asked for
// (Commit), since a transaction that got no answer may have been carried out, and what follows from that is the
// caller's decision. It keeps no copy of what is stored.
package store

import (
	"context"
	"fmt"
	"time"

	"github.com/goccy/go-json"
	"github.com/valyala/fasthttp"

	"swiftledge/internal/jsonhttp"
)

const (
	maxConnections      = 32
	maxWatchConnections = 8
	dialTimeout         = 1200 * time.Millisecond
	idleTimeout         = 30 * time.Second
	connectionWait      = 2 * time.Second
	requestTimeout      = 1500 * time.Millisecond
	// watchGrace is how much longer than a watch blocks its answer may take.
	watchGrace = 3 * time.Second
)

// Client sends requests to the state service within the controller's budget.
type Client struct {
	connections *fasthttp.HostClient
	// watchConnections are apart, as a watch holds its connection for long.
	watchConnections *fasthttp.HostClient
	limiter          *rateLimiter
	reportServing    func(serving bool)
}

// New makes a client of the state service at address; no request is sent before Run. reportServing is told of every
// answer and of every failure to get one.
func New(address string, budget Budget, reportServing func(serving bool)) *Client {
	return &Client{
		connections:      newHostClient(address, maxConnections),
		watchConnections: newHostClient(address, maxWatchConnections),
		limiter:          newRateLimiter(budget),
		reportServing:    reportServing,
	}
}

// Run lets requests pass within the budget until ctx ends. Requests that wait then, or come later, are not sent.
func (c *Client) Run(ctx context.Context) {
	c.limiter.run(ctx)
	c.connections.CloseIdleConnections()
	c.watchConnections.CloseIdleConnections()
}

// SetBudget changes the controller's share of the limits, as a leader needs more than the others.
func (c *Client) SetBudget(budget Budget) { c.limiter.setBudget(budget) }

// newHostClient makes the HTTP client for a kind of requests.
func newHostClient(address string, maxConnections int) *fasthttp.HostClient {
	client := jsonhttp.NewHostClient(address, maxConnections, dialTimeout)
	client.MaxIdleConnDuration = idleTimeout
	client.MaxConnWaitTimeout = connectionWait
	client.NoDefaultUserAgentHeader = true
	return client
}

// request is one HTTP request to the state service.
type request struct {
	operation   Operation
	key         string // for errors
	priority    Priority
	writes      int // how many count against the write limit
	connections *fasthttp.HostClient
	method, uri string // without the host
	body        any    // of any type that JSON encodes; nil: no body
	timeout     time.Duration
}

// do sends a request once the budget allows it. It returns the status of the answer, whose body is decoded into
// response unless that is nil.
func (c *Client) do(ctx context.Context, r request, response any) (int, error) {
	if err := c.limiter.wait(ctx, r.priority, r.writes); err != nil {
		return 0, r.failed(ErrNotExecuted, fmt.Errorf("waiting for the request budget: %w", err))
	}
	httpRequest, httpResponse := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(httpRequest)
	defer fasthttp.ReleaseResponse(httpResponse)
	if err := jsonhttp.Encode(httpRequest, r.method, r.connections.Addr, r.uri, r.body); err != nil {
		return 0, r.failed(ErrMalformed, fmt.Errorf("encode: %w", err))
	}
	if err := r.connections.DoTimeout(httpRequest, httpResponse, r.timeout); err != nil {
		c.reportServing(false)
		return 0, r.failed(ErrOutcomeUnknown, err)
	}
	status := httpResponse.StatusCode()
	limited, unavailable := status == fasthttp.StatusTooManyRequests, status == fasthttp.StatusServiceUnavailable
	if limited {
		c.limiter.reportLimited()
	}
	c.reportServing(!unavailable)
	if response == nil || len(httpResponse.Body()) == 0 || limited || unavailable {
		return status, nil
	}
	if err := json.Unmarshal(httpResponse.Body(), response); err != nil {
		return status, r.failed(ErrOutcomeUnknown, fmt.Errorf("decode: %w", err))
	}
	return status, nil
}
