package loopback

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// LinkFaults are the faults that a link simulates. The zero value is a link without faults.
type LinkFaults struct {
	Refused bool          // new connections are refused and open connections are closed
	CutTo   bool          // data sent to the target is held back
	CutFrom bool          // data received from the target is held back
	Delay   time.Duration // added to each chunk in both directions
}

// Link is a TCP proxy for the connections that one party opens to another. After a cut is healed, the
// link delivers the data that it held back meanwhile, as a real network may do. It runs until it is closed.
type Link struct {
	listenAddress, targetAddress string
	state                        atomic.Pointer[linkState]
	close                        func()
	closed                       chan struct{}
	goroutines                   sync.WaitGroup // the link's goroutines
}

// linkState holds the current faults of a link. The channel changed is closed when SetFaults replaces the faults.
type linkState struct {
	LinkFaults
	changed chan struct{}
}

// chunkSize is the maximum number of bytes that are forwarded at once.
const chunkSize = 16 << 10

// newLink starts a link that listens on a free loopback port and forwards connections to the target address.
func newLink(targetAddress string) (*Link, error) {
	listener, err := listenTCP("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Link{listenAddress: listener.Addr().String(), targetAddress: targetAddress, closed: make(chan struct{})}
	l.close = sync.OnceFunc(func() { close(l.closed) })
	l.state.Store(&linkState{changed: make(chan struct{})})
	l.goroutines.Go(func() { l.serve(listener) })
	return l, nil
}

func listenTCP(address string) (*net.TCPListener, error) {
	resolved, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		return nil, err
	}
	return net.ListenTCP("tcp4", resolved)
}

// SetFaults replaces the link's faults.
func (l *Link) SetFaults(faults LinkFaults) {
	close(l.state.Swap(&linkState{LinkFaults: faults, changed: make(chan struct{})}).changed)
}

// Heal removes the link's faults.
func (l *Link) Heal() { l.SetFaults(LinkFaults{}) }

// Close closes the link and all its connections, and returns when its goroutines have ended.
func (l *Link) Close() {
	l.close()
	l.goroutines.Wait()
}

// serve accepts connections until the link is closed. While the link refuses connections, the listener is closed.
func (l *Link) serve(listener *net.TCPListener) {
	defer func() { _ = listener.Close() }() // there is no caller to report the error to
	for !l.isClosed() {
		state := l.state.Load()
		if !state.Refused {
			l.accept(listener, state)
			continue
		}
		_ = listener.Close() // after a failure the port cannot be reopened below
		l.waitForChange(state.changed)
		reopened, err := listenTCP(l.listenAddress)
		if err != nil {
			time.Sleep(tickInterval) // another program uses the port temporarily
			continue
		}
		listener = reopened
	}
}

// accept accepts one connection and starts to forward its data. It accepts no connection if the faults change or the
// link is closed before a connection arrives.
func (l *Link) accept(listener *net.TCPListener, state *linkState) {
	accepted := make(chan struct{})
	l.goroutines.Go(func() {
		select {
		case <-state.changed:
		case <-l.closed:
		case <-accepted:
			return
		}
		listener.SetDeadline(time.Now()) // unblocks Accept
	})
	client, err := listener.Accept()
	close(accepted)
	if err != nil {
		listener.SetDeadline(time.Time{})
		return
	}
	l.goroutines.Go(func() { l.forward(client) })
}

func (l *Link) isClosed() bool {
	select {
	case <-l.closed:
		return true
	default:
		return false
	}
}

// waitForChange waits until the faults change or the link is closed.
func (l *Link) waitForChange(changed <-chan struct{}) {
	select {
	case <-changed:
	case <-l.closed:
	}
}

// forward connects to the target and copies data in both directions until either side closes the connection, the link
// is closed, or the link refuses connections.
func (l *Link) forward(client net.Conn) {
	defer client.Close()
	target, err := net.DialTimeout("tcp4", l.targetAddress, dialTimeout)
	if err != nil {
		return
	}
	defer target.Close()
	const directions = 2
	ended := make(chan struct{}, directions)
	l.goroutines.Go(func() { l.copy(client, target, ended, func(f LinkFaults) bool { return f.CutTo }) })
	l.goroutines.Go(func() { l.copy(target, client, ended, func(f LinkFaults) bool { return f.CutFrom }) })
	select {
	case <-ended:
	case <-l.closed:
	}
}

// copy copies data in one direction until either side closes the connection, the link is closed, or the link refuses
// connections.
func (l *Link) copy(from, to net.Conn, ended chan<- struct{}, isCut func(LinkFaults) bool) {
	defer func() { ended <- struct{}{} }()
	chunk := make([]byte, chunkSize)
	for {
		n, err := from.Read(chunk)
		if err != nil || !l.waitUntilDeliverable(isCut) {
			return
		}
		if _, err := to.Write(chunk[:n]); err != nil {
			return
		}
	}
}

// waitUntilDeliverable waits until a chunk may be delivered: until the direction is not cut and the delay has passed.
// It returns false if the connection must be closed.
func (l *Link) waitUntilDeliverable(isCut func(LinkFaults) bool) bool {
	for !l.isClosed() {
		state := l.state.Load()
		if state.Refused {
			return false
		}
		if !isCut(state.LinkFaults) {
			time.Sleep(state.Delay)
			return true
		}
		l.waitForChange(state.changed)
	}
	return false
}
