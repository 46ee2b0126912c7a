package leader

import (
	"maps"
	"slices"

	"github.com/goccy/go-json"

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
	for i, lease := range l.shards.all {
		out[i] = lease.Holder
	}
	return out
}

// tokenBits is how many low bits of a token count within its term, at first.
const tokenBits = 12

// hasTokens reports whether this term may give that many more tokens. A later term is a later revision
// of the store than any at which a write of this one succeeded, as those are guarded on our
// leader key. So the count may run over its bits as far as that revision's tokens go: each grant
// that is written makes room for thousands more, and a term does not use its tokens up.
func (l *Leader) hasTokens(more int) bool {
	first := uint64(l.term) << tokenBits
	return first+l.shards.tokensIssued+uint64(more) < (max(uint64(l.term), l.highestRevision)+1)<<tokenBits
}

// shardsTag marks the write of shards' keys, and the reads that follow it.
type shardsTag struct{ tokens map[int]wire.FencingToken }

// writeShardKeys stores the holders of shards, each under a new fencing token.
func (l *Leader) writeShardKeys(leases []*shardLease) {
	tag := shardsTag{map[int]wire.FencingToken{}}
	var conditions []wire.Condition
	var writes []wire.Write
	if !l.hasTokens(len(leases)) {
		l.emit(Resign{"no token is left that a later leader's are surely higher than"})
		return
	}
	for _, lease := range leases {
		l.shards.tokensIssued++
		lease.state = writing
		lease.token = wire.FencingToken(uint64(l.term)<<tokenBits + l.shards.tokensIssued)
		var incarnation cluster.Incarnation
		lease.link = nil
		if n := l.shards.controllers[lease.Holder]; n != nil {
			lease.link, incarnation = n.link, n.incarnation
		}
		tag.tokens[lease.ID] = lease.token
		key := shard.Key(lease.ID)
		record := ShardRecord{FencingToken: lease.token, Holder: lease.Holder, Incarnation: incarnation}
		conditions = append(conditions, wire.Condition{Key: key, Version: lease.keyVersion})
		writes = append(writes, put(key, record))
	}
	l.commit(store.PriorityUrgent, tag, conditions, writes)
}

// shardKeysWritten goes on after that: what may run in the shards is read.
func (l *Leader) shardKeysWritten(tag shardsTag, o store.TxnResult) {
	for _, id := range slices.Sorted(maps.Keys(tag.tokens)) {
		lease, token := l.shards.all[id], tag.tokens[id]
		if lease.state != writing || lease.token != token {
			continue
		}
		if o.Committed {
			lease.keyVersion = o.Revision
			lease.state = reading
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
	lease := l.shards.all[m.Shard]
	if lease.state != reading || lease.token != m.FencingToken {
		return
	}
	l.rebuildFromAttempts(lease, m.Pages)
	lease.AttemptsRead = true
	if lease.link == nil {
		lease.state = unassigned // it waits for a holder
		return
	}
	lease.state, lease.UnassignedSince = granted, 0
	l.sendGrant(lease, m.Pages)
	l.debug("shard granted", "shard", lease.ID, "controller", lease.Holder, "fencing_token", lease.token,
		"tasks", len(lease.tasks))
}

// rebuildFromAttempts replaces what counts as running in a shard by what its attempt records name.
func (l *Leader) rebuildFromAttempts(lease *shardLease, pages map[string]peer.AttemptPage) {
	old := lease.tasks
	lease.tasks = map[peer.Task]*grantedTask{}
	lease.unpersisted = nil
	lease.offerPending = false
	lease.orders = peer.ShardOrders{Shard: lease.ID, FencingToken: lease.token}
	for _, h := range old {
		l.usage.Release(h.team, h.resources())
	}
	for _, key := range slices.Sorted(maps.Keys(pages)) {
		page := pages[key]
		for i := range page.Groups {
			group := &page.Groups[i]
			records, err := page.Records(group)
			if err != nil {
				l.info("invalid attempt records", "error", err) // not reached: pages are checked when read
			}
			for _, r := range records {
				l.addFromAttempt(lease, group, r, old)
			}
		}
	}
	// What has no record cannot have been started: the record's guard would fail now.
	for t := range old {
		if j := l.jobs.OfTask(t); j != nil && lease.tasks[t] == nil {
			j.Requeue(t.Index)
		}
	}
}

// addFromAttempt counts one attempt record. A task of a job that is over or unknown is to be stopped.
func (l *Leader) addFromAttempt(
	lease *shardLease, group *peer.AttemptGroup, r peer.AttemptRecord, old map[peer.Task]*grantedTask,
) {
	t := peer.Task{Job: group.Job, Index: r.Index}
	if lease.tasks[t] != nil {
		return
	}
	h := &grantedTask{team: group.Team, cpus: group.CPUs, gpus: group.GPUs, machine: r.Machine, inherited: true}
	if m := l.inventory.machines[r.Machine]; m != nil {
		h.zone = m.option.Zone
	}
	lease.tasks[t] = h
	l.usage.Charge(h.team, h.resources())
	j := l.jobs.OfTask(t)
	if old[t] == nil && j != nil {
		j.MarkDispatched(t.Index)
	}
	if j == nil || j.IsCancelled() {
		lease.orders.Stop = append(lease.orders.Stop, peer.StopTask{Task: t})
	}
}

// sendGrant sends a shard's grant to its holder and the new list of holders to all.
func (l *Leader) sendGrant(lease *shardLease, pages map[string]peer.AttemptPage) {
	var machines []peer.InventoryMachine
	for _, name := range slices.Sorted(maps.Keys(l.inventory.machines)) {
		m := l.inventory.machines[name]
		if m.shard != lease {
			continue
		}
		if m.draining {
			lease.orders.Drain = append(lease.orders.Drain, name)
		}
		m.state.Schedulable, m.excluded = false, false
		machines = append(machines, peer.InventoryMachine{Name: name, Address: m.address})
	}
	machines = append(machines, l.grantUnconfirmed(lease, pages)...)
	// A controller that linked up before the term was loaded knows no types yet.
	// What is to be stopped comes with the grant: no heartbeat may be answered between the two.
	grant := peer.ShardGrant{
		Shard: lease.ID, FencingToken: lease.token, KeyVersion: lease.keyVersion, Pages: pages, Machines: machines,
	}
	message := peer.FromLeader{Term: l.term, Holders: l.shardHolders(), Types: l.autoscaler.catalog}
	toHolder := message
	toHolder.Orders, toHolder.Grants = []peer.ShardOrders{lease.orders}, []peer.ShardGrant{grant}
	l.emit(SendToHolder{lease.link, toHolder})
	lease.orders = peer.ShardOrders{}
	for _, n := range l.controllersByName() {
		if n.link != lease.link {
			l.emit(SendToHolder{n.link, message})
		}
	}
}

// release takes a task out of a shard's grant.
func (l *Leader) release(lease *shardLease, t peer.Task) *grantedTask {
	h := lease.tasks[t]
	if h != nil {
		delete(lease.tasks, t)
		l.usage.Release(h.team, h.resources())
	}
	return h
}

// shardKeyRead goes on after a shard's key was read, as a write of it conflicted with another.
func (l *Leader) shardKeyRead(tag shardsTag, m KeyRead) {
	for _, id := range slices.Sorted(maps.Keys(tag.tokens)) {
		b, token := l.shards.all[id], tag.tokens[id]
		if shard.Key(id) != m.Item.Key || b.state != writing || b.token != token {
			continue
		}
		b.keyVersion = m.Item.Version
		var r ShardRecord
		if m.Found && json.Unmarshal(m.Item.Value, &r) == nil && r.FencingToken == token {
			b.state = reading
			l.emit(LoadAttempts{l.term, id, token})
		} else {
			b.state = unassigned
		}
	}
}
