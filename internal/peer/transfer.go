package peer

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"time"

	"swiftledge/internal/store"
	"swiftledge/wire"
)

const (
	// readSize is the most that is taken from a connection at once.
	readSize = 4096
	// outBacklog and inBacklog are how many pieces wait between a connection and its transfer.
	outBacklog = 16
	inBacklog  = 64
	// resendAfter is after how many usual pauses an unacknowledged frame is written again.
	resendAfter = 3
)

// transfer is the state of one connection that is carried in frames; pump owns it.
type transfer struct {
	relay   *StoreTransport
	frame   frame  // the last one, as it is written and written again
	pending []byte // what waits for the next
	due     bool   // something is to be told to the other side
	writing bool   // a write is under way
	last    time.Time
	in      chan []byte // to our end of the connection
	out     chan []byte // from it
	written chan bool
	writer  frameWriter
}

// pump carries one connection's bytes; c is our end of its pipe.
func (o *StoreTransport) pump(ctx context.Context, r *relayConn, c net.Conn) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	defer c.Close()
	defer func() { o.calls <- ended{r.to, r.id} }()
	t := &transfer{
		relay: o, frame: frame{Conn: r.id, Open: r.opener},
		in: make(chan []byte, inBacklog), out: make(chan []byte, outBacklog), written: make(chan bool, 1),
		writer: frameWriter{store: o.mail, key: FramePrefix + r.to + "/" + o.me},
	}
	defer close(t.in)
	go readPieces(c, t.out)
	go writePieces(c, t.in)
	tick := time.NewTicker(o.gap / 4)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case b, ok := <-t.out:
			if !ok || len(t.pending)+len(b) > t.relay.most {
				t.finish(ctx)
				return
			}
			t.pending = append(t.pending, b...)
		case got := <-r.frames:
			if got.End || !t.receive(got) {
				return
			}
		case ok := <-t.written:
			t.writing = false
			t.due = t.due || !ok
		case <-tick.C:
		}
		t.send(ctx)
	}
}

// readPieces passes on what comes from a connection until it ends.
func readPieces(c net.Conn, out chan<- []byte) {
	defer close(out)
	for {
		buf := make([]byte, readSize)
		n, err := c.Read(buf)
		if err != nil {
			return
		}
		out <- buf[:n]
	}
}

// writePieces passes on to a connection what comes from the other side.
func writePieces(c net.Conn, in <-chan []byte) {
	for b := range in {
		if _, err := c.Write(b); err != nil {
			return
		}
	}
}

// receive takes in a frame of the other side; false when our side does not keep up.
func (t *transfer) receive(got frame) bool {
	if got.Ack == t.frame.Seq {
		t.frame.Data = nil
	}
	// A repeated piece tells that our acknowledgement was missed.
	t.due = t.due || got.Seq == t.frame.Ack && got.Seq > 0 && got.Data != nil
	if got.Seq != t.frame.Ack+1 {
		return true
	}
	t.frame.Ack, t.due = got.Seq, true
	if len(got.Data) == 0 {
		return true
	}
	select {
	case t.in <- got.Data:
		return true
	default:
		return false
	}
}

// send writes the next frame if there is something to tell and the pause since the last is over.
func (t *transfer) send(ctx context.Context) {
	since := time.Since(t.last)
	if t.writing || since < t.relay.gap {
		return
	}
	if t.frame.Data == nil && len(t.pending) > 0 {
		n := min(len(t.pending), t.relay.bytes)
		t.frame.Data, t.pending = t.pending[:n:n], t.pending[n:]
		t.frame.Seq++
		t.due = true
	}
	// Unacknowledged pieces are written again now and then, in case a frame was missed.
	if !t.due && (t.frame.Data == nil || since <= resendAfter*t.relay.gap) {
		return
	}
	t.due, t.writing, t.last = false, true, time.Now()
	// The goroutine owns the writer until it has answered.
	go func(f frame) { t.written <- t.writer.write(ctx, f) }(t.frame)
}

// finish tells the other side that the connection has ended.
func (t *transfer) finish(ctx context.Context) {
	if t.writing {
		<-t.written
	}
	t.frame.End, t.frame.Data = true, nil
	for n := range endTries {
		if t.writer.write(ctx, t.frame) || !store.Backoff(ctx, min(n, 2)) {
			return
		}
	}
}

// frameWriter writes the frames of one direction of a connection, each over the last.
type frameWriter struct {
	store   FrameStore
	key     string
	version uint64 // of the key, if known
	known   bool
}

// write puts a frame over the last one, guarded on its version: a copy that is
// applied late must not bring an older piece back.
func (w *frameWriter) write(ctx context.Context, f frame) bool {
	ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	if !w.known {
		it, err := w.store.Get(ctx, store.PriorityAttempts, w.key)
		if err != nil && !errors.Is(err, store.ErrNotFound) {
			return false
		}
		w.version, w.known = it.Version, true
	}
	raw, err := json.Marshal(f)
	if err != nil {
		return false
	}
	out, err := w.store.TryCommit(ctx, store.PriorityAttempts, wire.Txn{Conditions: []wire.Condition{{Key: w.key, Version: w.version}}, Writes: []wire.Write{{Put: w.key, Value: raw}}})
	if err != nil || !out.Committed {
		w.known = false
		return false
	}
	w.version = out.Revision
	return true
}
