// Package jsonhttp holds what the clients of services that speak JSON over HTTP have in common: connections that never
// repeat a request by themselves, and the encoding of a request. It sends nothing; limits, retries and the meaning of
// answers are each client's own.
package jsonhttp

import (
	"net"
	"time"

	"github.com/goccy/go-json"
	"github.com/valyala/fasthttp"

	"swiftledge/internal/netio"
)

// NewHostClient makes an HTTP client of one address. It never repeats a request, as one that got no answer may have
// been carried out: whether that is harmless is the caller's decision.
func NewHostClient(address string, maxConnections int, dialTimeout time.Duration) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                      address,
		MaxConns:                  maxConnections,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		Dial:                      func(address string) (net.Conn, error) { return netio.Dial(address, dialTimeout) },
	}
}

// Encode fills in a request for a path at a host. The body is of any type that JSON encodes; nil stands for none.
func Encode(request *fasthttp.Request, method, host, path string, body any) error {
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + host + path)
	if body == nil {
		return nil
	}
	encoded, err := json.Marshal(body)
	if err != nil {
		return err
	}
	request.Header.SetContentType("application/json")
	request.SetBodyRaw(encoded)
	return nil
}
