package peer

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"swiftledge/internal/clock"
	"swiftledge/internal/store"
	"swiftledge/wire"
)

// box is a state service that loses answers and refuses now and then.
type box struct {
	mu      sync.Mutex
	rng     *rand.Rand
	rev     uint64
	items   map[string]wire.Item
	changed chan struct{}
	most    int
}

func (b *box) Get(_ context.Context, _ store.Priority, key string) (wire.Item, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if it, ok := b.items[key]; ok {
		return it, nil
	}
	return wire.Item{}, store.ErrNotFound
}

func (b *box) List(context.Context, store.Priority, string) ([]wire.Item, uint64, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return nil, b.rev, nil
}

func (b *box) TryCommit(_ context.Context, _ store.Priority, t wire.Txn) (store.TxnResult, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	luck := b.rng.IntN(10)
	if luck == 0 {
		return store.TxnResult{}, store.ErrNotExecuted
	}
	for _, g := range t.Conditions {
		if b.items[g.Key].Version != g.Version {
			return store.TxnResult{FailedKeys: []string{g.Key}}, nil
		}
	}
	b.rev++
	for _, w := range t.Writes {
		b.most = max(b.most, len(w.Value))
		b.items[w.Put] = wire.Item{Key: w.Put, Value: w.Value, Version: b.rev}
	}
	close(b.changed)
	b.changed = make(chan struct{})
	if luck == 1 {
		return store.TxnResult{}, store.ErrOutcomeUnknown
	}
	return store.TxnResult{Committed: true, Revision: b.rev}, nil
}

func (b *box) Watch(ctx context.Context, prefix string, since uint64, _ clock.Micros) (wire.WatchResponse, error) {
	for {
		b.mu.Lock()
		a := wire.WatchResponse{Revision: b.rev}
		for k, it := range b.items {
			if it.Version > since && len(k) > len(prefix) && k[:len(prefix)] == prefix {
				a.Events = append(a.Events, wire.Event{Put: k, Value: it.Value, Version: it.Version})
			}
		}
		changed := b.changed
		b.mu.Unlock()
		if len(a.Events) > 0 {
			return a, nil
		}
		select {
		case <-ctx.Done():
			return a, ctx.Err()
		case <-changed:
		}
	}
}

// Bytes go through whole and in order both ways, though writes are refused or lose
// their answers, and no value is larger than allowed.
func TestOfficeCarriesConnections(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	b := &box{rng: rand.New(rand.NewPCG(3, 3)), items: map[string]wire.Item{}, changed: make(chan struct{})}
	n0, n1 := NewStoreTransport("n0", b, 1843, 256<<10, time.Millisecond), NewStoreTransport("n1", b, 1843, 256<<10, time.Millisecond)
	got := make(chan net.Conn, 2)
	go n0.Run(ctx, func(c net.Conn) { got <- c })
	go n1.Run(ctx, func(net.Conn) { t.Error("a connection is opened backwards") })
	there, back := make([]byte, 40000), make([]byte, 30000)
	for i := range there {
		there[i] = byte(b.rng.Uint32())
	}
	for i := range back {
		back[i] = byte(b.rng.Uint32())
	}
	for range 2 { // the second takes the first one's place
		opener := n1.Open(ctx, "n0")
		go opener.Write(there)
		far := <-got
		go func() {
			if _, err := far.Write(back); err != nil {
				t.Error(err)
			}
		}()
		in := make([]byte, len(there))
		if _, err := io.ReadFull(far, in); err != nil || !bytes.Equal(in, there) {
			t.Fatalf("what was sent is not what came: %v", err)
		}
		in = make([]byte, len(back))
		if _, err := io.ReadFull(opener, in); err != nil || !bytes.Equal(in, back) {
			t.Fatalf("what was sent back is not what came: %v", err)
		}
		opener.Close()
		if n, err := far.Read(in); err == nil {
			t.Errorf("%d bytes after the other side has closed", n)
		}
	}
	if b.most > 2048 {
		t.Errorf("a value of %d bytes", b.most)
	}
}
