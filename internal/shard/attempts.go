package shard

import (
	"slices"

	"swiftledge/internal/clock"
	"swiftledge/internal/peer"
	"swiftledge/wire"
)

// attemptState is the last known state of an attempt.
type attemptState int

const (
	attemptRecording attemptState = iota // the attempt's record is being written; not launched yet
	attemptLaunched                      // a run command may have been sent
	attemptConfirmed                     // a status under this lease's fencing token has listed it
	attemptExited
)

// stopMode says whether and how an attempt is to be stopped. A later mode overrides an earlier one.
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
	endReleased // did not finish by itself: its task is returned to the leader; see peer.EventReleased
)

// endForCause maps the cause of an exit to the attempt's end. An unrecognized cause is not a failure.
func endForCause(cause wire.ExitCause) attemptEnd {
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

// eventKind returns the kind of the event that reports the end to the leader.
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

// taskAttempt is an attempt of a task that may exist on a machine.
type taskAttempt struct {
	task            peer.Task
	id              wire.AttemptID
	machine         *machine
	group           *peer.AttemptGroup // the task's resources and image; its Attempts are unused
	page            *attemptPage       // the page with its record; nil once no record is needed
	pageIndex       int                // in page.attempts
	state           attemptState
	inherited       bool // launched under an earlier lease
	running         bool
	startedAt       clock.Micros // when the attempt was first seen running
	launch          attemptLaunch
	stop            stopMode
	stopRequestedAt clock.Micros
	end             attemptEnd
	// endReported: the end has been reported to the leader. endPersisted: the outcome that the end proves is stored.
	endReported  bool
	endPersisted bool
}

// attemptLaunch describes the launch of an attempt.
type attemptLaunch struct {
	jobVersion    uint64          // version of the job's key when the task was offered; 0: unknown
	launchedAt    clock.Micros    // 0: launched under an earlier lease
	agentEpoch    wire.AgentEpoch // the epoch that the run command is for
	sentInRequest bool            // a run command under this token went out by SendCommands; a copy may arrive late
	unanswered    int             // run commands sent by SendCommands without an answer; they may still be executed
}

// requestStop marks an attempt to be stopped and returns whether to send its agent a kill command now.
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
		return false // the attempt must stay listed, so that a late copy of its run command has no effect
	}
	a.stopRequestedAt = now
	return a.state != attemptRecording
}

// canForget reports whether an agent may forget an exited attempt. An attempt that may run again stays listed until the
// agent has confirmed a token higher than that of the run command, and so refuses the command.
func (a *taskAttempt) canForget() bool {
	return a.endPersisted && a.launch.unanswered == 0 && !a.mayRunAgain()
}

// mayRunAgain reports whether a late copy of the run command would run the task again if the agent did not list the
// attempt, although the command was executed and answered before. A completed attempt would exit at once because its
// result is kept, which is harmless unless its job was cancelled.
func (a *taskAttempt) mayRunAgain() bool {
	harmlessIfRepeated := a.end == endCompleted && a.stop == keepRunning
	return a.launch.sentInRequest && !harmlessIfRepeated
}

// isRetained reports whether an attempt is retained: it has ended but must stay listed by its agent; see canForget.
func (a *taskAttempt) isRetained() bool {
	return a.state == attemptExited && a.endPersisted && !a.canForget()
}

// persistEnd marks the attempt's end as stored and removes the attempt's record, which is no longer needed.
func (a *taskAttempt) persistEnd() {
	a.endPersisted = true
	a.releaseRecord()
}

// releaseRecord removes the attempt's write-ahead record from its page.
func (a *taskAttempt) releaseRecord() {
	if a.page != nil {
		a.page.remove(a)
	}
}

// maxAttemptIDs is the number of issued attempt IDs at which no more tasks are placed under a lease. The attempt IDs
// then left under the lease's fencing token are more than one placement cycle can record in a transaction. The next ID
// after them would belong to another token.
const maxAttemptIDs = 1<<peer.AttemptCountBits - attemptIDReserve

// attemptIDReserve is the number of attempt IDs left under a lease when a new lease is requested.
const attemptIDReserve = 1 << 14

// attemptTable indexes the attempts of a shard by task.
type attemptTable struct {
	issuedIDs uint64 // attempt IDs issued under the lease
	byTask    map[peer.Task][]*taskAttempt
	// unreportedEnds counts, by task, the attempts whose end has not been reported to the leader. A task may have a
	// stale record beside a live attempt, so only the end of the last attempt returns the task to the leader.
	unreportedEnds map[peer.Task]int
}

// isExhausted reports whether the lease has too few attempt IDs left for a placement cycle.
func (t *attemptTable) isExhausted() bool { return t.issuedIDs >= maxAttemptIDs }

func (t *attemptTable) add(a *taskAttempt) {
	t.byTask[a.task] = append(t.byTask[a.task], a)
	t.unreportedEnds[a.task]++
}

func (t *attemptTable) remove(a *taskAttempt) {
	remaining := slices.DeleteFunc(t.byTask[a.task], func(other *taskAttempt) bool { return other == a })
	if len(remaining) > 0 {
		t.byTask[a.task] = remaining
	} else {
		delete(t.byTask, a.task)
	}
}

// recordReportedEnd counts a reported end of an attempt and returns whether it was the task's last attempt.
func (t *attemptTable) recordReportedEnd(task peer.Task) (last bool) {
	t.unreportedEnds[task]--
	if t.unreportedEnds[task] != 0 {
		return false
	}
	delete(t.unreportedEnds, task)
	return true
}
