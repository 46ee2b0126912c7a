package peer

import (
	"context"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"

	"swiftledge/internal/clock"
	"swiftledge/internal/exactjson"
	"swiftledge/internal/store"
)

const (
	// FrameInterval is the usual minimum time between two frames of a connection. Each frame costs a write to the store.
	FrameInterval = time.Second
	// frameOverheadBytes is an upper bound for the JSON size of a frame without its data.
	frameOverheadBytes = 200
	// frameBacklog is the number of received frames that may be queued for a connection. Further frames are dropped,
	// and the other side writes them again until they are acknowledged.
	frameBacklog = 16
	// eventBacklog is the number of events that may be queued for the transport.
	eventBacklog = 64
	// frameWatchTime is how long the store holds one watch for frames open.
	frameWatchTime = 20 * clock.Second
)

// StoreTransport carries connections between controllers through the store while they cannot reach each other
// directly. The transport is slow and costs writes, but without it the machines of all followers would be idle.
type StoreTransport struct {
	controller   string // this controller's name
	store        FrameStore
	frameBytes   int // maximum size of the data in one frame
	backlogBytes int // maximum size of the unsent data of one connection
	interval     time.Duration
	events       chan transportEvent
	stopped      chan struct{} // closed when Run no longer handles events
}

// transportEvent is an event of one of the transport's connections.
//
//sumtype:decl
type transportEvent interface{ transportEvent() }

type (
	// connectionOpened: this controller has opened a connection.
	connectionOpened struct{ connection *storeConnection }
	// connectionEnded: a connection has ended.
	connectionEnded struct{ connection *storeConnection }
	// frameReceived: another controller has written a frame for this one.
	frameReceived struct {
		sender string
		frame  frame
	}
)

func (connectionOpened) transportEvent() {}
func (connectionEnded) transportEvent()  {}
func (frameReceived) transportEvent()    {}

// NewStoreTransport returns the transport of a controller; Run operates it. valueBytes is the size limit of a value in
// the store. backlogBytes limits the unsent data of one connection and must be large enough for one shard grant.
func NewStoreTransport(
	controller string, frames FrameStore, valueBytes, backlogBytes int, interval time.Duration,
) *StoreTransport {
	return &StoreTransport{
		controller:   controller,
		store:        frames,
		frameBytes:   (valueBytes - frameOverheadBytes) * 3 / 4, // base64 encodes three bytes as four
		backlogBytes: backlogBytes,
		interval:     interval,
		events:       make(chan transportEvent, eventBacklog),
		stopped:      make(chan struct{}),
	}
}

// Dial links a holder to the leader through the store. It returns after the leader has accepted the link. ctx bounds
// only the establishment of the link, not its lifetime.
func (t *StoreTransport) Dial(ctx context.Context, leader string, hello Hello) (*LeaderLink, error) {
	conn := t.Open(leader)
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	return openLink(conn, leader, hello, TransportStore)
}

// Open opens a connection to another controller. The connection lasts until it is closed or Run ends. Whether the other
// controller is available is unknown until it answers.
func (t *StoreTransport) Open(controller string) net.Conn {
	transportEnd, callerEnd := net.Pipe()
	connection := newStoreConnection(t, transportEnd, controller, rand.Uint64())
	connection.outgoing.FromOpener = true
	if !t.post(connectionOpened{connection}) {
		transportEnd.Close()
	}
	return callerEnd
}

// post queues an event for Run. It returns false if Run has ended.
func (t *StoreTransport) post(event transportEvent) bool {
	select {
	case <-t.stopped: // checked first: the queue may still have space
		return false
	default:
	}
	select {
	case t.events <- event:
		return true
	case <-t.stopped:
		return false
	}
}

// Run carries the transport's connections until ctx ends. It calls accept for each connection that another controller
// opens. It returns when all of its goroutines have ended.
func (t *StoreTransport) Run(ctx context.Context, accept func(net.Conn)) {
	var goroutines sync.WaitGroup
	defer goroutines.Wait()
	defer close(t.stopped)
	goroutines.Go(func() { t.watchFrames(ctx) })
	connections := map[string]*storeConnection{} // by remote controller: the latest one
	startConnection := func(connection *storeConnection) {
		connections[connection.remote] = connection
		goroutines.Go(func() { connection.run(ctx) })
	}
	for {
		var event transportEvent
		select {
		case <-ctx.Done():
			return
		case event = <-t.events:
		}
		switch event := event.(type) {
		case connectionOpened:
			startConnection(event.connection)
		case connectionEnded:
			if closed := event.connection; connections[closed.remote] == closed {
				delete(connections, closed.remote)
			}
		case frameReceived:
			connection := connections[event.sender]
			if connection == nil || connection.id != event.frame.Connection {
				if !event.frame.opensConnection() {
					continue
				}
				transportEnd, callerEnd := net.Pipe()
				connection = newStoreConnection(t, transportEnd, event.sender, event.frame.Connection)
				startConnection(connection)
				accept(callerEnd)
			}
			connection.deliver(event.frame)
		}
	}
}

// watchFrames receives frames until ctx ends. It ignores frames that were written before it began to watch. A sender
// that still waits for an acknowledgement writes its frame again.
func (t *StoreTransport) watchFrames(ctx context.Context) {
	for failures := 0; ctx.Err() == nil; failures++ {
		if t.receiveFrames(ctx) {
			failures = 0
		}
		store.Backoff(ctx, failures)
	}
}

// receiveFrames watches the keys with frames for this controller until a request to the store fails. It returns
// whether any watch succeeded.
func (t *StoreTransport) receiveFrames(ctx context.Context) bool {
	prefix := FramePrefix + t.controller + "/"
	_, revision, err := t.store.List(ctx, store.PriorityReads, prefix)
	if err != nil {
		return false
	}
	succeeded := false
	for ctx.Err() == nil {
		response, err := t.store.Watch(ctx, prefix, revision, frameWatchTime)
		if err != nil {
			return succeeded
		}
		succeeded = true
		for _, event := range response.Events {
			var f frame
			if event.Put != "" && exactjson.Unmarshal(event.Value, &f) == nil {
				t.post(frameReceived{sender: strings.TrimPrefix(event.Put, prefix), frame: f})
			}
		}
		revision = max(revision, response.Revision)
	}
	return succeeded
}
