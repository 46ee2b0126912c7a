// Package store speaks to the state service within its request and put budget,
// the important requests first.
package store

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/url"
	"strconv"
	"time"

	"github.com/goccy/go-json"
	"github.com/valyala/fasthttp"

	"swiftledge/internal/clock"
	"swiftledge/internal/netio"
	"swiftledge/wire"
)

// Priorities of requests for the shared budget.
const (
	PriorityLeaseRenewal = iota // of the leader's lease
	PriorityUrgent              // election, accepts, aborts
	PriorityAttempts            // start records, final states
	PriorityStarvedReads        // reads for status that were refused for a while
	PriorityReads               // reads for status, roster
	PriorityBackground          // progress, clean-up
)

// ErrNotExecuted says that the request was certainly not carried out.
var ErrNotExecuted = errors.New("state service refused")

// ErrRateLimited comes with ErrNotExecuted when it was only for the limits: soon again is fine.
var ErrRateLimited = errors.New("over the limit")

// refused is the error of a status that says the request was not carried out.
func refused(code int) error {
	if code == 429 {
		return fmt.Errorf("%w: %w", ErrNotExecuted, ErrRateLimited)
	}
	return fmt.Errorf("%w: %d", ErrNotExecuted, code)
}

// ErrOutcomeUnknown says that the request may have been carried out, or may be later.
var ErrOutcomeUnknown = errors.New("state service gave no answer")

// ErrCompacted says that a watch's revision is too old.
var ErrCompacted = errors.New("revision too old")

// ErrNotFound says that the key or lease does not exist.
var ErrNotFound = errors.New("not found")

// Client is the state service as one node sees it.
type Client struct {
	http, watch *fasthttp.HostClient
	waiting     chan *pendingRequest
	budget      chan Budget
	over        chan struct{} // a 429 came
	health      func(ok bool)
}

// New starts a client; health is told of every answer or failure.
func New(addr string, b Budget, health func(bool)) *Client {
	c := &Client{
		http:    hostClient(addr, 32),
		watch:   hostClient(addr, 8),
		waiting: make(chan *pendingRequest, 256),
		budget:  make(chan Budget, 4),
		over:    make(chan struct{}, 16),
		health:  health,
	}
	go c.pace(b)
	return c
}

// hostClient never retries by itself: a repeated transaction must be ours to judge.
func hostClient(addr string, conns int) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr: addr, MaxConns: conns, MaxIdemponentCallAttempts: 1,
		RetryIfErr:          func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		MaxIdleConnDuration: 30 * time.Second, MaxConnWaitTimeout: 2 * time.Second,
		NoDefaultUserAgentHeader: true,
		Dial:                     func(a string) (net.Conn, error) { return netio.Dial(a, 1200*time.Millisecond) },
	}
}

func (c *Client) do(h *fasthttp.HostClient, method, uri string, body, out any, timeout time.Duration) (int, error) {
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + h.Addr + uri)
	if body != nil {
		raw, err := json.Marshal(body)
		if err != nil {
			return 0, fmt.Errorf("encode: %w", err)
		}
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(raw)
	}
	if err := h.DoTimeout(req, res, timeout); err != nil {
		c.health(false)
		return 0, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	code := res.StatusCode()
	if code == 429 {
		select {
		case c.over <- struct{}{}:
		default:
		}
	}
	c.health(code != 503)
	if out != nil && len(res.Body()) > 0 && code != 503 && code != 429 {
		if err := json.Unmarshal(res.Body(), out); err != nil {
			return code, fmt.Errorf("%w: decode: %w", ErrOutcomeUnknown, err)
		}
	}
	return code, nil
}

const timeout = 1500 * time.Millisecond

// Get reads one key; ErrNotFound if it does not exist.
func (c *Client) Get(ctx context.Context, prio int, key string) (wire.Item, error) {
	var it wire.Item
	if err := c.admit(ctx, prio, 0); err != nil {
		return it, err
	}
	code, err := c.do(c.http, "GET", "/store/"+key, nil, &it, timeout)
	switch {
	case err != nil:
		return it, fmt.Errorf("get %s: %w", key, err)
	case code == 200:
		return it, nil
	case code == 404:
		return it, fmt.Errorf("get %s: %w", key, ErrNotFound)
	}
	return it, fmt.Errorf("get %s: %w", key, refused(code))
}

// List reads all keys with a prefix and the oldest revision that the pages are true for.
func (c *Client) List(ctx context.Context, prio int, prefix string) ([]wire.Item, uint64, error) {
	var all []wire.Item
	var rev uint64
	since := ""
	for page := 0; ; page++ {
		if err := c.admit(ctx, prio, 0); err != nil {
			return nil, 0, err
		}
		uri := "/store?prefix=" + url.QueryEscape(prefix) + "&most=1000"
		if since != "" {
			uri += "&since=" + url.QueryEscape(since)
		}
		var l wire.ItemList
		code, err := c.do(c.http, "GET", uri, nil, &l, 2*timeout)
		if err != nil {
			return nil, 0, fmt.Errorf("list %s: %w", prefix, err)
		}
		if code != 200 {
			return nil, 0, fmt.Errorf("list %s: %w: %d", prefix, ErrNotExecuted, code)
		}
		if page == 0 {
			rev = l.Revision
		}
		all = append(all, l.Items...)
		if !l.More || len(l.Items) == 0 {
			return all, rev, nil
		}
		since = l.Items[len(l.Items)-1].Key
	}
}

// TxnResult of a transaction. Malformed says that this try was refused for its form, so most
// likely for its size, and would be for ever. Unsure is set when an earlier try of the same
// transaction got no answer, so that a failed guard may be our own doing.
type TxnResult struct {
	Committed    bool
	Revision     uint64
	FailedKeys   []string
	LeaseExpired bool
	Ambiguous    bool
	Rejected     bool
}

// ReducedLimits are the bytes of a value and the changes of a transaction to go by after one was
// refused for its form: the same again would be refused for ever.
func ReducedLimits(valueBytes, txnOps int) (int, int) {
	return max(valueBytes/2, 900), max(txnOps/2, 2)
}

// FailedOn says whether the guard on key failed.
func (o TxnResult) FailedOn(key string) bool {
	for _, k := range o.FailedKeys {
		if k == key {
			return true
		}
	}
	return false
}

// TryCommit tries a transaction one time.
func (c *Client) TryCommit(ctx context.Context, prio int, t wire.Txn) (TxnResult, error) {
	if err := c.admit(ctx, prio, len(t.Writes)); err != nil {
		return TxnResult{}, err
	}
	if t.Conditions == nil {
		t.Conditions = []wire.Condition{}
	}
	var a wire.TxnResponse
	code, err := c.do(c.http, "POST", "/multi", t, &a, timeout)
	switch {
	case err != nil:
		return TxnResult{}, fmt.Errorf("transaction: %w", err)
	case code == 200:
		return TxnResult{Committed: true, Revision: a.Revision}, nil
	case code == 409:
		return TxnResult{Revision: a.Revision, FailedKeys: a.Failed}, nil
	case code == 400:
		noLease := a.Error == "no such lease"
		return TxnResult{LeaseExpired: noLease, Rejected: !noLease}, fmt.Errorf("transaction: malformed: %s", a.Error)
	}
	return TxnResult{}, fmt.Errorf("transaction: %w", refused(code))
}

// Commit repeats a transaction until the store has decided on it or ctx ends.
func (c *Client) Commit(ctx context.Context, prio int, t wire.Txn) (TxnResult, error) {
	unsure := false
	for n := 0; ; n++ {
		o, err := c.TryCommit(ctx, prio, t)
		if err == nil {
			o.Ambiguous = unsure
			return o, nil
		}
		if errors.Is(err, ErrOutcomeUnknown) {
			unsure = true
		} else if !errors.Is(err, ErrNotExecuted) {
			// That it is malformed, as limits may have fallen, is proven of this try only.
			o.Ambiguous = unsure
			return o, err
		}
		if !Backoff(ctx, n) {
			return TxnResult{Ambiguous: unsure}, err
		}
	}
}

// Backoff waits before try n+1, with jitter; false when ctx ended.
func Backoff(ctx context.Context, n int) bool {
	base := 50 * time.Millisecond << min(n, 4)
	t := time.NewTimer(base/2 + rand.N(base))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// GrantLease makes a store lease.
func (c *Client) GrantLease(ctx context.Context, ttl clock.Micros) (uint64, error) {
	if err := c.admit(ctx, PriorityUrgent, 0); err != nil {
		return 0, err
	}
	var a wire.LeaseResponse
	code, err := c.do(c.http, "POST", "/grants", wire.LeaseRequest{TTLMs: int64(ttl / clock.Millisecond)}, &a, timeout)
	if err == nil && code != 200 {
		err = fmt.Errorf("%w: %d", ErrNotExecuted, code)
	}
	if err != nil {
		return 0, fmt.Errorf("lease: %w", err)
	}
	return a.Lease, nil
}

// RenewLease renews a store lease; ErrNotFound when it has ended. It waits for an answer for as long as
// one may still be of use: one that is late is better than none.
func (c *Client) RenewLease(ctx context.Context, lease uint64) error {
	if err := c.admit(ctx, PriorityLeaseRenewal, 0); err != nil {
		return err
	}
	code, err := c.do(c.http, "POST", "/grants/"+strconv.FormatUint(lease, 10)+"/touch", struct{}{}, nil, 2*timeout)
	switch {
	case err != nil:
		return fmt.Errorf("renew lease: %w", err)
	case code == 200:
		return nil
	case code == 404:
		return fmt.Errorf("renew lease: %w", ErrNotFound)
	}
	return fmt.Errorf("renew lease: %w: %d", ErrNotExecuted, code)
}

// RevokeLease ends a store lease at once; if that fails it ends by itself.
func (c *Client) RevokeLease(ctx context.Context, lease uint64) {
	if lease == 0 || c.admit(ctx, PriorityUrgent, 0) != nil {
		return
	}
	// The answer changes nothing: the lease runs out either way.
	_, _ = c.do(c.http, "DELETE", "/grants/"+strconv.FormatUint(lease, 10), nil, nil, timeout)
}

// Watch waits for changes under prefix after revision since. Users' questions must not hold
// it up: what is done on a view of the jobs waits for a fresh one.
func (c *Client) Watch(ctx context.Context, prefix string, since uint64, block clock.Micros) (wire.WatchResponse, error) {
	var a wire.WatchResponse
	if err := c.admit(ctx, PriorityUrgent, 0); err != nil {
		return a, err
	}
	uri := fmt.Sprintf("/watch?prefix=%s&since=%d&blockMs=%d", url.QueryEscape(prefix), since, int64(block/clock.Millisecond))
	code, err := c.do(c.watch, "GET", uri, nil, &a, block.Duration()+3*time.Second)
	switch {
	case err != nil:
		return a, fmt.Errorf("watch %s: %w", prefix, err)
	case code == 200:
		return a, nil
	case code == 410:
		return a, fmt.Errorf("watch %s: %w", prefix, ErrCompacted)
	}
	return a, fmt.Errorf("watch %s: %w: %d", prefix, ErrNotExecuted, code)
}
