package leader

import (
	"swiftledge/internal/clock"
	"swiftledge/wire"
)

// inventory owns the machines, the requests to the cloud that bring and delete them, and the durable records of both.
type inventory struct {
	machines   map[string]*machine
	terminated map[string]bool // machines whose end is proven
	// discovered are machines that nobody here knows to have provisioned.
	discovered map[string]wire.Machine
	// unconfirmed are machines that only attempt records name.
	unconfirmed map[string]bool

	groups     map[string]*instanceGroup // by key
	requestSeq int                       // of the request made last
	// unansweredRequests are the keys of former leaders' requests without a stored answer.
	unansweredRequests map[string]bool

	listing           bool // a machine list is under way
	listedAt          clock.Micros
	deletionsInFlight int
}

func newInventory() inventory {
	return inventory{
		machines: map[string]*machine{}, terminated: map[string]bool{}, discovered: map[string]wire.Machine{},
		unconfirmed: map[string]bool{}, groups: map[string]*instanceGroup{}, unansweredRequests: map[string]bool{},
	}
}

// unansweredGroups counts the requests that the cloud has not answered.
func (i *inventory) unansweredGroups() (n int) {
	for _, group := range i.groups {
		if !group.record.Answered {
			n++
		}
	}
	return n
}

// instanceGroup is a request to the cloud, and the record of what it brought.
type instanceGroup struct {
	key         string
	keyVersion  uint64
	record      InstanceGroupRecord
	busy        bool // a write or a request is under way
	requestedAt clock.Micros
	wantedSince clock.Micros // when it was first wanted here
	// when machines that are gone were last taken out of its record
	prunedAt clock.Micros
}
