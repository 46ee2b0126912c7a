package compat

import (
	"context"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"swiftledge/internal/clock"
	"swiftledge/internal/peer"
	"swiftledge/internal/store"
	"swiftledge/internal/trace"
	"swiftledge/wire"
)

// frameStore is a store that passes the first write of each transaction to a channel.
type frameStore struct{ writes chan wire.Write }

func (s frameStore) Get(context.Context, store.Priority, string) (wire.Item, error) {
	return wire.Item{}, store.ErrNotFound
}

func (s frameStore) TryCommit(_ context.Context, _ store.Priority, t wire.Txn) (store.TxnResult, error) {
	s.writes <- t.Writes[0]
	return store.TxnResult{Committed: true, Revision: 1}, nil
}

func (s frameStore) List(context.Context, store.Priority, string) ([]wire.Item, uint64, error) {
	return nil, 0, nil
}

func (s frameStore) Watch(ctx context.Context, _ string, _ uint64, _ clock.Micros) (wire.WatchResponse, error) {
	<-ctx.Done()
	return wire.WatchResponse{}, ctx.Err()
}

// TestFrameBytes checks the exact keys and bytes of the frames that controllers exchange through the state service,
// except for the connection number.
func TestFrameBytes(t *testing.T) {
	writes := make(chan wire.Write, 16)
	transport := peer.NewStoreTransport("c0", frameStore{writes}, 4096, 1<<20, time.Millisecond)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go transport.Run(ctx, nil)
	connection := transport.Open("c1")
	if _, err := io.WriteString(connection, "abc"); err != nil {
		t.Fatal(err)
	}
	connectionNumber := regexp.MustCompile(`"c":[0-9]+`)
	expect := func(want string) {
		t.Helper()
		write := <-writes
		if got := connectionNumber.ReplaceAllString(string(write.Value), `"c":0`); write.Put != "mail/c1/c0" || got != want {
			t.Errorf("frame was written to key %s as %s, want key mail/c1/c0 and %s", write.Put, got, want)
		}
	}
	expect(`{"c":0,"o":true,"n":1,"a":0,"d":"YWJj"}`)
	connection.Close()
	for write := range writes {
		if !strings.Contains(string(write.Value), `"d"`) { // the frame is written again until it is acknowledged
			writes <- write
			break
		}
	}
	expect(`{"c":0,"o":true,"n":1,"a":0,"e":true}`)
}

// TestTraceLineBytes checks that a span is written as one line with the expected keys in the expected order.
func TestTraceLineBytes(t *testing.T) {
	file := filepath.Join(t.TempDir(), "trace")
	tracer, err := trace.New(trace.Settings{File: file, MaxBytes: 1 << 20, JobShare: 1, QueueSize: 16}, "c0", clock.NewSteady(), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	go tracer.Run(t.Context())
	tracer.Post(trace.Span{Job: "j-000412", Task: "j-000412/3", Name: "run", Begin: clock.Second, End: 3 * clock.Second,
		Attributes: []trace.Attribute{{Key: "machine", Value: "host-000001"}}})
	const want = `{"trace":"ba4114e72abf4f78275d598e62f4fbbb","span":"RANDOM","parent":"efa5181f9212aa71","node":"c0","name":"run","begin":"TIME","took_s":2,` +
		`"attributes":{"job":"j-000412","machine":"host-000001","task":"j-000412/3"}}` + "\n"
	got := waitForLine(t, file)
	got = regexp.MustCompile(`"span":"[0-9a-f]{16}"`).ReplaceAllString(got, `"span":"RANDOM"`)
	got = regexp.MustCompile(`"begin":"[-0-9]{10}T[0-9:.]+Z"`).ReplaceAllString(got, `"begin":"TIME"`)
	if got != want {
		t.Errorf("span was written as %s, want %s", got, want)
	}
}

// waitForLine waits until a file ends with a complete line, and returns its content.
func waitForLine(t *testing.T, file string) string {
	t.Helper()
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	for range 5000 {
		raw, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		if strings.HasSuffix(string(raw), "\n") {
			return string(raw)
		}
		<-tick.C
	}
	t.Fatal("the span was not written as a complete line in time")
	return ""
}
