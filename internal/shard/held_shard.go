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
	keyVersion       uint64 // of the shard's store key, on which all writes for the shard are conditioned
	grantedAt        clock.Micros
	expiresAt        clock.Micros
	regrantRequested bool
	needsHigherToken bool // some attempts are settled by a higher fencing token only
}

func (l *shardLease) hasExpired(now clock.Micros) bool { return now >= l.expiresAt }

// extend moves the end of the lease, never back.
func (l *shardLease) extend(until clock.Micros) { l.expiresAt = max(l.expiresAt, until) }

// heldShard is a shard whose lease this controller holds.
type heldShard struct {
	id           int
	lease        shardLease
	machines     map[string]*machine
	machineOrder []*machine // by name
	attempts     attemptTable
	log          attemptLog
	update       pendingUpdate
}

func newHeldShard(id int, lease shardLease) *heldShard {
	return &heldShard{
		id:       id,
		lease:    lease,
		machines: map[string]*machine{},
		attempts: attemptTable{byTask: map[peer.Task][]*taskAttempt{}, unreported: map[peer.Task]int{}},
		log:      attemptLog{shard: id, fencingToken: lease.fencingToken, keyVersion: lease.keyVersion},
	}
}

// ensureMachine returns the machine of a name, which is added if it is new.
func (s *heldShard) ensureMachine(name string) *machine {
	m := s.machines[name]
	if m == nil {
		m = &machine{name: name, images: &placement.ImageCache{}}
		s.machines[name] = m
		byName := func(m *machine, name string) int { return strings.Compare(m.name, name) }
		at, _ := slices.BinarySearchFunc(s.machineOrder, name, byName)
		s.machineOrder = slices.Insert(s.machineOrder, at, m)
		s.markChanged(m)
	}
	return m
}

// forgetTerminatedMachines drops machines that were terminated long ago.
func (s *heldShard) forgetTerminatedMachines(now clock.Micros) {
	s.machineOrder = slices.DeleteFunc(s.machineOrder, func(m *machine) bool {
		forgotten := m.terminated && len(m.attempts) == 0 && now-m.agent.lastStatus > terminatedRetention
		if forgotten {
			delete(s.machines, m.name)
		}
		return forgotten
	})
}

// markChanged notes that the leader is to be told of the machine's state.
func (s *heldShard) markChanged(m *machine) {
	m.freeCapacity = nil
	if !m.changed {
		m.changed = true
		s.update.machines = append(s.update.machines, m)
	}
}

// addAttempt takes in a new attempt on its machine.
func (s *heldShard) addAttempt(a *taskAttempt) {
	a.machine.attempts = append(a.machine.attempts, a)
	s.attempts.add(a)
	s.markChanged(a.machine)
}

// removeAttempt takes away an attempt that is proven to be on its machine no more, and releases its task.
func (s *heldShard) removeAttempt(a *taskAttempt) {
	s.reportEnd(a, peer.TaskEvent{Task: a.task, Kind: peer.EventReleased, Machine: a.machine.name})
	a.releaseRecord()
	a.machine.attempts = slices.DeleteFunc(a.machine.attempts, func(o *taskAttempt) bool { return o == a })
	s.attempts.remove(a)
	s.markChanged(a.machine)
}

// reportEnd tells the leader once how an attempt ended. Its task is given back with its last attempt only.
func (s *heldShard) reportEnd(a *taskAttempt, end peer.TaskEvent) {
	if a.endReported {
		return
	}
	a.endReported = true
	last := s.attempts.countEnd(a.task)
	if !last && end.Kind == peer.EventCompleted {
		s.update.addEvent(peer.TaskEvent{Task: a.task, Kind: peer.EventAttemptRemains, Machine: a.machine.name})
	}
	if last || end.Kind == peer.EventCompleted {
		s.update.addEvent(end)
	}
}
