package shard

import (
	"math"
	"slices"

	"swiftledge/internal/clock"
	"swiftledge/wire"
)

// maxCommandsPerMessage limits the commands in one message to an agent. At about 100 bytes for each command, a message
// stays below the protocol's limit of 64 KiB for a body and for a line of a reply.
const maxCommandsPerMessage = 500

func (a *taskAttempt) killCommand() wire.Command {
	grace := 0.0
	if a.stop == stopWithCheckpoint {
		grace = gracePeriod(a.group.SaveS)
	}
	return wire.Command{Verb: wire.VerbKill, Task: TaskName(a.task), Attempt: a.id, GraceS: &grace}
}

func (a *taskAttempt) runCommand() wire.Command {
	return wire.Command{Verb: wire.VerbRun, Task: TaskName(a.task), Attempt: a.id}
}

func forgetCommand(t *wire.TaskStatus) wire.Command {
	return wire.Command{Verb: wire.VerbForget, Task: t.Task, Attempt: t.Attempt}
}

// cleanUpCommand returns the command for a listed attempt without an attempt record. The end of the attempt was proven
// and stored, so the agent only has to remove what is left of the attempt.
func cleanUpCommand(t *wire.TaskStatus) wire.Command {
	if t.State == wire.TaskExited {
		return forgetCommand(t)
	}
	grace := 0.0
	return wire.Command{Verb: wire.VerbKill, Task: t.Task, Attempt: t.Attempt, GraceS: &grace}
}

// gracePeriod returns the seconds that a task gets to write a checkpoint, somewhat more than its job declares to need.
// The result is finite, since JSON has no infinity.
func gracePeriod(checkpointS float64) float64 {
	const factor, extraS = 1.5, 2
	return min(checkpointS*factor+extraS, math.MaxFloat64)
}

// limitToOneReply returns the commands that fit into one reply, kill commands first because the reply renews the lease
// that keeps tasks running. The other commands go with the next reply, because a command is repeated until the agent's
// status shows its effect.
func limitToOneReply(commands []wire.Command) []wire.Command {
	if len(commands) <= maxCommandsPerMessage {
		return commands
	}
	isKill := func(c wire.Command) bool { return c.Verb == wire.VerbKill }
	kills := slices.DeleteFunc(slices.Clone(commands), func(c wire.Command) bool { return !isKill(c) })
	return append(kills, slices.DeleteFunc(commands, isKill)...)[:maxCommandsPerMessage]
}

// commandBatches groups commands by machine, with the machines in the order in which they were added.
type commandBatches struct {
	machines  []*machine
	byMachine map[*machine][]wire.Command
}

func (b *commandBatches) add(m *machine, command wire.Command) {
	if b.byMachine == nil {
		b.byMachine = map[*machine][]wire.Command{}
	}
	if b.byMachine[m] == nil {
		b.machines = append(b.machines, m)
	}
	b.byMachine[m] = append(b.byMachine[m], command)
}

func (h *Holder) sendBatches(s *heldShard, batches *commandBatches) {
	for _, m := range batches.machines {
		h.sendCommands(s, m, batches.byMachine[m])
	}
}

// sendCommands sends commands to an agent, in several messages if necessary. An empty list only conveys the fencing
// token.
func (h *Holder) sendCommands(s *heldShard, m *machine, commands []wire.Command) {
	if !m.acceptsCommands() {
		return // the reply to the next heartbeat carries the commands
	}
	for {
		batch := commands[:min(len(commands), maxCommandsPerMessage)]
		h.sendBatch(s, m, m.agent.epoch, batch)
		if commands = commands[len(batch):]; len(commands) == 0 {
			return
		}
	}
}

// sendBatch sends one message with commands to an agent, for an epoch of the agent.
func (h *Holder) sendBatch(s *heldShard, m *machine, epoch wire.AgentEpoch, batch []wire.Command) {
	h.emit(SendCommands{Shard: s.id, Machine: m.name, Address: m.info.address, Known: m.agent.version(),
		Body: wire.CommandBatch{FencingToken: s.lease.fencingToken, AgentEpoch: epoch, Commands: batch}})
}

// handleCommandsAnswered handles the answer, or the lack of one, to commands sent to an agent.
func (h *Holder) handleCommandsAnswered(now clock.Micros, answer CommandsAnswered) {
	batch := &answer.Request.Body
	s, m := h.machineWithToken(answer.Request.Shard, batch.FencingToken, answer.Request.Machine)
	if m == nil {
		return
	}
	if len(batch.Commands) == 0 {
		m.fence.requestPending = false
	}
	if m.terminated {
		return
	}
	if answer.Status != nil && answer.Status.FencingToken > s.lease.fencingToken {
		h.dropShard(s)
		return
	}
	if answer.Code == statusOK || answer.Code == statusConflict || answer.Code == NotSent {
		// Answered or never sent: this copy of the commands has been executed or never will be.
		m.settleRunCommands(batch.Commands, answer.Code == statusOK)
	}
	if answer.Status == nil {
		h.recordUnanswered(now, s, m)
		return
	}
	s.recordAnswered(m)
	h.detectRestart(s, m, answer.Request.Known, answer.Status)
	h.applyStatus(now, s, m, answer.Status, fromRequest)
}

// settleRunCommands records that sent run commands have been executed or never will be. A late copy of a command that
// was never sent, or that the agent refused for its token or epoch, cannot be executed either.
func (m *machine) settleRunCommands(commands []wire.Command, executed bool) {
	for _, c := range commands {
		if c.Verb != wire.VerbRun {
			continue
		}
		if a := m.attempt(c.Attempt); a != nil && a.launch.unanswered > 0 {
			a.launch.unanswered--
			a.launch.sentInRequest = executed
		}
	}
}
