package store

import (
	"context"
	"strconv"

	"github.com/valyala/fasthttp"

	"swiftledge/internal/clock"
	"swiftledge/wire"
)

// GrantLease creates a lease and returns its ID.
func (c *Client) GrantLease(ctx context.Context, ttl clock.Micros) (uint64, error) {
	r := request{
		operation: OperationGrantLease, priority: PriorityUrgent, connections: c.connections,
		method: fasthttp.MethodPost, uri: "/grants", body: wire.LeaseRequest{TTLMs: int64(ttl / clock.Millisecond)},
		timeout: requestTimeout,
	}
	var response wire.LeaseResponse
	status, err := c.do(ctx, r, &response)
	if err == nil && status != fasthttp.StatusOK {
		err = r.statusError(status)
	}
	if err != nil {
		return 0, err
	}
	return response.Lease, nil
}

// RenewLease renews a lease. It returns ErrNotFound if the lease has expired. Its timeout is twice that of other
// requests on a key: the answer may still be of use then, since a late renewal is better than none.
func (c *Client) RenewLease(ctx context.Context, lease uint64) error {
	leaseID := strconv.FormatUint(lease, 10)
	r := request{
		operation: OperationRenewLease, key: leaseID, priority: PriorityLeaseRenewal, connections: c.connections,
		method: fasthttp.MethodPost, uri: "/grants/" + leaseID + "/touch", body: struct{}{}, timeout: 2 * requestTimeout,
	}
	status, err := c.do(ctx, r, nil)
	switch {
	case err != nil:
		return err
	case status == fasthttp.StatusOK:
		return nil
	case status == fasthttp.StatusNotFound:
		return r.newError(ErrNotFound, nil)
	}
	return r.statusError(status)
}

// RevokeLease ends a lease at once. It ignores errors, since the lease expires anyway.
func (c *Client) RevokeLease(ctx context.Context, lease uint64) {
	if lease == 0 {
		return
	}
	leaseID := strconv.FormatUint(lease, 10)
	_, _ = c.do(ctx, request{
		operation: OperationRevokeLease, key: leaseID, priority: PriorityUrgent, connections: c.connections,
		method: fasthttp.MethodDelete, uri: "/grants/" + leaseID, timeout: requestTimeout,
	}, nil)
}
