package controller

import (
	"net"
	"testing"

	"github.com/valyala/fasthttp"
)

// Connections to workers that are not kept must be counted out again, or after a while
// none would be kept any more.
func TestDialledCountsWhatIsOpen(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go fasthttp.Serve(l, func(c *fasthttp.RequestCtx) {})
	var d dialled
	cl := &fasthttp.Client{Dial: d.dial}
	get := func(last bool) {
		t.Helper()
		req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		req.SetRequestURI("http://" + l.Addr().String() + "/")
		if last {
			req.SetConnectionClose()
		}
		if err := cl.Do(req, res); err != nil {
			t.Fatal(err)
		}
	}
	get(false)
	if n := d.count(); n != 1 {
		t.Errorf("%d connections open, want the one that is kept", n)
	}
	get(true)
	if n := d.count(); n != 0 {
		t.Errorf("%d connections open after the last was not kept", n)
	}
	a, err := d.dial(l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	a.Close()
	a.Close()
	if n := d.count(); n != 0 {
		t.Errorf("%d connections open after one was closed twice", n)
	}
}
