// Package jsonhttp has the common parts of clients for JSON over HTTP: host clients that never retry a request on their
// own, and the encoding of requests. The package sends nothing itself. Each client implements its own limits, retries
// and handling of answers.
package jsonhttp

import (
	"net"
	"time"

	"github.com/goccy/go-json"
	"github.com/valyala/fasthttp"

	"swiftledge/internal/netio"
)

// NewHostClient returns an HTTP client for one address. The client never retries a request, since a request without an
// answer may have been executed. The caller has to decide whether a retry is harmless.
func NewHostClient(address string, maxConnections int, dialTimeout time.Duration) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                      address,
		MaxConns:                  maxConnections,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		Dial:                      func(address string) (net.Conn, error) { return netio.Dial(address, dialTimeout) },
	}
}

// Encode sets the method, URI and JSON body of a request. The body is of any type that JSON can encode. With nil, the
// request has no body.
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
