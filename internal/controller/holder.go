package controller

import (
	"context"
	"net/http"

	"swiftledge/internal/shard"
	"swiftledge/wire"
)

// leaderLinkChange is a message that changes the link over which the holder sends messages to the leader.
type leaderLinkChange interface {
	shard.Message
	// apply returns the link that replaces the current one, nil for none, and the message for the holder, nil for none.
	apply(current leaderLink) (leaderLink, shard.Message)
}

// leaderLinkUp replaces the current link with a new one.
type leaderLinkUp struct {
	shard.LeaderConnected
	link leaderLink
}

// leaderLinkDown reports that a link has ended.
type leaderLinkDown struct {
	shard.LeaderDisconnected
	link leaderLink
}

func (m leaderLinkUp) apply(current leaderLink) (leaderLink, shard.Message) {
	if current != nil && current != m.link {
		current.Close()
	}
	return m.link, m.LeaderConnected
}

func (m leaderLinkDown) apply(current leaderLink) (leaderLink, shard.Message) {
	if current != m.link {
		return current, nil // another link has replaced the link that ended
	}
	return nil, m.LeaderDisconnected
}

// runHolder runs the holder's actor until the context ends. The actor also keeps the link to the leader, so that the
// link never changes while a message is handled: all effects of one message use the same link.
func (c *Controller) runHolder(ctx context.Context) {
	holder := shard.FromConfig(c.cfg, c.storeHealth.available)
	var link leaderLink
	c.holder.run(ctx, func(message shard.Message) {
		if change, ok := message.(leaderLinkChange); ok {
			link, message = change.apply(link)
		}
		if message == nil {
			return
		}
		for _, effect := range holder.Step(c.clock.Now(), message) {
			c.performHolderEffect(ctx, link, effect)
		}
	})
}

// heartbeatReplyChan receives the reply to one heartbeat.
type heartbeatReplyChan chan shard.HeartbeatReply

// Respond delivers the reply to the waiting receiver.
func (r heartbeatReplyChan) Respond(reply shard.HeartbeatReply) { r <- reply }

// answerHeartbeat sends an agent's heartbeat to the holder and waits for the reply.
func (c *Controller) answerHeartbeat(heartbeat *wire.Heartbeat) shard.HeartbeatReply {
	replyChan := make(heartbeatReplyChan, 1)
	c.holder.send(shard.HeartbeatReceived{ReplyTo: replyChan, Heartbeat: heartbeat})
	reply, ok := receiveReply(c.holder, replyChan)
	if !ok {
		return shard.HeartbeatReply{Status: http.StatusServiceUnavailable}
	}
	return reply
}
