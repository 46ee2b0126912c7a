package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"swiftledge/internal/store"
)

const (
	// chunkBytes is the maximum size of one read from the local connection.
	chunkBytes = 4096
	// localBacklog is the number of chunks that may be queued after they were read from the local connection.
	// remoteBacklog is the number of chunks from the other side that may be queued for writing to the local connection.
	localBacklog  = 16
	remoteBacklog = 64
	// resendAfterIntervals is the number of frame intervals after which an unacknowledged frame is written again.
	resendAfterIntervals = 3
	// maxEndWrites is the maximum number of tries to write the frame that ends a connection. Without this frame, the
	// other side would detect the closed connection only after storeTimeout.
	maxEndWrites = 8
	// maxEndBackoffDoublings bounds the growth of the backoff between these tries.
	maxEndBackoffDoublings = 2
	// ticksPerInterval is how many times per frame interval a connection checks whether a frame is due.
	ticksPerInterval = 4
)

// storeConnection is one connection whose bytes are carried in frames. The user of the connection reads and writes
// these bytes on the local connection, a pipe. The goroutine of run owns the state of the storeConnection.
type storeConnection struct {
	transport *StoreTransport
	conn      net.Conn // this side's end of the local connection; the user has the other end
	remote    string   // name of the other controller
	id        uint64   // chosen by the side that opened the connection
	incoming  chan frame
	writer    frameWriter

	outgoing     frame  // the latest frame; rewritten until it is acknowledged
	pending      []byte // bytes to be sent in the next frames
	frameDue     bool   // there is data or an acknowledgement to send
	writing      bool   // a write is in progress; its goroutine owns the writer
	lastWrite    time.Time
	writeResults chan bool   // whether the write in progress has succeeded
	fromLocal    chan []byte // chunks read from conn; closed when reading has ended
	toLocal      chan []byte // chunks to be written to conn
}

func newStoreConnection(transport *StoreTransport, conn net.Conn, remote string, id uint64) *storeConnection {
	return &storeConnection{
		transport:    transport,
		conn:         conn,
		remote:       remote,
		id:           id,
		incoming:     make(chan frame, frameBacklog),
		writer:       frameWriter{store: transport.store, key: FramePrefix + remote + "/" + transport.controller},
		outgoing:     frame{Connection: id},
		writeResults: make(chan bool, 1),
		fromLocal:    make(chan []byte, localBacklog),
		toLocal:      make(chan []byte, remoteBacklog),
	}
}

// deliver queues a frame from the other side for the connection, or drops it if the queue is full.
func (c *storeConnection) deliver(f frame) {
	select {
	case c.incoming <- f:
	default:
	}
}

// run carries the bytes of the connection until either side closes it, too much data is queued, or ctx ends.
func (c *storeConnection) run(ctx context.Context) {
	var goroutines sync.WaitGroup
	defer goroutines.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer c.conn.Close()
	defer c.transport.post(connectionEnded{c})
	defer close(c.toLocal)
	goroutines.Go(func() { c.readLocal(ctx) })
	goroutines.Go(c.writeLocal)
	ticker := time.NewTicker(c.transport.interval / ticksPerInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case chunk, ok := <-c.fromLocal:
			if !ok || len(c.pending)+len(chunk) > c.transport.backlogBytes {
				c.writeEnd(ctx)
				return
			}
			c.pending = append(c.pending, chunk...)
		case f := <-c.incoming:
			if f.End || !c.handleFrame(f) {
				return
			}
		case ok := <-c.writeResults:
			c.writing = false
			c.frameDue = c.frameDue || !ok
		case <-ticker.C:
		}
		if c.prepareFrame() {
			f := c.outgoing
			goroutines.Go(func() { c.writeResults <- c.writer.write(ctx, f) })
		}
	}
}

// readLocal forwards chunks from the local connection to run until the connection is closed or ctx ends.
func (c *storeConnection) readLocal(ctx context.Context) {
	defer close(c.fromLocal)
	for {
		chunk := make([]byte, chunkBytes)
		n, err := c.conn.Read(chunk)
		if err != nil {
			return
		}
		select {
		case c.fromLocal <- chunk[:n]:
		case <-ctx.Done():
			return
		}
	}
}

// writeLocal writes the chunks that were received from the other side to the local connection.
func (c *storeConnection) writeLocal() {
	for chunk := range c.toLocal {
		if _, err := c.conn.Write(chunk); err != nil {
			return
		}
	}
}

// handleFrame processes a frame from the other side. It returns false if the local side reads too slowly.
func (c *storeConnection) handleFrame(f frame) bool {
	if f.Acknowledged == c.outgoing.Sequence {
		c.outgoing.Data = nil
	}
	// A repeated chunk shows that the other side has missed our acknowledgement.
	c.frameDue = c.frameDue || f.Sequence == c.outgoing.Acknowledged && f.Sequence > 0 && f.Data != nil
	if f.Sequence != c.outgoing.Acknowledged+1 {
		return true
	}
	c.outgoing.Acknowledged, c.frameDue = f.Sequence, true
	if len(f.Data) == 0 {
		return true
	}
	select {
	case c.toLocal <- f.Data:
		return true
	default:
		return false
	}
}

// prepareFrame prepares the next frame and returns true if it is to be written now: data or an acknowledgement has to
// be sent, the frame interval since the last write has passed, and no write is in progress.
func (c *storeConnection) prepareFrame() bool {
	sinceLast := time.Since(c.lastWrite)
	if c.writing || sinceLast < c.transport.interval {
		return false
	}
	if c.outgoing.Data == nil && len(c.pending) > 0 {
		n := min(len(c.pending), c.transport.frameBytes)
		c.outgoing.Data, c.pending = c.pending[:n:n], c.pending[n:]
		c.outgoing.Sequence++
		c.frameDue = true
	}
	// An unacknowledged chunk is written again periodically, in case the other side has missed the frame.
	resend := c.outgoing.Data != nil && sinceLast > resendAfterIntervals*c.transport.interval
	if !c.frameDue && !resend {
		return false
	}
	c.frameDue, c.writing, c.lastWrite = false, true, time.Now()
	return true
}

// writeEnd writes a frame that tells the other side that the connection is closed.
func (c *storeConnection) writeEnd(ctx context.Context) {
	if c.writing {
		<-c.writeResults
	}
	c.outgoing.End, c.outgoing.Data = true, nil
	for try := range maxEndWrites {
		if c.writer.write(ctx, c.outgoing) || !store.Backoff(ctx, min(try, maxEndBackoffDoublings)) {
			return
		}
	}
}
