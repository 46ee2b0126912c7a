// Package netio provides TCP connections with a low CPU cost per message.
//
// Package net announces each read and write to Go's scheduler as a system call that may block, which wakes the
// runtime's monitor thread. On a machine that is mostly idle between small messages, that doubles the number of system
// calls per message. Since the sockets are non-blocking, the announcement is unnecessary: package netio makes the
// system calls without the announcement. Waiting, deadlines and closing are still those of package net. On systems
// other than Linux, the connections are those of package net.
package netio

import (
	"io"
	"net"
	"os"
	"syscall"
	"unsafe"
)

// Conn is a TCP connection. It supports one reader and one writer at a time.
type Conn struct {
	*net.TCPConn
	raw   syscall.RawConn
	read  transfer
	write transfer
}

// transfer is the state of the current read or write, and the function that performs it when the socket is ready. The
// function is created once per connection, since a new one for each call would have to be allocated.
type transfer struct {
	buffer []byte
	count  int // bytes transferred
	err    syscall.Errno
	run    func(fd uintptr) (done bool)
}

// Wrap returns a Conn for a TCP connection. It returns any other connection unchanged.
func Wrap(conn net.Conn) net.Conn {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return conn
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return conn
	}
	c := &Conn{TCPConn: tcp, raw: raw}
	c.read.run, c.write.run = c.readOnce, c.writeAll
	return c
}

// readOnce reads the available bytes. It returns false if there are none yet.
func (c *Conn) readOnce(fd uintptr) (done bool) {
	c.read.count, c.read.err = rawTransfer(syscall.SYS_READ, fd, c.read.buffer)
	return c.read.err != syscall.EAGAIN
}

// writeAll writes the rest of the buffer. It returns false if the socket's send buffer is full.
func (c *Conn) writeAll(fd uintptr) (done bool) {
	w := &c.write
	for w.count < len(w.buffer) {
		count, err := rawTransfer(syscall.SYS_WRITE, fd, w.buffer[w.count:])
		if err != 0 {
			w.err = err
			return err != syscall.EAGAIN
		}
		w.count += count
	}
	w.err = 0
	return true
}

// rawTransfer makes a system call that reads or writes a buffer, without notifying the scheduler.
func rawTransfer(number, fd uintptr, buffer []byte) (int, syscall.Errno) {
	length := uintptr(len(buffer))
	for {
		count, _, err := syscall.RawSyscall(number, fd, uintptr(unsafe.Pointer(unsafe.SliceData(buffer))), length)
		if err == 0 {
			return int(count), 0
		}
		if err != syscall.EINTR {
			return 0, err
		}
	}
}

// Read reads the available bytes. It waits until there are any.
func (c *Conn) Read(buffer []byte) (int, error) {
	if len(buffer) == 0 {
		return 0, nil
	}
	c.read.buffer = buffer
	err := c.raw.Read(c.read.run)
	c.read.buffer = nil
	switch {
	case err != nil:
		return 0, err
	case c.read.err != 0:
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", c.read.err)}
	case c.read.count == 0:
		return 0, io.EOF
	}
	return c.read.count, nil
}

// Write writes the whole buffer.
func (c *Conn) Write(buffer []byte) (int, error) {
	c.write.buffer, c.write.count = buffer, 0
	err := c.raw.Write(c.write.run)
	c.write.buffer = nil
	if err == nil && c.write.err != 0 {
		err = &net.OpError{Op: "write", Net: "tcp", Err: os.NewSyscallError("write", c.write.err)}
	}
	return c.write.count, err
}

// ReadFrom copies from r with Write. It hides the ReadFrom of net.TCPConn, so that io.Copy does not bypass Write.
func (c *Conn) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{c}, r)
}
