package fake

import (
	"net/http"
	"slices"
	"strconv"
	"strings"

	"swiftledge/internal/clock"
	"swiftledge/wire"
)

// maxResponseDelay is how old a heartbeat may be whose answer still counts.
const maxResponseDelay = 4 * clock.Second

// resourceTolerance is how much more than what is free a task may ask for.
const resourceTolerance = 1e-9

// CommandsResult is the answer to a batch of direct commands.
type CommandsResult struct {
	Status    int // 200, or 409: of another session, or a controller that lost the machine
	Heartbeat *wire.Heartbeat
	Changed   bool // the next heartbeat has news
}

// HandleResponse takes a 200 to the heartbeat that was sent at the given time in the given session. It says
// whether something changed.
func (w *Agent) HandleResponse(now, sent clock.Micros, agentEpoch wire.AgentEpoch, r wire.HeartbeatResponse) bool {
	if agentEpoch != w.AgentEpoch || r.FencingToken < w.FencingToken || now-sent > maxResponseDelay {
		return false
	}
	tokenRaised := r.FencingToken > w.FencingToken
	w.FencingToken = r.FencingToken
	w.leaseRenewedAt = max(w.leaseRenewedAt, sent)
	return w.execute(now, r.Commands) || tokenRaised
}

// HandleCommands takes direct commands.
func (w *Agent) HandleCommands(now clock.Micros, batch wire.CommandBatch) CommandsResult {
	if batch.FencingToken < w.FencingToken || batch.AgentEpoch != w.AgentEpoch {
		return CommandsResult{Status: http.StatusConflict, Heartbeat: w.Heartbeat()}
	}
	tokenRaised := batch.FencingToken > w.FencingToken
	w.FencingToken = batch.FencingToken
	changed := w.execute(now, batch.Commands) || tokenRaised
	return CommandsResult{Status: http.StatusOK, Heartbeat: w.Heartbeat(), Changed: changed}
}

// execute carries out commands and says whether a task changed.
func (w *Agent) execute(now clock.Micros, commands []wire.Command) bool {
	changed := false
	for _, command := range commands {
		changed = w.executeCommand(now, command) || changed
	}
	return changed
}

func (w *Agent) executeCommand(now clock.Micros, command wire.Command) (changed bool) {
	listed := slices.IndexFunc(w.Tasks, func(t *Task) bool {
		return t.Task == command.Task && t.Attempt == command.Attempt
	})
	if listed < 0 {
		if command.Verb != wire.VerbRun {
			return false
		}
		w.startAttempt(now, command)
		return true
	}
	task := w.Tasks[listed]
	exited := task.State == wire.TaskExited
	switch {
	case command.Verb == wire.VerbForget && exited:
		w.Tasks = append(w.Tasks[:listed:listed], w.Tasks[listed+1:]...)
		return false
	case command.Verb == wire.VerbKill && !exited:
		w.killTask(now, task, command.GraceS)
		return true
	}
	return false
}

// killTask stops a task; it saves its work first if the grace is long enough.
func (w *Agent) killTask(now clock.Micros, t *Task, graceS *float64) {
	grace := 0.0
	if graceS != nil {
		grace = *graceS
	}
	switch {
	case t.State == wire.TaskRunning && t.Job.CheckpointS > 0 && grace >= t.Job.SaveS:
		t.State, t.stateEndsAt = wire.TaskSaving, now+clock.FromSeconds(t.Job.SaveS)
	case t.State == wire.TaskSaving && grace > 0:
	default:
		w.endTask(now, t, wire.ExitStopped)
	}
}

// startAttempt lists a new attempt, and begins to fetch its image unless the machine refuses it.
func (w *Agent) startAttempt(now clock.Micros, command wire.Command) {
	task := &Task{TaskStatus: wire.TaskStatus{Task: command.Task, Attempt: command.Attempt, State: wire.TaskFetching}}
	w.Tasks = append(w.Tasks, task)
	ref, indexText, _ := strings.Cut(command.Task, "/")
	w.RunCommands[ref]++
	w.Observer.RunCommandExecuted(w, task)
	index, err := strconv.Atoi(indexText)
	job, known := w.Workload.Job(ref)
	if err != nil || !known || index >= job.Tasks {
		task.State, task.Cause = wire.TaskExited, wire.ExitUnknown
		return
	}
	task.Job, task.Index = job, index
	if cause := w.rejectionCause(task); cause != "" {
		task.State, task.Cause = wire.TaskExited, cause
		return
	}
	task.stateEndsAt = now + 1
	if !w.images[job.Image] {
		task.stateEndsAt = now + clock.FromSeconds(w.FetchSeconds)
	}
}

// rejectionCause says why the machine does not take a task; "" if it does.
func (w *Agent) rejectionCause(task *Task) wire.ExitCause {
	freeCPUs, freeMemory := w.CPUs, w.MemoryGB
	for _, other := range w.Tasks {
		if other == task || other.State == wire.TaskExited {
			continue
		}
		if other.Task == task.Task {
			return wire.ExitBusy
		}
		freeCPUs -= other.Job.CPUs
		freeMemory -= other.Job.MemoryGB
	}
	if task.Job.CPUs > freeCPUs+resourceTolerance || task.Job.MemoryGB > freeMemory+resourceTolerance {
		return wire.ExitFull
	}
	return ""
}
