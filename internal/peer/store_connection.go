package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"swiftledge/internal/store"
)

const (
	// pieceBytes is the most that is read from a connection at once.
	pieceBytes = 4096
	// pieces that wait between a connection and the goroutine that frames them, by direction.
	localBacklog  = 16
	remoteBacklog = 64
	// resendAfter is after how many intervals an unacknowledged frame is written again.
	resendAfter = 3
	// endTries is how often the end of a connection is written; otherwise the other side would notice only after
	// storeTimeout.
	endTries = 8
	// maxEndBackoff bounds the backoff between these.
	maxEndBackoff = 2
	// ticksPerInterval is how often in an interval a connection looks whether a frame is due.
	ticksPerInterval = 4
)

// storeConnection is one connection that is carried in frames. The goroutine of run owns its state.
type storeConnection struct {
	transport *StoreTransport
	conn      net.Conn // our end of the pipe whose other end is in use
	remote    string   // the other controller's name
	id        uint64   // chosen by the side that opened the connection
	received  chan frame
	writer    frameWriter

	outgoing    frame  // the last one, as it is written and written again
	pending     []byte // waits for the next frame
	due         bool   // there is something to tell the other side
	writing     bool   // a write is under way; its goroutine owns the writer
	lastWrite   time.Time
	written     chan bool   // whether the write that was under way succeeded
	fromLocal   chan []byte // pieces read from conn; closed when it has ended
	towardLocal chan []byte // pieces to be written to conn
}

func newStoreConnection(transport *StoreTransport, conn net.Conn, remote string, id uint64) *storeConnection {
	return &storeConnection{
		transport:   transport,
		conn:        conn,
		remote:      remote,
		id:          id,
		received:    make(chan frame, frameBacklog),
		writer:      frameWriter{store: transport.store, key: FramePrefix + remote + "/" + transport.controller},
		outgoing:    frame{Connection: id},
		written:     make(chan bool, 1),
		fromLocal:   make(chan []byte, localBacklog),
		towardLocal: make(chan []byte, remoteBacklog),
	}
}

// deliver hands a frame of the other side to the connection, or drops it if too many wait.
func (c *storeConnection) deliver(f frame) {
	select {
	case c.received <- f:
	default:
	}
}

// run carries the connection's bytes until either side closes it or ctx ends.
func (c *storeConnection) run(ctx context.Context) {
	var goroutines sync.WaitGroup
	defer goroutines.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer c.conn.Close()
	defer c.transport.post(connectionEnded{c})
	defer close(c.towardLocal)
	goroutines.Go(func() { c.readLocal(ctx) })
	goroutines.Go(c.writeLocal)
	ticker := time.NewTicker(c.transport.interval / ticksPerInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case piece, ok := <-c.fromLocal:
			if !ok || len(c.pending)+len(piece) > c.transport.backlogBytes {
				c.finish(ctx)
				return
			}
			c.pending = append(c.pending, piece...)
		case f := <-c.received:
			if f.End || !c.receive(f) {
				return
			}
		case ok := <-c.written:
			c.writing = false
			c.due = c.due || !ok
		case <-ticker.C:
		}
		if c.prepareFrame() {
			f := c.outgoing
			goroutines.Go(func() { c.written <- c.writer.write(ctx, f) })
		}
	}
}

// readLocal passes on what comes from our end until it is closed or ctx ends.
func (c *storeConnection) readLocal(ctx context.Context) {
	defer close(c.fromLocal)
	for {
		piece := make([]byte, pieceBytes)
		n, err := c.conn.Read(piece)
		if err != nil {
			return
		}
		select {
		case c.fromLocal <- piece[:n]:
		case <-ctx.Done():
			return
		}
	}
}

// writeLocal passes on to our end what comes from the other side.
func (c *storeConnection) writeLocal() {
	for piece := range c.towardLocal {
		if _, err := c.conn.Write(piece); err != nil {
			return
		}
	}
}

// receive takes in a frame of the other side. It returns false when our side does not keep up.
func (c *storeConnection) receive(f frame) bool {
	if f.Acknowledged == c.outgoing.Sequence {
		c.outgoing.Data = nil
	}
	// A repeated piece shows that our acknowledgement was missed.
	c.due = c.due || f.Sequence == c.outgoing.Acknowledged && f.Sequence > 0 && f.Data != nil
	if f.Sequence != c.outgoing.Acknowledged+1 {
		return true
	}
	c.outgoing.Acknowledged, c.due = f.Sequence, true
	if len(f.Data) == 0 {
		return true
	}
	select {
	case c.towardLocal <- f.Data:
		return true
	default:
		return false
	}
}

// prepareFrame makes the next frame and returns true if one is to be written now: there is something to tell, the
// interval since the last has passed, and no write is under way.
func (c *storeConnection) prepareFrame() bool {
	sinceLast := time.Since(c.lastWrite)
	if c.writing || sinceLast < c.transport.interval {
		return false
	}
	if c.outgoing.Data == nil && len(c.pending) > 0 {
		n := min(len(c.pending), c.transport.frameBytes)
		c.outgoing.Data, c.pending = c.pending[:n:n], c.pending[n:]
		c.outgoing.Sequence++
		c.due = true
	}
	// Unacknowledged pieces are written again now and then, in case a frame was missed.
	resend := c.outgoing.Data != nil && sinceLast > resendAfter*c.transport.interval
	if !c.due && !resend {
		return false
	}
	c.due, c.writing, c.lastWrite = false, true, time.Now()
	return true
}

// finish tells the other side that the connection has ended.
func (c *storeConnection) finish(ctx context.Context) {
	if c.writing {
		<-c.written
	}
	c.outgoing.End, c.outgoing.Data = true, nil
	for try := range endTries {
		if c.writer.write(ctx, c.outgoing) || !store.Backoff(ctx, min(try, maxEndBackoff)) {
			return
		}
	}
}
