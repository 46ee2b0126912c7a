package peer

import (
	"net"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"swiftledge/internal/cluster"
)

// Server serves connections from other controllers and from operators. A shard holder gets a link if this controller
// leads the requested term, and an operator gets the controller's status. The functions are called concurrently for
// different connections.
type Server struct {
	Controller  string
	Incarnation cluster.Incarnation
	// Status returns the status that operators get.
	Status func() Status
	// IsLeader reports whether the controller leads a term.
	IsLeader func(cluster.Term) bool
	// For each link, Connected is called first, then Received for every message, and finally Disconnected.
	Connected    func(*HolderLink)
	Received     func(*HolderLink, *ToLeader)
	Disconnected func(*HolderLink)
}

// Serve serves a new connection and returns when it is closed.
func (s *Server) Serve(conn net.Conn, transport Transport) {
	conn.SetDeadline(time.Now().Add(transport.handshakeTimeout()))
	decoder := msgpack.NewDecoder(transport.newReader(conn))
	var hello Hello
	if decoder.Decode(&hello) != nil {
		conn.Close()
		return
	}
	answer := Hello{Controller: s.Controller, Incarnation: s.Incarnation}
	if hello.Term == statusTerm {
		answerStatus(conn, answer, s.Status())
		return
	}
	if s.IsLeader(hello.Term) {
		answer.Term = hello.Term
	}
	if writeHello(conn, answer) != nil || answer.Term == 0 {
		conn.Close()
		return
	}
	conn.SetDeadline(time.Time{})
	link := &HolderLink{}
	link.start(conn, decoder, hello, transport)
	s.Connected(link)
	link.receive(func(message *ToLeader) { s.Received(link, message) })
	s.Disconnected(link)
}
