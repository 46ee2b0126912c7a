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

// connect returns the two ends of one connection.
func connect(t *testing.T) (a, b net.Conn) {
	t.Helper()
	l, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	got := make(chan net.Conn, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			t.Error(err)
		}
		got <- c
	}()
	a, err = Dial(l.Addr().String(), 10*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	b = <-got
	t.Cleanup(func() { a.Close(); b.Close() })
	return a, b
}

// More than the socket's buffers hold goes through whole, and the end is seen.
func TestCarriesAllBytesAndTheEnd(t *testing.T) {
	a, b := connect(t)
	want := make([]byte, 8<<20)
	r := rand.New(rand.NewPCG(1, 1))
	for i := range want {
		want[i] = byte(r.Uint32())
	}
	go func() {
		if n, err := a.Write(want); n != len(want) || err != nil {
			t.Errorf("wrote %d of %d: %v", n, len(want), err)
		}
		a.Close()
	}()
	got, err := io.ReadAll(b)
	if err != nil || !bytes.Equal(got, want) {
		t.Errorf("read %d of %d bytes: %v", len(got), len(want), err)
	}
}

func TestDeadlineAndCloseEndWaiting(t *testing.T) {
	a, b := connect(t)
	a.SetReadDeadline(time.Now().Add(-time.Second))
	if _, err := a.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("read past the deadline: %v", err)
	}
	b.Close()
	a.SetReadDeadline(time.Time{})
	if _, err := a.Read(make([]byte, 1)); err == nil {
		t.Error("read from a closed connection succeeds")
	}
	a.Close()
	if _, err := a.Read(make([]byte, 1)); !errors.Is(err, net.ErrClosed) {
		t.Errorf("read after Close: %v", err)
	}
}

// failingListener fails some accepts before one succeeds.
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

// A server takes the first error of Accept for the end; a lack of sockets must not end it.
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
		t.Fatalf("accept: %v", err)
	}
	b.Close()
	inner.Close()
	if _, err := l.Accept(); err == nil {
		t.Error("accepts on a closed listener")
	}
}
