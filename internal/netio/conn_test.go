package netio

import (
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

// newConnPair returns both ends of a new connection.
func newConnPair(t *testing.T) (a, b net.Conn) {
	t.Helper()
	l, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	accepted := make(chan net.Conn, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			t.Error(err)
		}
		accepted <- c
	}()
	a, err = Dial(l.Addr().String(), 10*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	b = <-accepted
	t.Cleanup(func() { a.Close(); b.Close() })
	return a, b
}

// A transfer that is larger than the socket buffers arrives completely and ends with EOF.
func TestTransfersAllBytesAndEOF(t *testing.T) {
	a, b := newConnPair(t)
	want := make([]byte, 8<<20)
	r := rand.New(rand.NewPCG(1, 1))
	for i := range want {
		want[i] = byte(r.Uint32())
	}
	go func() {
		if n, err := a.Write(want); n != len(want) || err != nil {
			t.Errorf("wrote %d of %d bytes, error %v", n, len(want), err)
		}
		a.Close()
	}()
	got, err := io.ReadAll(b)
	if err != nil || !bytes.Equal(got, want) {
		t.Errorf("read %d bytes, want exactly the %d bytes that were written; error %v, want none", len(got), len(want), err)
	}
}

func TestDeadlineAndCloseUnblockRead(t *testing.T) {
	a, b := newConnPair(t)
	a.SetReadDeadline(time.Now().Add(-time.Second))
	if _, err := a.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("read after the deadline: error %v, want os.ErrDeadlineExceeded", err)
	}
	b.Close()
	a.SetReadDeadline(time.Time{})
	if _, err := a.Read(make([]byte, 1)); err == nil {
		t.Error("read from a connection that the peer closed returned no error")
	}
	a.Close()
	if _, err := a.Read(make([]byte, 1)); !errors.Is(err, net.ErrClosed) {
		t.Errorf("read after Close: error %v, want net.ErrClosed", err)
	}
}

// failingListener returns the given errors from Accept, one per call, before it accepts connections.
type failingListener struct {
	net.Listener
	errs []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.errs) > 0 {
		err := l.errs[0]
		l.errs = l.errs[1:]
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", err)}
	}
	return l.Listener.Accept()
}

// A server stops at the first error of Accept, so Accept must retry after a temporary lack of sockets.
func TestAcceptRetriesTransientErrors(t *testing.T) {
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := listener{&failingListener{inner, []error{syscall.EMFILE, syscall.ECONNABORTED, syscall.EMFILE}}}
	a, err := Dial(inner.Addr().String(), 10*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	b, err := l.Accept()
	if err != nil {
		t.Fatalf("accept after transient errors: error %v, want a connection", err)
	}
	b.Close()
	inner.Close()
	if _, err := l.Accept(); err == nil {
		t.Error("accept on a closed listener returned no error")
	}
}
