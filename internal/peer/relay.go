package peer

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"strings"
	"time"

	"swiftledge/internal/clock"
	"swiftledge/internal/store"
	"swiftledge/wire"
)

// FramePrefix is where controllers that cannot connect leave frames for each other.
const FramePrefix = "mail/"

// FrameStore is what the relay needs of the state service.
type FrameStore interface {
	Get(ctx context.Context, prio store.Priority, key string) (wire.Item, error)
	TryCommit(ctx context.Context, prio store.Priority, t wire.Txn) (store.TxnResult, error)
	List(ctx context.Context, prio store.Priority, prefix string) ([]wire.Item, uint64, error)
	Watch(ctx context.Context, prefix string, since uint64, block clock.Micros) (wire.WatchResponse, error)
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

// StoreTransport is the actor that carries connections between controllers through the state
// service while they cannot reach each other directly. It is slow and costs puts, but
// else the machines of all who do not lead stand idle.
type StoreTransport struct {
	me    string
	mail  FrameStore
	bytes int // of data in one frame
	most  int // bytes that may wait for their frames
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

// NewStoreTransport makes a relay; Run serves it. bytes is the most that a value may hold, backlog how many
// bytes of a connection may wait for their frames: one grant of a block at least.
func NewStoreTransport(me string, mail FrameStore, bytes, backlog int, gap time.Duration) *StoreTransport {
	return &StoreTransport{me: me, mail: mail, bytes: (bytes - 200) * 3 / 4, most: backlog, gap: gap, calls: make(chan any, 64)}
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
func (o *StoreTransport) Open(ctx context.Context, to string) net.Conn {
	r := &relayConn{id: rand.Uint64(), to: to, opener: true, frames: make(chan frame, 16)}
	o.calls <- opened{to, r}
	return o.start(ctx, r)
}

func (o *StoreTransport) start(ctx context.Context, r *relayConn) net.Conn {
	ours, theirs := net.Pipe()
	go o.pump(ctx, r, ours)
	return theirs
}

// Run takes in frames and hands connections that others open to accept.
func (o *StoreTransport) Run(ctx context.Context, accept func(net.Conn)) {
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
func (o *StoreTransport) watch(ctx context.Context) {
	prefix := FramePrefix + o.me + "/"
	for n := 0; ctx.Err() == nil; n++ {
		_, rev, err := o.mail.List(ctx, store.PriorityReads, prefix)
		for err == nil && ctx.Err() == nil {
			var a wire.WatchResponse
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
		store.Backoff(ctx, n)
	}
}

// Dial links a follower to the leader through the state service.
func (o *StoreTransport) Dial(ctx context.Context, to string, h Hello) (*Link, error) {
	return greet(o.Open(ctx, to), to, h, true)
}
