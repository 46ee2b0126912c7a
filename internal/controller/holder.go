package controller

import (
	"context"
	"net/http"

	"swiftledge/internal/shard"
	"swiftledge/wire"
)

// leaderLinkChange is a message that changes the link that the holder's messages to the leader take.
type leaderLinkChange interface {
	shard.Message
	// apply returns the link that follows the present one, nil for none, and what the holder is told of it, nil
	// for nothing.
	apply(present leaderLink) (leaderLink, shard.Message)
}

// leaderLinkUp puts a link in place of the present one.
type leaderLinkUp struct {
	shard.LeaderConnected
	link leaderLink
}

// leaderLinkDown says that a link has ended.
type leaderLinkDown struct {
	shard.LeaderDisconnected
	link leaderLink
}

func (m leaderLinkUp) apply(present leaderLink) (leaderLink, shard.Message) {
	if present != nil && present != m.link {
		present.Close()
	}
	return m.link, m.LeaderConnected
}

func (m leaderLinkDown) apply(present leaderLink) (leaderLink, shard.Message) {
	if present != m.link {
		return present, nil // another link has taken its place
	}
	return nil, m.LeaderDisconnected
}

// runHolder is the holder's actor. It also keeps the link to the leader, as a change of it takes effect between
// two messages.
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

// heartbeatReplies takes the one reply to a heartbeat.
type heartbeatReplies chan shard.HeartbeatReply

// Respond hands the reply to whoever waits for it.
func (r heartbeatReplies) Respond(reply shard.HeartbeatReply) { r <- reply }

// answerHeartbeat hands an agent's heartbeat to the holder and waits for its reply.
func (c *Controller) answerHeartbeat(heartbeat *wire.Heartbeat) shard.HeartbeatReply {
	replies := make(heartbeatReplies, 1)
	c.holder.send(shard.HeartbeatReceived{ReplyTo: replies, Heartbeat: heartbeat})
	reply, ok := receiveReply(c.holder, replies)
	if !ok {
		return shard.HeartbeatReply{Status: http.StatusServiceUnavailable}
	}
	return reply
}
