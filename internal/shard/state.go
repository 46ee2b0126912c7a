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
	attemptRecording attemptState = iota // the start record is being written: never ordered yet
	attemptLaunched                      // a run command may have been sent
	attemptConfirmed                     // a report under our token has shown the attempt
	attemptExited
)

// stopMode says whether an attempt is to end; the later ones overrule the earlier.
type stopMode int

const (
	keepRunning stopMode = iota
	stopWithCheckpoint
	stopImmediately
)

// taskAttempt is one attempt that may be on a machine.
type taskAttempt struct {
	task             peer.Task
	id               wire.AttemptID
	machine          *machine
	group            *peer.AttemptGroup // what the task takes; Starts unused
	page             *attemptPage       // where its record is; nil once it needs none
	pageIndex        int                // in page.attempts
	state            attemptState
	inherited        bool
	agentEpoch       wire.AgentEpoch // in which it was ordered
	unansweredRuns   int             // run orders sent directly and not answered: they may still be carried out
	launchedDirectly bool            // a run order under our token went out directly: a copy of it may come late
	running          bool
	completed        bool         // it exited with its result kept
	launchedAt       clock.Micros // 0: by an earlier grant
	startedAt        clock.Micros
	stopMode         stopMode
	stopRequestedAt  clock.Micros
	endReported      bool // the leader has been told how it ended
	endPersisted     bool // what its end proved is stored
}

type machine struct {
	name, address, typeName, zone           string
	spot                                    bool
	epoch                                   wire.AgentEpoch
	seq                                     uint64
	epochSince                              clock.Micros // when we first saw the session
	heartbeatEpoch                          wire.AgentEpoch
	heartbeatSeq                            uint64 // of the newest report of its own, not of an answer to us
	tokenConfirmed                          bool   // has shown our token
	lastStatus                              clock.Micros
	lastReply                               clock.Micros
	lastOutdated                            clock.Micros // when a report last came that is not newer than what is known
	preemptionNotice, inInventory, draining bool
	terminated, leaseExpired, changed       bool
	excluded                                bool // the leader wants no new tasks here
	reportedSchedulable, silent             bool
	unansweredCommands                      int            // direct commands without an answer, in a row
	unreachableSince                        clock.Micros   // since when it seems not to hear us; 0: it does
	lastFence                               clock.Micros   // when it was last to be shown our token directly
	fencePending                            bool           // that command has no answer yet
	attempts                                []*taskAttempt // in the order in which they came
	contradictionLogged                     bool           // a report of it that contradicts itself was logged
	failedJobs                              []string       // jobs whose tasks failed here
	freeCapacity                            *placement.Machine
	images                                  *placement.Cache
}

type heldShard struct {
	id             int
	fencingToken   wire.FencingToken
	keyVersion     uint64
	grantedAt      clock.Micros
	expiresAt      clock.Micros
	attemptCount   uint64
	pageSeq        int
	writeSeq       int
	pages          []*attemptPage // in the order in which they came
	writing        *attemptWrite
	compacting     *attemptPage
	lastCompaction clock.Micros
	deletions      []string
	lastDeletion   clock.Micros
	machines       map[string]*machine
	machineOrder   []*machine // by name
	changed        []*machine // that the leader is to be told of
	byTask         map[peer.Task][]*taskAttempt
	// unreported counts, by task, those whose end the leader has not been told. A
	// stale record may stand beside a live one: only the last end gives the task back.
	unreported       map[peer.Task]int
	settledOfferSeq  uint64 // of the leader's offers that are settled
	takenOfferSeq    uint64 // of those taken in
	urgent           bool
	regrantRequested bool // the leader was asked for a new token
	needsHigherToken bool // there are attempts that only a higher token settles
	events           []peer.TaskEvent
}

// attemptReserve is how many attempts are left of a grant when a new one is asked for: more than one
// cycle can record in a transaction.
const attemptReserve = 1 << 14

// hasAttemptsLeft says whether the grant has attempts left for a cycle. One more than there are would be
// an attempt of another token.
func (b *heldShard) hasAttemptsLeft() bool {
	return b.attemptCount < 1<<peer.AttemptBits-attemptReserve
}

func (b *heldShard) ensureMachine(name string) *machine {
	m := b.machines[name]
	if m == nil {
		m = &machine{name: name, images: &placement.Cache{}}
		b.machines[name] = m
		at, _ := slices.BinarySearchFunc(b.machineOrder, name, func(o *machine, n string) int { return strings.Compare(o.name, n) })
		b.machineOrder = slices.Insert(b.machineOrder, at, m)
		b.markChanged(m)
	}
	return m
}

// markChanged notes that the leader is to be told of the machine.
func (b *heldShard) markChanged(m *machine) {
	m.freeCapacity = nil
	if !m.changed {
		m.changed = true
		b.changed = append(b.changed, m)
	}
}

// attempt gives the machine's record of an attempt; attempts never repeat.
func (m *machine) attempt(attempt wire.AttemptID) *taskAttempt {
	for _, r := range m.attempts {
		if r.id == attempt {
			return r
		}
	}
	return nil
}

func (b *heldShard) addAttempt(r *taskAttempt) {
	r.machine.attempts = append(r.machine.attempts, r)
	b.byTask[r.task] = append(b.byTask[r.task], r)
	b.unreported[r.task]++
	b.markChanged(r.machine)
}

// reportEnd says how an attempt ended, once; a task comes back only with its last attempt.
func (b *heldShard) reportEnd(r *taskAttempt, e peer.TaskEvent) {
	if r.endReported {
		return
	}
	r.endReported = true
	b.unreported[r.task]--
	last := b.unreported[r.task] == 0
	if last {
		delete(b.unreported, r.task)
	}
	if !last && e.Kind == peer.EventCompleted {
		b.events = append(b.events, peer.TaskEvent{Task: r.task, Kind: peer.EventAttemptRemains, Machine: r.machine.name})
	}
	if last || e.Kind == peer.EventCompleted {
		b.events = append(b.events, e)
	}
}

// releaseRecord gives up the record of an attempt whose end is proven and stored.
func (b *heldShard) releaseRecord(r *taskAttempt) {
	if r.page != nil {
		r.page.remove(r)
	}
}

// removeAttempt takes off the books an attempt that is proven to be on the machine no more.
func (b *heldShard) removeAttempt(r *taskAttempt, kind peer.EventKind) {
	b.reportEnd(r, peer.TaskEvent{Task: r.task, Kind: kind, Machine: r.machine.name})
	b.releaseRecord(r)
	r.machine.attempts = slices.DeleteFunc(r.machine.attempts, func(o *taskAttempt) bool { return o == r })
	if left := slices.DeleteFunc(b.byTask[r.task], func(o *taskAttempt) bool { return o == r }); len(left) > 0 {
		b.byTask[r.task] = left
	} else {
		delete(b.byTask, r.task)
	}
	b.markChanged(r.machine)
}
