package peer

import (
	"bufio"
	"net"
	"time"
)

// Transport is what carries the bytes of a link.
type Transport int

// Transports between controllers.
const (
	// TransportTCP is a direct connection.
	TransportTCP Transport = iota
	// TransportStore carries frames through the state service: messages take seconds.
	TransportStore
)

const (
	writeTimeout = 2 * time.Second
	// readTimeout is after how long a link on which nothing has come is dead: both sides speak every second.
	readTimeout = 4 * time.Second
	// storeTimeout stands for both where messages go through the state service.
	storeTimeout = 12 * time.Second
	// bufferSize is that of the buffers of a link.
	bufferSize = 8192
)

// handshakeTimeout bounds the exchange of Hellos.
func (t Transport) handshakeTimeout() time.Duration {
	if t == TransportStore {
		return storeTimeout
	}
	return writeTimeout
}

// newReader returns what messages are read from. Through the state service a large message comes in many frames:
// there each piece of it, not the whole, has to come in time.
func (t Transport) newReader(conn net.Conn) *bufio.Reader {
	if t == TransportStore {
		conn = progressConn{conn}
	}
	return bufio.NewReaderSize(conn, bufferSize)
}

// progressConn is a connection on which each read has its own deadline.
type progressConn struct{ net.Conn }

// Read implements net.Conn.
func (c progressConn) Read(p []byte) (int, error) {
	c.Conn.SetReadDeadline(time.Now().Add(storeTimeout))
	return c.Conn.Read(p)
}
