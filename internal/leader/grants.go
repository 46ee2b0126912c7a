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

// shardHolders names who answers for each shard, for redirects.
func (l *Leader) shardHolders() []string {
	if !l.loaded {
		return nil
	}
	out := make([]string, len(l.shards.all))
	for i, b := range l.shards.all {
		out[i] = b.Holder
	}
	return out
}

// tokenBits is how many low bits of a token count within its term, at first.
const tokenBits = 12

// hasTokens says whether this term may give that many more tokens. A later term is a later revision
// of the store than any at which a write of this one succeeded, as those are guarded on our
// leader key. So the count may run over its bits as far as that revision's tokens go: each grant
// that is written makes room for thousands more, and an term does not use its tokens up.
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
		if n := l.shards.controllers[b.Holder]; n != nil {
			b.link, run = n.link, n.incarnation
		}
		tag.tokens[b.ID] = b.token
		guards = append(guards, wire.Condition{Key: shard.Key(b.ID), Version: b.keyVersion})
		writes = append(writes, put(shard.Key(b.ID), ShardRecord{FencingToken: b.token, Holder: b.Holder, Incarnation: run}))
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

// attemptsLoaded takes in what may run in a shard, from its attempt records, and grants the shard to its
// holder, if it has one.
func (l *Leader) attemptsLoaded(m AttemptsLoaded) {
	b := l.shards.all[m.Shard]
	if b.state != reading || b.token != m.FencingToken {
		return
	}
	l.rebuildFromAttempts(b, m.Pages)
	b.AttemptsRead = true
	if b.link == nil {
		b.state = unassigned // it waits for a holder
		return
	}
	b.state, b.UnassignedSince = granted, 0
	l.sendGrant(b, m.Pages)
	l.emit(Log{Debug: true, Message: "block granted", Attributes: []any{"block", b.ID, "holder", b.Holder, "token", b.token, "tasks", len(b.tasks)}})
}

// rebuildFromAttempts replaces what counts as running in a shard by what its attempt records name.
func (l *Leader) rebuildFromAttempts(b *shardLease, pages map[string]peer.AttemptPage) {
	old := b.tasks
	b.tasks = map[peer.Task]*grantedTask{}
	b.unpersisted = nil
	b.offerPending = false
	b.orders = peer.ShardOrders{Shard: b.ID, FencingToken: b.token}
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

// addFromAttempt counts one attempt record. A task of a job that is over or unknown is to be stopped.
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

// sendGrant sends a shard's grant to its holder and the new list of holders to all.
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
	// A controller that linked up before the term was loaded knows no types yet.
	// What is to be stopped comes with the grant: no report may be answered between the two.
	l.emit(SendToHolder{b.link, peer.FromLeader{Term: l.term, Holders: l.shardHolders(), Types: l.autoscaler.catalog, Orders: []peer.ShardOrders{b.orders},
		Grants: []peer.ShardGrant{{Shard: b.ID, FencingToken: b.token, KeyVersion: b.keyVersion, Pages: pages, Machines: roster}}}})
	b.orders = peer.ShardOrders{}
	for _, n := range l.controllersByName() {
		if n.link != b.link {
			l.emit(SendToHolder{n.link, peer.FromLeader{Term: l.term, Holders: l.shardHolders(), Types: l.autoscaler.catalog}})
		}
	}
}

// release takes a task out of a shard's grant.
func (l *Leader) release(b *shardLease, t peer.Task) *grantedTask {
	h := b.tasks[t]
	if h != nil {
		delete(b.tasks, t)
		l.quota.charge(h, -1)
	}
	return h
}
