package store

import (
	"context"
	"strconv"

	"github.com/valyala/fasthttp"

	"swiftledge/internal/clock"
	"swiftledge/wire"
)

// GrantLease makes a lease and returns its number.
func (c *Client) GrantLease(ctx context.Context, ttl clock.Micros) (uint64, error) {
	r := request{
		operation: OperationGrantLease, priority: PriorityUrgent, connections: c.connections,
		method: fasthttp.MethodPost, uri: "/grants", body: wire.LeaseRequest{TTLMs: int64(ttl / clock.Millisecond)},
		timeout: requestTimeout,
	}
	var response wire.LeaseResponse
	status, err := c.do(ctx, r, &response)
	if err == nil && status != fasthttp.StatusOK {
		err = r.refused(status)
	}
	if err != nil {
		return 0, err
	}
	return response.Lease, nil
}

// RenewLease renews a lease; ErrNotFound when it has ended. It waits for an answer for as long as one may still be
// of use: one that is late is better than none.
func (c *Client) RenewLease(ctx context.Context, lease uint64) error {
	number := strconv.FormatUint(lease, 10)
	r := request{
		operation: OperationRenewLease, key: number, priority: PriorityLeaseRenewal, connections: c.connections,
		method: fasthttp.MethodPost, uri: "/grants/" + number + "/touch", body: struct{}{}, timeout: 2 * requestTimeout,
	}
	status, err := c.do(ctx, r, nil)
	switch {
	case err != nil:
		return err
	case status == fasthttp.StatusOK:
		return nil
	case status == fasthttp.StatusNotFound:
		return r.failed(ErrNotFound, nil)
	}
	return r.refused(status)
}

// RevokeLease ends a lease at once. Whether that succeeds changes nothing: the lease expires either way.
func (c *Client) RevokeLease(ctx context.Context, lease uint64) {
	if lease == 0 {
		return
	}
	number := strconv.FormatUint(lease, 10)
	_, _ = c.do(ctx, request{
		operation: OperationRevokeLease, key: number, priority: PriorityUrgent, connections: c.connections,
		method: fasthttp.MethodDelete, uri: "/grants/" + number, timeout: requestTimeout,
	}, nil)
}
