package store

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"swiftledge/wire"
)

// startClient serves a state service on loopback and returns a client of it.
func startClient(t *testing.T, budget Budget, handler http.HandlerFunc) *Client {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	client := New(server.Listener.Addr().String(), budget, func(bool) {})
	go client.Run(t.Context())
	return client
}

// A transaction that got no answer, and is refused for its form when repeated, as limits have fallen meanwhile: only
// this try is proven not to be carried out.
func TestTransactionRejectedAfterNoAnswer(t *testing.T) {
	var tries atomic.Int32
	client := startClient(t, Budget{RequestsPerSecond: 100, WritesPerSecond: 100}, func(w http.ResponseWriter, _ *http.Request) {
		if tries.Add(1) == 1 {
			panic(http.ErrAbortHandler) // the connection ends without an answer
		}
		w.WriteHeader(http.StatusBadRequest)
		fmt.Fprint(w, `{"error":"value too large"}`)
	})
	txn := wire.Txn{Writes: []wire.Write{{Put: "a", Value: []byte("1")}}}
	result, err := client.Commit(t.Context(), PriorityUrgent, txn)
	if err == nil || errors.Is(err, ErrNotExecuted) || errors.Is(err, ErrOutcomeUnknown) {
		t.Errorf("error %v, want one that ends the tries", err)
	}
	if !result.Ambiguous || !result.Rejected || result.LeaseExpired || result.Committed || tries.Load() != 2 {
		t.Errorf("result %+v after %d tries, want one that is ambiguous and no expired lease", result, tries.Load())
	}
}

// An error says what was asked, and whether it may have been carried out.
func TestErrors(t *testing.T) {
	get := func(c *Client) error {
		_, err := c.Get(t.Context(), PriorityReads, "job/j-000001")
		return err
	}
	list := func(c *Client) error {
		_, _, err := c.List(t.Context(), PriorityReads, "job/")
		return err
	}
	commit := func(c *Client) error {
		_, err := c.TryCommit(t.Context(), PriorityReads, wire.Txn{Writes: []wire.Write{{Delete: "job/j-000001"}}})
		return err
	}
	grant := func(c *Client) error {
		_, err := c.GrantLease(t.Context(), 1000)
		return err
	}
	renew := func(c *Client) error { return c.RenewLease(t.Context(), 7) }
	watch := func(c *Client) error {
		_, err := c.Watch(t.Context(), "job/", 1, 0)
		return err
	}
	const noAnswer = 0
	for _, c := range []struct {
		name   string
		ask    func(*Client) error
		status int
		body   string
		want   []error
		text   string // "" if it depends on the system
	}{
		{"no such key", get, 404, "", []error{ErrNotFound}, "store: get job/j-000001: not found"},
		{"read over the limit", get, 429, "", []error{ErrNotExecuted, ErrRateLimited},
			"store: get job/j-000001: not executed: rate limited"},
		{"service away", list, 503, "", []error{ErrNotExecuted}, "store: list job/: not executed: status 503"},
		{"list over the limit", list, 429, "", []error{ErrNotExecuted, ErrRateLimited},
			"store: list job/: not executed: rate limited"},
		{"no answer", get, noAnswer, "", []error{ErrOutcomeUnknown}, ""},
		{"no answer to a transaction", commit, noAnswer, "", []error{ErrOutcomeUnknown}, ""},
		{"answer that is cut short", commit, 200, `{"ledger":`, []error{ErrOutcomeUnknown}, ""},
		{"no such lease", commit, 400, `{"error":"no such lease"}`, []error{ErrMalformed},
			"store: commit job/j-000001: malformed: no such lease"},
		{"lease refused", grant, 500, "", []error{ErrNotExecuted}, "store: grant lease: not executed: status 500"},
		{"lease ended", renew, 404, "", []error{ErrNotFound}, "store: renew lease 7: not found"},
		{"lease not renewed", renew, 503, "", []error{ErrNotExecuted}, "store: renew lease 7: not executed: status 503"},
		{"old revision", watch, 410, "", []error{ErrCompacted}, "store: watch job/: revision compacted"},
	} {
		t.Run(c.name, func(t *testing.T) {
			client := startClient(t, Budget{RequestsPerSecond: 100, WritesPerSecond: 100}, func(w http.ResponseWriter, _ *http.Request) {
				if c.status == noAnswer {
					panic(http.ErrAbortHandler)
				}
				w.WriteHeader(c.status)
				fmt.Fprint(w, c.body)
			})
			err := c.ask(client)
			checkError(t, err, c.want)
			if c.text != "" && err.Error() != c.text {
				t.Errorf("error %q, want %q", err, c.text)
			}
		})
	}
}

// checkError compares an error with all that it is to wrap.
func checkError(t *testing.T, err error, want []error) {
	t.Helper()
	wanted := map[error]bool{}
	for _, w := range want {
		wanted[w] = true
	}
	for _, e := range []error{ErrNotExecuted, ErrOutcomeUnknown, ErrMalformed, ErrNotFound, ErrCompacted, ErrRateLimited} {
		if errors.Is(err, e) != wanted[e] {
			t.Errorf("error %v: is %q: %t, want %t", err, e, !wanted[e], wanted[e])
		}
	}
	var typed *Error
	if !errors.As(err, &typed) || typed.MayHaveExecuted() != wanted[ErrOutcomeUnknown] {
		t.Errorf("error %#v, want a store.Error that may have been carried out: %t", err, wanted[ErrOutcomeUnknown])
	}
}

// sentBefore starts many requests that wait for the budget, then one more, and returns how many of the former were
// sent before the latter, which arrives at path.
func sentBefore(t *testing.T, others int, other, last func(*Client), path string) int {
	t.Helper()
	paths := make(chan string, 64)
	client := startClient(t, Budget{RequestsPerSecond: 2, WritesPerSecond: 2}, func(w http.ResponseWriter, r *http.Request) {
		paths <- r.URL.Path
		fmt.Fprint(w, `{"ledger":1}`)
	})
	for range others {
		go other(client)
	}
	// What the budget lets through at once has gone; the others wait.
	before := 0
	for ; before < 1; before++ {
		<-paths
	}
	go last(client)
	for ; <-paths != path; before++ {
	}
	return before
}

// Reads wait for the budget, a watch goes before them: on an old view of the jobs the leader renews no shard lease.
func TestWatchIsNotHeldUpByReads(t *testing.T) {
	const reads = 20
	read := func(c *Client) { _, _ = c.Get(t.Context(), PriorityReads, "job/j-000001") }
	watch := func(c *Client) { _, _ = c.Watch(t.Context(), "job/", 1, 0) }
	if before := sentBefore(t, reads, read, watch, "/watch"); before > reads*3/4 {
		t.Errorf("%d of %d reads went first", before, reads)
	}
}

// The renewal of the leader's lease goes before all else, users' submissions among them: without it nobody is
// served.
func TestRenewalIsNotHeldUpBySubmissions(t *testing.T) {
	const submissions = 20
	submit := func(c *Client) { _, _ = c.Get(t.Context(), PriorityUrgent, "job/j-000001") }
	renew := func(c *Client) { _ = c.RenewLease(t.Context(), 7) }
	if before := sentBefore(t, submissions, submit, renew, "/grants/7/touch"); before > submissions*3/4 {
		t.Errorf("%d of %d submissions went first", before, submissions)
	}
}
