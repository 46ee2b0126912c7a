package netio

import (
	"net"
	"time"
)

type listener struct{ net.Listener }

func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return Wrap(c), nil
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
