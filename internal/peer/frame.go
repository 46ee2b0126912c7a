package peer

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"swiftledge/internal/clock"
	"swiftledge/internal/store"
	"swiftledge/wire"
)

// FramePrefix is the prefix of the store keys that hold frames. The names of the receiver and the sender follow the
// prefix.
const FramePrefix = "mail/"

// frameWriteTimeout bounds the write of one frame.
const frameWriteTimeout = 3 * time.Second

// FrameStore is the part of the store client that the store transport uses.
type FrameStore interface {
	Get(ctx context.Context, priority store.Priority, key string) (wire.Item, error)
	TryCommit(ctx context.Context, priority store.Priority, txn wire.Txn) (store.TxnResult, error)
	List(ctx context.Context, priority store.Priority, prefix string) ([]wire.Item, uint64, error)
	Watch(ctx context.Context, prefix string, after uint64, blockFor clock.Micros) (wire.WatchResponse, error)
}

// frame is the value of a store key: one chunk of the byte stream of a connection. The sender overwrites a frame with
// the next frame after the other side has acknowledged the chunk.
type frame struct {
	Connection   uint64 `json:"c"` // ID chosen by the side that opened the connection
	FromOpener   bool   `json:"o,omitempty"`
	Sequence     int    `json:"n"` // number of the chunk, from 1; 0 before the first chunk
	Acknowledged int    `json:"a"` // sequence number of the last chunk received from the other side
	Data         []byte `json:"d,omitempty"`
	End          bool   `json:"e,omitempty"` // the sender has closed the connection
}

// opensConnection reports whether the frame is the first of a connection. Any other frame of an unknown connection is
// left over from an earlier connection.
func (f *frame) opensConnection() bool {
	return f.FromOpener && f.Sequence == 1 && f.Acknowledged == 0 && !f.End
}

// frameWriter writes the frames of one direction of a connection. Each frame overwrites the previous frame.
type frameWriter struct {
	store        FrameStore
	key          string
	version      uint64 // of the key
	versionKnown bool
}

// write overwrites the previous frame. The transaction has a condition on the version of the key, so that a duplicate
// of the transaction that is applied late cannot restore an older chunk. It returns false if the frame must be written
// again.
func (w *frameWriter) write(ctx context.Context, f frame) bool {
	ctx, cancel := context.WithTimeout(ctx, frameWriteTimeout)
	defer cancel()
	if !w.versionKnown && !w.readVersion(ctx) {
		return false
	}
	value, err := json.Marshal(f)
	if err != nil {
		return false
	}
	result, err := w.store.TryCommit(ctx, store.PriorityAttempts, wire.Txn{
		Conditions: []wire.Condition{{Key: w.key, Version: w.version}},
		Writes:     []wire.Write{{Put: w.key, Value: value}},
	})
	if err != nil || !result.Committed {
		w.versionKnown = false
		return false
	}
	w.version = result.Revision
	return true
}

// readVersion reads the version of the key, which is 0 if the key does not exist. It returns false if the read failed.
func (w *frameWriter) readVersion(ctx context.Context) bool {
	item, err := w.store.Get(ctx, store.PriorityAttempts, w.key)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return false
	}
	w.version, w.versionKnown = item.Version, true
	return true
}
