package peer

import (
	"errors"
	"net"
	"testing"
	"time"

	"swiftledge/internal/cluster"
)

// leaderTerm is the term that the servers in these tests lead.
const leaderTerm cluster.Term = 7

// linkEvents has a channel for each callback of a Server. Each invocation of the callback sends on its channel.
type linkEvents struct {
	connected    chan *HolderLink
	received     chan ToLeader
	disconnected chan *HolderLink
}

// serveLeader starts a Server that leads leaderTerm on the loopback interface. It returns the server's address and the
// channels on which the invocations of the server's callbacks are sent.
func serveLeader(t *testing.T) (string, linkEvents) {
	t.Helper()
	events := linkEvents{make(chan *HolderLink, 1), make(chan ToLeader, 1), make(chan *HolderLink, 1)}
	server := &Server{
		Controller: "c0", Incarnation: 3,
		Status:       func() Status { return Status{Controller: "c0", Term: leaderTerm} },
		IsLeader:     func(term cluster.Term) bool { return term == leaderTerm },
		Connected:    func(link *HolderLink) { events.connected <- link },
		Received:     func(_ *HolderLink, message *ToLeader) { events.received <- *message },
		Disconnected: func(link *HolderLink) { events.disconnected <- link },
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go server.Serve(conn, TransportTCP)
		}
	}()
	return listener.Addr().String(), events
}

// Both sides of a link can send and receive, and both notice that it is closed.
func TestLinkCarriesMessages(t *testing.T) {
	address, events := serveLeader(t)
	link, err := Dial(address, Hello{Controller: "c1", Incarnation: 4, Term: leaderTerm})
	if err != nil {
		t.Fatal(err)
	}
	if link.Peer.Controller != "c0" || link.Peer.Incarnation != 3 || link.ViaStore() {
		t.Errorf("holder was linked to %+v, want incarnation 3 of c0 over TCP", link.Peer)
	}
	holder := <-events.connected
	if holder.Peer.Controller != "c1" || holder.Peer.Incarnation != 4 {
		t.Errorf("leader was linked to %+v, want incarnation 4 of c1", holder.Peer)
	}
	link.Send(&ToLeader{Term: leaderTerm, RenewSeq: 5})
	if message := <-events.received; message.RenewSeq != 5 {
		t.Errorf("leader received %+v, want RenewSeq 5", message)
	}
	holder.Send(&FromLeader{Term: leaderTerm, RenewedSeq: 5})
	link.Receive(func(message *FromLeader) {
		if message.RenewedSeq != 5 {
			t.Errorf("holder received %+v, want RenewedSeq 5", message)
		}
		link.Close() // ends Receive
	})
	if closed := <-events.disconnected; closed != holder {
		t.Error("Disconnected was called for another link than Connected")
	}
}

// A link whose peer reads too slowly is closed when the send queue is full.
func TestLinkClosesOnSendBacklogOverflow(t *testing.T) {
	linkEnd, idleEnd := net.Pipe()
	defer idleEnd.Close()
	link := &LeaderLink{}
	link.start(linkEnd, nil, Hello{}, TransportTCP)
	for !isClosed(link.closed) {
		link.Send(&ToLeader{}) // the other end does not read
	}
	link.writer.Wait()
	if err := linkEnd.SetDeadline(time.Time{}); err == nil {
		t.Error("connection still open after its link was closed")
	}
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

func TestDialErrors(t *testing.T) {
	address, _ := serveLeader(t)
	_, err := Dial(address, Hello{Controller: "c1", Term: leaderTerm + 1})
	var linkError *LinkError
	if !errors.Is(err, ErrNotLeading) || !errors.As(err, &linkError) || linkError.Leader != address || linkError.Term != 8 {
		t.Errorf("dial for term 8, which the controller does not lead: error %v, want ErrNotLeading in a LinkError", err)
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener.Close()
	_, err = Dial(listener.Addr().String(), Hello{Controller: "c1", Term: leaderTerm})
	if err == nil || errors.Is(err, ErrNotLeading) || !errors.As(err, &linkError) {
		t.Errorf("dial of a closed port: error %v, want a LinkError other than ErrNotLeading", err)
	}
}

func TestFetchStatus(t *testing.T) {
	address, _ := serveLeader(t)
	status, err := FetchStatus(address)
	if err != nil || status.Controller != "c0" || status.Term != leaderTerm {
		t.Errorf("fetched status %+v, error %v; want the status of c0 as leader of leaderTerm", status, err)
	}
}

// A controller whose version does not support status requests takes a status request for a request for a link and
// refuses it. FetchStatus reports this as ErrStatusUnsupported.
func TestFetchStatusOfOldVersion(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		conn, err := listener.Accept()
		if err == nil {
			err = writeHello(conn, Hello{Controller: "c1"})
		}
		if err != nil {
			t.Error(err)
		}
	}()
	_, err = FetchStatus(listener.Addr().String())
	var statusError *StatusError
	if !errors.Is(err, ErrStatusUnsupported) || !errors.As(err, &statusError) || statusError.Controller != "c1" {
		t.Errorf("status request failed with error %v, want ErrStatusUnsupported of c1", err)
	}
	if want := "status: c1 does not support status requests"; err.Error() != want {
		t.Errorf("status request failed with error %q, want %q", err, want)
	}
}
