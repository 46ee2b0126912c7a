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

// logWatch is a log handler that tells of lines with one message.
type logWatch struct {
	slog.Handler
	message string
	seen    chan struct{}
}

func newLogWatch(message string) logWatch {
	return logWatch{Handler: slog.DiscardHandler, message: message, seen: make(chan struct{}, 1)}
}

func (w logWatch) Enabled(context.Context, slog.Level) bool { return true }

func (w logWatch) Handle(_ context.Context, record slog.Record) error {
	if record.Message == w.message {
		select {
		case w.seen <- struct{}{}:
		default:
		}
	}
	return nil
}

// grantingStore answers as a store without keys that commits every transaction and grants every lease. A watch is
// answered when closing is closed.
func grantingStore(t *testing.T, closing <-chan struct{}) string {
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

func soleControllerConfig(t *testing.T, storeAddress string) *config.Config {
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

// ownGoroutines returns the stacks of goroutines that run methods of this package's types.
func ownGoroutines() []string {
	buffer := make([]byte, 1<<20)
	buffer = buffer[:runtime.Stack(buffer, true)]
	var own []string
	for stack := range strings.SplitSeq(string(buffer), "\n\n") {
		if strings.Contains(stack, "\nswiftledge/internal/controller.(") {
			own = append(own, stack)
		}
	}
	return own
}

// Serve returns when its context ends. By then all that it started has ended, a connection that is open included,
// and the addresses are free again.
func TestServeEndsWithItsContext(t *testing.T) {
	closing := make(chan struct{})
	cfg := soleControllerConfig(t, grantingStore(t, closing))
	following := newLogWatch("following")
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	served := make(chan error, 1)
	go func() { served <- New(cfg, slog.New(following)).Serve(ctx) }()
	select {
	case <-following.seen:
	case err := <-served:
		t.Fatalf("ended without leading: %v", err)
	}
	status, err := peer.FetchStatus(cfg.PeerAddress)
	if err != nil || status.Leader != "n0" {
		t.Errorf("leader %q, %v: want itself", status.Leader, err)
	}
	idle, err := net.Dial("tcp4", cfg.PeerAddress)
	if err != nil {
		t.Fatal(err)
	}
	defer idle.Close()

	cancel()
	close(closing)
	if err := <-served; err != nil {
		t.Errorf("ended with %v", err)
	}
	if left := ownGoroutines(); len(left) > 0 {
		t.Errorf("goroutines are left:\n%s", strings.Join(left, "\n\n"))
	}
	for _, address := range []string{cfg.PeerAddress, cfg.ListenAddress} {
		listener, err := netio.Listen(address)
		if err != nil {
			t.Errorf("address is still in use: %v", err)
			continue
		}
		listener.Close()
	}
}
