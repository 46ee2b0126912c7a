package peer

import (
	"errors"
	"net"
	"testing"
	"time"

	"swiftledge/internal/cluster"
)

// leaderTerm is the term that the servers of these tests lead.
const leaderTerm cluster.Term = 7

// linkEvents are what a Server is told.
type linkEvents struct {
	connected    chan *HolderLink
	received     chan ToLeader
	disconnected chan *HolderLink
}

// serve starts a leader on loopback and returns its address and what it is told of its links.
func serve(t *testing.T) (string, linkEvents) {
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

// Both sides of a link send and receive, and see it end.
func TestLinkCarriesMessages(t *testing.T) {
	address, events := serve(t)
	link, err := Dial(address, Hello{Controller: "c1", Incarnation: 4, Term: leaderTerm})
	if err != nil {
		t.Fatal(err)
	}
	if link.Peer.Controller != "c0" || link.Peer.Incarnation != 3 || link.ViaStore() {
		t.Errorf("linked to %+v", link.Peer)
	}
	holder := <-events.connected
	if holder.Peer.Controller != "c1" || holder.Peer.Incarnation != 4 {
		t.Errorf("linked from %+v", holder.Peer)
	}
	link.Send(&ToLeader{Term: leaderTerm, RenewSeq: 5})
	if message := <-events.received; message.RenewSeq != 5 {
		t.Errorf("the leader received %+v", message)
	}
	holder.Send(&FromLeader{Term: leaderTerm, RenewedSeq: 5})
	link.Receive(func(message *FromLeader) {
		if message.RenewedSeq != 5 {
			t.Errorf("the holder received %+v", message)
		}
		link.Close() // ends Receive
	})
	if ended := <-events.disconnected; ended != holder {
		t.Error("another link ended")
	}
}

// A peer that does not keep up loses its link.
func TestLinkEndsWhenPeerDoesNotKeepUp(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	link := &LeaderLink{}
	link.start(near, nil, Hello{}, TransportTCP)
	for !isClosed(link.closed) {
		link.Send(&ToLeader{}) // to nobody
	}
	link.writer.Wait()
	if err := near.SetDeadline(time.Time{}); err == nil {
		t.Error("the connection is still open")
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
	address, _ := serve(t)
	_, err := Dial(address, Hello{Controller: "c1", Term: leaderTerm + 1})
	var linkError *LinkError
	if !errors.Is(err, ErrNotLeading) || !errors.As(err, &linkError) || linkError.Leader != address || linkError.Term != 8 {
		t.Errorf("another term: %v", err)
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener.Close()
	_, err = Dial(listener.Addr().String(), Hello{Controller: "c1", Term: leaderTerm})
	if err == nil || errors.Is(err, ErrNotLeading) || !errors.As(err, &linkError) {
		t.Errorf("nobody there: %v", err)
	}
}

func TestFetchStatus(t *testing.T) {
	address, _ := serve(t)
	status, err := FetchStatus(address)
	if err != nil || status.Controller != "c0" || status.Term != leaderTerm {
		t.Errorf("status %+v, %v", status, err)
	}
}

// A version that does not know the request for its status refuses it like a link.
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
		t.Errorf("error %v", err)
	}
	if want := "status: c1 does not know the question"; err.Error() != want {
		t.Errorf("error %q, want %q", err, want)
	}
}
