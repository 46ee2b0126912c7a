package netio

import (
	"errors"
	"net"
	"syscall"
	"time"
)

// acceptRetryDelay is the delay before a retry after a transient error of accept.
const acceptRetryDelay = 20 * time.Millisecond

// listener is a listener whose connections are wrapped by Wrap.
type listener struct{ net.Listener }

// Accept waits for the next connection. It retries after transient errors, such as exceeding the limit of open sockets,
// since a server that treats every error as permanent would stop.
func (l listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err == nil {
			return Wrap(conn), nil
		}
		if !isTransient(err) {
			return nil, err
		}
		time.Sleep(acceptRetryDelay)
	}
}

// isTransient reports whether a later accept may succeed after the error: there was a lack of sockets or memory, or the
// client aborted the connection before it was accepted.
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

// Listen listens on a TCP address (IPv4). Accepted connections are wrapped by Wrap.
func Listen(address string) (net.Listener, error) {
	inner, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	return listener{inner}, nil
}

// Dial connects to a TCP address (IPv4). The connection is wrapped by Wrap.
func Dial(address string, timeout time.Duration) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp4", address, timeout)
	if err != nil {
		return nil, err
	}
	return Wrap(conn), nil
}
