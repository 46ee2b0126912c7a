package controller

import (
	"context"

	"swiftledge/internal/config"
)

// minMailboxSize is the minimum capacity of an actor's mailbox. Senders block while the mailbox is full.
const minMailboxSize = 4096

// mailboxSize returns the capacity of the mailbox of an actor that handles the agents' heartbeats. The mailbox has
// space for a message of each connection, so that the actors, which also send messages to each other, never block each
// other because heartbeats fill the mailbox.
func mailboxSize(cfg *config.Config) int { return max(minMailboxSize, 2*cfg.Facts.Quota.MaxSockets) }

// mailbox is a queue of messages to an actor. Blocked senders and receivers of replies return when the actor has ended.
type mailbox[M any] struct {
	messages chan M
	stopped  chan struct{} // closed when the actor has ended
}

func newMailbox[M any](size int) mailbox[M] {
	return mailbox[M]{messages: make(chan M, size), stopped: make(chan struct{})}
}

// run is the main loop of the actor: it handles one message at a time until the context ends. run must be called
// only once.
func (m mailbox[M]) run(ctx context.Context, handle func(M)) {
	defer close(m.stopped)
	for {
		select {
		case <-ctx.Done():
			return
		case message := <-m.messages:
			handle(message)
		}
	}
}

// send queues a message and blocks while the mailbox is full. It returns false if the actor has ended.
func (m mailbox[M]) send(message M) bool {
	select {
	case m.messages <- message:
		return true
	case <-m.stopped:
		return false
	}
}

// trySend queues a message without blocking. It returns false if the mailbox is full.
func (m mailbox[M]) trySend(message M) bool {
	select {
	case m.messages <- message:
		return true
	default:
		return false
	}
}

// receiveReply waits for an actor's reply to a message. It returns false if the actor has ended without a reply.
func receiveReply[M, R any](actor mailbox[M], reply <-chan R) (R, bool) {
	select {
	case answer := <-reply:
		return answer, true
	case <-actor.stopped:
		var none R
		return none, false
	}
}
