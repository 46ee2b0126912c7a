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

// memoryStore is a state service that loses answers and refuses requests now and then.
type memoryStore struct {
	mu         sync.Mutex
	rng        *rand.Rand
	revision   uint64
	items      map[string]wire.Item
	changed    chan struct{} // closed and replaced with each change
	valueBytes int           // see largestValue
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
	const refuse, loseAnswer = 0, 1
	fault := s.rng.IntN(10)
	if fault == refuse {
		return store.TxnResult{}, store.ErrNotExecuted
	}
	for _, condition := range txn.Conditions {
		if s.items[condition.Key].Version != condition.Version {
			return store.TxnResult{FailedKeys: []string{condition.Key}}, nil
		}
	}
	s.revision++
	for _, write := range txn.Writes {
		s.valueBytes = max(s.valueBytes, len(write.Value))
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

// changesAfter returns the changes of keys with a prefix after a revision, and a channel that is closed with the next.
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

// largestValue returns the bytes of the largest value that was written so far.
func (s *memoryStore) largestValue() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.valueBytes
}

// maxValueBytes is the most that a value of memoryStore may hold.
const maxValueBytes = 2048

// newTestTransport returns a transport whose frames leave a tenth of a value unused.
func newTestTransport(controller string, s FrameStore) *StoreTransport {
	return NewStoreTransport(controller, s, maxValueBytes*9/10, 256<<10, time.Millisecond)
}

// Bytes arrive complete and in order both ways, though writes are refused or lose their answers, and no value is larger
// than allowed.
func TestStoreTransportCarriesConnections(t *testing.T) {
	memory := newMemoryStore()
	opening, accepting := newTestTransport("n1", memory), newTestTransport("n0", memory)
	accepted := make(chan net.Conn, 2)
	go accepting.Run(t.Context(), func(conn net.Conn) { accepted <- conn })
	go opening.Run(t.Context(), func(net.Conn) { t.Error("a connection is opened backwards") })
	request, answer := randomBytes(40000), randomBytes(30000)
	for range 2 { // the second connection takes the first one's place
		near := opening.Open("n0")
		go func() {
			if _, err := near.Write(request); err != nil {
				t.Error(err)
			}
		}()
		far := <-accepted
		go func() {
			if _, err := far.Write(answer); err != nil {
				t.Error(err)
			}
		}()
		expectBytes(t, far, request)
		expectBytes(t, near, answer)
		near.Close()
		if n, err := far.Read(make([]byte, 1)); err == nil {
			t.Errorf("%d bytes after the other side has closed", n)
		}
	}
	if n := memory.largestValue(); n > maxValueBytes {
		t.Errorf("a value of %d bytes", n)
	}
}

// When a transport ends, so do its connections and all of its goroutines; none can be opened any more.
func TestStoreTransportEnds(t *testing.T) {
	memory := newMemoryStore()
	transport := newTestTransport("n1", memory)
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		transport.Run(ctx, nil)
		close(ended)
	}()
	before := transport.Open("n0")
	if _, err := before.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	stop()
	<-ended
	if _, err := before.Read(make([]byte, 1)); err == nil {
		t.Error("a connection outlived its transport")
	}
	if _, err := transport.Open("n0").Read(make([]byte, 1)); err == nil {
		t.Error("a connection was opened after the transport's end")
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
		t.Fatalf("the bytes that arrived are not those that were sent: %v", err)
	}
}
