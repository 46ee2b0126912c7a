package leader

import (
	"swiftledge/internal/clock"
	"swiftledge/internal/leader/jobs"
	"swiftledge/internal/peer"
	"swiftledge/wire"
)

func (l *Leader) holderMessage(now clock.Micros, m HolderMessage) {
	n := l.shards.controllers[m.Controller]
	if n == nil || n.link != m.Link || m.Message.Term != l.term {
		return
	}
	n.lastHeartbeat = now
	if m.Message.NoAgentContact {
		n.NoAgentContactAt = now
	}
	if m.Message.StoreOK {
		n.RefusedSince = 0
	} else if n.RefusedSince == 0 {
		n.RefusedSince = now
	}
	if m.Message.RenewSeq > 0 && l.loaded && l.authorised(now) && l.current(now) {
		d := peer.FromLeader{Term: l.term, RenewedSeq: m.Message.RenewSeq, FencingTokens: map[int]wire.FencingToken{}, StoreOK: l.storeOK()}
		for _, b := range l.shards.all {
			if b.state == granted && b.link == m.Link {
				d.FencingTokens[b.ID] = b.token
			}
		}
		l.emit(SendToHolder{m.Link, d})
	}
	for _, u := range m.Message.Updates {
		if u.Shard < 0 || u.Shard >= len(l.shards.all) {
			continue
		}
		b := l.shards.all[u.Shard]
		if b.state != granted || b.token != u.FencingToken || b.link != m.Link {
			continue
		}
		if u.NeedsRegrant {
			b.state = unassigned
			continue
		}
		l.shardUpdated(now, b, u)
	}
}

func (l *Leader) shardUpdated(now clock.Micros, b *shardLease, u peer.ShardUpdate) {
	for _, e := range u.Events {
		l.taskEvent(now, b, e)
	}
	for _, s := range u.Machines {
		l.machineReported(now, s)
	}
	if u.SettledOfferSeq == b.offerSeq {
		b.offerPending = false
	}
	l.scheduling.requested = true
}

func (l *Leader) taskEvent(now clock.Micros, b *shardLease, e peer.TaskEvent) {
	j := l.jobs.OfTask(e.Task)
	switch e.Kind {
	case peer.EventAssigned:
		if h := b.tasks[e.Task]; h != nil {
			h.machine = e.Machine
			if m := l.inventory.machines[e.Machine]; m != nil {
				h.zone = m.option.Zone
			}
			l.noteStarted(now, e.Task, h)
		}
	case peer.EventRunning:
		if h := b.tasks[e.Task]; h != nil && !h.running {
			h.running, h.since, h.machine = true, now, e.Machine
			l.noteRunning(now, e.Task, h)
			if j != nil {
				j.MarkRunning()
				if j.Spec.IsService() {
					l.replicaStarted(now, j, e.Task, h)
				}
			}
		}
	case peer.EventAttemptRemains:
		if h := b.tasks[e.Task]; h != nil {
			h.remains = true
		}
	case peer.EventUnplaced, peer.EventReleased, peer.EventFailed, peer.EventCompleted:
		if j != nil && j.Spec.IsService() {
			l.replicaEnded(now, b, j, e)
		} else {
			l.taskEnded(now, b, j, e)
		}
	}
}

// taskEnded takes in the end of a batch's task, or of one whose job is not known any more.
func (l *Leader) taskEnded(now clock.Micros, b *shardLease, j *jobs.Job, e peer.TaskEvent) {
	h := l.release(b, e.Task)
	if h != nil && h.running && j != nil {
		j.MarkStopped()
	}
	l.noteEnded(now, e, h)
	switch {
	case e.Kind == peer.EventCompleted:
		l.taskCompleted(now, b, j, e)
		if h != nil && j != nil {
			j.ClearDispatched(e.Index)
		}
	case h != nil && j != nil:
		j.Requeue(e.Index)
	}
	if e.Kind == peer.EventFailed && j != nil {
		l.errored(now, j, e, h)
	}
}

// replicaEnded takes in the end of a service's task. None is its last, so the task waits again, but
// only when none of its attempts may run.
func (l *Leader) replicaEnded(now clock.Micros, b *shardLease, j *jobs.Job, e peer.TaskEvent) {
	if h := b.tasks[e.Task]; h != nil && h.remains && e.Kind == peer.EventCompleted {
		h.remains = false
		return
	}
	h := l.release(b, e.Task)
	if h != nil && h.running {
		j.MarkStopped()
	}
	if e.Kind == peer.EventCompleted {
		// It stays listed until its machine has shown a higher token: a late copy of its order would
		// start it anew.
		b.orders.Stop = append(b.orders.Stop, peer.StopTask{Task: e.Task})
		b.orders.Persisted = append(b.orders.Persisted, e.Task)
	}
	if h != nil {
		j.Requeue(e.Index)
		if e.Kind != peer.EventUnplaced {
			l.replicaStopped(now, j, e, h)
		}
	}
	if e.Kind == peer.EventFailed {
		l.errored(now, j, e, h)
	}
}

func (l *Leader) taskCompleted(now clock.Micros, b *shardLease, j *jobs.Job, e peer.TaskEvent) {
	if j != nil {
		l.completed(now, j, e)
	}
	if j == nil || j.IsCancelled() || j.IsPersisted(e.Index) {
		b.orders.Persisted = append(b.orders.Persisted, e.Task)
		return
	}
	b.unpersisted = append(b.unpersisted, e.Task)
	if j.MarkCompleted(e.Index) {
		l.jobs.ObserveRunTime(j, e.RunSeconds)
	}
	l.writeFinalState(j)
}

// flushOrders sends what has gathered for the holders.
func (l *Leader) flushOrders() {
	byLink := map[Link]*peer.FromLeader{}
	var links []Link
	for _, b := range l.shards.all {
		o := &b.orders
		if b.state != granted || len(o.Offers)+len(o.Stop)+len(o.Persisted)+len(o.Added)+len(o.Drain)+len(o.Terminated)+len(o.Exclude)+len(o.Include) == 0 {
			continue
		}
		o.Shard, o.FencingToken = b.ID, b.token
		d := byLink[b.link]
		if d == nil {
			d = &peer.FromLeader{Term: l.term}
			byLink[b.link] = d
			links = append(links, b.link)
		}
		d.Orders = append(d.Orders, *o)
		b.orders = peer.ShardOrders{}
	}
	for _, link := range links {
		l.emit(SendToHolder{link, *byLink[link]})
	}
}

func (l *Leader) reportTaskCounts() {
	counts := l.jobs.ChangedCounts()
	if len(counts) == 0 {
		return
	}
	for _, n := range l.controllersByName() {
		l.emit(SendToHolder{n.link, peer.FromLeader{Term: l.term, TaskCounts: counts}})
	}
}
