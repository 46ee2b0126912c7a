package shard

import (
	"slices"

	"swiftledge/internal/clock"
	"swiftledge/internal/load"
	"swiftledge/internal/placement"
	"swiftledge/wire"
)

// maxFailedJobs is how many jobs whose tasks failed are remembered of a machine.
const maxFailedJobs = 32

// terminatedRetention is how long a machine that was terminated and is not heard of is remembered.
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
	excluded     bool // the leader wants no new tasks here
	terminated   bool // the machine is deleted
	leaseExpired bool // its agent's lease has expired: nothing runs here
	silent       bool // as the leader knows it; see Holder.isSilent

	changed             bool // the leader is to be told of the state
	reportedSchedulable bool

	attempts            []*taskAttempt // in the order in which they came
	failedJobs          []string
	contradictionLogged bool
	images              *placement.ImageCache
	freeCapacity        *placement.Machine // cached; nil after a change
}

// machineInfo is what an agent says of its machine.
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

// inherit takes over what is known of the machine from an earlier lease of its shard. What may run on it is read
// anew from the attempt records, and the new token is to be confirmed anew.
func (m *machine) inherit(earlier *machine) {
	m.info, m.agent, m.commands = earlier.info, earlier.agent, earlier.commands
	m.terminated = earlier.terminated
	m.images, m.failedJobs = earlier.images, earlier.failedJobs
}

// isKnownToRun says whether there is reason to believe that an agent runs on the machine. One that is only in the
// inventory may not be up yet.
func (m *machine) isKnownToRun() bool { return m.agent.lastStatus > 0 || len(m.attempts) > 0 }

// acceptsCommands says whether commands can be sent to the machine.
func (m *machine) acceptsCommands() bool { return m.info.address != "" && m.agent.epoch > 0 }

// attempt returns the machine's attempt of an ID, or nil; IDs never repeat.
func (m *machine) attempt(id wire.AttemptID) *taskAttempt {
	for _, a := range m.attempts {
		if a.id == id {
			return a
		}
	}
	return nil
}

// runsJob says whether an attempt of a job may be going on.
func (m *machine) runsJob(job string) bool {
	return slices.ContainsFunc(m.attempts, func(a *taskAttempt) bool {
		return a.task.Job == job && a.state != attemptExited
	})
}

// recordFailure remembers that a task of a job failed on the machine.
func (m *machine) recordFailure(job string) {
	if !slices.Contains(m.failedJobs, job) && len(m.failedJobs) < maxFailedJobs {
		m.failedJobs = append(m.failedJobs, job)
	}
}

// retainedAttempts counts the attempts that are over but must stay listed.
func (m *machine) retainedAttempts() (count int) {
	for _, a := range m.attempts {
		if a.isRetained() {
			count++
		}
	}
	return count
}

// isSchedulable says whether a machine can be given tasks now. The lease of one that only answers commands, while
// none of its heartbeats comes, expires whatever it answers.
func (h *Holder) isSchedulable(now clock.Micros, s *heldShard, m *machine) bool {
	const missedHeartbeats = 3
	timeout := missedHeartbeats * h.params.HeartbeatInterval
	inContact := now-max(m.agent.lastReply, s.lease.grantedAt) < timeout && now-m.agent.lastStatus < timeout
	leaving := m.draining || m.info.preemptionNotice || m.terminated || m.leaseExpired
	return inContact && m.inInventory && !leaving && m.fence.confirmed && !m.commands.isUnreachable()
}

// freeCapacity returns what is free on a machine.
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
