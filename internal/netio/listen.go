package netio

import (
	"errors"
	"net"
	"syscall"
	"time"
)

// acceptRetry is how long to wait after an accept failed for a reason that passes.
const acceptRetry = 20 * time.Millisecond

// listener accepts connections that Wrap has wrapped.
type listener struct{ net.Listener }

// Accept waits for the next connection. It retries after a failure that passes, such as the limit of open
// sockets: a server that takes any error for the last would end.
func (l listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err == nil {
			return Wrap(conn), nil
		}
		if !isTransient(err) {
			return nil, err
		}
		time.Sleep(acceptRetry)
	}
}

// isTransient reports whether a later accept may succeed: sockets or memory were wanting, or the connection was
// given up before it was accepted.
func isTransient(err error) bool {
	for _, transient := range []syscall.Errno{
		syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.EPROTO,
	} {
		if errors.Is(err, transient) {
			return true
		}
	}
	return false
}

// Listen listens on a TCP address.
func Listen(address string) (net.Listener, error) {
	inner, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	return listener{inner}, nil
}

// Dial connects to a TCP address.
func Dial(address string, timeout time.Duration) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp4", address, timeout)
	if err != nil {
		return nil, err
	}
	return Wrap(conn), nil
}
