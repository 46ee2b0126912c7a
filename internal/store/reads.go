package store

import (
	"context"
	"net/url"

	"github.com/valyala/fasthttp"

	"swiftledge/wire"
)

// Get reads one key. It returns ErrNotFound if the key does not exist.
func (c *Client) Get(ctx context.Context, priority Priority, key string) (wire.Item, error) {
	r := request{
		operation: OperationGet, key: key, priority: priority, connections: c.connections,
		method: fasthttp.MethodGet, uri: "/store/" + key, timeout: requestTimeout,
	}
	var item wire.Item
	status, err := c.do(ctx, r, &item)
	switch {
	case err != nil:
		return item, err
	case status == fasthttp.StatusOK:
		return item, nil
	case status == fasthttp.StatusNotFound:
		return item, r.newError(ErrNotFound, nil)
	}
	return item, r.statusError(status)
}

// List reads all keys with a prefix. It returns the revision of the first page: a watch from that revision misses no
// change, but may repeat changes that later pages already include.
func (c *Client) List(ctx context.Context, priority Priority, prefix string) ([]wire.Item, uint64, error) {
	var items []wire.Item
	page, err := c.listPage(ctx, priority, prefix, "")
	revision := page.Revision
	for err == nil {
		items = append(items, page.Items...)
		if !page.More || len(page.Items) == 0 {
			return items, revision, nil
		}
		page, err = c.listPage(ctx, priority, prefix, page.Items[len(page.Items)-1].Key)
	}
	return nil, 0, err
}

// listPage reads one page of the keys with a prefix, beginning after the given key.
func (c *Client) listPage(ctx context.Context, priority Priority, prefix, after string) (wire.ItemList, error) {
	uri := "/store?prefix=" + url.QueryEscape(prefix) + "&most=1000"
	if after != "" {
		uri += "&since=" + url.QueryEscape(after)
	}
	r := request{
		operation: OperationList, key: prefix, priority: priority, connections: c.connections,
		method: fasthttp.MethodGet, uri: uri, timeout: 2 * requestTimeout,
	}
	var page wire.ItemList
	status, err := c.do(ctx, r, &page)
	if err == nil && status != fasthttp.StatusOK {
		err = r.statusError(status)
	}
	return page, err
}
