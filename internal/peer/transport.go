package peer

import (
	"bufio"
	"net"
	"time"
)

// Transport is the means by which the bytes of a link are carried.
type Transport int

// Transports between controllers.
const (
	// TransportTCP is a direct TCP connection.
	TransportTCP Transport = iota
	// TransportStore carries the bytes in frames through the store, for controllers that cannot reach each other
	// directly. A message takes seconds.
	TransportStore
)

const (
	writeTimeout = 2 * time.Second
	// readTimeout is how long a link may be without incoming messages before it is closed. Both sides send a message
	// every second.
	readTimeout = 4 * time.Second
	// storeTimeout is the handshake timeout and the read timeout of links through the store.
	storeTimeout = 12 * time.Second
	// bufferBytes is the size of a link's read and write buffers.
	bufferBytes = 8192
)

// handshakeTimeout returns the time limit for the handshake.
func (t Transport) handshakeTimeout() time.Duration {
	if t == TransportStore {
		return storeTimeout
	}
	return writeTimeout
}

// newReader returns the reader that messages are decoded from. Through the store, a large message arrives in many
// frames, so the timeout applies to each frame instead of the whole message.
func (t Transport) newReader(conn net.Conn) *bufio.Reader {
	if t == TransportStore {
		conn = progressConn{conn}
	}
	return bufio.NewReaderSize(conn, bufferBytes)
}

// progressConn is a connection that sets a new deadline for each read.
type progressConn struct{ net.Conn }

// Read implements net.Conn.
func (c progressConn) Read(p []byte) (int, error) {
	c.Conn.SetReadDeadline(time.Now().Add(storeTimeout))
	return c.Conn.Read(p)
}
