package api

import (
	"swiftledge/internal/cluster"
	"swiftledge/internal/leader"
	"swiftledge/internal/peer"
	"swiftledge/wire"
)

// Message is what a JobCache is told or asked.
//
//sumtype:decl
type Message interface{ jobCacheMessage() }

// LeaderChanged says who leads now.
type LeaderChanged struct {
	Term       cluster.Term
	Controller string
}

// LeaderMessage passes on what the leader sends to the holders of shards.
type LeaderMessage struct{ Message *peer.FromLeader }

// PeerContacted says that another controller was reached, whatever it said.
type PeerContacted struct{}

// catalogRead brings the machine types that the store has.
type catalogRead struct{ types []wire.MachineType }

// jobEnded brings the final state of a job, which never changes.
type jobEnded struct {
	ref   string
	final leader.FinalStateRecord
}

// pollAnswered and pollFailed tell what became of a poll for a job.
type (
	pollAnswered struct{ ref string }
	pollFailed   struct{ ref string }
)

// viewRequested asks for the View of a job; reply is buffered.
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
