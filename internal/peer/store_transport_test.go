package peer

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"swiftledge/internal/clock"
	"swiftledge/internal/store"
	"swiftledge/wire"
)

// memoryStore is an in-memory store that randomly refuses requests and loses answers.
type memoryStore struct {
	mu                sync.Mutex
	rng               *rand.Rand
	revision          uint64
	items             map[string]wire.Item
	changed           chan struct{} // closed and replaced on each change
	largestValueBytes int           // size of the largest value written so far
}

func newMemoryStore() *memoryStore {
	return &memoryStore{rng: rand.New(rand.NewPCG(3, 3)), items: map[string]wire.Item{}, changed: make(chan struct{})}
}

func (s *memoryStore) Get(_ context.Context, _ store.Priority, key string) (wire.Item, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if item, ok := s.items[key]; ok {
		return item, nil
	}
	return wire.Item{}, store.ErrNotFound
}

func (s *memoryStore) List(context.Context, store.Priority, string) ([]wire.Item, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return nil, s.revision, nil
}

func (s *memoryStore) TryCommit(_ context.Context, _ store.Priority, txn wire.Txn) (store.TxnResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	const refuseRequest, loseAnswer = 0, 1
	fault := s.rng.IntN(10)
	if fault == refuseRequest {
		return store.TxnResult{}, store.ErrNotExecuted
	}
	for _, condition := range txn.Conditions {
		if s.items[condition.Key].Version != condition.Version {
			return store.TxnResult{FailedKeys: []string{condition.Key}}, nil
		}
	}
	s.revision++
	for _, write := range txn.Writes {
		s.largestValueBytes = max(s.largestValueBytes, len(write.Value))
		s.items[write.Put] = wire.Item{Key: write.Put, Value: write.Value, Version: s.revision}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	if fault == loseAnswer {
		return store.TxnResult{}, store.ErrOutcomeUnknown
	}
	return store.TxnResult{Committed: true, Revision: s.revision}, nil
}

func (s *memoryStore) Watch(
	ctx context.Context, prefix string, after uint64, _ clock.Micros,
) (wire.WatchResponse, error) {
	for {
		response, changed := s.changesAfter(prefix, after)
		if len(response.Events) > 0 {
			return response, nil
		}
		select {
		case <-ctx.Done():
			return response, ctx.Err()
		case <-changed:
		}
	}
}

// changesAfter returns the changes after a revision of keys with a prefix, and a channel that is closed on the next
// change.
func (s *memoryStore) changesAfter(prefix string, after uint64) (wire.WatchResponse, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	response := wire.WatchResponse{Revision: s.revision}
	for key, item := range s.items {
		if item.Version > after && len(key) > len(prefix) && strings.HasPrefix(key, prefix) {
			response.Events = append(response.Events, wire.Event{Put: key, Value: item.Value, Version: item.Version})
		}
	}
	return response, s.changed
}

// largestValue returns the size in bytes of the largest value that was written so far.
func (s *memoryStore) largestValue() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.largestValueBytes
}

// maxValueBytes is the size limit of a value in the tests.
const maxValueBytes = 2048

// newTestTransport returns a transport whose frames use at most nine tenths of the size limit of a value.
func newTestTransport(controller string, s FrameStore) *StoreTransport {
	return NewStoreTransport(controller, s, maxValueBytes*9/10, 256<<10, time.Millisecond)
}

// Bytes arrive complete and in order in both directions although the store refuses writes or loses their answers. No
// value exceeds the size limit.
func TestStoreTransportCarriesConnections(t *testing.T) {
	memory := newMemoryStore()
	opening, accepting := newTestTransport("n1", memory), newTestTransport("n0", memory)
	accepted := make(chan net.Conn, 2)
	go accepting.Run(t.Context(), func(conn net.Conn) { accepted <- conn })
	go opening.Run(t.Context(), func(net.Conn) { t.Error("opening controller accepted a connection, want none to it") })
	request, answer := randomBytes(40000), randomBytes(30000)
	for range 2 { // the second connection replaces the first
		openerEnd := opening.Open("n0")
		go func() {
			if _, err := openerEnd.Write(request); err != nil {
				t.Error(err)
			}
		}()
		acceptorEnd := <-accepted
		go func() {
			if _, err := acceptorEnd.Write(answer); err != nil {
				t.Error(err)
			}
		}()
		expectBytes(t, acceptorEnd, request)
		expectBytes(t, openerEnd, answer)
		openerEnd.Close()
		if n, err := acceptorEnd.Read(make([]byte, 1)); err == nil {
			t.Errorf("read %d bytes after the other side closed the connection, want an error", n)
		}
	}
	if n := memory.largestValue(); n > maxValueBytes {
		t.Errorf("largest value took %d bytes, want at most maxValueBytes", n)
	}
}

// When a transport ends, its connections and all of its goroutines end, and no new connection can be opened.
func TestStoreTransportShutdown(t *testing.T) {
	memory := newMemoryStore()
	transport := newTestTransport("n1", memory)
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		transport.Run(ctx, nil)
		close(ended)
	}()
	connection := transport.Open("n0")
	if _, err := connection.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	stop()
	<-ended
	if _, err := connection.Read(make([]byte, 1)); err == nil {
		t.Error("connection still open after the end of the transport")
	}
	if _, err := transport.Open("n0").Read(make([]byte, 1)); err == nil {
		t.Error("connection opened after the end of the transport, want it closed at once")
	}
}

func randomBytes(n int) []byte {
	rng := rand.New(rand.NewPCG(5, 5))
	data := make([]byte, n)
	for i := range data {
		data[i] = byte(rng.Uint32())
	}
	return data
}

func expectBytes(t *testing.T, conn net.Conn, want []byte) {
	t.Helper()
	got := make([]byte, len(want))
	if _, err := io.ReadFull(conn, got); err != nil || !bytes.Equal(got, want) {
		t.Fatalf("received bytes differ from the sent bytes or are incomplete, read error %v", err)
	}
}
