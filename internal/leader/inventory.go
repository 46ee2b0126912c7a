package leader

import (
	"swiftledge/internal/clock"
	"swiftledge/wire"
)

// inventory owns the machines, the requests to the cloud that provision and delete them, and the durable records of
// both.
type inventory struct {
	machines   map[string]*machine
	terminated map[string]bool // machines whose end is proven
	// discovered are machines that exist, according to the cloud or a shard holder, but that no known provision request
	// brought.
	discovered map[string]wire.Machine
	// unconfirmed are machines that attempt records name and no inventory record does.
	unconfirmed map[string]bool

	groups     map[string]*instanceGroup // by the key of their record
	requestSeq int                       // sequence number of the latest group created in this term
	// unansweredRequests are the keys of former leaders' records of provision requests that lack an answer or cannot be
	// read.
	unansweredRequests map[string]bool

	listing           bool // a machine list is in flight
	listedAt          clock.Micros
	deletionsInFlight int
}

func newInventory() inventory {
	return inventory{
		machines: map[string]*machine{}, terminated: map[string]bool{}, discovered: map[string]wire.Machine{},
		unconfirmed: map[string]bool{}, groups: map[string]*instanceGroup{}, unansweredRequests: map[string]bool{},
	}
}

// unansweredGroups returns the number of provision requests that the cloud has not answered.
func (i *inventory) unansweredGroups() (n int) {
	for _, group := range i.groups {
		if !group.record.Answered {
			n++
		}
	}
	return n
}

// instanceGroup is a provision request and the machines that it brought, or a set of discovered machines, with their
// durable record.
type instanceGroup struct {
	key          string
	keyVersion   uint64
	record       InstanceGroupRecord
	busy         bool // a write or a request is in flight
	requestedAt  clock.Micros
	pendingSince clock.Micros // when this leader created or loaded the request
	// prunedAt is when terminated machines were last removed from the group's record.
	prunedAt clock.Micros
}
