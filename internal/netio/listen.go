package netio

import (
	"errors"
	"net"
	"syscall"
	"time"
)

type listener struct{ net.Listener }

// pause is how long an accept that failed for want of something waits.
const pause = 20 * time.Millisecond

// Accept waits out what passes: at the limit of open sockets, or with a connection
// that was given up meanwhile, a server would end that takes any error for the last.
func (l listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		switch {
		case err == nil:
			return Wrap(c), nil
		case !passes(err):
			return nil, err
		}
		time.Sleep(pause)
	}
}

func passes(err error) bool {
	for _, e := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.EPROTO} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// Listen listens on a TCP address.
func Listen(addr string) (net.Listener, error) {
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, err
	}
	return listener{l}, nil
}

// Dial connects to a TCP address.
func Dial(addr string, within time.Duration) (net.Conn, error) {
	c, err := net.DialTimeout("tcp4", addr, within)
	if err != nil {
		return nil, err
	}
	return Wrap(c), nil
}
