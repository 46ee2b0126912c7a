package peer

import (
	"errors"
	"math"
	"net"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"swiftledge/internal/netio"
)

// statusTerm in a Hello asks for a Status in place of a link. No leader has that term, so a version that does not know
// the request refuses it like a link to a leader that is none.
const statusTerm = math.MaxUint64

// statusTimeout bounds the whole request.
const statusTimeout = 5 * time.Second

// ErrStatusUnsupported means that a controller does not know the request for its status.
var ErrStatusUnsupported = errors.New("does not know the question")

// StatusError is a request for a controller's status that failed.
type StatusError struct {
	Address    string
	Controller string // the name with which it answered; "" if it did not
	Err        error
}

// Error implements error.
func (e *StatusError) Error() string {
	if e.Controller != "" {
		return "status: " + e.Controller + " " + e.Err.Error()
	}
	return "status: " + e.Err.Error()
}

// Unwrap lets errors.Is and errors.As find the cause.
func (e *StatusError) Unwrap() error { return e.Err }

// FetchStatus asks the controller at an address for its status.
func FetchStatus(address string) (Status, error) {
	conn, err := netio.Dial(address, dialTimeout)
	if err != nil {
		return Status{}, &StatusError{Address: address, Err: err}
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(statusTimeout))
	decoder := msgpack.NewDecoder(conn)
	answer, err := requestLink(conn, decoder, Hello{Term: statusTerm})
	if errors.Is(err, ErrNotLeading) {
		return Status{}, &StatusError{Address: address, Controller: answer.Controller, Err: ErrStatusUnsupported}
	}
	var status Status
	if err == nil {
		err = decoder.Decode(&status)
	}
	if err != nil {
		return Status{}, &StatusError{Address: address, Err: err}
	}
	return status, nil
}

// answerStatus answers the request on a connection and closes it.
func answerStatus(conn net.Conn, answer Hello, status Status) {
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(statusTimeout))
	answer.Term = statusTerm
	encoder := msgpack.NewEncoder(conn)
	if encoder.Encode(answer) == nil {
		// Whoever asked sees from what is missing that the answer is not complete.
		_ = encoder.Encode(status)
	}
}
