package store

import (
	"context"
	"fmt"
	"net/url"

	"github.com/valyala/fasthttp"

	"swiftledge/internal/clock"
	"swiftledge/wire"
)

// Watch waits for at most blockFor for changes of keys with a prefix after a revision. It returns ErrCompacted if the
// service no longer keeps those changes. Users' requests must not delay a watch: decisions that depend on a view of the
// jobs wait until the view is fresh.
func (c *Client) Watch(
	ctx context.Context, prefix string, after uint64, blockFor clock.Micros,
) (wire.WatchResponse, error) {
	r := request{
		operation: OperationWatch, key: prefix, priority: PriorityUrgent, connections: c.watchConnections,
		method: fasthttp.MethodGet, timeout: blockFor.Duration() + watchTimeoutMargin,
		uri: fmt.Sprintf("/watch?prefix=%s&since=%d&blockMs=%d",
			url.QueryEscape(prefix), after, int64(blockFor/clock.Millisecond)),
	}
	var response wire.WatchResponse
	status, err := c.do(ctx, r, &response)
	switch {
	case err != nil:
		return response, err
	case status == fasthttp.StatusOK:
		return response, nil
	case status == fasthttp.StatusGone:
		return response, r.newError(ErrCompacted, nil)
	}
	return response, r.statusError(status)
}
