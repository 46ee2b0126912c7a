// Package netio makes TCP connections that cost little processor time.
//
// A read or write of package net tells Go's scheduler of a system call that may
// block, which wakes the runtime's monitor thread; on a machine that is mostly idle
// between small messages that doubles the system calls of each. The sockets never
// block, so nothing is lost by keeping quiet about it: waiting, deadlines and
// closing stay those of net.
package netio

import (
	"io"
	"net"
	"os"
	"syscall"
	"unsafe"
)

// Conn is a TCP connection; like any, for one reader and one writer at a time.
type Conn struct {
	*net.TCPConn
	raw       syscall.RawConn
	rbuf      []byte
	rn        int
	rerr      syscall.Errno
	wbuf      []byte
	wn        int
	werr      syscall.Errno
	readOnce  func(fd uintptr) bool
	writeOnce func(fd uintptr) bool
}

// Wrap makes a Conn of a TCP connection; any other is returned as it is.
func Wrap(c net.Conn) net.Conn {
	t, ok := c.(*net.TCPConn)
	if !ok {
		return c
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return c
	}
	q := &Conn{TCPConn: t, raw: raw}
	q.readOnce = func(fd uintptr) bool {
		q.rn, q.rerr = transfer(syscall.SYS_READ, fd, q.rbuf)
		return q.rerr != syscall.EAGAIN
	}
	q.writeOnce = func(fd uintptr) bool {
		for q.wn < len(q.wbuf) {
			n, err := transfer(syscall.SYS_WRITE, fd, q.wbuf[q.wn:])
			if err != 0 {
				q.werr = err
				return err != syscall.EAGAIN
			}
			q.wn += n
		}
		q.werr = 0
		return true
	}
	return q
}

func transfer(call, fd uintptr, b []byte) (int, syscall.Errno) {
	for {
		n, _, err := syscall.RawSyscall(call, fd, uintptr(unsafe.Pointer(unsafe.SliceData(b))), uintptr(len(b)))
		if err == 0 {
			return int(n), 0
		}
		if err != syscall.EINTR {
			return 0, err
		}
	}
}

// Read reads what is there, waiting for something to come.
func (c *Conn) Read(b []byte) (int, error) {
	if len(b) == 0 {
		return 0, nil
	}
	c.rbuf = b
	err := c.raw.Read(c.readOnce)
	c.rbuf = nil
	switch {
	case err != nil:
		return 0, err
	case c.rerr != 0:
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", c.rerr)}
	case c.rn == 0:
		return 0, io.EOF
	}
	return c.rn, nil
}

// Write writes all of b.
func (c *Conn) Write(b []byte) (int, error) {
	c.wbuf, c.wn = b, 0
	err := c.raw.Write(c.writeOnce)
	c.wbuf = nil
	if err == nil && c.werr != 0 {
		err = &net.OpError{Op: "write", Net: "tcp", Err: os.NewSyscallError("write", c.werr)}
	}
	return c.wn, err
}

// ReadFrom keeps io.Copy from going around Write.
func (c *Conn) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{c}, r)
}
