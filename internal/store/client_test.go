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

// startClient serves handler as a state service on the loopback interface and returns a running client of it.
func startClient(t *testing.T, budget Budget, handler http.HandlerFunc) *Client {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	client := New(server.Listener.Addr().String(), budget, func(bool) {})
	go client.Run(t.Context())
	return client
}

// A transaction gets no answer, and its retry is rejected as malformed because the limits were lowered meanwhile. The
// rejection only proves that the retry was not executed, so the result must stay ambiguous.
func TestTransactionRejectedAfterUnknownOutcome(t *testing.T) {
	var attempts atomic.Int32
	client := startClient(t, Budget{RequestsPerSecond: 100, WritesPerSecond: 100}, func(w http.ResponseWriter, _ *http.Request) {
		if attempts.Add(1) == 1 {
			panic(http.ErrAbortHandler) // the connection ends without an answer
		}
		w.WriteHeader(http.StatusBadRequest)
		fmt.Fprint(w, `{"error":"value too large"}`)
	})
	txn := wire.Txn{Writes: []wire.Write{{Put: "a", Value: []byte("1")}}}
	result, err := client.Commit(t.Context(), PriorityUrgent, txn)
	if err == nil || errors.Is(err, ErrNotExecuted) || errors.Is(err, ErrOutcomeUnknown) {
		t.Errorf("error %v, want one that stops the retries", err)
	}
	if !result.Ambiguous || !result.Rejected || result.LeaseExpired || result.Committed || attempts.Load() != 2 {
		t.Errorf("result %+v after %d attempts, want an ambiguous rejection after 2", result, attempts.Load())
	}
}

// An error names the failed request and wraps the outcome, which says whether the request may have been executed.
func TestErrorsWrapOutcomeAndNameRequest(t *testing.T) {
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
		call   func(*Client) error
		status int
		body   string
		want   []error
		text   string // "" if the text depends on the operating system
	}{
		{"no such key", get, 404, "", []error{ErrNotFound}, "store: get job/j-000001: not found"},
		{"read over the limit", get, 429, "", []error{ErrNotExecuted, ErrRateLimited},
			"store: get job/j-000001: not executed: rate limited"},
		{"service unavailable", list, 503, "", []error{ErrNotExecuted}, "store: list job/: not executed: status 503"},
		{"list over the limit", list, 429, "", []error{ErrNotExecuted, ErrRateLimited},
			"store: list job/: not executed: rate limited"},
		{"no answer", get, noAnswer, "", []error{ErrOutcomeUnknown}, ""},
		{"no answer to a transaction", commit, noAnswer, "", []error{ErrOutcomeUnknown}, ""},
		{"truncated answer", commit, 200, `{"ledger":`, []error{ErrOutcomeUnknown}, ""},
		{"no such lease", commit, 400, `{"error":"no such lease"}`, []error{ErrMalformed},
			"store: commit job/j-000001: malformed: no such lease"},
		{"lease not granted", grant, 500, "", []error{ErrNotExecuted}, "store: grant lease: not executed: status 500"},
		{"lease expired", renew, 404, "", []error{ErrNotFound}, "store: renew lease 7: not found"},
		{"lease not renewed", renew, 503, "", []error{ErrNotExecuted}, "store: renew lease 7: not executed: status 503"},
		{"compacted revision", watch, 410, "", []error{ErrCompacted}, "store: watch job/: revision compacted"},
	} {
		t.Run(c.name, func(t *testing.T) {
			client := startClient(t, Budget{RequestsPerSecond: 100, WritesPerSecond: 100}, func(w http.ResponseWriter, _ *http.Request) {
				if c.status == noAnswer {
					panic(http.ErrAbortHandler)
				}
				w.WriteHeader(c.status)
				fmt.Fprint(w, c.body)
			})
			err := c.call(client)
			checkError(t, err, c.want)
			if c.text != "" && err.Error() != c.text {
				t.Errorf("error %q, want %q", err, c.text)
			}
		})
	}
}

// checkError checks that an error wraps all errors of want and no other outcome.
func checkError(t *testing.T, err error, want []error) {
	t.Helper()
	wanted := map[error]bool{}
	for _, w := range want {
		wanted[w] = true
	}
	for _, e := range []error{ErrNotExecuted, ErrOutcomeUnknown, ErrMalformed, ErrNotFound, ErrCompacted, ErrRateLimited} {
		if errors.Is(err, e) != wanted[e] {
			t.Errorf("error %v: wraps %q: %t, want %t", err, e, !wanted[e], wanted[e])
		}
	}
	var typed *Error
	if !errors.As(err, &typed) || typed.MayHaveExecuted() != wanted[ErrOutcomeUnknown] {
		t.Errorf("error %#v, want a store.Error with MayHaveExecuted() == %t", err, wanted[ErrOutcomeUnknown])
	}
}

// countSentBefore starts many requests that wait for the budget, then the last request, and returns how many of the
// earlier ones are sent before it. The service receives the last request at lastPath.
func countSentBefore(t *testing.T, earlierCount int, earlier, last func(*Client), lastPath string) int {
	t.Helper()
	paths := make(chan string, 64)
	client := startClient(t, Budget{RequestsPerSecond: 2, WritesPerSecond: 2}, func(w http.ResponseWriter, r *http.Request) {
		paths <- r.URL.Path
		fmt.Fprint(w, `{"ledger":1}`)
	})
	for range earlierCount {
		go earlier(client)
	}
	// The budget admits one request at once; all others have to wait.
	sentBefore := 0
	for ; sentBefore < 1; sentBefore++ {
		<-paths
	}
	go last(client)
	for ; <-paths != lastPath; sentBefore++ {
	}
	return sentBefore
}

// A watch has priority over reads that wait for the budget. If it were delayed, the leader's view of the jobs would be
// stale, and the leader renews no shard lease on a stale view.
func TestWatchIsNotDelayedByReads(t *testing.T) {
	const reads = 20
	read := func(c *Client) { _, _ = c.Get(t.Context(), PriorityReads, "job/j-000001") }
	watch := func(c *Client) { _, _ = c.Watch(t.Context(), "job/", 1, 0) }
	if sentBefore := countSentBefore(t, reads, read, watch, "/watch"); sentBefore > reads*3/4 {
		t.Errorf("%d of %d reads were sent before the watch, want at most three quarters", sentBefore, reads)
	}
}

// The renewal of the leader's lease has priority over all other requests, including users' submissions, because no user
// is served without a leader.
func TestLeaseRenewalIsNotDelayedBySubmissions(t *testing.T) {
	const submissions = 20
	submit := func(c *Client) { _, _ = c.Get(t.Context(), PriorityUrgent, "job/j-000001") }
	renew := func(c *Client) { _ = c.RenewLease(t.Context(), 7) }
	if sentBefore := countSentBefore(t, submissions, submit, renew, "/grants/7/touch"); sentBefore > submissions*3/4 {
		t.Errorf("%d of %d submissions were sent before the lease renewal, want at most three quarters", sentBefore, submissions)
	}
}

// TestUnknownFieldsOfAnswersAreIgnored guards against a field that differs from a known one in case alone being taken for
// it: the client would believe in another version or value of a key.
func TestUnknownFieldsOfAnswersAreIgnored(t *testing.T) {
	client := startClient(t, Budget{RequestsPerSecond: 100, WritesPerSecond: 100}, func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, `{"path":"a","v":1,"stamp":7,"V":2,"Stamp":9,"PATH":"b","Tenure":"x"}`)
	})
	item, err := client.Get(t.Context(), PriorityReads, "a")
	if err != nil || item.Key != "a" || string(item.Value) != "1" || item.Version != 7 {
		t.Errorf("got item %+v, error %v, want version 7 of key a with the value 1", item, err)
	}
}
