package controller

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"
)

// outageStore is a store without keys that has an outage as soon as a controller campaigns. The campaign gets no answer
// and is not executed. The outage ends once as many reads of the leader key were refused as refusals says. Watches are
// served throughout and report no change. They end early once closing is closed.
type outageStore struct {
	closing  chan struct{}
	mu       sync.Mutex
	down     bool
	campaign bool // a campaign has arrived
	refusals int  // number of reads of the leader key to refuse before the outage ends
}

func (s *outageStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/watch" {
		s.holdWatch(r)
		fmt.Fprint(w, `{"ledger":2}`)
		return
	}
	if !s.admit(r) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.URL.Path {
	case "/grants":
		fmt.Fprint(w, `{"tenure":7}`)
	default:
		fmt.Fprint(w, `{"rows":[],"more":false,"ledger":2}`)
	}
}

// holdWatch waits until a watch's time runs out, as no key changes.
func (s *outageStore) holdWatch(r *http.Request) {
	blockFor, err := time.ParseDuration(r.URL.Query().Get("blockMs") + "ms")
	if err != nil {
		panic(err)
	}
	select {
	case <-s.closing:
	case <-time.After(blockFor):
	}
}

// admit returns false for a request that the outage refuses. It aborts the connection of the first campaign.
func (s *outageStore) admit(r *http.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.URL.Path == "/multi" && !s.campaign {
		s.campaign, s.down = true, true
		panic(http.ErrAbortHandler)
	}
	if !s.down {
		return true
	}
	if r.URL.Path == "/store" && r.URL.Query().Get("prefix") == "leader" {
		s.refusals--
		s.down = s.refusals > 0
	}
	return false
}

// Guards against a site without a leader after an outage that began while a campaign was unanswered: the read of the
// leader key was refused and never repeated, and the watch, which the outage left open, had no change to report.
func TestLeaderIsElectedAfterOutageDuringCampaign(t *testing.T) {
	for _, refusals := range []int{1, 3} {
		t.Run(fmt.Sprintf("%d reads refused", refusals), func(t *testing.T) {
			stub := &outageStore{closing: make(chan struct{}), refusals: refusals}
			server := httptest.NewServer(stub)
			defer server.Close()
			cfg := singleControllerConfig(t, server.Listener.Addr().String())
			following := newLogObserver("following")
			ctx, cancel := context.WithCancel(t.Context())
			served := make(chan error, 1)
			go func() { served <- New(cfg, slog.New(following)).Serve(ctx) }()
			select {
			case <-following.seen:
			case <-time.After(20 * time.Second):
				t.Error("no leader 20 s after the start, want one within seconds of the end of the outage")
			}
			cancel()
			close(stub.closing)
			if err := <-served; err != nil {
				t.Errorf("Serve returned error %v, want nil", err)
			}
		})
	}
}
