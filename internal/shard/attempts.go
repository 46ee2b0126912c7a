package shard

import (
	"slices"

	"swiftledge/internal/clock"
	"swiftledge/internal/peer"
	"swiftledge/wire"
)

// attemptState is how far an attempt has come, as far as is known.
type attemptState int

const (
	attemptRecording attemptState = iota // its record is being written: it was never launched
	attemptLaunched                      // a run command may have been sent
	attemptConfirmed                     // a status under our fencing token has listed it
	attemptExited
)

// stopMode says whether an attempt is to end; the later ones overrule the earlier.
type stopMode int

const (
	keepRunning stopMode = iota
	stopWithCheckpoint
	stopImmediately
)

// attemptEnd is how an attempt ended.
type attemptEnd int

const (
	notEnded attemptEnd = iota
	endCompleted
	endFailed
	endReleased // it did not get to its end by itself: its task goes back
)

// endOf returns the end that an exit's cause stands for. A cause that is not known is no failure.
func endOf(cause wire.ExitCause) attemptEnd {
	switch cause {
	case wire.ExitDone:
		return endCompleted
	case wire.ExitError, wire.ExitUnknown:
		return endFailed
	case wire.ExitStopped, wire.ExitFull, wire.ExitBusy:
		return endReleased
	}
	return endReleased
}

// eventKind returns the kind of event that tells the leader of an end.
func (e attemptEnd) eventKind() peer.EventKind {
	switch e {
	case endCompleted:
		return peer.EventCompleted
	case endFailed:
		return peer.EventFailed
	case notEnded, endReleased:
	}
	return peer.EventReleased
}

// taskAttempt is one attempt that may be on a machine.
type taskAttempt struct {
	task            peer.Task
	id              wire.AttemptID
	machine         *machine
	group           *peer.AttemptGroup // what the task takes; its Attempts are unused
	page            *attemptPage       // that holds its record; nil once it needs none
	pageIndex       int                // in page.attempts
	state           attemptState
	inherited       bool // from an earlier lease
	running         bool
	startedAt       clock.Micros
	launch          attemptLaunch
	stop            stopMode
	stopRequestedAt clock.Micros
	end             attemptEnd
	// endReported says that the leader has been told of the end, endPersisted that what it proves is stored.
	endReported  bool
	endPersisted bool
}

// attemptLaunch is how an attempt was launched.
type attemptLaunch struct {
	at         clock.Micros    // 0: under an earlier lease
	agentEpoch wire.AgentEpoch // that the run command was meant for
	sent       bool            // a run command under our token went out by SendCommands: a copy of it may come late
	unanswered int             // such commands without an answer: they may still be carried out
}

// requestStop notes that an attempt is to end, and returns whether its agent is to be told now.
func (a *taskAttempt) requestStop(now clock.Micros, checkpoint bool) bool {
	mode := stopImmediately
	if checkpoint && a.group.CheckpointS > 0 {
		mode = stopWithCheckpoint
	}
	if a.stop >= mode {
		return false
	}
	a.stop = mode
	if a.state == attemptExited {
		return false // a late copy of its run command must find it listed still
	}
	a.stopRequestedAt = now
	return a.state != attemptRecording
}

// canForget says whether an agent may forget an exited attempt. After that, a late copy of its run command would
// start it again. A completed task exits at once then, its result being kept, which harms nobody unless its job was
// cancelled; any other stays listed until the agent has confirmed a higher token than the command's, which it obeys
// no more.
func (a *taskAttempt) canForget() bool {
	harmlessIfRepeated := a.end == endCompleted && a.stop == keepRunning
	return a.endPersisted && a.launch.unanswered == 0 && (!a.launch.sent || harmlessIfRepeated)
}

// isRetained says whether an attempt is over but must stay listed by its agent.
func (a *taskAttempt) isRetained() bool {
	return a.state == attemptExited && a.endPersisted && !a.canForget()
}

// persistEnd notes that what the attempt's end proves is stored: its record is needed no more.
func (a *taskAttempt) persistEnd() {
	a.endPersisted = true
	a.releaseRecord()
}

// releaseRecord gives up the write-ahead record of an attempt.
func (a *taskAttempt) releaseRecord() {
	if a.page != nil {
		a.page.remove(a)
	}
}

// maxAttempts is how many attempts a lease places at most. The IDs that are left of its fencing token's are more
// than one placement cycle can record in a transaction: an ID beyond would belong to another token.
const maxAttempts = 1<<peer.AttemptCountBits - attemptReserve

// attemptReserve is how many attempt IDs are left of a lease when a new one is requested.
const attemptReserve = 1 << 14

// attemptTable holds the attempts of a shard by task.
type attemptTable struct {
	count  uint64 // attempt IDs given out under the lease
	byTask map[peer.Task][]*taskAttempt
	// unreported counts, by task, the attempts whose end the leader has not been told. A stale record may stand
	// beside a live attempt: only the last end gives the task back.
	unreported map[peer.Task]int
}

// isExhausted says whether the lease has too few attempt IDs left for a placement cycle.
func (t *attemptTable) isExhausted() bool { return t.count >= maxAttempts }

func (t *attemptTable) add(a *taskAttempt) {
	t.byTask[a.task] = append(t.byTask[a.task], a)
	t.unreported[a.task]++
}

func (t *attemptTable) remove(a *taskAttempt) {
	left := slices.DeleteFunc(t.byTask[a.task], func(o *taskAttempt) bool { return o == a })
	if len(left) > 0 {
		t.byTask[a.task] = left
	} else {
		delete(t.byTask, a.task)
	}
}

// countEnd notes that an attempt's end is reported, and returns whether it was the task's last.
func (t *attemptTable) countEnd(task peer.Task) (last bool) {
	t.unreported[task]--
	if t.unreported[task] != 0 {
		return false
	}
	delete(t.unreported, task)
	return true
}
