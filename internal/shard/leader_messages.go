package shard

import (
	"slices"

	"swiftledge/internal/clock"
	"swiftledge/internal/peer"
	"swiftledge/wire"
)

func (h *Holder) handleLeaderMessage(now clock.Micros, message *peer.FromLeader) {
	if !h.leader.isCurrent(message.Term) {
		return
	}
	if message.Holders != nil {
		h.updateHolders(message.Holders)
	}
	for _, t := range message.Types {
		h.machineTypes[t.Name] = t
		h.fetchRates.SetPublished(t.Name, t.FetchGBPS)
	}
	for _, grant := range message.Grants {
		h.acceptGrant(now, grant)
	}
	if len(message.Grants) > 0 {
		h.sendRenewal(now)
	}
	h.renewLeases(message.RenewedSeq, message.FencingTokens)
	for _, orders := range message.Orders {
		if s := h.shardWithToken(orders.Shard, orders.FencingToken); s != nil {
			h.applyOrders(now, s, orders)
		}
	}
}

// updateHolders stores which controller holds each shard. It drops the shards that another controller holds now. The
// agents of the dropped shards are redirected from then on.
func (h *Holder) updateHolders(holders []string) {
	h.holders = holders
	for id, name := range holders {
		if name != "" && name != h.params.Controller {
			delete(h.shards, id)
		}
	}
}

// renewLeases extends the leases named by the answer to a renewal request. The leases run from when the request was
// sent, not from when the answer arrived.
func (h *Holder) renewLeases(seq uint64, tokens map[int]wire.FencingToken) {
	sentAt, ok := h.leader.renewSentAt[seq]
	if !ok || seq == 0 {
		return
	}
	for id, token := range tokens {
		if s := h.shardWithToken(id, token); s != nil {
			s.lease.extend(sentAt + h.params.GrantTime.MinusDrift())
		}
	}
}

// applyOrders carries out the leader's orders for a shard.
func (h *Holder) applyOrders(now clock.Micros, s *heldShard, orders peer.ShardOrders) {
	for _, name := range orders.Added {
		m := s.ensureMachine(name)
		m.inInventory = true
		s.markChanged(m)
	}
	for _, name := range orders.Drain {
		m := s.ensureMachine(name)
		m.draining = true
		s.markChanged(m)
	}
	for _, name := range orders.Terminated {
		h.terminateMachine(s, s.ensureMachine(name))
	}
	for _, task := range orders.Persisted {
		s.persistEnds(task)
	}
	for _, name := range orders.Exclude {
		s.ensureMachine(name).excluded = true
	}
	for _, name := range orders.Include {
		s.ensureMachine(name).excluded = false
	}
	h.stopTasks(now, s, orders.Stop)
	if len(orders.Offers) == 0 {
		return
	}
	h.placeOffers(now, s, orders.Offers)
	s.update.receivedOfferSeq = orders.OfferSeq
	if s.log.pendingWrite == nil {
		s.update.settleOffers()
	}
}

// terminateMachine marks a machine as deleted and ends its attempts, because nothing runs there any more.
func (h *Holder) terminateMachine(s *heldShard, m *machine) {
	m.terminated = true
	s.markChanged(m)
	for _, a := range slices.Clone(m.attempts) {
		if a.state == attemptRecording {
			a.stop = stopImmediately
		} else {
			s.removeAttempt(a)
		}
	}
	h.visits.RemoveMachine(m.name)
}

// persistEnds marks the ends of a task's exited attempts as stored.
func (s *heldShard) persistEnds(task peer.Task) {
	for _, a := range s.attempts.byTask[task] {
		if a.state == attemptExited {
			a.persistEnd()
		}
	}
}

// stopTasks stops all attempts of the given tasks.
func (h *Holder) stopTasks(now clock.Micros, s *heldShard, tasks []peer.StopTask) {
	var batches commandBatches
	for _, stop := range tasks {
		for _, a := range s.attempts.byTask[stop.Task] {
			if a.requestStop(now, stop.Checkpoint) {
				batches.add(a.machine, a.killCommand())
			}
		}
	}
	h.sendBatches(s, &batches)
}
