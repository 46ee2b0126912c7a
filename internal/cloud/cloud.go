// Package cloud is the client of the machine rental service.
package cloud

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/url"
	"time"

	"github.com/goccy/go-json"
	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"swiftledge/internal/netio"
	"swiftledge/wire"
)

// ErrNoCapacity says that none is available of this type, zone and kind.
var ErrNoCapacity = errors.New("no capacity")

// Client speaks to the cloud. Only the leader calls it, within the limit, which
// allows bursts worth two seconds.
type Client struct {
	http  *fasthttp.HostClient
	limit *rate.Limiter
}

// New makes a client that keeps to rps calls a second.
func New(addr string, rps float64) *Client {
	return &Client{
		http: &fasthttp.HostClient{Addr: addr, MaxConns: 4, MaxIdemponentCallAttempts: 1,
			RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
			Dial:       func(a string) (net.Conn, error) { return netio.Dial(a, 2*time.Second) }},
		// A part of the burst is left for a leader before us.
		limit: rate.NewLimiter(rate.Limit(0.95*rps), max(1, int(1.5*rps))),
	}
}

func (c *Client) call(method, uri string, body, out any) error {
	if err := c.limit.Wait(context.Background()); err != nil {
		return fmt.Errorf("cloud %s: %w", uri, err)
	}
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + c.http.Addr + uri)
	if body != nil {
		raw, err := json.Marshal(body)
		if err != nil {
			return fmt.Errorf("encode: %w", err)
		}
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(raw)
	}
	if err := c.http.DoTimeout(req, res, 5*time.Second); err != nil {
		return fmt.Errorf("cloud %s: %w", uri, err)
	}
	if res.StatusCode() == 503 {
		var p wire.ErrorResponse
		if json.Unmarshal(res.Body(), &p) == nil && p.Error == "no capacity" {
			return fmt.Errorf("cloud %s: %w", uri, ErrNoCapacity)
		}
	}
	if res.StatusCode() != 200 {
		return fmt.Errorf("cloud %s: status %d", uri, res.StatusCode())
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(res.Body(), out); err != nil {
		return fmt.Errorf("cloud %s: decode: %w", uri, err)
	}
	return nil
}

// Catalog reads the machine types.
func (c *Client) Catalog() (wire.Catalog, error) {
	var out wire.Catalog
	return out, c.call("GET", "/catalog", nil, &out)
}

// Provision asks for machines; the same request name gives the same machines.
func (c *Client) Provision(r wire.ProvisionRequest) ([]string, error) {
	var out wire.MachineNames
	err := c.call("POST", "/hosts", r, &out)
	return out.Names, err
}

// Delete returns machines; when it succeeds they are gone.
func (c *Client) Delete(names []string) error {
	return c.call("POST", "/hosts/delete", wire.MachineNames{Names: names}, nil)
}

// List reads one page of the machine list.
func (c *Client) List(after string) (wire.MachineList, error) {
	var out wire.MachineList
	return out, c.call("GET", "/hosts?most=500&since="+url.QueryEscape(after), nil, &out)
}
