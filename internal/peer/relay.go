package peer

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net"
	"strings"
	"time"

	"swiftledge/internal/clock"
	"swiftledge/internal/store"
	"swiftledge/wire"
)

// RelayPrefix is where controllers that cannot connect leave frames for each other.
const RelayPrefix = "mail/"

// FrameStore is what the relay needs of the state service.
type FrameStore interface {
	Get(ctx context.Context, prio int, key string) (wire.Item, error)
	Once(ctx context.Context, prio int, t wire.Txn) (store.Outcome, error)
	List(ctx context.Context, prio int, prefix string) ([]wire.Item, uint64, error)
	Watch(ctx context.Context, prefix string, since uint64, block clock.Micros) (wire.WatchAnswer, error)
}

// frame is the value of mail/<to>/<from>: a piece of a connection's bytes, written
// over with the next one once the other side has it.
type frame struct {
	Conn uint64 `json:"c"`           // chosen by who opens the connection
	Open bool   `json:"o,omitempty"` // from its opener
	Seq  int    `json:"n"`
	Ack  int    `json:"a"` // the last piece of the other side that has come
	Data []byte `json:"d,omitempty"`
	End  bool   `json:"e,omitempty"`
}

// FrameInterval is the usual pause between two frames of a connection: each costs a put.
const FrameInterval = time.Second

// endTries is how often the end of a connection is written; the other side would
// notice only after relayTimeout else.
const endTries = 8

// mostPending bounds what waits for its frame.
const mostPending = 256 << 10

// Relay is the actor that carries connections between controllers through the state
// service while they cannot reach each other directly. It is slow and costs puts, but
// else the machines of all who do not lead stand idle.
type Relay struct {
	me    string
	mail  FrameStore
	bytes int // of data in one frame
	gap   time.Duration
	calls chan any
}

type (
	opened struct {
		to   string
		conn *relayConn
	}
	arrived struct {
		from string
		l    frame
	}
	ended struct {
		from string
		id   uint64
	}
)

// NewRelay makes a relay; Run serves it. bytes is the most that a value may hold.
func NewRelay(me string, mail FrameStore, bytes int, gap time.Duration) *Relay {
	return &Relay{me: me, mail: mail, bytes: (bytes - 200) * 3 / 4, gap: gap, calls: make(chan any, 64)}
}

// relayConn is one connection; pump owns its state.
type relayConn struct {
	id     uint64
	to     string
	opener bool
	frames chan frame
}

// Open begins a connection to another controller. Nothing tells whether it is there
// until it answers.
func (o *Relay) Open(ctx context.Context, to string) net.Conn {
	r := &relayConn{id: rand.Uint64(), to: to, opener: true, frames: make(chan frame, 16)}
	o.calls <- opened{to, r}
	return o.start(ctx, r)
}

func (o *Relay) start(ctx context.Context, r *relayConn) net.Conn {
	ours, theirs := net.Pipe()
	go o.pump(ctx, r, ours)
	return theirs
}

// Run takes in frames and hands connections that others open to accept.
func (o *Relay) Run(ctx context.Context, accept func(net.Conn)) {
	go o.watch(ctx)
	conns := map[string]*relayConn{}
	for {
		var call any
		select {
		case <-ctx.Done():
			return
		case call = <-o.calls:
		}
		switch c := call.(type) {
		case opened:
			conns[c.to] = c.conn
		case ended:
			if r := conns[c.from]; r != nil && r.id == c.id {
				delete(conns, c.from)
			}
		case arrived:
			r := conns[c.from]
			if r == nil || r.id != c.l.Conn {
				// Only the first piece opens a connection: others are left over from an old one.
				if !c.l.Open || c.l.Seq != 1 || c.l.Ack != 0 || c.l.End {
					continue
				}
				r = &relayConn{id: c.l.Conn, to: c.from, frames: make(chan frame, 16)}
				conns[c.from] = r
				accept(o.start(ctx, r))
			}
			select {
			case r.frames <- c.l:
			default: // it is written again until it is acknowledged
			}
		}
	}
}

// watch reads the frames to us. Those left from before are written again by whoever
// still waits.
func (o *Relay) watch(ctx context.Context) {
	prefix := RelayPrefix + o.me + "/"
	for n := 0; ctx.Err() == nil; n++ {
		_, rev, err := o.mail.List(ctx, store.Normal, prefix)
		for err == nil && ctx.Err() == nil {
			var a wire.WatchAnswer
			if a, err = o.mail.Watch(ctx, prefix, rev, 20*clock.Second); err != nil {
				break
			}
			n = 0
			for _, e := range a.Events {
				var l frame
				if e.Put != "" && json.Unmarshal(e.Value, &l) == nil {
					o.calls <- arrived{strings.TrimPrefix(e.Put, prefix), l}
				}
			}
			rev = max(rev, a.Revision)
		}
		store.Pause(ctx, n)
	}
}

// pump carries one connection's bytes; c is our end of its pipe.
func (o *Relay) pump(ctx context.Context, r *relayConn, c net.Conn) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	defer c.Close()
	defer func() { o.calls <- ended{r.to, r.id} }()
	out := make(chan []byte, 16)
	go func() {
		defer close(out)
		for {
			buf := make([]byte, 4096)
			n, err := c.Read(buf)
			if err != nil {
				return
			}
			out <- buf[:n]
		}
	}()
	in := make(chan []byte, 64)
	defer close(in)
	go func() {
		for b := range in {
			if _, err := c.Write(b); err != nil {
				return
			}
		}
	}()
	key := RelayPrefix + r.to + "/" + o.me
	l := frame{Conn: r.id, Open: r.opener}
	var pending []byte
	var version uint64
	known, due := false, false
	written := make(chan bool, 1)
	writing := false
	last := time.Time{}
	tick := time.NewTicker(o.gap / 4)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case b, ok := <-out:
			if !ok || len(pending)+len(b) > mostPending {
				if writing {
					<-written
				}
				l.End, l.Data = true, nil
				for n := range endTries {
					if o.write(ctx, key, l, &version, &known) || !store.Pause(ctx, min(n, 2)) {
						break
					}
				}
				return
			}
			pending = append(pending, b...)
		case got := <-r.frames:
			if got.End {
				return
			}
			if got.Ack == l.Seq {
				l.Data = nil
			}
			// A repeated piece tells that our acknowledgement was missed.
			due = due || got.Seq == l.Ack && got.Seq > 0 && got.Data != nil
			if got.Seq == l.Ack+1 {
				l.Ack, due = got.Seq, true
				if len(got.Data) > 0 {
					select {
					case in <- got.Data:
					default:
						return // our side does not keep up
					}
				}
			}
		case ok := <-written:
			writing = false
			due = due || !ok
		case <-tick.C:
		}
		if writing || time.Since(last) < o.gap {
			continue
		}
		if l.Data == nil && len(pending) > 0 {
			n := min(len(pending), o.bytes)
			l.Data, pending = pending[:n:n], pending[n:]
			l.Seq++
			due = true
		}
		// Unacknowledged pieces are written again now and then, in case a frame was missed.
		if due || l.Data != nil && time.Since(last) > 3*o.gap {
			due, writing, last = false, true, time.Now()
			// The goroutine owns version and known until it has answered.
			go func(l frame) { written <- o.write(ctx, key, l, &version, &known) }(l)
		}
	}
}

// write puts a frame over the last one, guarded on its version: a copy that is
// applied late must not bring an older piece back.
func (o *Relay) write(ctx context.Context, key string, l frame, version *uint64, known *bool) bool {
	ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	if !*known {
		it, err := o.mail.Get(ctx, store.Starts, key)
		if err != nil && !errors.Is(err, store.ErrMissing) {
			return false
		}
		*version, *known = it.Version, true
	}
	raw, err := json.Marshal(l)
	if err != nil {
		return false
	}
	out, err := o.mail.Once(ctx, store.Starts, wire.Txn{If: []wire.Guard{{Key: key, Version: *version}}, Then: []wire.Write{{Put: key, Value: raw}}})
	if err != nil || !out.OK {
		*known = false
		return false
	}
	*version = out.Revision
	return true
}

// Dial links a follower to the leader through the state service.
func (o *Relay) Dial(ctx context.Context, to string, h Hello) (*Link, error) {
	return greet(o.Open(ctx, to), to, h, true)
}
