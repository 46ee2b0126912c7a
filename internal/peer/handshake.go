//lint:file-ignore U1000 msgpack looks up the fields _msgpack by name

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

// Hello is the handshake message: each side of a link sends one.
type Hello struct {
	_msgpack    struct{} `msgpack:",as_array"`
	Controller  string
	Incarnation cluster.Incarnation // changes with each start of the process
	Term        cluster.Term        // term to follow; 0 in an answer if the controller does not lead that term
}

// dialTimeout bounds the time to establish a TCP connection.
const dialTimeout = time.Second

// ErrNotLeading means that the dialed controller answered but does not lead the term.
var ErrNotLeading = errors.New("controller does not lead this term")

// LinkError reports that a link to a leader could not be established.
type LinkError struct {
	Leader string // the leader's address, or the leader's name if the link uses the store transport
	Term   cluster.Term
	Err    error
}

// Error implements error.
func (e *LinkError) Error() string {
	return fmt.Sprintf("link to %s as leader of term %d: %v", e.Leader, e.Term, e.Err)
}

// Unwrap returns the cause, for errors.Is and errors.As.
func (e *LinkError) Unwrap() error { return e.Err }

// Dial links a holder to the leader at an address. It returns after the leader has accepted the link.
func Dial(address string, hello Hello) (*LeaderLink, error) {
	conn, err := netio.Dial(address, dialTimeout)
	if err != nil {
		return nil, &LinkError{Leader: address, Term: hello.Term, Err: err}
	}
	return openLink(conn, address, hello, TransportTCP)
}

// openLink performs the handshake on a new connection to the leader and starts the link.
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

// requestLink sends a Hello and returns the leader's answer. The error is ErrNotLeading if the controller refuses the
// link.
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

// writeHello writes a Hello in a single write.
func writeHello(conn net.Conn, hello Hello) error {
	raw, err := msgpack.Marshal(hello)
	if err != nil {
		return err
	}
	_, err = conn.Write(raw)
	return err
}
