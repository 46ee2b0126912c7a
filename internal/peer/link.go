package peer

import (
	"bufio"
	"net"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// sendBacklog is the number of messages that may be queued for a peer. In a cluster of thousands of machines, fewer
// messages than sendBacklog are sent within writeTimeout.
const sendBacklog = 1024

// HolderLink is the leader's end of a link to a holder.
type HolderLink struct {
	endpoint[FromLeader, ToLeader]
}

// Send queues a message to the holder; see LeaderLink.Send.
func (l *HolderLink) Send(message *FromLeader) { l.send(message) }

// LeaderLink is a holder's end of its link to the leader.
type LeaderLink struct {
	endpoint[ToLeader, FromLeader]
}

// Send queues a message to the leader. It closes the link if the queue is full, because single messages must not be
// dropped and the queue must not grow without bound.
func (l *LeaderLink) Send(message *ToLeader) { l.send(message) }

// Receive calls handle for every message from the leader until the link is closed.
func (l *LeaderLink) Receive(handle func(*FromLeader)) { l.receive(handle) }

// endpoint is one end of a link. It sends messages of type Out and receives messages of type In.
type endpoint[Out, In any] struct {
	// Peer is the Hello of the other side.
	Peer      Hello
	conn      net.Conn
	decoder   *msgpack.Decoder // also holds bytes that were buffered while the Hello was read
	transport Transport
	outgoing  chan *Out
	closeOnce sync.Once
	closed    chan struct{}
	writer    sync.WaitGroup
}

// start takes ownership of a connection whose handshake is complete and starts the goroutine that writes to the
// connection.
func (e *endpoint[Out, In]) start(conn net.Conn, decoder *msgpack.Decoder, peer Hello, transport Transport) {
	e.Peer, e.conn, e.decoder, e.transport = peer, conn, decoder, transport
	e.outgoing, e.closed = make(chan *Out, sendBacklog), make(chan struct{})
	e.writer.Go(e.write)
}

// ViaStore reports whether the link uses the store transport, where a message takes seconds.
func (e *endpoint[Out, In]) ViaStore() bool { return e.transport == TransportStore }

// Close closes the link and thereby ends its receive loop.
func (e *endpoint[Out, In]) Close() {
	e.closeOnce.Do(func() {
		close(e.closed)
		e.conn.Close()
	})
}

// send queues a message. It closes the link if the queue is full.
func (e *endpoint[Out, In]) send(message *Out) {
	select {
	case e.outgoing <- message:
	default:
		e.Close()
	}
}

// write writes queued messages to the connection until the link is closed.
func (e *endpoint[Out, In]) write() {
	defer e.Close()
	buffer := bufio.NewWriterSize(e.conn, bufferBytes)
	encoder := msgpack.NewEncoder(buffer)
	for {
		select {
		case message := <-e.outgoing:
			e.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
			if encoder.Encode(message) != nil {
				return
			}
			if len(e.outgoing) == 0 && buffer.Flush() != nil {
				return
			}
		case <-e.closed:
			return
		}
	}
}

// receive calls handle for every message until the link is closed. It returns after the goroutine that writes to the
// connection has ended.
func (e *endpoint[Out, In]) receive(handle func(*In)) {
	defer e.writer.Wait()
	defer e.Close()
	for {
		if e.transport == TransportTCP {
			e.conn.SetReadDeadline(time.Now().Add(readTimeout))
		}
		message := new(In)
		if e.decoder.Decode(message) != nil {
			return
		}
		handle(message)
	}
}
