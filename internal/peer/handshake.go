//lint:file-ignore U1000 msgpack finds the fields _msgpack by their name

package peer

import (
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"swiftledge/internal/cluster"
	"swiftledge/internal/netio"
)

// Hello opens a link: each side sends one.
type Hello struct {
	_msgpack    struct{} `msgpack:",as_array"`
	Controller  string
	Incarnation cluster.Incarnation // differs with each start of the process
	Term        cluster.Term        // of the leader that is meant; in the answer 0 if the controller doesn't lead it
}

// dialTimeout bounds the making of a connection.
const dialTimeout = time.Second

// ErrNotLeading means that a controller was reached which does not lead the term.
var ErrNotLeading = errors.New("does not lead")

// LinkError is a link to a leader that could not be made.
type LinkError struct {
	Leader string // its address, or its name where the state service carries the link
	Term   cluster.Term
	Err    error
}

// Error implements error.
func (e *LinkError) Error() string {
	return fmt.Sprintf("link to %s as leader of term %d: %v", e.Leader, e.Term, e.Err)
}

// Unwrap lets errors.Is and errors.As find the cause.
func (e *LinkError) Unwrap() error { return e.Err }

// Dial links a holder to the leader at an address and returns after the leader has agreed.
func Dial(address string, hello Hello) (*LeaderLink, error) {
	conn, err := netio.Dial(address, dialTimeout)
	if err != nil {
		return nil, &LinkError{Leader: address, Term: hello.Term, Err: err}
	}
	return openLink(conn, address, hello, TransportTCP)
}

// openLink exchanges Hellos on a new connection to the leader.
func openLink(conn net.Conn, leader string, hello Hello, transport Transport) (*LeaderLink, error) {
	conn.SetDeadline(time.Now().Add(transport.handshakeTimeout()))
	decoder := msgpack.NewDecoder(transport.newReader(conn))
	answer, err := requestLink(conn, decoder, hello)
	if err != nil {
		conn.Close()
		return nil, &LinkError{Leader: leader, Term: hello.Term, Err: err}
	}
	conn.SetDeadline(time.Time{})
	link := &LeaderLink{}
	link.start(conn, decoder, answer, transport)
	return link, nil
}

// requestLink sends a Hello and returns that of a leader which agrees to the link.
func requestLink(conn net.Conn, decoder *msgpack.Decoder, hello Hello) (Hello, error) {
	var answer Hello
	if err := writeHello(conn, hello); err != nil {
		return answer, err
	}
	if err := decoder.Decode(&answer); err != nil {
		return answer, err
	}
	if answer.Term != hello.Term {
		return answer, ErrNotLeading
	}
	return answer, nil
}

// writeHello writes a Hello in one piece.
func writeHello(conn net.Conn, hello Hello) error {
	raw, err := msgpack.Marshal(hello)
	if err != nil {
		return err
	}
	_, err = conn.Write(raw)
	return err
}
