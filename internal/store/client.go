// Package store is the client of the state service, a linearizable key-value store with versioned keys,
// conditional transactions, leases and watches.
//
// The client owns the controller's share of the service's request and write limits: every request waits in a rate
// limiter until the budget allows it, in order of priority. Only Commit retries. All other calls leave retries to the
// caller, since a transaction without an answer may have been executed and the caller has to decide what to do then.
// The client does not cache stored data.
package store

import (
	"context"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"swiftledge/internal/exactjson"
	"swiftledge/internal/jsonhttp"
)

const (
	maxConnections      = 32
	maxWatchConnections = 8
	dialTimeout         = 1200 * time.Millisecond
	idleTimeout         = 30 * time.Second
	connectionWait      = 2 * time.Second
	requestTimeout      = 1500 * time.Millisecond
	// watchTimeoutMargin is the time that a watch's answer may take beyond the time for which the watch blocks.
	watchTimeoutMargin = 3 * time.Second
)

// Client sends requests to the state service, within the controller's budget.
type Client struct {
	connections *fasthttp.HostClient
	// watchConnections are separate, since a watch occupies its connection for a long time.
	watchConnections   *fasthttp.HostClient
	limiter            *rateLimiter
	reportAvailability func(available bool)
}

// New returns a client of the state service at address. The client sends no request before Run is called. The client
// calls reportAvailability after every answer and after every failure to get one.
func New(address string, budget Budget, reportAvailability func(available bool)) *Client {
	return &Client{
		connections:        newHostClient(address, maxConnections),
		watchConnections:   newHostClient(address, maxWatchConnections),
		limiter:            newRateLimiter(budget),
		reportAvailability: reportAvailability,
	}
}

// Run admits requests within the budget until ctx ends. Requests that are still waiting then, and later ones, fail
// without being sent.
func (c *Client) Run(ctx context.Context) {
	c.limiter.run(ctx)
	c.connections.CloseIdleConnections()
	c.watchConnections.CloseIdleConnections()
}

// SetBudget changes the controller's share of the limits. The leader needs a larger share than other controllers.
func (c *Client) SetBudget(budget Budget) { c.limiter.setBudget(budget) }

// newHostClient returns an HTTP client of the state service with its own connection pool.
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
	key         string // key, prefix or lease, for error texts
	priority    Priority
	writes      int // number of writes that count against the write limit
	connections *fasthttp.HostClient
	method, uri string // without the host
	body        any    // any type that JSON can encode; nil: no body
	timeout     time.Duration
}

// do sends a request once the budget allows it and returns the HTTP status. It decodes the answer's body into response
// unless response is nil.
func (c *Client) do(ctx context.Context, r request, response any) (int, error) {
	if err := c.limiter.wait(ctx, r.priority, r.writes); err != nil {
		return 0, r.newError(ErrNotExecuted, fmt.Errorf("wait for the request budget: %w", err))
	}
	httpRequest, httpResponse := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(httpRequest)
	defer fasthttp.ReleaseResponse(httpResponse)
	if err := jsonhttp.Encode(httpRequest, r.method, r.connections.Addr, r.uri, r.body); err != nil {
		return 0, r.newError(ErrMalformed, fmt.Errorf("encode request: %w", err))
	}
	if err := r.connections.DoTimeout(httpRequest, httpResponse, r.timeout); err != nil {
		c.reportAvailability(false)
		return 0, r.newError(ErrOutcomeUnknown, err)
	}
	status := httpResponse.StatusCode()
	limited, unavailable := status == fasthttp.StatusTooManyRequests, status == fasthttp.StatusServiceUnavailable
	if limited {
		c.limiter.reportLimitExceeded()
	}
	c.reportAvailability(!unavailable)
	if response == nil || len(httpResponse.Body()) == 0 || limited || unavailable {
		return status, nil
	}
	if err := exactjson.Unmarshal(httpResponse.Body(), response); err != nil {
		return status, r.newError(ErrOutcomeUnknown, fmt.Errorf("decode response: %w", err))
	}
	return status, nil
}
