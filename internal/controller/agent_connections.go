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

// errNotConnected means that no connection to the agent could be established, so the agent has certainly not received
// the request.
var errNotConnected = errors.New("cannot connect to agent")

// agentDialTimeout bounds the time to establish a connection to an agent.
const agentDialTimeout = time.Second

// connectionCounter establishes connections to agents and counts the open ones. A controller may have to send commands
// to every machine of the cluster. Above a limit, connections are not kept open, because otherwise no sockets would be
// left for connections to this controller.
type connectionCounter struct{ openCount atomic.Int64 }

func (c *connectionCounter) count() int { return int(c.openCount.Load()) }

// dial connects to an agent and counts the connection until it is closed.
func (c *connectionCounter) dial(address string) (net.Conn, error) {
	conn, err := netio.Dial(address, agentDialTimeout)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNotConnected, err)
	}
	c.openCount.Add(1)
	return &countedConn{Conn: conn, decrement: sync.OnceFunc(func() { c.openCount.Add(-1) })}, nil
}

// countedConn is a connection that a connectionCounter counts.
type countedConn struct {
	net.Conn
	decrement func()
}

// Close closes the connection. Only the first call decrements the counter.
func (c *countedConn) Close() error {
	c.decrement()
	return c.Conn.Close()
}
