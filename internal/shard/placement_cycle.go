package shard

import (
	"slices"

	"swiftledge/internal/clock"
	"swiftledge/internal/load"
	"swiftledge/internal/peer"
	"swiftledge/internal/placement"
	"swiftledge/internal/store"
	"swiftledge/wire"
)

// Ranks of machines that another replica of a service had better avoid, by how much.
const (
	avoidRunning = 1 // one of the service's replicas is there
	avoidFailed  = 2 // one failed there
)

// placeOffers places offered tasks by auction, and writes the attempt records of those that found a machine. There is
// one write at a time: what comes meanwhile gathers with the leader, so the store's limits set the length of the
// placement cycles.
func (h *Holder) placeOffers(now clock.Micros, s *heldShard, offers []peer.TaskOffer) {
	params := h.paramsFor(offers)
	var machines []*placement.Machine
	if s.log.write == nil && !s.lease.hasExpired(now) && !s.attempts.isExhausted() {
		machines = h.candidates(now, s, params.LoadBound)
	}
	groups := make([]*placement.Group, len(offers))
	recordGroups := make(map[*placement.Group]*peer.AttemptGroup, len(offers))
	for i := range offers {
		groups[i] = s.placementGroup(&offers[i])
		recordGroups[groups[i]] = attemptGroup(&offers[i].Job)
	}
	matches := placement.Place(placement.Cycle{
		Groups:   groups,
		Machines: machines,
		History:  h.visits,
		Params:   params,
		Now:      now,
	})
	placed := h.recordMatches(s, matches, recordGroups)
	for _, group := range groups {
		for _, index := range group.TaskIndexes {
			if task := (peer.Task{Job: group.Job, Index: index}); !placed[task] {
				s.update.addEvent(peer.TaskEvent{Task: task, Kind: peer.EventUnplaced})
			}
		}
	}
}

// paramsFor returns the auction's parameters, with the bound on the machines' load if there is one.
func (h *Holder) paramsFor(offers []peer.TaskOffer) placement.Params {
	params := h.placementParams
	if h.params.LoadBound != nil {
		params.LoadBound = &placement.LoadBound{
			Bound:      *h.params.LoadBound,
			FetchRates: h.fetchRates,
			FleetMean:  meanLoad(offers),
		}
	}
	return params
}

// meanLoad is the mean load that a leader names with its offers; 0 if none does, or it makes no sense.
func meanLoad(offers []peer.TaskOffer) (mean float64) {
	for i := range offers {
		if load := offers[i].Job.FleetLoad; load > 0 && load <= 1 {
			mean = max(mean, load)
		}
	}
	return mean
}

// candidates returns the machines that have free capacity for new tasks. With a bound on the load, its mean is of all
// machines that take work, the full ones too.
func (h *Holder) candidates(now clock.Micros, s *heldShard, bound *placement.LoadBound) []*placement.Machine {
	var machines []*placement.Machine
	for _, m := range s.machineOrder {
		if !h.isSchedulable(now, s, m) || m.excluded {
			continue
		}
		free := h.freeCapacity(m)
		if _, known := h.machineTypes[m.info.typeName]; known && bound != nil {
			bound.Mean.Add(free.Load())
		}
		if free.Free.CPUs > 0 {
			machines = append(machines, free)
		}
	}
	return machines
}

// placementGroup returns what the auction is to know of offered tasks.
func (s *heldShard) placementGroup(offer *peer.TaskOffer) *placement.Group {
	job := &offer.Job
	group := &placement.Group{
		Job:         job.Ref,
		TaskIndexes: offer.TaskIndexes,
		Image:       job.Image,
		Zone:        job.Zone,
		Types:       job.Types,
		Spot:        job.Spot,
		Request:     load.Resources{CPUs: job.CPUs, GPUs: job.GPUs, Memory: job.MemoryGB},
		ImageGB:     job.ImageGB,
	}
	if offer.Zone != "" {
		group.Zone = offer.Zone
	}
	if job.IsService() {
		group.AvoidRank = s.avoidRanks(job.Ref)
	}
	return group
}

// avoidRanks ranks the machines where another replica of a service had better not go.
func (s *heldShard) avoidRanks(job string) map[string]int {
	ranks := map[string]int{}
	for _, m := range s.machineOrder {
		switch {
		case slices.Contains(m.failedJobs, job):
			ranks[m.name] = avoidFailed
		case m.runsJob(job):
			ranks[m.name] = avoidRunning
		}
	}
	return ranks
}

// attemptGroup returns what the attempt records are to say of a job.
func attemptGroup(job *wire.Job) *peer.AttemptGroup {
	return &peer.AttemptGroup{
		Job:         job.Ref,
		Team:        job.Team,
		CPUs:        job.CPUs,
		GPUs:        job.GPUs,
		MemoryGB:    job.MemoryGB,
		SaveS:       job.SaveS,
		CheckpointS: job.CheckpointS,
		Image:       job.Image,
		ImageGB:     job.ImageGB,
	}
}

// recordMatches begins the write of an attempt's record for each match, and returns the tasks that it holds. What one
// transaction does not hold is another cycle's.
func (h *Holder) recordMatches(
	s *heldShard, matches []placement.Match, recordGroups map[*placement.Group]*peer.AttemptGroup,
) map[peer.Task]bool {
	recorded := map[peer.Task]bool{}
	writer := s.log.newWriter(h.params.limits())
	for _, match := range matches {
		m := s.machines[match.Machine.Name]
		m.freeCapacity = nil // the auction has taken from it
		a := &taskAttempt{
			task:    peer.Task{Job: match.Group.Job, Index: match.TaskIndex},
			id:      peer.NewAttemptID(s.lease.fencingToken, s.attempts.count+1),
			machine: m,
			group:   recordGroups[match.Group],
			launch:  attemptLaunch{agentEpoch: m.agent.epoch},
		}
		if !writer.add(a) {
			continue
		}
		s.attempts.count++
		recorded[a.task] = true
		s.addAttempt(a)
		s.update.addEvent(peer.TaskEvent{Task: a.task, Kind: peer.EventAssigned, Machine: m.name})
	}
	if write, ok := writer.finish(); ok {
		h.emit(write)
	}
	return recorded
}

// shardOfWrite returns the shard whose write of attempt pages has ended, if its lease is still held.
func (h *Holder) shardOfWrite(id int, token wire.FencingToken, fenced bool) *heldShard {
	s := h.shardUnder(id, token)
	if s != nil && fenced {
		h.dropShard(s)
		return nil
	}
	return s
}

// handleAttemptsWritten launches the attempts whose records are written.
func (h *Holder) handleAttemptsWritten(now clock.Micros, result AttemptsWritten) {
	s := h.shardOfWrite(result.Shard, result.FencingToken, result.Fenced)
	if s == nil {
		return
	}
	attempts := s.log.completeWrite(result)
	if attempts == nil {
		return
	}
	s.update.settleOffers()
	if result.TooLarge {
		// The store's limits fell below what the settings say.
		h.params.MaxValueBytes, h.params.MaxTxnOps = store.ReducedLimits(h.params.MaxValueBytes, h.params.MaxTxnOps)
	}
	var batches commandBatches
	for _, a := range attempts {
		if !result.Committed || s.lease.hasExpired(now) || !a.canLaunch() {
			s.removeAttempt(a) // never launched: it can run nowhere
			continue
		}
		if h.launch(now, a) {
			batches.add(a.machine, a.runCommand())
		}
	}
	h.sendBatches(s, &batches)
}

// canLaunch says whether an attempt whose record is written may still be launched.
func (a *taskAttempt) canLaunch() bool {
	m := a.machine
	return a.stop == keepRunning && !m.terminated && !m.leaseExpired && m.agent.epoch == a.launch.agentEpoch
}

// launch notes that an attempt is launched, and returns whether its run command is to be sent now. Else the reply to
// the next heartbeat carries it.
func (h *Holder) launch(now clock.Micros, a *taskAttempt) (send bool) {
	a.state, a.launch.at = attemptLaunched, now
	if h.prefersReplies(now, a.machine) {
		return false
	}
	if a.machine.acceptsCommands() {
		a.launch.unanswered++
		a.launch.sent = true
	}
	return true
}

// prefersReplies says whether run commands for a machine wait for its next heartbeat. To send them costs the controller
// more than to answer a heartbeat, so under overload the replies to machines that are in contact carry them, a
// heartbeat interval later at most.
func (h *Holder) prefersReplies(now clock.Micros, m *machine) bool {
	inContact := m.agent.lastReply > 0 && now-m.agent.lastReply < h.params.HeartbeatInterval
	return h.overload.isActive(now) && inContact
}

// handlePagesCompacted takes in the end of a compaction.
func (h *Holder) handlePagesCompacted(result PagesCompacted) {
	if s := h.shardOfWrite(result.Shard, result.FencingToken, result.Fenced); s != nil {
		s.log.completeCompaction(result)
	}
}
