// Package cloud is the client of the cloud's API, which provisions and deletes machines.
//
// It owns the leader's share of the API's rate limit: each call waits until the limit allows it. It never retries by
// itself, since a call that got no answer may have been carried out, and keeps nothing of what the cloud answers. What
// is provisioned and deleted, and when, is decided by the leader.
package cloud

import (
	"context"
	"fmt"
	"net/url"
	"time"

	"github.com/goccy/go-json"
	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"swiftledge/internal/jsonhttp"
	"swiftledge/wire"
)

const (
	maxConnections = 4
	dialTimeout    = 2 * time.Second
	callTimeout    = 5 * time.Second
	// usedLimit is the part of the rate limit that is used.
	usedLimit = 0.95
	// burstSeconds is how many seconds' worth of calls may be made at once. The cloud allows two; the rest is left
	// for a leader before this one.
	burstSeconds = 1.5
)

// Client calls the cloud's API within its rate limit. Only the leader calls it.
type Client struct {
	connections *fasthttp.HostClient
	limiter     *rate.Limiter
}

// New makes a client of the API at address that keeps to a limit of calls.
func New(address string, callsPerSecond float64) *Client {
	return &Client{
		connections: jsonhttp.NewHostClient(address, maxConnections, dialTimeout),
		limiter:     rate.NewLimiter(rate.Limit(usedLimit*callsPerSecond), max(1, int(burstSeconds*callsPerSecond))),
	}
}

// Catalog reads the machine types.
func (c *Client) Catalog(ctx context.Context) (wire.Catalog, error) {
	var catalog wire.Catalog
	err := c.do(ctx, call{operation: OperationCatalog, method: fasthttp.MethodGet, uri: "/catalog"}, &catalog)
	return catalog, err
}

// Provision asks for machines and returns the names of those that it got, which may be fewer. The same request gives
// the same machines. ErrNoCapacity means that none are available.
func (c *Client) Provision(ctx context.Context, request wire.ProvisionRequest) ([]string, error) {
	var machines wire.MachineNames
	err := c.do(ctx, call{
		operation: OperationProvision, subject: request.RequestID,
		method: fasthttp.MethodPost, uri: "/hosts", body: request,
	}, &machines)
	return machines.Names, err
}

// Delete deletes machines; when it succeeds they are gone.
func (c *Client) Delete(ctx context.Context, names []string) error {
	return c.do(ctx, call{
		operation: OperationDelete, subject: fmt.Sprintf("%d machines", len(names)),
		method: fasthttp.MethodPost, uri: "/hosts/delete", body: wire.MachineNames{Names: names},
	}, nil)
}

// List reads the page of the machine list that begins after a name.
func (c *Client) List(ctx context.Context, after string) (wire.MachineList, error) {
	var page wire.MachineList
	err := c.do(ctx, call{
		operation: OperationList, subject: after,
		method: fasthttp.MethodGet, uri: "/hosts?most=500&since=" + url.QueryEscape(after),
	}, &page)
	return page, err
}

// call is one call of the API.
type call struct {
	operation   Operation
	subject     string // for errors
	method, uri string
	body        any // of any type that JSON encodes; nil: no body
}

// do makes a call once the limit allows it, and decodes the answer into response unless that is nil.
func (c *Client) do(ctx context.Context, call call, response any) error {
	if err := c.limiter.Wait(ctx); err != nil {
		return call.failed(ErrNotExecuted, err)
	}
	httpRequest, httpResponse := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(httpRequest)
	defer fasthttp.ReleaseResponse(httpResponse)
	if err := jsonhttp.Encode(httpRequest, call.method, c.connections.Addr, call.uri, call.body); err != nil {
		return call.failed(ErrNotExecuted, fmt.Errorf("encode: %w", err))
	}
	if err := c.connections.DoTimeout(httpRequest, httpResponse, callTimeout); err != nil {
		return call.failed(ErrOutcomeUnknown, err)
	}
	if httpResponse.StatusCode() != fasthttp.StatusOK {
		return call.refused(httpResponse)
	}
	if response == nil {
		return nil
	}
	if err := json.Unmarshal(httpResponse.Body(), response); err != nil {
		return call.failed(ErrOutcomeUnknown, fmt.Errorf("decode: %w", err))
	}
	return nil
}
