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

// errNotConnected says that there was no connection to an agent, so that it has certainly not received the
// request.
var errNotConnected = errors.New("cannot connect to agent")

// agentDialTimeout bounds how long a connection to an agent may take.
const agentDialTimeout = time.Second

// connectionCounter makes connections to agents and counts those that are open. A controller may have to
// command every machine of the site: beyond a number, connections are not kept, or there would be none left for
// those who call this controller.
type connectionCounter struct{ open atomic.Int64 }

func (c *connectionCounter) count() int { return int(c.open.Load()) }

// dial connects to an agent.
func (c *connectionCounter) dial(address string) (net.Conn, error) {
	conn, err := netio.Dial(address, agentDialTimeout)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNotConnected, err)
	}
	c.open.Add(1)
	return &countedConn{Conn: conn, uncount: sync.OnceFunc(func() { c.open.Add(-1) })}, nil
}

// countedConn is a connection that a connectionCounter has made.
type countedConn struct {
	net.Conn
	uncount func()
}

// Close uncounts the connection once, however often it is closed.
func (c *countedConn) Close() error {
	c.uncount()
	return c.Conn.Close()
}
