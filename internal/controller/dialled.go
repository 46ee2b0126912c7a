package controller

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"swiftledge/internal/netio"
)

var errDial = errors.New("dial")

// dialled counts the connections that are open to workers. A controller may have to
// command every machine of the site: beyond a number, connections are not kept, or
// there would be none left for those who call us.
type dialled struct{ open atomic.Int64 }

func (d *dialled) count() int { return int(d.open.Load()) }

func (d *dialled) dial(addr string) (net.Conn, error) {
	c, err := netio.Dial(addr, time.Second)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errDial, err)
	}
	d.open.Add(1)
	return &counted{Conn: c, closed: sync.OnceFunc(func() { d.open.Add(-1) })}, nil
}

type counted struct {
	net.Conn
	closed func()
}

// Close counts a connection once, however often it is closed.
func (c *counted) Close() error {
	c.closed()
	return c.Conn.Close()
}
