package leader

import (
	"swiftledge/internal/clock"
	"swiftledge/internal/cluster"
)

// leadership is the term that this controller leads, what its authority rests on, and the limits that the store has
// shown during the term.
type leadership struct {
	term        cluster.Term
	incarnation cluster.Incarnation
	leading     bool
	loaded      bool         // the store's content was taken in
	startedAt   clock.Micros // when the term was acquired

	authorityEnds clock.Micros // until when the leader may act without a further renewal of its lease
	jobsViewedAt  clock.Micros // the jobs are known as they were then, or later
	wallOffset    clock.Micros // the time of day less the steady clock

	// highestRevision is the highest revision at which a write of this term is known to have succeeded.
	highestRevision uint64
	// Most bytes of a value and most operations of a transaction that the store takes.
	valueBytes, txnOps int
}

// authorised reports whether the leader may act. It is asked at the moment of acting: a process that was short of
// processor time may wake after its authority has ended.
func (s *leadership) authorised(now clock.Micros) bool { return s.leading && now < s.authorityEnds }
