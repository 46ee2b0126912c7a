package store

import (
	"errors"
	"net"
	"net/http"
	"testing"

	"swiftledge/wire"
)

// A transaction that got no answer, and is refused for its form when repeated, as limits
// have fallen meanwhile: only this try is proven not to be carried out.
func TestRefusedForItsFormAfterNoAnswer(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	tries := 0
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if tries++; tries == 1 {
			panic(http.ErrAbortHandler) // the connection ends without an answer
		}
		w.WriteHeader(http.StatusBadRequest)
		w.Write([]byte(`{"error":"value too large"}`))
	})}
	go srv.Serve(l)
	defer srv.Close()
	c := New(l.Addr().String(), Budget{RequestsPerSecond: 100, WritesPerSecond: 100}, func(bool) {})
	o, err := c.Commit(t.Context(), PriorityUrgent, wire.Txn{Writes: []wire.Write{{Put: "a", Value: []byte("1")}}})
	if err == nil || errors.Is(err, ErrNotExecuted) || errors.Is(err, ErrOutcomeUnknown) {
		t.Errorf("error %v, want one that ends the tries", err)
	}
	if !o.Ambiguous || !o.Rejected || o.LeaseExpired || o.Committed || tries != 2 {
		t.Errorf("outcome %+v after %d tries, want one that is unsure, not a lease that has ended", o, tries)
	}
}

// sentBefore starts many requests that wait in the budget's queue, then one more, and says how
// many of the former were sent before the latter, which arrives at path.
func sentBefore(t *testing.T, others int, other, last func(*Client), path string) int {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	came := make(chan string, 64)
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		came <- r.URL.Path
		w.Write([]byte(`{"ledger":1}`))
	})}
	go srv.Serve(l)
	t.Cleanup(func() { srv.Close() })
	c := New(l.Addr().String(), Budget{RequestsPerSecond: 2, WritesPerSecond: 2}, func(bool) {})
	for range others {
		go other(c)
	}
	// What the budget lets through at once has gone; the others wait.
	before := 0
	for ; before < 1; before++ {
		<-came
	}
	go last(c)
	for ; <-came != path; before++ {
	}
	return before
}

// Questions wait in the budget's queue, a watch goes before them: on an old view of the jobs
// the leader renews no grant.
func TestWatchIsNotHeldUpByQuestions(t *testing.T) {
	const questions = 20
	ask := func(c *Client) { c.Get(t.Context(), PriorityReads, "job/j-000001") }
	watch := func(c *Client) { c.Watch(t.Context(), "job/", 1, 0) }
	if before := sentBefore(t, questions, ask, watch, "/watch"); before > questions*3/4 {
		t.Errorf("%d of %d questions went first", before, questions)
	}
}

// The renewal of the leader's lease goes before all else, users' submissions among them: without
// it nobody is served.
func TestRenewalIsNotHeldUpBySubmissions(t *testing.T) {
	const submissions = 20
	submit := func(c *Client) { c.Get(t.Context(), PriorityUrgent, "job/j-000001") }
	renew := func(c *Client) { c.RenewLease(t.Context(), 7) }
	if before := sentBefore(t, submissions, submit, renew, "/grants/7/touch"); before > submissions*3/4 {
		t.Errorf("%d of %d submissions went first", before, submissions)
	}
}
