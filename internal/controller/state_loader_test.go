package controller

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"

	"swiftledge/internal/leader"
	"swiftledge/internal/store"
)

// A new leader must request all lists concurrently: an overloaded controller received each answer a second late, and six
// answers in sequence took longer than the leader's lease lasts. Here the store answers no list before all lists are
// requested.
func TestStateLoaderListsConcurrently(t *testing.T) {
	const lists = 6
	var requested sync.WaitGroup
	requested.Add(lists)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requested.Done()
		requested.Wait()
		prefix := r.URL.Query().Get("prefix")
		revision := "9"
		if prefix == leader.JobPrefix {
			revision = "7"
		}
		fmt.Fprintf(w, `{"rows":[{"path":"%sx","v":{},"stamp":3}],"more":false,"ledger":%s}`, prefix, revision)
	})}
	served := make(chan error, 1)
	go func() { served <- srv.Serve(l) }()
	t.Cleanup(func() {
		if err := srv.Close(); err != nil {
			t.Error(err)
		}
		if err := <-served; !errors.Is(err, http.ErrServerClosed) {
			t.Error(err)
		}
	})
	budget := store.Budget{RequestsPerSecond: 100, WritesPerSecond: 100}
	client := store.New(l.Addr().String(), budget, func(bool) {})
	go client.Run(t.Context())
	loader := &stateLoader{store: client}
	items, revision, err := loader.readState(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if len(items) != lists || items[0].Key != leader.JobPrefix+"x" {
		t.Errorf("read items %v, want one item of each list, that of the jobs first", items)
	}
	if revision != 7 {
		t.Errorf("readState returned revision %d, want 7, the revision of the list of jobs", revision)
	}
}
