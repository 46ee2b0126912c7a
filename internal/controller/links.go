package controller

import (
	"swiftledge/internal/api"
	"swiftledge/internal/leader"
	"swiftledge/internal/peer"
	"swiftledge/internal/shard"
)

// leaderLink is the holder's end of its link to the leader. Links are compared to distinguish an earlier link from the
// current one, so implementations must be comparable.
type leaderLink interface {
	// Send queues a message for delivery without waiting for it.
	Send(message *peer.ToLeader)
	// Close closes the link.
	Close()
}

// localHolderLink is the leader's end of the link to the holder in the same process.
type localHolderLink struct {
	holder   mailbox[shard.Message]
	jobCache *api.JobCache
}

// Send sends a message to the holder and to the job cache.
func (l *localHolderLink) Send(message *peer.FromLeader) {
	l.jobCache.Post(api.LeaderMessage{Message: message})
	l.holder.send(shard.LeaderMessage{Message: message})
}

// localLeaderLink is the holder's end of the link to the leader in the same process.
type localLeaderLink struct {
	controller string
	leader     mailbox[leader.Message]
	holderLink *localHolderLink
}

// Send sends a message to the leader.
func (l *localLeaderLink) Send(message *peer.ToLeader) {
	l.leader.send(leader.HolderMessage{Controller: l.controller, Link: l.holderLink, Message: message})
}

// Close does nothing: the link ends with the term, and the leader notices the end of its term itself.
func (l *localLeaderLink) Close() {}
