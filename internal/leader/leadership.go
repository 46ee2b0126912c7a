package leader

import (
	"swiftledge/internal/clock"
	"swiftledge/internal/cluster"
)

// leadership is the state of the current term, the authority to act in the term, and the limits that the store has
// shown during the term.
type leadership struct {
	term        cluster.Term
	incarnation cluster.Incarnation
	leading     bool
	loaded      bool         // the content of the store is loaded
	startedAt   clock.Micros // when the term was acquired

	authorityEnds clock.Micros // until when the leader may act without a further renewal of its lease
	jobsViewedAt  clock.Micros // the view of the jobs is at least as recent as this
	wallOffset    clock.Micros // the time of day minus the steady clock

	// highestRevision is the highest revision at which a write of this term is known to have succeeded.
	highestRevision uint64
	// valueBytes and txnOps are the maximum size of a value and the maximum number of operations of a transaction that
	// the store accepts.
	valueBytes, txnOps int
}

// authorised reports whether the leader may act. It must be called at the moment of acting: a process that was short
// of CPU time may resume after its authority has ended.
func (s *leadership) authorised(now clock.Micros) bool { return s.leading && now < s.authorityEnds }
