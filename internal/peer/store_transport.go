package peer

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"

	"swiftledge/internal/clock"
	"swiftledge/internal/store"
)

const (
	// FrameInterval is the usual pause between two frames of a connection: each costs a write.
	FrameInterval = time.Second
	// frameOverhead is what a frame's JSON takes beside its data, at most.
	frameOverhead = 200
	// frameBacklog is how many received frames wait for a connection. Those beyond are dropped, and written again
	// by the other side until they are acknowledged.
	frameBacklog = 16
	// eventBacklog is how many events wait for the transport.
	eventBacklog = 64
	// frameWatchTime is for how long one watch waits for frames.
	frameWatchTime = 20 * clock.Second
)

// StoreTransport carries connections between controllers through the state service while they can't reach each other
// directly. It is slow and costs writes, but without it the machines of all controllers that don't lead stand idle.
type StoreTransport struct {
	controller   string // this controller's name
	store        FrameStore
	frameBytes   int // of data in one frame
	backlogBytes int // that may wait for their frames on one connection
	interval     time.Duration
	events       chan transportEvent
	stopped      chan struct{} // closed when Run handles no more events
}

// transportEvent is what happens to the transport's connections.
//
//sumtype:decl
type transportEvent interface{ transportEvent() }

type (
	// connectionOpened: this controller opens a connection.
	connectionOpened struct{ connection *storeConnection }
	// connectionEnded: a connection has ended.
	connectionEnded struct{ connection *storeConnection }
	// frameReceived: another controller has written a frame for this one.
	frameReceived struct {
		from  string
		frame frame
	}
)

func (connectionOpened) transportEvent() {}
func (connectionEnded) transportEvent()  {}
func (frameReceived) transportEvent()    {}

// NewStoreTransport makes the transport of a controller; Run serves it. valueBytes is the most that a value in the
// store may hold, backlogBytes how many bytes of a connection may wait for their frames: one shard grant at least.
func NewStoreTransport(
	controller string, frames FrameStore, valueBytes, backlogBytes int, interval time.Duration,
) *StoreTransport {
	return &StoreTransport{
		controller:   controller,
		store:        frames,
		frameBytes:   (valueBytes - frameOverhead) * 3 / 4, // base64 makes four bytes of three
		backlogBytes: backlogBytes,
		interval:     interval,
		events:       make(chan transportEvent, eventBacklog),
		stopped:      make(chan struct{}),
	}
}

// Dial links a holder to the leader through the state service and returns after the leader has agreed. ctx bounds
// the making of the link only.
func (t *StoreTransport) Dial(ctx context.Context, leader string, hello Hello) (*LeaderLink, error) {
	conn := t.Open(leader)
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	return openLink(conn, leader, hello, TransportStore)
}

// Open begins a connection to another controller, which lasts until it is closed or Run ends. Nothing tells whether
// the other controller is there until it answers.
func (t *StoreTransport) Open(controller string) net.Conn {
	near, far := net.Pipe()
	connection := newStoreConnection(t, near, controller, rand.Uint64())
	connection.outgoing.FromOpener = true
	if !t.post(connectionOpened{connection}) {
		near.Close()
	}
	return far
}

// post hands an event to Run; false if that has ended.
func (t *StoreTransport) post(event transportEvent) bool {
	select {
	case <-t.stopped: // also where there is place for the event
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

// Run carries connections, and hands those that other controllers open to accept, until ctx ends. It returns when all
// of its goroutines have ended.
func (t *StoreTransport) Run(ctx context.Context, accept func(net.Conn)) {
	var goroutines sync.WaitGroup
	defer goroutines.Wait()
	defer close(t.stopped)
	goroutines.Go(func() { t.watch(ctx) })
	connections := map[string]*storeConnection{} // the latest, by the other controller's name
	begin := func(connection *storeConnection) {
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
			begin(event.connection)
		case connectionEnded:
			if ended := event.connection; connections[ended.remote] == ended {
				delete(connections, ended.remote)
			}
		case frameReceived:
			connection := connections[event.from]
			if connection == nil || connection.id != event.frame.Connection {
				if !event.frame.opensConnection() {
					continue
				}
				near, far := net.Pipe()
				connection = newStoreConnection(t, near, event.from, event.frame.Connection)
				begin(connection)
				accept(far)
			}
			connection.deliver(event.frame)
		}
	}
}

// watch receives frames until ctx ends. Those that were there before are written again by whoever still waits.
func (t *StoreTransport) watch(ctx context.Context) {
	for failures := 0; ctx.Err() == nil; failures++ {
		if t.receiveFrames(ctx) {
			failures = 0
		}
		store.Backoff(ctx, failures)
	}
}

// receiveFrames watches the keys with frames for this controller until the state service fails. It returns whether
// any watch succeeded.
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
			if event.Put != "" && json.Unmarshal(event.Value, &f) == nil {
				t.post(frameReceived{from: strings.TrimPrefix(event.Put, prefix), frame: f})
			}
		}
		revision = max(revision, response.Revision)
	}
	return succeeded
}
