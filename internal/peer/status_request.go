package peer

import (
	"errors"
	"math"
	"net"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"swiftledge/internal/netio"
)

// statusTerm in a Hello requests a Status instead of a link. No leader ever has that term, so a version that does not
// support the request refuses it like a link to a controller that does not lead.
const statusTerm = math.MaxUint64

// statusTimeout bounds the whole request.
const statusTimeout = 5 * time.Second

// ErrStatusUnsupported means that the version of a controller does not support status requests.
var ErrStatusUnsupported = errors.New("does not support status requests")

// StatusError reports a failed request for the status of a controller.
type StatusError struct {
	Address    string
	Controller string // the controller's name from its answer; "" without an answer
	Err        error
}

// Error implements error.
func (e *StatusError) Error() string {
	if e.Controller != "" {
		return "status: " + e.Controller + " " + e.Err.Error()
	}
	return "status: " + e.Err.Error()
}

// Unwrap returns the cause, for errors.Is and errors.As.
func (e *StatusError) Unwrap() error { return e.Err }

// FetchStatus requests the status of the controller at an address.
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

// answerStatus sends the status on a connection and closes it.
func answerStatus(conn net.Conn, answer Hello, status Status) {
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(statusTimeout))
	answer.Term = statusTerm
	encoder := msgpack.NewEncoder(conn)
	if encoder.Encode(answer) == nil {
		// A write error needs no handling: the requester detects an incomplete answer when it decodes it.
		_ = encoder.Encode(status)
	}
}
