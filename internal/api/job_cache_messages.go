package api

import (
	"swiftledge/internal/cluster"
	"swiftledge/internal/leader"
	"swiftledge/internal/peer"
	"swiftledge/wire"
)

// Message is a notification or a request that a JobCache handles.
//
//sumtype:decl
type Message interface{ jobCacheMessage() }

// LeaderChanged names the new leader and its term.
type LeaderChanged struct {
	Term       cluster.Term
	Controller string
}

// LeaderMessage carries a message of the leader to the shard holders.
type LeaderMessage struct{ Message *peer.FromLeader }

// PeerContacted reports contact with another controller, regardless of what it sent.
type PeerContacted struct{}

// catalogRead carries the machine types of the stored catalog.
type catalogRead struct{ types []wire.MachineType }

// jobEnded carries the final state of a job, which never changes.
type jobEnded struct {
	ref   string
	final leader.FinalStateRecord
}

// pollAnswered and pollFailed report the outcome of a status poll for a job.
type (
	pollAnswered struct{ ref string }
	pollFailed   struct{ ref string }
)

// viewRequested requests the View of a job. The reply channel is buffered.
type viewRequested struct {
	ref   string
	reply chan View
}

func (LeaderChanged) jobCacheMessage() {}
func (LeaderMessage) jobCacheMessage() {}
func (PeerContacted) jobCacheMessage() {}
func (catalogRead) jobCacheMessage()   {}
func (jobEnded) jobCacheMessage()      {}
func (pollAnswered) jobCacheMessage()  {}
func (pollFailed) jobCacheMessage()    {}
func (viewRequested) jobCacheMessage() {}
