package peer

import (
	"bufio"
	"net"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// sendBacklog is how many messages may wait for a peer: more than are sent within writeTimeout in a cluster of
// thousands of machines.
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

// Send queues a message to the leader. A peer that does not keep up loses its link, since messages must neither be
// dropped one by one nor pile up without bound.
func (l *LeaderLink) Send(message *ToLeader) { l.send(message) }

// Receive calls handle for every message of the leader until the link ends.
func (l *LeaderLink) Receive(handle func(*FromLeader)) { l.receive(handle) }

// endpoint is one end of a link, which sends messages of one type and receives those of another.
type endpoint[Out, In any] struct {
	// Peer is what the other side opened the link with.
	Peer      Hello
	conn      net.Conn
	decoder   *msgpack.Decoder // holds what was read ahead with the Hello
	transport Transport
	outgoing  chan *Out
	closeOnce sync.Once
	closed    chan struct{}
	writer    sync.WaitGroup
}

// start takes over a connection on which Hellos have been exchanged, and starts the goroutine that writes to it.
func (e *endpoint[Out, In]) start(conn net.Conn, decoder *msgpack.Decoder, peer Hello, transport Transport) {
	e.Peer, e.conn, e.decoder, e.transport = peer, conn, decoder, transport
	e.outgoing, e.closed = make(chan *Out, sendBacklog), make(chan struct{})
	e.writer.Go(e.write)
}

// ViaStore says whether messages go through the state service, which takes seconds.
func (e *endpoint[Out, In]) ViaStore() bool { return e.transport == TransportStore }

// Close ends the link; whoever receives from it sees that.
func (e *endpoint[Out, In]) Close() {
	e.closeOnce.Do(func() {
		close(e.closed)
		e.conn.Close()
	})
}

// send queues a message, or ends the link if too many wait.
func (e *endpoint[Out, In]) send(message *Out) {
	select {
	case e.outgoing <- message:
	default:
		e.Close()
	}
}

// write writes what is queued until the link ends.
func (e *endpoint[Out, In]) write() {
	defer e.Close()
	buffer := bufio.NewWriterSize(e.conn, bufferSize)
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

// receive calls handle for every message until the link ends. Then the goroutine that writes has ended, too.
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
