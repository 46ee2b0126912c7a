package controller

import (
	"context"

	"swiftledge/internal/config"
)

// minMailboxSize is how many messages may wait for an actor at least before their senders do.
const minMailboxSize = 4096

// mailboxSize returns how many messages may wait for an actor that handles the agents' heartbeats. There is
// room for a message of each connection, so that the actors, which also write to each other, never wait for
// each other behind the heartbeats.
func mailboxSize(cfg *config.Config) int { return max(minMailboxSize, 2*cfg.Facts.Quota.MaxSockets) }

// mailbox is a queue of messages to an actor. Whoever waits for the actor stops waiting when it has ended.
type mailbox[M any] struct {
	messages chan M
	stopped  chan struct{} // closed when the actor has ended
}

func newMailbox[M any](size int) mailbox[M] {
	return mailbox[M]{messages: make(chan M, size), stopped: make(chan struct{})}
}

// run is the actor: it handles one message at a time until the context ends. It is called once.
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

// send queues a message and waits while the mailbox is full. It returns false if the actor has ended.
func (m mailbox[M]) send(message M) bool {
	select {
	case m.messages <- message:
		return true
	case <-m.stopped:
		return false
	}
}

// offer queues a message unless the mailbox is full. It returns whether it did.
func (m mailbox[M]) offer(message M) bool {
	select {
	case m.messages <- message:
		return true
	default:
		return false
	}
}

// receiveReply waits for the actor's reply to a message. It returns false if the actor has ended without one.
func receiveReply[M, R any](from mailbox[M], reply <-chan R) (R, bool) {
	select {
	case answer := <-reply:
		return answer, true
	case <-from.stopped:
		var none R
		return none, false
	}
}
