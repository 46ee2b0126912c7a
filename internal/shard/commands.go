package shard

import (
	"slices"

	"swiftledge/internal/clock"
	"swiftledge/wire"
)

// maxCommandsPerMessage is how many commands one message to an agent holds: at some 100 bytes each they stay below
// the 64 KiB that the protocol gives a body and a line of a reply.
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

// cleanUpCommand is the command for a task without a record: its end was proven and stored, and only what is left of
// it shows.
func cleanUpCommand(t *wire.TaskStatus) wire.Command {
	if t.State == wire.TaskExited {
		return forgetCommand(t)
	}
	grace := 0.0
	return wire.Command{Verb: wire.VerbKill, Task: t.Task, Attempt: t.Attempt, GraceS: &grace}
}

// gracePeriod leaves a task more seconds than it says it needs to write a checkpoint.
func gracePeriod(checkpointS float64) float64 {
	const factor, extraS = 1.5, 2
	return checkpointS*factor + extraS
}

// limitToOneReply takes as many commands as one reply holds, those that end tasks first: the reply renews the lease
// that keeps them going. The others are given with the next, as all are until they show.
func limitToOneReply(commands []wire.Command) []wire.Command {
	if len(commands) <= maxCommandsPerMessage {
		return commands
	}
	kills := func(c wire.Command) bool { return c.Verb == wire.VerbKill }
	first := slices.DeleteFunc(slices.Clone(commands), func(c wire.Command) bool { return !kills(c) })
	return append(first, slices.DeleteFunc(commands, kills)...)[:maxCommandsPerMessage]
}

// commandBatches gathers commands by machine, in the order in which the machines came.
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

// sendCommands sends commands to an agent, in as many messages as it takes; without any it only shows the token.
func (h *Holder) sendCommands(s *heldShard, m *machine, commands []wire.Command) {
	if !m.acceptsCommands() {
		return // the reply to the next heartbeat carries them
	}
	for {
		batch := commands[:min(len(commands), maxCommandsPerMessage)]
		h.emit(SendCommands{Shard: s.id, Machine: m.name, Address: m.info.address,
			Body: wire.CommandBatch{FencingToken: s.lease.fencingToken, AgentEpoch: m.agent.epoch, Commands: batch}})
		if commands = commands[len(batch):]; len(commands) == 0 {
			return
		}
	}
}

// handleCommandsAnswered takes in the end of commands that were sent.
func (h *Holder) handleCommandsAnswered(now clock.Micros, answer CommandsAnswered) {
	batch := &answer.Request.Body
	s, m := h.machineUnder(answer.Request.Shard, batch.FencingToken, answer.Request.Machine)
	if m == nil {
		return
	}
	if len(batch.Commands) == 0 {
		m.fence.pending = false
	}
	if m.terminated {
		return
	}
	if answer.Status != nil && answer.Status.FencingToken > s.lease.fencingToken {
		h.dropShard(s)
		return
	}
	if answer.Code == statusOK || answer.Code == statusConflict || answer.Code == NotSent {
		// Answered or never sent: this copy is carried out or never will be.
		m.settleRunCommands(batch.Commands)
	}
	if answer.Status == nil {
		h.recordUnanswered(now, s, m)
		return
	}
	s.recordAnswered(m)
	h.applyStatus(now, s, m, answer.Status, fromRequest)
}

// settleRunCommands notes that sent commands will not be carried out any more, unless they were.
func (m *machine) settleRunCommands(commands []wire.Command) {
	for _, c := range commands {
		if c.Verb != wire.VerbRun {
			continue
		}
		if a := m.attempt(c.Attempt); a != nil && a.launch.unanswered > 0 {
			a.launch.unanswered--
		}
	}
}
