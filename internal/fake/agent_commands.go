package fake

import (
	"net/http"
	"slices"
	"strconv"
	"strings"

	"swiftledge/internal/clock"
	"swiftledge/wire"
)

// maxResponseDelay is the maximum age of a heartbeat at which the agent still accepts the response to it.
const maxResponseDelay = 4 * clock.Second

// resourceTolerance is the amount by which a task's resources may exceed the free resources, to allow for rounding
// errors.
const resourceTolerance = 1e-9

// CommandsResult is the response to a batch of direct commands.
type CommandsResult struct {
	Status    int // 200; 409 if the batch has another agent epoch or an outdated fencing token
	Heartbeat *wire.Heartbeat
	Changed   bool // a task changed or the fencing token increased, so a heartbeat is due soon
}

// HandleResponse handles a 200 response to the heartbeat that was sent at sentAt with agentEpoch: it renews the lease
// and executes the commands. It ignores a response that is late, has an outdated fencing token or answers a heartbeat
// of another agent epoch. It reports whether anything changed.
func (a *Agent) HandleResponse(
	now, sentAt clock.Micros, agentEpoch wire.AgentEpoch, response wire.HeartbeatResponse,
) bool {
	if agentEpoch != a.AgentEpoch || response.FencingToken < a.FencingToken || now-sentAt > maxResponseDelay {
		return false
	}
	tokenRaised := response.FencingToken > a.FencingToken
	a.FencingToken = response.FencingToken
	a.leaseRenewedAt = max(a.leaseRenewedAt, sentAt)
	return a.execute(now, response.Commands) || tokenRaised
}

// HandleCommands handles a batch of direct commands. It refuses a batch of another agent epoch or with an outdated
// fencing token.
func (a *Agent) HandleCommands(now clock.Micros, batch wire.CommandBatch) CommandsResult {
	if batch.FencingToken < a.FencingToken || batch.AgentEpoch != a.AgentEpoch {
		return CommandsResult{Status: http.StatusConflict, Heartbeat: a.Heartbeat()}
	}
	tokenRaised := batch.FencingToken > a.FencingToken
	a.FencingToken = batch.FencingToken
	changed := a.execute(now, batch.Commands) || tokenRaised
	return CommandsResult{Status: http.StatusOK, Heartbeat: a.Heartbeat(), Changed: changed}
}

// execute executes commands and reports whether a task changed.
func (a *Agent) execute(now clock.Micros, commands []wire.Command) bool {
	changed := false
	for _, command := range commands {
		changed = a.executeCommand(now, command) || changed
	}
	return changed
}

// executeCommand executes one command and reports whether a task changed. A run command has no effect if the agent's
// list already has the attempt, and any other command has none if the list does not have it.
func (a *Agent) executeCommand(now clock.Micros, command wire.Command) (changed bool) {
	position := slices.IndexFunc(a.Tasks, func(t *Task) bool {
		return t.Task == command.Task && t.Attempt == command.Attempt
	})
	if position < 0 {
		if command.Verb != wire.VerbRun {
			return false
		}
		a.startAttempt(now, command)
		return true
	}
	task := a.Tasks[position]
	exited := task.State == wire.TaskExited
	switch {
	case command.Verb == wire.VerbForget && exited:
		a.Tasks = append(a.Tasks[:position:position], a.Tasks[position+1:]...)
		return false
	case command.Verb == wire.VerbKill && !exited:
		a.killTask(now, task, command.GraceS)
		return true
	}
	return false
}

// killTask stops a task. A running task saves a checkpoint first if its job has checkpoints and the grace period is
// long enough.
func (a *Agent) killTask(now clock.Micros, task *Task, graceS *float64) {
	grace := 0.0
	if graceS != nil {
		grace = *graceS
	}
	switch {
	case task.State == wire.TaskRunning && task.Job.CheckpointS > 0 && grace >= task.Job.SaveS:
		task.State, task.stateEndsAt = wire.TaskSaving, now+clock.FromSeconds(task.Job.SaveS)
	case task.State == wire.TaskSaving && grace > 0:
	default:
		a.endTask(now, task, wire.ExitStopped)
	}
}

// startAttempt adds a new attempt to the agent's tasks. It starts to fetch the image unless the agent rejects the task.
func (a *Agent) startAttempt(now clock.Micros, command wire.Command) {
	task := &Task{TaskStatus: wire.TaskStatus{Task: command.Task, Attempt: command.Attempt, State: wire.TaskFetching}}
	a.Tasks = append(a.Tasks, task)
	ref, indexText, _ := strings.Cut(command.Task, "/")
	a.RunCommands[ref]++
	a.Observer.RunCommandExecuted(a, task)
	index, err := strconv.Atoi(indexText)
	job, known := a.Workload.Job(ref)
	if err != nil || !known || index >= job.Tasks {
		task.State, task.Cause = wire.TaskExited, wire.ExitUnknown
		return
	}
	task.Job, task.Index = job, index
	if cause := a.rejectionCause(task); cause != "" {
		task.State, task.Cause = wire.TaskExited, cause
		return
	}
	task.stateEndsAt = now + 1
	if !a.images[job.Image] {
		task.stateEndsAt = now + clock.FromSeconds(a.FetchSeconds)
	}
}

// rejectionCause returns why the agent rejects a task, or "" if it accepts the task.
func (a *Agent) rejectionCause(task *Task) wire.ExitCause {
	freeCPUs, freeMemory := a.CPUs, a.MemoryGB
	for _, other := range a.Tasks {
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
