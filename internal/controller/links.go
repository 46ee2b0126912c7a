package controller

import (
	"swiftledge/internal/api"
	"swiftledge/internal/leader"
	"swiftledge/internal/peer"
	"swiftledge/internal/shard"
)

// leaderLink is the holder's end of its link to the leader. Links are compared, to tell an earlier one from the
// present one.
type leaderLink interface {
	// Send hands a message over for delivery and does not wait for it.
	Send(message *peer.ToLeader)
	// Close ends the link.
	Close()
}

// localHolderLink is the leader's end of the link to the holder of the same process.
type localHolderLink struct {
	holder   mailbox[shard.Message]
	jobCache *api.JobCache
}

// Send hands a message to the holder and the job cache.
func (l *localHolderLink) Send(message *peer.FromLeader) {
	l.jobCache.Post(api.LeaderMessage{Message: message})
	l.holder.send(shard.LeaderMessage{Message: message})
}

// localLeaderLink is the holder's end of the link to the leader of the same process.
type localLeaderLink struct {
	controller string
	leader     mailbox[leader.Message]
	otherEnd   *localHolderLink
}

// Send hands a message to the leader.
func (l *localLeaderLink) Send(message *peer.ToLeader) {
	l.leader.send(leader.HolderMessage{Controller: l.controller, Link: l.otherEnd, Message: message})
}

// Close does nothing: the link ends with the leader's term, which the leader knows.
func (l *localLeaderLink) Close() {}
