package loopback

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// LinkFaults is how a link is.
type LinkFaults struct {
	Refused bool          // connections are refused, and those that are open end
	CutTo   bool          // what is sent to the far end is held
	CutFrom bool          // what comes from the far end is held
	Delay   time.Duration // of each piece, either way
}

// Link carries the connections that one party opens to another. What it holds while it is cut is
// delivered once it is whole again, as a network may. It runs until it is closed.
type Link struct {
	listenAddress, targetAddress string
	state                        atomic.Pointer[linkState]
	close                        func()
	closed                       chan struct{}
	goroutines                   sync.WaitGroup // its goroutines
}

// linkState is a condition; changed is closed when the next one takes its place.
type linkState struct {
	LinkFaults
	changed chan struct{}
}

// chunkSize is the most that is carried at once.
const chunkSize = 16 << 10

// newLink listens on loopback and connects to the target.
func newLink(target string) (*Link, error) {
	listener, err := listenTCP("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Link{listenAddress: listener.Addr().String(), targetAddress: target, closed: make(chan struct{})}
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

// SetFaults changes the link's condition.
func (l *Link) SetFaults(c LinkFaults) {
	close(l.state.Swap(&linkState{LinkFaults: c, changed: make(chan struct{})}).changed)
}

// Heal makes the link whole again.
func (l *Link) Heal() { l.SetFaults(LinkFaults{}) }

// Close ends the link with all its connections, and returns once they have ended.
func (l *Link) Close() {
	l.close()
	l.goroutines.Wait()
}

// serve accepts connections while the link is not refused, and none while it is, until the link is closed.
func (l *Link) serve(listener *net.TCPListener) {
	defer func() { _ = listener.Close() }() // nobody is left to be told
	for !l.isClosed() {
		state := l.state.Load()
		if !state.Refused {
			l.accept(listener, state)
			continue
		}
		_ = listener.Close() // if it failed, the port could not be opened again below
		l.waitForChange(state.changed)
		reopened, err := listenTCP(l.listenAddress)
		if err != nil {
			time.Sleep(tickInterval) // another program has the port for the moment
			continue
		}
		listener = reopened
	}
}

// accept accepts one connection, or none if the condition changes before one comes.
func (l *Link) accept(listener *net.TCPListener, state *linkState) {
	accepted := make(chan struct{})
	l.goroutines.Go(func() {
		select {
		case <-state.changed:
		case <-l.closed:
		case <-accepted:
			return
		}
		listener.SetDeadline(time.Now()) // ends Accept
	})
	near, err := listener.Accept()
	close(accepted)
	if err != nil {
		listener.SetDeadline(time.Time{})
		return
	}
	l.goroutines.Go(func() { l.forward(near) })
}

func (l *Link) isClosed() bool {
	select {
	case <-l.closed:
		return true
	default:
		return false
	}
}

// waitForChange waits until the condition changes or the link is closed.
func (l *Link) waitForChange(changed <-chan struct{}) {
	select {
	case <-changed:
	case <-l.closed:
	}
}

// forward copies both ways until one side ends or the link is closed.
func (l *Link) forward(near net.Conn) {
	defer near.Close()
	far, err := net.DialTimeout("tcp4", l.targetAddress, dialTimeout)
	if err != nil {
		return
	}
	defer far.Close()
	const ways = 2
	ended := make(chan struct{}, ways)
	l.goroutines.Go(func() { l.copy(near, far, ended, func(c LinkFaults) bool { return c.CutTo }) })
	l.goroutines.Go(func() { l.copy(far, near, ended, func(c LinkFaults) bool { return c.CutFrom }) })
	select {
	case <-ended:
	case <-l.closed:
	}
}

// copy carries one way until either end is closed or the link ends.
func (l *Link) copy(from, to net.Conn, ended chan<- struct{}, isCut func(LinkFaults) bool) {
	defer func() { ended <- struct{}{} }()
	piece := make([]byte, chunkSize)
	for {
		n, err := from.Read(piece)
		if err != nil || !l.waitUntilDeliverable(isCut) {
			return
		}
		if _, err := to.Write(piece[:n]); err != nil {
			return
		}
	}
}

// waitUntilDeliverable waits until a piece may go on; false when the connection is to end.
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
