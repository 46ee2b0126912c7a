package controller

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"

	"swiftledge/internal/config"
	"swiftledge/internal/netio"
	"swiftledge/internal/peer"
)

// logObserver is a log handler that signals when a record with a given message is logged.
type logObserver struct {
	slog.Handler
	message string
	seen    chan struct{}
}

func newLogObserver(message string) logObserver {
	return logObserver{Handler: slog.DiscardHandler, message: message, seen: make(chan struct{}, 1)}
}

func (o logObserver) Enabled(context.Context, slog.Level) bool { return true }

func (o logObserver) Handle(_ context.Context, record slog.Record) error {
	if record.Message == o.message {
		select {
		case o.seen <- struct{}{}:
		default:
		}
	}
	return nil
}

// startStubStore starts a store that has no keys, commits every transaction and grants every lease. The store answers
// watches once closing is closed. startStubStore returns the address of the store.
func startStubStore(t *testing.T, closing <-chan struct{}) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/watch":
			<-closing
			fmt.Fprint(w, `{"ledger":2}`)
		case "/grants":
			fmt.Fprint(w, `{"tenure":7}`)
		default:
			fmt.Fprint(w, `{"rows":[],"more":false,"ledger":2}`)
		}
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func unusedAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

func singleControllerConfig(t *testing.T, storeAddress string) *config.Config {
	t.Helper()
	cfg := &config.Config{Tuning: config.DefaultTuning()}
	cfg.Name, cfg.ListenAddress, cfg.PeerAddress = "n0", unusedAddress(t), unusedAddress(t)
	cfg.Endpoints.State, cfg.Endpoints.Cloud = storeAddress, unusedAddress(t)
	facts := &cfg.Facts
	facts.InitialSize, facts.Zones = 1, []string{"z"}
	facts.Workers.ReportS, facts.Workers.LeaseS, facts.Workers.CancelS = 2, 10, 40
	facts.State.RPS, facts.State.WriteRPS, facts.State.ValueKB, facts.State.TxnOps = 100, 100, 16, 16
	facts.Cloud.RPS = 2
	facts.Quota.CPU, facts.Quota.MemMB, facts.Quota.MaxSockets = 1, 128, 256
	return cfg
}

// packageGoroutines returns the stacks of the goroutines that run methods of types of this package.
func packageGoroutines() []string {
	buffer := make([]byte, 1<<20)
	buffer = buffer[:runtime.Stack(buffer, true)]
	var stacks []string
	for stack := range strings.SplitSeq(string(buffer), "\n\n") {
		if strings.Contains(stack, "\nswiftledge/internal/controller.(") {
			stacks = append(stacks, stack)
		}
	}
	return stacks
}

// Serve returns when its context ends. By then all goroutines that Serve started have ended, including the goroutine of
// an open connection, and the controller's addresses are free again.
func TestServeStopsWhenContextEnds(t *testing.T) {
	closing := make(chan struct{})
	cfg := singleControllerConfig(t, startStubStore(t, closing))
	following := newLogObserver("following")
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	served := make(chan error, 1)
	go func() { served <- New(cfg, slog.New(following)).Serve(ctx) }()
	select {
	case <-following.seen:
	case err := <-served:
		t.Fatalf("Serve returned before the controller followed a leader: %v", err)
	}
	status, err := peer.FetchStatus(cfg.PeerAddress)
	if err != nil || status.Leader != "n0" {
		t.Errorf("status of n0 names leader %q, error %v; want n0 itself", status.Leader, err)
	}
	idleConn, err := net.Dial("tcp4", cfg.PeerAddress)
	if err != nil {
		t.Fatal(err)
	}
	defer idleConn.Close()

	cancel()
	close(closing)
	if err := <-served; err != nil {
		t.Errorf("Serve returned error %v, want nil", err)
	}
	if leaked := packageGoroutines(); len(leaked) > 0 {
		t.Errorf("goroutines still running after Serve returned:\n%s", strings.Join(leaked, "\n\n"))
	}
	for _, address := range []string{cfg.PeerAddress, cfg.ListenAddress} {
		listener, err := netio.Listen(address)
		if err != nil {
			t.Errorf("address still in use after Serve returned: %v", err)
			continue
		}
		listener.Close()
	}
}
