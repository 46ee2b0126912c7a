package shard

import (
	"slices"
	"strings"

	"swiftledge/internal/clock"
	"swiftledge/internal/peer"
	"swiftledge/internal/placement"
	"swiftledge/wire"
)

type attemptState int

const (
	recording attemptState = iota // the start record is being written: never ordered yet
	ordered                       // a run command may have been sent
	shown                         // a report under our token has shown the attempt
	exited
)

// stopMode says whether an attempt is to end; the later ones overrule the earlier.
type stopMode int

const (
	goOn stopMode = iota
	stopWithSave
	stopAtOnce
)

// taskAttempt is one attempt that may be on a machine.
type taskAttempt struct {
	task      peer.Task
	attempt   wire.AttemptID
	m         *machine
	group     *peer.AttemptGroup // what the task takes; Starts unused
	page      *page              // where its record is; nil once it needs none
	place     int                // in page.recs
	state     attemptState
	inherited bool
	session   wire.AgentEpoch // in which it was ordered
	inflight  int             // run orders sent directly and not answered: they may still be carried out
	direct    bool            // a run order under our token went out directly: a copy of it may come late
	running   bool
	done      bool         // it exited with its result kept
	orderedAt clock.Micros // 0: by an earlier grant
	startedAt clock.Micros
	stop      stopMode
	stopAt    clock.Micros
	told      bool // the leader has been told how it ended
	stored    bool // what its end proved is stored
}

type machine struct {
	name, address, typ, zone string
	spot                     bool
	session                  wire.AgentEpoch
	seq                      uint64
	began                    clock.Micros // when we first saw the session
	beatSession              wire.AgentEpoch
	beatSeq                  uint64 // of the newest report of its own, not of an answer to us
	shown                    bool   // has shown our token
	heard                    clock.Micros
	answered                 clock.Micros
	stale                    clock.Micros // when a report last came that is not newer than what is known
	notice, known, drain     bool
	gone, lost, dirty        bool
	rest                     bool // the leader wants no new tasks here
	wasFit, silent           bool
	unanswered               int            // direct commands without an answer, in a row
	deaf                     clock.Micros   // since when it seems not to hear us; 0: it does
	fenced                   clock.Micros   // when it was last to be shown our token directly
	fencing                  bool           // that command has no answer yet
	recs                     []*taskAttempt // in the order in which they came
	complained               bool           // a report of it that contradicts itself was logged
	failed                   []string       // jobs whose tasks failed here
	free                     *placement.Machine
	images                   *placement.Cache
}

type heldBlock struct {
	id          int
	token       wire.FencingToken
	stamp       uint64
	since       clock.Micros
	expires     clock.Micros
	counter     uint64
	pageSeq     int
	writeSeq    int
	pages       []*page // in the order in which they came
	writing     *cycleWrite
	compacting  *page
	compactedAt clock.Micros
	erase       []string
	erasedAt    clock.Micros
	machines    map[string]*machine
	order       []*machine // by name
	changed     []*machine // that the leader is to be told of
	byTask      map[peer.Task][]*taskAttempt
	// attempts counts, by task, those whose end the leader has not been told. A
	// stale record may stand beside a live one: only the last end gives the task back.
	attempts map[peer.Task]int
	seq      uint64 // of the leader's offers that are settled
	taken    uint64 // of those taken in
	tell     bool
	raise    bool // the leader was asked for a new token
	stuck    bool // there are attempts that only a higher token settles
	events   []peer.TaskEvent
}

// attemptReserve is how many attempts are left of a grant when a new one is asked for: more than one
// cycle can record in a transaction.
const attemptReserve = 1 << 14

// attemptsLeft says whether the grant has attempts left for a cycle. One more than there are would be
// an attempt of another token.
func (b *heldBlock) attemptsLeft() bool { return b.counter < 1<<peer.AttemptBits-attemptReserve }

func (b *heldBlock) machine(name string) *machine {
	m := b.machines[name]
	if m == nil {
		m = &machine{name: name, images: &placement.Cache{}}
		b.machines[name] = m
		at, _ := slices.BinarySearchFunc(b.order, name, func(o *machine, n string) int { return strings.Compare(o.name, n) })
		b.order = slices.Insert(b.order, at, m)
		b.mark(m)
	}
	return m
}

// mark notes that the leader is to be told of the machine.
func (b *heldBlock) mark(m *machine) {
	m.free = nil
	if !m.dirty {
		m.dirty = true
		b.changed = append(b.changed, m)
	}
}

// find gives the machine's record of an attempt; attempts never repeat.
func (m *machine) find(attempt wire.AttemptID) *taskAttempt {
	for _, r := range m.recs {
		if r.attempt == attempt {
			return r
		}
	}
	return nil
}

func (b *heldBlock) add(r *taskAttempt) {
	r.m.recs = append(r.m.recs, r)
	b.byTask[r.task] = append(b.byTask[r.task], r)
	b.attempts[r.task]++
	b.mark(r.m)
}

// tellEnd says how an attempt ended, once; a task comes back only with its last attempt.
func (b *heldBlock) tellEnd(r *taskAttempt, e peer.TaskEvent) {
	if r.told {
		return
	}
	r.told = true
	b.attempts[r.task]--
	last := b.attempts[r.task] == 0
	if last {
		delete(b.attempts, r.task)
	}
	if !last && e.Kind == peer.EventCompleted {
		b.events = append(b.events, peer.TaskEvent{Task: r.task, Kind: peer.EventAttemptRemains, Machine: r.m.name})
	}
	if last || e.Kind == peer.EventCompleted {
		b.events = append(b.events, e)
	}
}

// settle gives up the record of an attempt whose end is proven and stored.
func (b *heldBlock) settle(r *taskAttempt) {
	if r.page != nil {
		r.page.drop(r)
	}
}

// lose takes off the books an attempt that is proven to be on the machine no more.
func (b *heldBlock) lose(r *taskAttempt, kind peer.EventKind) {
	b.tellEnd(r, peer.TaskEvent{Task: r.task, Kind: kind, Machine: r.m.name})
	b.settle(r)
	r.m.recs = slices.DeleteFunc(r.m.recs, func(o *taskAttempt) bool { return o == r })
	if left := slices.DeleteFunc(b.byTask[r.task], func(o *taskAttempt) bool { return o == r }); len(left) > 0 {
		b.byTask[r.task] = left
	} else {
		delete(b.byTask, r.task)
	}
	b.mark(r.m)
}
