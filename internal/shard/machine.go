package shard

import (
	"slices"

	"swiftledge/internal/clock"
	"swiftledge/internal/load"
	"swiftledge/internal/placement"
	"swiftledge/wire"
)

// maxFailedJobs limits the jobs with failed tasks that are remembered for each machine.
const maxFailedJobs = 32

// terminatedRetention is how long a terminated machine is kept after its last status.
const terminatedRetention = 10 * clock.Minute

// machine is a machine of a held shard.
type machine struct {
	name     string
	info     machineInfo
	agent    agentContact
	commands commandChannel
	fence    tokenFence

	inInventory  bool
	draining     bool
	excluded     bool // the leader has excluded the machine from scheduling
	terminated   bool // the machine is deleted
	leaseExpired bool // the agent's lease has expired, so nothing runs on the machine
	silent       bool // as last determined and reported to the leader; see Holder.isSilent

	changed             bool // the machine's state is queued for the leader
	reportedSchedulable bool // whether the machine was last reported to the leader as schedulable

	runCommandSent bool // a run command under the lease's token went out by SendCommands; a copy may arrive late
	restarted      bool // the agent was found to have been restarted under this lease; see Holder.recordRestart

	attempts            []*taskAttempt // in the order in which they were added
	failedJobs          []string       // jobs of which a task failed on the machine
	contradictionLogged bool           // see Holder.logContradiction
	images              *placement.ImageCache
	freeCapacity        *placement.Machine // cached; nil after a change
}

// machineInfo is what an agent reports about its machine.
type machineInfo struct {
	address, typeName, zone string
	spot                    bool
	preemptionNotice        bool
}

func infoFrom(status *wire.Heartbeat) machineInfo {
	return machineInfo{
		address:          status.Address,
		typeName:         status.Type,
		zone:             status.Zone,
		spot:             status.Spot,
		preemptionNotice: status.PreemptionNoticeS != nil,
	}
}

// inherit copies what is known about the machine and its agent from an earlier lease of its shard. The attempts on the
// machine are read again from the attempt records, and the machine must confirm the new token.
func (m *machine) inherit(earlier *machine) {
	m.info, m.agent, m.commands = earlier.info, earlier.agent, earlier.commands
	m.terminated = earlier.terminated
	m.fence.urgent = earlier.restarted
	m.images, m.failedJobs = earlier.images, earlier.failedJobs
}

// mayHaveAgent reports whether there are signs that an agent runs on the machine. A machine that is only listed in the
// inventory may not have booted yet.
func (m *machine) mayHaveAgent() bool { return m.agent.lastStatus > 0 || len(m.attempts) > 0 }

// acceptsCommands reports whether commands can be sent to the machine.
func (m *machine) acceptsCommands() bool { return m.info.address != "" && m.agent.epoch > 0 }

// attempt returns the machine's attempt with an ID, or nil. IDs are never reused.
func (m *machine) attempt(id wire.AttemptID) *taskAttempt {
	for _, a := range m.attempts {
		if a.id == id {
			return a
		}
	}
	return nil
}

// runsJob reports whether an attempt of a job may be active on the machine.
func (m *machine) runsJob(job string) bool {
	return slices.ContainsFunc(m.attempts, func(a *taskAttempt) bool {
		return a.task.Job == job && a.state != attemptExited
	})
}

// recordFailure records that a task of a job failed on the machine.
func (m *machine) recordFailure(job string) {
	if !slices.Contains(m.failedJobs, job) && len(m.failedJobs) < maxFailedJobs {
		m.failedJobs = append(m.failedJobs, job)
	}
}

// retainedAttempts counts the machine's retained attempts: those that have ended but must stay listed by the agent.
func (m *machine) retainedAttempts() (count int) {
	for _, a := range m.attempts {
		if a.isRetained() {
			count++
		}
	}
	return count
}

// isSchedulable reports whether a machine can be given tasks now, unless the leader has excluded it. Answers to
// commands alone are not enough: while no heartbeat of the agent arrives, the agent's lease expires regardless.
func (h *Holder) isSchedulable(now clock.Micros, s *heldShard, m *machine) bool {
	const missedHeartbeats = 3
	timeout := missedHeartbeats * h.params.HeartbeatInterval
	inContact := now-max(m.agent.lastReply, s.lease.grantedAt) < timeout && now-m.agent.lastStatus < timeout
	leaving := m.draining || m.info.preemptionNotice || m.terminated || m.leaseExpired
	return inContact && m.inInventory && !leaving && m.fence.confirmed && !m.commands.isUnreachable()
}

// freeCapacity returns a machine with its free capacity, as the auction needs it.
func (h *Holder) freeCapacity(m *machine) *placement.Machine {
	if m.freeCapacity != nil {
		return m.freeCapacity
	}
	t := h.machineTypes[m.info.typeName]
	capacity := load.Resources{CPUs: t.CPUs, GPUs: t.GPUs, Memory: t.MemoryGB}
	free := &placement.Machine{
		Name:         m.name,
		Type:         m.info.typeName,
		Zone:         m.info.zone,
		Spot:         m.info.spot,
		Free:         capacity,
		Capacity:     capacity,
		Tasks:        len(m.attempts), // the agent also lists those that have exited
		MaxTasks:     wire.MaxTasksPerHeartbeat,
		CachedImages: m.images,
	}
	for _, a := range m.attempts {
		if a.state == attemptExited {
			continue
		}
		free.Free = free.Free.Minus(load.Resources{CPUs: a.group.CPUs, GPUs: a.group.GPUs, Memory: a.group.MemoryGB})
		if !a.running {
			free.UnstartedTasks++
			free.FetchingImages = append(free.FetchingImages, a.group.Image)
		}
	}
	m.freeCapacity = free
	return free
}
