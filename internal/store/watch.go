package store

import (
	"context"
	"fmt"
	"net/url"

	"github.com/valyala/fasthttp"

	"swiftledge/internal/clock"
	"swiftledge/wire"
)

// Watch waits, for as long as blockFor, for changes of keys with a prefix after a revision; ErrCompacted if they are
// no longer kept. Users' requests must not hold it up: what is decided on a view of the jobs waits for a fresh one.
func (c *Client) Watch(
	ctx context.Context, prefix string, after uint64, blockFor clock.Micros,
) (wire.WatchResponse, error) {
	r := request{
		operation: OperationWatch, key: prefix, priority: PriorityUrgent, connections: c.watchConnections,
		method: fasthttp.MethodGet, timeout: blockFor.Duration() + watchGrace,
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
		return response, r.failed(ErrCompacted, nil)
	}
	return response, r.refused(status)
}
