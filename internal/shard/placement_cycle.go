package shard

import (
	"errors"
	"slices"

	"swiftledge/internal/clock"
	"swiftledge/internal/load"
	"swiftledge/internal/peer"
	"swiftledge/internal/placement"
	"swiftledge/internal/store"
	"swiftledge/wire"
)

// Ranks of the machines that a further replica of a service should avoid. A higher rank is avoided more strongly.
const (
	avoidRunning = 1 // a replica of the service runs there
	avoidFailed  = 2 // a replica of the service failed there
)

// placeOffers runs one placement cycle: it places offered tasks by auction and writes the attempt records of the placed
// tasks. Only one write is in flight at a time. Tasks that arrive in the meantime accumulate at the leader, so the
// store's limits determine the length of a placement cycle.
func (h *Holder) placeOffers(now clock.Micros, s *heldShard, offers []peer.TaskOffer) {
	params := h.auctionParams(offers)
	var machines []*placement.Machine
	if s.log.pendingWrite == nil && !s.lease.hasExpired(now) && !s.attempts.isExhausted() {
		machines = h.candidates(now, s, params.LoadBound)
	}
	groups := make([]*placement.Group, len(offers))
	var running []*placement.Group // without the groups of ended jobs
	jobs := make(map[*placement.Group]offeredJob, len(offers))
	for i := range offers {
		job := &offers[i].Job
		record := attemptGroup(job)
		groups[i] = s.placementGroup(&offers[i], record.Image)
		jobs[groups[i]] = offeredJob{record: record, keyVersion: job.KeyVersion}
		if !s.endedJobs[job.Ref] {
			running = append(running, groups[i])
		}
	}
	matches := placement.Place(placement.Cycle{
		Groups:   running,
		Machines: machines,
		History:  h.visits,
		Params:   params,
		Now:      now,
	})
	placed := h.recordMatches(s, matches, jobs)
	for _, group := range groups {
		for _, index := range group.TaskIndexes {
			if task := (peer.Task{Job: group.Job, Index: index}); !placed[task] {
				s.update.addEvent(peer.TaskEvent{Task: task, Kind: peer.EventUnplaced})
			}
		}
	}
}

// offeredJob is what the records of a job's attempts need to know about the job.
type offeredJob struct {
	record     *peer.AttemptGroup
	keyVersion uint64 // 0: unknown
}

// auctionParams returns the parameters of the auction, with the bound on the machines' load if one is set.
func (h *Holder) auctionParams(offers []peer.TaskOffer) placement.Params {
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

// meanLoad returns the mean load that the leader sends with its offers. It returns 0 if no offer has a valid mean load.
func meanLoad(offers []peer.TaskOffer) (mean float64) {
	for i := range offers {
		if load := offers[i].Job.FleetLoad; load > 0 && load <= 1 {
			mean = max(mean, load)
		}
	}
	return mean
}

// candidates returns the machines with free capacity for new tasks. If the load is bounded, it also adds the loads of
// all schedulable machines, including the full ones, to the bound's mean.
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
		if free.Free.CPUs > 0 && !free.IsFull() {
			machines = append(machines, free)
		}
	}
	return machines
}

// placementGroup returns offered tasks in the form that the auction needs. image is the recorded name of their image.
func (s *heldShard) placementGroup(offer *peer.TaskOffer, image string) *placement.Group {
	job := &offer.Job
	group := &placement.Group{
		Job:         job.Ref,
		TaskIndexes: offer.TaskIndexes,
		Image:       image,
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

// avoidRanks returns the ranks of the machines that a further replica of a service should avoid.
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

// attemptGroup returns the properties of a job that the attempt records store.
func attemptGroup(job *wire.Job) *peer.AttemptGroup {
	return &peer.AttemptGroup{
		Job:         job.Ref,
		Team:        job.Team,
		CPUs:        job.CPUs,
		GPUs:        job.GPUs,
		MemoryGB:    job.MemoryGB,
		SaveS:       job.SaveS,
		CheckpointS: job.CheckpointS,
		Image:       peer.RecordedImage(job.Image), // an older leader sends the full name
		ImageGB:     job.ImageGB,
	}
}

// recordMatches starts one write of attempt records for the matches and returns the tasks whose records are in this
// write. Tasks that do not fit into one transaction are left to a later cycle.
func (h *Holder) recordMatches(
	s *heldShard, matches []placement.Match, jobs map[*placement.Group]offeredJob,
) map[peer.Task]bool {
	recorded := map[peer.Task]bool{}
	writer := s.log.newWriter(h.params.limits())
	for _, match := range matches {
		m := s.machines[match.Machine.Name]
		m.freeCapacity = nil // the auction has reduced it
		a := &taskAttempt{
			task:    peer.Task{Job: match.Group.Job, Index: match.TaskIndex},
			id:      peer.NewAttemptID(s.lease.fencingToken, s.attempts.issuedIDs+1),
			machine: m,
			group:   jobs[match.Group].record,
			launch:  attemptLaunch{jobVersion: jobs[match.Group].keyVersion, agentEpoch: m.agent.epoch},
		}
		if err := writer.add(a); err != nil {
			h.logUnrecorded(s, a, err)
			continue
		}
		s.attempts.issuedIDs++
		recorded[a.task] = true
		s.addAttempt(a)
		s.update.addEvent(peer.TaskEvent{Task: a.task, Kind: peer.EventAssigned, Machine: m.name})
	}
	if write, ok := writer.finish(); ok {
		h.emit(write)
	}
	return recorded
}

// logUnrecorded logs, once in a lease, that an attempt cannot be recorded on any page. Its task stays with the leader.
func (h *Holder) logUnrecorded(s *heldShard, a *taskAttempt, reason error) {
	if !errors.Is(reason, errRecordTooLarge) || s.log.tooLargeLogged {
		return
	}
	s.log.tooLargeLogged = true
	h.emit(Log{Message: "cannot record an attempt",
		Attributes: []any{"shard", s.id, "machine", a.machine.name, "job", a.task.Job, "reason", reason}})
}

// shardAfterWrite returns the shard for which a write of attempt pages has ended, or nil if the lease of the write is
// no longer held. It drops the shard if the write was fenced, that is, if another controller holds the shard.
func (h *Holder) shardAfterWrite(id int, token wire.FencingToken, fenced bool) *heldShard {
	s := h.shardWithToken(id, token)
	if s != nil && fenced {
		h.dropShard(s)
		return nil
	}
	return s
}

// handleAttemptsWritten launches the attempts whose records were written.
func (h *Holder) handleAttemptsWritten(now clock.Micros, result AttemptsWritten) {
	s := h.shardAfterWrite(result.Shard, result.FencingToken, result.Fenced)
	if s == nil {
		return
	}
	attempts := s.log.completeWrite(result)
	if attempts == nil {
		return
	}
	s.update.settleOffers()
	if result.TooLarge {
		// The store's limits have fallen below the configured ones.
		h.params.MaxValueBytes, h.params.MaxTxnOps = store.ReducedLimits(h.params.MaxValueBytes, h.params.MaxTxnOps)
	}
	for _, job := range result.EndedJobs {
		s.endedJobs[job] = true
	}
	var batches commandBatches
	for _, a := range attempts {
		if !result.Committed || s.lease.hasExpired(now) || !a.canLaunch() || s.endedJobs[a.task.Job] {
			s.removeAttempt(a) // never launched, so it cannot run anywhere
			continue
		}
		if h.launch(now, a) {
			batches.add(a.machine, a.runCommand())
		}
	}
	h.sendBatches(s, &batches)
}

// canLaunch reports whether an attempt whose record was written may still be launched.
func (a *taskAttempt) canLaunch() bool {
	m := a.machine
	return a.stop == keepRunning && !m.terminated && !m.leaseExpired && m.agent.epoch == a.launch.agentEpoch
}

// launch marks an attempt as launched and returns whether to send its run command now. Otherwise the reply to the next
// heartbeat carries the command.
func (h *Holder) launch(now clock.Micros, a *taskAttempt) (send bool) {
	a.state, a.launch.launchedAt = attemptLaunched, now
	if h.defersToReply(now, a.machine) {
		return false
	}
	if a.machine.acceptsCommands() {
		a.launch.unanswered++
		a.launch.sentInRequest = true
		a.machine.runCommandSent = true
	}
	return true
}

// defersToReply reports whether run commands for a machine wait for its next heartbeat. Sending a command costs the
// controller more than answering a heartbeat. Under overload, the replies to machines that are in contact therefore
// carry the commands, at most one heartbeat interval later.
func (h *Holder) defersToReply(now clock.Micros, m *machine) bool {
	inContact := m.agent.lastReply > 0 && now-m.agent.lastReply < h.params.HeartbeatInterval
	return h.overload.isActive(now) && inContact
}

// handlePagesCompacted handles the result of a compaction.
func (h *Holder) handlePagesCompacted(result PagesCompacted) {
	if s := h.shardAfterWrite(result.Shard, result.FencingToken, result.Fenced); s != nil {
		s.log.completeCompaction(result)
	}
}
