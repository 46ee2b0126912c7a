// Package cloud is the client of the cloud's API, which provisions and deletes machines.
//
// The client owns the leader's share of the API's rate limit: each call waits until the limit allows it. The client
// never retries, since a call without an answer may have been executed. The client does not cache answers. The leader
// decides what to provision and delete, and when.
package cloud

import (
	"context"
	"fmt"
	"net/url"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"swiftledge/internal/exactjson"
	"swiftledge/internal/jsonhttp"
	"swiftledge/wire"
)

const (
	maxConnections = 4
	dialTimeout    = 2 * time.Second
	callTimeout    = 5 * time.Second
	// rateLimitFraction is the fraction of the rate limit that the client uses.
	rateLimitFraction = 0.95
	// burstSeconds is the burst size in seconds of the rate limit. The cloud allows bursts of two seconds. The
	// difference is left for calls of the previous leader.
	burstSeconds = 1.5
)

// Client calls the cloud's API within its rate limit. Only the leader uses it.
type Client struct {
	connections *fasthttp.HostClient
	limiter     *rate.Limiter
}

// New returns a client of the API at address that keeps within a rate limit of callsPerSecond.
func New(address string, callsPerSecond float64) *Client {
	return &Client{
		connections: jsonhttp.NewHostClient(address, maxConnections, dialTimeout),
		limiter:     rate.NewLimiter(rate.Limit(rateLimitFraction*callsPerSecond), max(1, int(burstSeconds*callsPerSecond))),
	}
}

// Catalog reads the machine types.
func (c *Client) Catalog(ctx context.Context) (wire.Catalog, error) {
	var catalog wire.Catalog
	err := c.do(ctx, call{operation: OperationCatalog, method: fasthttp.MethodGet, uri: "/catalog"}, &catalog)
	return catalog, err
}

// Provision requests machines and returns the names of the provisioned machines, which may be fewer than requested. It
// is idempotent: a request with the same ID returns the same machines. ErrNoCapacity means that no machine is
// available.
func (c *Client) Provision(ctx context.Context, request wire.ProvisionRequest) ([]string, error) {
	var machines wire.MachineNames
	err := c.do(ctx, call{
		operation: OperationProvision, subject: request.RequestID,
		method: fasthttp.MethodPost, uri: "/hosts", body: request,
	}, &machines)
	return machines.Names, err
}

// Delete deletes machines. When it returns without an error, the machines no longer exist.
func (c *Client) Delete(ctx context.Context, names []string) error {
	return c.do(ctx, call{
		operation: OperationDelete, subject: fmt.Sprintf("%d machines", len(names)),
		method: fasthttp.MethodPost, uri: "/hosts/delete", body: wire.MachineNames{Names: names},
	}, nil)
}

// List reads the page of the machine list that begins after the given name.
func (c *Client) List(ctx context.Context, after string) (wire.MachineList, error) {
	var page wire.MachineList
	err := c.do(ctx, call{
		operation: OperationList, subject: after,
		method: fasthttp.MethodGet, uri: "/hosts?most=500&since=" + url.QueryEscape(after),
	}, &page)
	return page, err
}

// call describes one call of the API.
type call struct {
	operation   Operation
	subject     string // what the call is about, for error texts
	method, uri string
	body        any // any type that JSON can encode; nil: no body
}

// do makes a call once the rate limit allows it. It decodes the answer's body into response unless response is nil.
func (c *Client) do(ctx context.Context, call call, response any) error {
	if err := c.limiter.Wait(ctx); err != nil {
		return call.newError(ErrNotExecuted, err)
	}
	httpRequest, httpResponse := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(httpRequest)
	defer fasthttp.ReleaseResponse(httpResponse)
	if err := jsonhttp.Encode(httpRequest, call.method, c.connections.Addr, call.uri, call.body); err != nil {
		return call.newError(ErrNotExecuted, fmt.Errorf("encode request: %w", err))
	}
	if err := c.connections.DoTimeout(httpRequest, httpResponse, callTimeout); err != nil {
		return call.newError(ErrOutcomeUnknown, err)
	}
	if httpResponse.StatusCode() != fasthttp.StatusOK {
		return call.statusError(httpResponse)
	}
	if response == nil {
		return nil
	}
	if err := exactjson.Unmarshal(httpResponse.Body(), response); err != nil {
		return call.newError(ErrOutcomeUnknown, fmt.Errorf("decode response: %w", err))
	}
	return nil
}
