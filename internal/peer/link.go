package peer

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"swiftledge/internal/netio"
)

const (
	writeTimeout = 2 * time.Second
	// A link on which nothing has come for this long is dead: both sides speak every second.
	readTimeout = 4 * time.Second
	// linkBacklog is how many messages may wait for a peer: more than are said within writeTimeout in a
	// fleet of thousands of machines.
	linkBacklog = 1024
	// Through the state service a message takes seconds.
	relayTimeout = 12 * time.Second
)

// patience is how long to wait for what a direct connection brings within d.
func patience(slow bool, d time.Duration) time.Duration {
	if slow {
		return relayTimeout
	}
	return d
}

// source is what messages are read from. Through the state service a large message comes in
// many frames: there each piece of it, not the whole, has to come in time.
func source(c net.Conn, slow bool) *bufio.Reader {
	if slow {
		return bufio.NewReaderSize(progressConn{c}, 8192)
	}
	return bufio.NewReaderSize(c, 8192)
}

type progressConn struct{ net.Conn }

func (t progressConn) Read(p []byte) (int, error) {
	t.Conn.SetReadDeadline(time.Now().Add(relayTimeout))
	return t.Conn.Read(p)
}

// Link is one connection between a follower and the leader.
type Link struct {
	Peer Hello
	conn net.Conn
	dec  *msgpack.Decoder // holds what was read ahead with the Hello
	out  chan any
	done chan struct{}
	slow bool // through the state service
}

// ViaStore says whether messages take seconds.
func (l *Link) ViaStore() bool { return l.slow }

func newLink(c net.Conn, dec *msgpack.Decoder, peer Hello, slow bool) *Link {
	l := &Link{Peer: peer, conn: c, dec: dec, slow: slow, out: make(chan any, linkBacklog), done: make(chan struct{})}
	go l.write()
	return l
}

func (l *Link) write() {
	defer l.conn.Close()
	w := bufio.NewWriterSize(l.conn, 8192)
	enc := msgpack.NewEncoder(w)
	for {
		select {
		case m := <-l.out:
			l.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
			if enc.Encode(m) != nil {
				return
			}
			if len(l.out) == 0 && w.Flush() != nil {
				return
			}
		case <-l.done:
			return
		}
	}
}

// Send queues a message. A peer that does not keep up loses its link, since
// messages must neither be dropped one by one nor pile up without bound.
func (l *Link) Send(m any) {
	select {
	case l.out <- m:
	default:
		l.Close()
	}
}

// Close ends the link; the reader sees it.
func (l *Link) Close() { l.conn.Close() }

// read calls f for every message until the link ends.
func read[T any](l *Link, f func(*T)) {
	defer close(l.done)
	defer l.conn.Close()
	for {
		if !l.slow {
			l.conn.SetReadDeadline(time.Now().Add(readTimeout))
		}
		m := new(T)
		if l.dec.Decode(m) != nil {
			return
		}
		f(m)
	}
}

// ErrNotLeading says that a controller was reached that does not lead the epoch.
var ErrNotLeading = errors.New("does not lead")

// Dial links a follower to the leader at addr and returns after the leader has agreed.
func Dial(addr string, h Hello) (*Link, error) {
	c, err := netio.Dial(addr, time.Second)
	if err != nil {
		return nil, fmt.Errorf("peer: %w", err)
	}
	return greet(c, addr, h, false)
}

// greet exchanges Hellos on a new connection to the leader.
func greet(c net.Conn, addr string, h Hello, slow bool) (*Link, error) {
	c.SetDeadline(time.Now().Add(patience(slow, writeTimeout)))
	var back Hello
	dec := msgpack.NewDecoder(source(c, slow))
	raw, err := msgpack.Marshal(h)
	if err == nil {
		_, err = c.Write(raw)
	}
	if err == nil {
		err = dec.Decode(&back)
	}
	if err == nil && back.Term != h.Term {
		err = fmt.Errorf("%w: %s, epoch %d", ErrNotLeading, addr, h.Term)
	}
	if err != nil {
		c.Close()
		return nil, fmt.Errorf("peer: %w", err)
	}
	c.SetDeadline(time.Time{})
	return newLink(c, dec, back, slow), nil
}

// Follow reads what the leader says until the link ends.
func (l *Link) Follow(f func(*FromLeader)) { read(l, f) }

// Accept answers a follower's Hello if agree allows it, then reads until the link ends. An operator's
// question gets the status in place of a link.
func Accept(c net.Conn, slow bool, me Hello, status func() Status, agree func(Hello) bool, joined func(*Link), f func(*Link, *ToLeader), left func(*Link)) {
	c.SetDeadline(time.Now().Add(patience(slow, writeTimeout)))
	dec := msgpack.NewDecoder(source(c, slow))
	var h Hello
	if dec.Decode(&h) != nil {
		c.Close()
		return
	}
	if h.Term == statusEpoch {
		answerStatus(c, me, status())
		return
	}
	if !agree(h) {
		me.Term = 0
	} else {
		me.Term = h.Term
	}
	raw, err := msgpack.Marshal(me)
	if err == nil {
		_, err = c.Write(raw)
	}
	if err != nil || me.Term == 0 {
		c.Close()
		return
	}
	c.SetDeadline(time.Time{})
	l := newLink(c, dec, h, slow)
	joined(l)
	read(l, func(u *ToLeader) { f(l, u) })
	left(l)
}
