package shard

import (
	"slices"
	"strings"

	"swiftledge/internal/clock"
	"swiftledge/internal/peer"
	"swiftledge/internal/placement"
	"swiftledge/wire"
)

// shardLease is the grant under which a shard is held.
type shardLease struct {
	fencingToken     wire.FencingToken
	keyVersion       uint64 // version of the shard's store key, a condition of all writes for the shard
	grantedAt        clock.Micros
	expiresAt        clock.Micros
	regrantRequested bool // a new grant, with a higher fencing token, was requested from the leader
	needsHigherToken bool // some attempts can only be settled by a higher fencing token
	agentRestarted   bool // an agent was restarted that would execute late copies of run commands under the token
}

func (l *shardLease) hasExpired(now clock.Micros) bool { return now >= l.expiresAt }

// extend moves the end of the lease forward, never back.
func (l *shardLease) extend(until clock.Micros) { l.expiresAt = max(l.expiresAt, until) }

// heldShard is a shard whose lease this controller holds.
type heldShard struct {
	id           int
	lease        shardLease
	machines     map[string]*machine
	machineOrder []*machine // sorted by name
	attempts     attemptTable
	log          attemptLog
	update       pendingUpdate
	endedJobs    map[string]bool // jobs found to have ended; the leader may not know it yet and offer their tasks
}

func newHeldShard(id int, lease shardLease) *heldShard {
	return &heldShard{
		id:        id,
		lease:     lease,
		machines:  map[string]*machine{},
		attempts:  attemptTable{byTask: map[peer.Task][]*taskAttempt{}, unreportedEnds: map[peer.Task]int{}},
		log:       attemptLog{shard: id, fencingToken: lease.fencingToken, keyVersion: lease.keyVersion},
		endedJobs: map[string]bool{},
	}
}

// ensureMachine returns the machine with the given name. It adds the machine if the shard does not have it.
func (s *heldShard) ensureMachine(name string) *machine {
	m := s.machines[name]
	if m == nil {
		m = &machine{name: name, images: &placement.ImageCache{}}
		s.machines[name] = m
		byName := func(m *machine, name string) int { return strings.Compare(m.name, name) }
		index, _ := slices.BinarySearchFunc(s.machineOrder, name, byName)
		s.machineOrder = slices.Insert(s.machineOrder, index, m)
		s.markChanged(m)
	}
	return m
}

// forgetTerminatedMachines drops terminated machines after terminatedRetention.
func (s *heldShard) forgetTerminatedMachines(now clock.Micros) {
	s.machineOrder = slices.DeleteFunc(s.machineOrder, func(m *machine) bool {
		forgotten := m.terminated && len(m.attempts) == 0 && now-m.agent.lastStatus > terminatedRetention
		if forgotten {
			delete(s.machines, m.name)
		}
		return forgotten
	})
}

// markChanged queues the machine's state for the next update to the leader.
func (s *heldShard) markChanged(m *machine) {
	m.freeCapacity = nil
	if !m.changed {
		m.changed = true
		s.update.machines = append(s.update.machines, m)
	}
}

// addAttempt adds an attempt to the shard and to its machine.
func (s *heldShard) addAttempt(a *taskAttempt) {
	a.machine.attempts = append(a.machine.attempts, a)
	s.attempts.add(a)
	s.markChanged(a.machine)
}

// removeAttempt removes an attempt that is proven to have ended on its machine. If the end of the attempt has not been
// reported and no other attempt of the task remains, the task is returned to the leader.
func (s *heldShard) removeAttempt(a *taskAttempt) {
	s.reportEnd(a, peer.TaskEvent{Task: a.task, Kind: peer.EventReleased, Machine: a.machine.name})
	a.releaseRecord()
	a.machine.attempts = slices.DeleteFunc(a.machine.attempts, func(other *taskAttempt) bool { return other == a })
	s.attempts.remove(a)
	s.markChanged(a.machine)
}

// reportEnd reports the end of an attempt to the leader, once. Only the end of the last attempt of a task returns the
// task to the leader.
func (s *heldShard) reportEnd(a *taskAttempt, end peer.TaskEvent) {
	if a.endReported {
		return
	}
	a.endReported = true
	last := s.attempts.recordReportedEnd(a.task)
	if !last && end.Kind == peer.EventCompleted {
		s.update.addEvent(peer.TaskEvent{Task: a.task, Kind: peer.EventAttemptRemains, Machine: a.machine.name})
	}
	if last || end.Kind == peer.EventCompleted {
		s.update.addEvent(end)
	}
}
