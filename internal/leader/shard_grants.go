package leader

import (
	"maps"
	"slices"

	"swiftledge/internal/cluster"
	"swiftledge/internal/exactjson"
	"swiftledge/internal/peer"
	"swiftledge/internal/shard"
	"swiftledge/internal/store"
	"swiftledge/wire"
)

// shardHolders returns the name of the holder of each shard, for redirects of agents.
func (l *Leader) shardHolders() []string {
	if !l.loaded {
		return nil
	}
	holders := make([]string, len(l.shards.all))
	for i, lease := range l.shards.all {
		holders[i] = lease.Holder
	}
	return holders
}

// tokenBits is the number of low bits of a fencing token that initially count the tokens of a term.
const tokenBits = 12

// canIssueTokens reports whether this term may issue the given number of further fencing tokens, which must stay below
// the tokens of every later term. Every write of this term is conditional on the leader key of the term. The number of
// a later term, a store revision, is therefore higher than the revision of every successful write of this term. The
// count of tokens may overflow its bits until it reaches the tokens of the revision after the highest of these. Each
// transaction that writes shard keys raises this bound by thousands of tokens, so a term does not run out of tokens.
func (l *Leader) canIssueTokens(more int) bool {
	first := uint64(l.term) << tokenBits
	return first+l.shards.tokensIssued+uint64(more) < (max(uint64(l.term), l.highestRevision)+1)<<tokenBits
}

// shardsTag identifies the write of shard keys and the reads that follow it.
type shardsTag struct{ tokens map[int]wire.FencingToken }

// writeShardKeys stores the holders of shards, each under a new fencing token.
func (l *Leader) writeShardKeys(leases []*shardLease) {
	tag := shardsTag{map[int]wire.FencingToken{}}
	var conditions []wire.Condition
	var writes []wire.Write
	if !l.canIssueTokens(len(leases)) {
		l.emit(Resign{"the term has no fencing token left that is lower than those of every later term"})
		return
	}
	for _, lease := range leases {
		l.shards.tokensIssued++
		lease.state = writing
		lease.token = wire.FencingToken(uint64(l.term)<<tokenBits + l.shards.tokensIssued)
		var incarnation cluster.Incarnation
		lease.link = nil
		if c := l.shards.controllers[lease.Holder]; c != nil {
			lease.link, incarnation = c.link, c.incarnation
		}
		tag.tokens[lease.ID] = lease.token
		key := shard.Key(lease.ID)
		record := ShardRecord{FencingToken: lease.token, Holder: lease.Holder, Incarnation: incarnation}
		conditions = append(conditions, wire.Condition{Key: key, Version: lease.keyVersion})
		writes = append(writes, put(key, record))
	}
	l.commit(store.PriorityUrgent, tag, conditions, writes)
}

// shardKeysWritten handles the outcome of a write of shard keys. After a commit, it loads the attempt records of the
// shards.
func (l *Leader) shardKeysWritten(tag shardsTag, result store.TxnResult) {
	for _, id := range slices.Sorted(maps.Keys(tag.tokens)) {
		lease, token := l.shards.all[id], tag.tokens[id]
		if lease.state != writing || lease.token != token {
			continue
		}
		if result.Committed {
			lease.keyVersion = result.Revision
			lease.state = reading
			l.emit(LoadAttempts{l.term, id, token})
			continue
		}
		// Only a write of this term whose answer was lost can have changed the key, possibly an earlier attempt of the
		// same write.
		l.emit(ReadKey{l.term, shard.Key(id), tag})
	}
}

// attemptsLoaded rebuilds a shard's tasks from its attempt records and grants the shard to its holder, if it has one.
func (l *Leader) attemptsLoaded(m AttemptsLoaded) {
	lease := l.shards.all[m.Shard]
	if lease.state != reading || lease.token != m.FencingToken {
		return
	}
	l.rebuildFromAttempts(lease, m.Pages)
	lease.AttemptsRead = true
	if lease.link == nil {
		lease.state = unassigned // waits for a holder
		return
	}
	lease.state, lease.UnassignedSince = granted, 0
	l.sendGrant(lease, m.Pages)
	l.debug("shard granted", "shard", lease.ID, "controller", lease.Holder, "fencing_token", lease.token,
		"tasks", len(lease.tasks))
}

// rebuildFromAttempts replaces the tasks in a shard's grant with those that the shard's attempt records name.
func (l *Leader) rebuildFromAttempts(lease *shardLease, pages map[string]peer.AttemptPage) {
	old := lease.tasks
	lease.tasks = map[peer.Task]*grantedTask{}
	lease.unpersisted = nil
	lease.offerPending = false
	lease.orders = peer.ShardOrders{Shard: lease.ID, FencingToken: lease.token}
	for _, task := range old {
		l.uncount(task)
	}
	for _, key := range slices.Sorted(maps.Keys(pages)) {
		page := pages[key]
		for i := range page.Groups {
			group := &page.Groups[i]
			records, err := page.Records(group)
			if err != nil {
				l.info("invalid attempt records", "error", err) // unreachable: pages are checked when they are read
			}
			for _, record := range records {
				l.addFromAttempt(lease, group, record, old)
			}
		}
	}
	// A task without an attempt record has not been started and cannot be: the write of its record by the former grant
	// would now fail on its condition.
	for t := range old {
		if job := l.jobs.OfTask(t); job != nil && lease.tasks[t] == nil {
			job.Requeue(t.Index)
		}
	}
}

// addFromAttempt adds the task of one attempt record to a shard's grant. old has the tasks of the shard's previous
// grant. An attempt that ran under that grant still counts as running: the new holder says when it has ended. A task
// whose job is cancelled or unknown is ordered to stop.
func (l *Leader) addFromAttempt(
	lease *shardLease, group *peer.AttemptGroup, record peer.AttemptRecord, old map[peer.Task]*grantedTask,
) {
	t := peer.Task{Job: group.Job, Index: record.Index}
	former := old[t]
	task := lease.tasks[t]
	if task == nil {
		job := l.jobs.OfTask(t)
		task = &grantedTask{job: job, team: group.Team, cpus: group.CPUs, gpus: group.GPUs, inherited: true}
		task.unconfirmed = former == nil || former.unconfirmed
		l.grantTask(lease, t, task)
		l.setMachine(task, record.Machine)
		if former == nil && job != nil {
			job.MarkDispatched(t.Index)
		}
		if job == nil || job.IsCancelled() {
			lease.orders.Stop = append(lease.orders.Stop, peer.StopTask{Task: t})
		}
	}
	if former != nil && former.running && former.machine == record.Machine && !task.running {
		l.setMachine(task, record.Machine)
		task.markRunning(former.runningSince)
	}
}

// sendGrant sends a shard grant to the shard's holder, and the new list of holders to all controllers.
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
	// A controller that connected before the term was loaded does not know the machine types yet. Stop orders are sent
	// with the grant, so that the holder answers no heartbeat after the grant and before the stop orders.
	grant := peer.ShardGrant{
		Shard: lease.ID, FencingToken: lease.token, KeyVersion: lease.keyVersion, Pages: pages, Machines: machines,
	}
	message := peer.FromLeader{Term: l.term, Holders: l.shardHolders(), Types: l.autoscaler.catalog}
	toHolder := message
	toHolder.Orders, toHolder.Grants = []peer.ShardOrders{lease.orders}, []peer.ShardGrant{grant}
	l.emit(SendToHolder{lease.link, toHolder})
	lease.orders = peer.ShardOrders{}
	for _, c := range l.controllersByName() {
		if c.link != lease.link {
			l.emit(SendToHolder{c.link, message})
		}
	}
}

// shardKeyRead handles the read of a shard's key after a write of the key that was not reported as committed. The key
// has the fencing token of that write if an attempt of the write was applied without an answer.
func (l *Leader) shardKeyRead(tag shardsTag, m KeyRead) {
	for _, id := range slices.Sorted(maps.Keys(tag.tokens)) {
		lease, token := l.shards.all[id], tag.tokens[id]
		if shard.Key(id) != m.Item.Key || lease.state != writing || lease.token != token {
			continue
		}
		lease.keyVersion = m.Item.Version
		var record ShardRecord
		if m.Found && exactjson.Unmarshal(m.Item.Value, &record) == nil && record.FencingToken == token {
			lease.state = reading
			l.emit(LoadAttempts{l.term, id, token})
		} else {
			lease.state = unassigned
		}
	}
}
