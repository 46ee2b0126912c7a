package jsonhttp

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// The client does not repeat a request that got no answer.
func TestHostClientNeverRetries(t *testing.T) {
	var requests atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		requests.Add(1)
		panic(http.ErrAbortHandler) // the connection ends without an answer
	}))
	defer server.Close()
	host := server.Listener.Addr().String()
	client := NewHostClient(host, 1, time.Second)
	for _, method := range []string{fasthttp.MethodGet, fasthttp.MethodPost} {
		requests.Store(0)
		var request fasthttp.Request
		var response fasthttp.Response
		if err := Encode(&request, method, host, "/", nil); err != nil {
			t.Fatal(err)
		}
		if err := client.DoTimeout(&request, &response, 5*time.Second); err == nil {
			t.Errorf("%s: got answer %s, want an error", method, response.Body())
		}
		if n := requests.Load(); n != 1 {
			t.Errorf("%s: sent %d times, want once", method, n)
		}
	}
}

func TestEncode(t *testing.T) {
	var request fasthttp.Request
	if err := Encode(&request, fasthttp.MethodPost, "127.0.0.1:80", "/multi?a=b", map[string]int{"n": 1}); err != nil {
		t.Fatal(err)
	}
	got := string(request.Header.Method()) + " " + request.URI().String() + " " +
		string(request.Header.ContentType()) + " " + string(request.Body())
	if want := `POST http://127.0.0.1:80/multi?a=b application/json {"n":1}`; got != want {
		t.Errorf("request %s, want %s", got, want)
	}
	if err := Encode(&request, fasthttp.MethodPost, "127.0.0.1:80", "/", func() {}); err == nil {
		t.Error("Encode returned no error for a body that JSON cannot encode")
	}
}
