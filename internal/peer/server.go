package peer

import (
	"net"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"swiftledge/internal/cluster"
)

// Server answers the connections that other controllers and operators make: a link for a holder if the controller
// leads, its status for an operator. Its functions are called by many goroutines at once.
type Server struct {
	Controller  string
	Incarnation cluster.Incarnation
	// Status returns what an operator is told.
	Status func() Status
	// IsLeader says whether the controller leads a term.
	IsLeader func(cluster.Term) bool
	// Connected, Received and Disconnected are told what happens to a link, in this order.
	Connected    func(*HolderLink)
	Received     func(*HolderLink, *ToLeader)
	Disconnected func(*HolderLink)
}

// Serve answers on a new connection, and returns when that has ended.
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
