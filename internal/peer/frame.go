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

// FramePrefix is the prefix of the keys that hold frames; the receiver's and then the sender's name follow.
const FramePrefix = "mail/"

// frameWriteTimeout bounds the writing of one frame.
const frameWriteTimeout = 3 * time.Second

// FrameStore is what the store transport needs of the state service.
type FrameStore interface {
	Get(ctx context.Context, priority store.Priority, key string) (wire.Item, error)
	TryCommit(ctx context.Context, priority store.Priority, txn wire.Txn) (store.TxnResult, error)
	List(ctx context.Context, priority store.Priority, prefix string) ([]wire.Item, uint64, error)
	Watch(ctx context.Context, prefix string, after uint64, blockFor clock.Micros) (wire.WatchResponse, error)
}

// frame is the value of a key: a piece of a connection's bytes, overwritten with the next one once the other side
// has acknowledged it.
type frame struct {
	Connection   uint64 `json:"c"` // number chosen by the side that opened the connection
	FromOpener   bool   `json:"o,omitempty"`
	Sequence     int    `json:"n"` // of the piece, from 1; 0 while there is none
	Acknowledged int    `json:"a"` // sequence number of the last piece of the other side that has come
	Data         []byte `json:"d,omitempty"`
	End          bool   `json:"e,omitempty"` // the connection has ended
}

// opensConnection says whether the frame is the first of a connection. Others of a connection that is not known are
// left over from an old one.
func (f *frame) opensConnection() bool {
	return f.FromOpener && f.Sequence == 1 && f.Acknowledged == 0 && !f.End
}

// frameWriter writes the frames of one direction of a connection, each over the last.
type frameWriter struct {
	store        FrameStore
	key          string
	version      uint64 // of the key
	versionKnown bool
}

// write writes a frame over the last one, on condition of its version: a copy of the transaction that is applied late
// must not bring an older piece back. It returns false if the frame is to be written again.
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

// readVersion reads the key's version, which is 0 if the key does not exist, and says whether that succeeded.
func (w *frameWriter) readVersion(ctx context.Context) bool {
	item, err := w.store.Get(ctx, store.PriorityAttempts, w.key)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return false
	}
	w.version, w.versionKnown = item.Version, true
	return true
}
