// Package netio makes TCP connections that cost little processor time.
//
// A read or write of package net tells Go's scheduler of a system call that may block, which wakes the runtime's
// monitor thread; on a machine that is mostly idle between small messages that doubles the system calls of each.
// The sockets are non-blocking, so the scheduler need not know: waiting, deadlines and closing stay those of net.
// Elsewhere than on Linux the connections are those of package net.
package netio

import (
	"io"
	"net"
	"os"
	"syscall"
	"unsafe"
)

// Conn is a TCP connection. Like any, it is for one reader and one writer at a time.
type Conn struct {
	*net.TCPConn
	raw   syscall.RawConn
	read  transfer
	write transfer
}

// transfer is the read or the write that is under way, and the function that carries it out when the socket is
// ready. The function is made once for each connection, as one for each call would have to be allocated.
type transfer struct {
	buffer []byte
	count  int // bytes transferred
	err    syscall.Errno
	run    func(fd uintptr) (done bool)
}

// Wrap makes a Conn of a TCP connection. It returns any other as it is.
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

// readOnce reads what is there. It returns false if that is nothing.
func (c *Conn) readOnce(fd uintptr) (done bool) {
	c.read.count, c.read.err = call(syscall.SYS_READ, fd, c.read.buffer)
	return c.read.err != syscall.EAGAIN
}

// writeAll writes what is left of the buffer. It returns false if the socket takes no more for now.
func (c *Conn) writeAll(fd uintptr) (done bool) {
	w := &c.write
	for w.count < len(w.buffer) {
		count, err := call(syscall.SYS_WRITE, fd, w.buffer[w.count:])
		if err != 0 {
			w.err = err
			return err != syscall.EAGAIN
		}
		w.count += count
	}
	w.err = 0
	return true
}

// call makes a system call that reads or writes a buffer, without telling the scheduler.
func call(number, fd uintptr, buffer []byte) (int, syscall.Errno) {
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

// Read reads what is there, waiting for something to come.
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

// ReadFrom keeps io.Copy from going around Write.
func (c *Conn) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{c}, r)
}
