package leader

import (
	"maps"
	"slices"

	"swiftledge/internal/clock"
	"swiftledge/internal/cluster"
	"swiftledge/internal/peer"
	"swiftledge/internal/shard"
	"swiftledge/internal/store"
	"swiftledge/wire"
)

// shardHolders names who answers for each block, for redirects.
func (l *Leader) shardHolders() []string {
	if !l.loaded {
		return nil
	}
	out := make([]string, len(l.shards.all))
	for i, b := range l.shards.all {
		out[i] = b.holder
	}
	return out
}

// heartbeatCost is what a worker's report a second takes of a core, all that follows from it and
// the reports of changes included: 600 machines that report every 3 s take three controllers
// 0.022 of a core, 0.00011 for each report. What is more is left for who leads besides.
const heartbeatCost = 0.00015

// maxShards is how many blocks a controller takes at once when others are out of
// touch: it must be able to answer the workers of all. More would make it late with
// every answer, so that the workers of its own blocks lose their leases, too.
func (l *Leader) maxShards() int {
	f := &l.cfg.Facts
	size := max(f.InitialSize, 1)
	share := (len(l.shards.all)+size-1)/size + max(1, len(l.shards.all)/6)
	return max(share, l.answerableShards())
}

// answerableShards is of how many blocks one controller can answer all workers.
func (l *Leader) answerableShards() int {
	f := &l.cfg.Facts
	able := f.Quota.CPU / heartbeatCost * f.Workers.ReportS / max(1, float64(len(l.inventory.machines))) * float64(len(l.shards.all))
	return int(min(able, float64(len(l.shards.all))))
}

// takeoverCost is what it takes of a core-second to take over one machine: its worker connects,
// reports, learns the new token, reports again, and is told of its tasks.
const takeoverCost = 0.0003

// takeoversPerLease bounds how many blocks a controller takes over within a worker's lease.
const takeoversPerLease = 16

// takeoverTime is how long a controller is busy with the workers of a block that it takes over.
// Several blocks at once would make it late with every answer and cost a leader its lease.
func (l *Leader) takeoverTime() clock.Micros {
	machines := float64(len(l.inventory.machines)) / float64(len(l.shards.all))
	busy := machines * takeoverCost / l.cfg.Facts.Quota.CPU
	return clock.FromSeconds(min(busy, l.cfg.AgentLeaseTime().Seconds()/takeoversPerLease))
}

// reassignDelay is how long blocks beyond that wait for a holder to come back: the last
// answers of the former one hold its workers' leases for longer.
func (l *Leader) reassignDelay() clock.Micros {
	if l.cfg.Facts.InitialSize <= 1 {
		return 0
	}
	return l.cfg.AgentLeaseTime() * 9 / 10
}

func (l *Leader) refusedByStore(name string, now clock.Micros) bool {
	n := l.shards.controllers[name]
	return n.refusedSince > 0 && now-n.refusedSince > 3*clock.Second
}

// noAgentContactTime is how long a controller that heard no worker is left without blocks.
const noAgentContactTime = 30 * clock.Second

func (l *Leader) hasNoAgentContact(name string, now clock.Micros) bool {
	n := l.shards.controllers[name]
	return n.noAgentContactAt > 0 && now-n.noAgentContactAt < noAgentContactTime
}

// ownShardPenalty lets the leader have fewer blocks, as it has more to do.
func (l *Leader) ownShardPenalty(name string) int {
	if name == l.self {
		return 1
	}
	return 0
}

// tokenBits is how many low bits of a token count within its epoch, at first.
const tokenBits = 12

// hasTokens says whether this epoch may give that many more tokens. A later epoch is a later revision
// of the state service than any at which a write of this one succeeded, as those are guarded on our
// leader key. So the count may run over its bits as far as that revision's tokens go: each grant
// that is written makes room for thousands more, and an epoch does not use its tokens up.
func (l *Leader) hasTokens(more int) bool {
	first := uint64(l.term) << tokenBits
	return first+l.shards.tokensIssued+uint64(more) < (max(uint64(l.term), l.highestRevision)+1)<<tokenBits
}

type shardsTag struct{ tokens map[int]wire.FencingToken }

func (l *Leader) writeShardKeys(bs []*shardLease) {
	tag := shardsTag{map[int]wire.FencingToken{}}
	var guards []wire.Condition
	var writes []wire.Write
	if !l.hasTokens(len(bs)) {
		l.emit(Resign{"no token is left that a later leader's are surely higher than"})
		return
	}
	for _, b := range bs {
		l.shards.tokensIssued++
		b.state = writing
		b.token = wire.FencingToken(uint64(l.term)<<tokenBits + l.shards.tokensIssued)
		var run cluster.Incarnation
		b.link = nil
		if n := l.shards.controllers[b.holder]; n != nil {
			b.link, run = n.link, n.incarnation
		}
		tag.tokens[b.id] = b.token
		guards = append(guards, wire.Condition{Key: shard.Key(b.id), Version: b.keyVersion})
		writes = append(writes, put(shard.Key(b.id), ShardRecord{FencingToken: b.token, Holder: b.holder, Incarnation: run}))
	}
	l.commit(store.PriorityUrgent, tag, guards, writes)
}

func (l *Leader) shardKeysWritten(now clock.Micros, tag shardsTag, o store.TxnResult) {
	for _, id := range slices.Sorted(maps.Keys(tag.tokens)) {
		b, token := l.shards.all[id], tag.tokens[id]
		if b.state != writing || b.token != token {
			continue
		}
		if o.Committed {
			b.keyVersion = o.Revision
			b.state = reading
			l.emit(LoadAttempts{l.term, id, token})
			continue
		}
		// Only a try of our own that got no answer can have changed the key.
		l.emit(ReadKey{l.term, shard.Key(id), tag})
	}
}

// attemptsLoaded takes in what may run in a block, from its start records, and grants the block to its
// holder, if it has one.
func (l *Leader) attemptsLoaded(m AttemptsLoaded) {
	b := l.shards.all[m.Shard]
	if b.state != reading || b.token != m.FencingToken {
		return
	}
	l.rebuildFromAttempts(b, m.Pages)
	b.attemptsRead = true
	if b.link == nil {
		b.state = unassigned // it waits for a holder
		return
	}
	b.state, b.unassignedSince = granted, 0
	l.sendGrant(b, m.Pages)
	l.emit(Log{Debug: true, Message: "block granted", Attributes: []any{"block", b.id, "holder", b.holder, "token", b.token, "tasks", len(b.tasks)}})
}

// rebuildFromAttempts replaces what counts as running in a block by what its start records name.
func (l *Leader) rebuildFromAttempts(b *shardLease, pages map[string]peer.AttemptPage) {
	old := b.tasks
	b.tasks = map[peer.Task]*grantedTask{}
	b.unpersisted = nil
	b.offerPending = false
	b.orders = peer.ShardOrders{Shard: b.id, FencingToken: b.token}
	for _, h := range old {
		l.quota.charge(h, -1)
	}
	for _, key := range slices.Sorted(maps.Keys(pages)) {
		page := pages[key]
		for i := range page.Groups {
			group := &page.Groups[i]
			records, err := page.Records(group)
			if err != nil {
				l.info("start records", "error", err) // not reached: pages are checked when read
			}
			for _, r := range records {
				l.addFromAttempt(b, group, r, old)
			}
		}
	}
	// What has no record cannot have been started: the record's guard would fail now.
	for t := range old {
		if j := l.jobs.OfTask(t); j != nil && b.tasks[t] == nil {
			j.Requeue(t.Index)
		}
	}
}

// addFromAttempt counts one start record. A task of a job that is over or unknown is to be stopped.
func (l *Leader) addFromAttempt(b *shardLease, group *peer.AttemptGroup, r peer.AttemptRecord, old map[peer.Task]*grantedTask) {
	t := peer.Task{Job: group.Job, Index: r.Index}
	if b.tasks[t] != nil {
		return
	}
	h := &grantedTask{team: group.Team, cpus: group.CPUs, gpus: group.GPUs, machine: r.Machine, inherited: true}
	if m := l.inventory.machines[r.Machine]; m != nil {
		h.zone = m.option.Zone
	}
	b.tasks[t] = h
	l.quota.charge(h, 1)
	j := l.jobs.OfTask(t)
	if old[t] == nil && j != nil {
		j.MarkDispatched(t.Index)
	}
	if j == nil || j.IsCancelled() {
		b.orders.Stop = append(b.orders.Stop, peer.StopTask{Task: t})
	}
}

// sendGrant sends a block's grant to its holder and the new list of holders to all.
func (l *Leader) sendGrant(b *shardLease, pages map[string]peer.AttemptPage) {
	var roster []peer.InventoryMachine
	for _, name := range slices.Sorted(maps.Keys(l.inventory.machines)) {
		m := l.inventory.machines[name]
		if m.shard != b {
			continue
		}
		if m.draining {
			b.orders.Drain = append(b.orders.Drain, name)
		}
		m.state.Schedulable, m.excluded = false, false
		roster = append(roster, peer.InventoryMachine{Name: name, Address: m.address})
	}
	roster = append(roster, l.grantUnconfirmed(b, pages)...)
	// A controller that linked up before the epoch was loaded knows no types yet.
	// What is to be stopped comes with the grant: no report may be answered between the two.
	l.emit(SendToHolder{b.link, peer.FromLeader{Term: l.term, Holders: l.shardHolders(), Types: l.autoscaler.catalog, Orders: []peer.ShardOrders{b.orders},
		Grants: []peer.ShardGrant{{Shard: b.id, FencingToken: b.token, KeyVersion: b.keyVersion, Pages: pages, Machines: roster}}}})
	b.orders = peer.ShardOrders{}
	for _, n := range l.controllersByName() {
		if n.link != b.link {
			l.emit(SendToHolder{n.link, peer.FromLeader{Term: l.term, Holders: l.shardHolders(), Types: l.autoscaler.catalog}})
		}
	}
}

// release takes a task out of a block's grant.
func (l *Leader) release(b *shardLease, t peer.Task) *grantedTask {
	h := b.tasks[t]
	if h != nil {
		delete(b.tasks, t)
		l.quota.charge(h, -1)
	}
	return h
}
