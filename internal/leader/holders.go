package leader

import (
	"maps"
	"slices"

	"swiftledge/internal/clock"
	"swiftledge/internal/peer"
)

func (l *Leader) said(now clock.Micros, m Said) {
	n := l.nodes[m.Node]
	if n == nil || n.link != m.Link || m.Up.Epoch != l.epoch {
		return
	}
	n.heard = now
	if m.Up.Blind {
		n.blindAt = now
	}
	if m.Up.StoreOK {
		n.refusedSince = 0
	} else if n.refusedSince == 0 {
		n.refusedSince = now
	}
	if m.Up.Renew > 0 && l.loaded && l.authorised(now) && l.current(now) {
		d := peer.Down{Epoch: l.epoch, Renewed: m.Up.Renew, Tokens: map[int]uint64{}, StoreOK: l.storeOK()}
		for _, b := range l.blocks {
			if b.state == granted && b.link == m.Link {
				d.Tokens[b.id] = b.token
			}
		}
		l.emit(Tell{m.Link, d})
	}
	for _, u := range m.Up.Updates {
		if u.Block < 0 || u.Block >= len(l.blocks) {
			continue
		}
		b := l.blocks[u.Block]
		if b.state != granted || b.token != u.Token || b.link != m.Link {
			continue
		}
		if u.Lost {
			b.state = loose
			continue
		}
		l.update(now, b, u)
	}
}

func (l *Leader) update(now clock.Micros, b *leasedBlock, u peer.BlockUpdate) {
	for _, e := range u.Events {
		l.event(now, b, e)
	}
	for _, s := range u.Machines {
		l.machineState(now, s)
	}
	if u.Seq == b.offerSeq {
		b.offered = false
	}
	l.stirred = true
}

// jobOf is the job of a task, or nil when there is none that has such a task.
func (l *Leader) jobOf(t peer.Task) *job {
	j := l.jobs[t.Job]
	if j == nil || t.Index < 0 || t.Index >= j.record.Spec.Tasks {
		return nil
	}
	return j
}

func (l *Leader) event(now clock.Micros, b *leasedBlock, e peer.Event) {
	j := l.jobOf(e.Task)
	switch e.Kind {
	case peer.Started:
		if h := b.tasks[e.Task]; h != nil {
			h.machine = e.Machine
			if m := l.machines[e.Machine]; m != nil {
				h.zone = m.opt.Zone
			}
			l.noteStarted(now, e.Task, h)
		}
	case peer.Running:
		if h := b.tasks[e.Task]; h != nil && !h.running {
			h.running, h.since, h.machine = true, now, e.Machine
			l.noteRunning(now, e.Task, h)
			if j != nil {
				j.running++
				if j.record.Spec.IsService() {
					l.rose(now, j, e.Task, h)
				}
			}
		}
	case peer.Remains:
		if h := b.tasks[e.Task]; h != nil {
			h.remains = true
		}
	case peer.Unplaced, peer.Back, peer.Errored, peer.Done:
		if j != nil && j.record.Spec.IsService() {
			l.replicaEnded(now, b, j, e)
		} else {
			l.taskEnded(now, b, j, e)
		}
	}
}

// taskEnded takes in the end of a batch's task, or of one whose job is not known any more.
func (l *Leader) taskEnded(now clock.Micros, b *leasedBlock, j *job, e peer.Event) {
	h := l.release(b, e.Task)
	if h != nil && h.running && j != nil {
		j.running--
	}
	l.noteEnded(now, e, h)
	switch {
	case e.Kind == peer.Done:
		l.done(now, b, j, e)
		if h != nil && j != nil {
			j.gone(e.Index)
		}
	case h != nil && j != nil:
		j.giveBack(e.Index)
	}
	if e.Kind == peer.Errored && j != nil {
		l.errored(now, j, e, h)
	}
}

// replicaEnded takes in the end of a service's task. None is its last, so the task waits again, but
// only when none of its attempts may run.
func (l *Leader) replicaEnded(now clock.Micros, b *leasedBlock, j *job, e peer.Event) {
	if h := b.tasks[e.Task]; h != nil && h.remains && e.Kind == peer.Done {
		h.remains = false
		return
	}
	h := l.release(b, e.Task)
	if h != nil && h.running {
		j.running--
	}
	if e.Kind == peer.Done {
		// It stays listed until its machine has shown a higher token: a late copy of its order would
		// start it anew.
		b.orders.Stop = append(b.orders.Stop, peer.StopTask{Task: e.Task})
		b.orders.Stored = append(b.orders.Stored, e.Task)
	}
	if h != nil {
		j.giveBack(e.Index)
		if e.Kind != peer.Unplaced {
			l.fell(now, j, e, h)
		}
	}
	if e.Kind == peer.Errored {
		l.errored(now, j, e, h)
	}
}

func (l *Leader) done(now clock.Micros, b *leasedBlock, j *job, e peer.Event) {
	if j != nil {
		l.completed(now, j, e)
	}
	if j == nil || j.cancelled || j.stored(e.Index) {
		b.orders.Stored = append(b.orders.Stored, e.Task)
		return
	}
	b.unstored = append(b.unstored, e.Task)
	if j.markDone(e.Index) && e.Secs > 1 && j.record.Spec.EstimateS > 0 {
		c := l.classes[j.record.Spec.Class]
		if c == nil {
			c = &classStat{ratio: 1}
			l.classes[j.record.Spec.Class] = c
		}
		c.n++
		c.ratio += (e.Secs/j.record.Spec.EstimateS - c.ratio) / float64(min(c.n, 50))
	}
	l.end(j)
}

// flush sends what has gathered for the holders.
func (l *Leader) flush() {
	byLink := map[any]*peer.Down{}
	var links []any
	for _, b := range l.blocks {
		o := &b.orders
		if b.state != granted || len(o.Offers)+len(o.Stop)+len(o.Stored)+len(o.Use)+len(o.Drain)+len(o.Gone)+len(o.Rest)+len(o.Wake) == 0 {
			continue
		}
		o.Block, o.Token = b.id, b.token
		d := byLink[b.link]
		if d == nil {
			d = &peer.Down{Epoch: l.epoch}
			byLink[b.link] = d
			links = append(links, b.link)
		}
		d.Orders = append(d.Orders, *o)
		b.orders = peer.BlockOrders{}
	}
	for _, link := range links {
		l.emit(Tell{link, *byLink[link]})
	}
}

func (l *Leader) tellCounts() {
	var out []peer.TaskCount
	for _, ref := range slices.Sorted(maps.Keys(l.jobs)) {
		j := l.jobs[ref]
		c := peer.TaskCount{Job: ref, Done: j.nDone, Running: j.running}
		if l.counts[ref] != c {
			l.counts[ref] = c
			out = append(out, c)
		}
	}
	if len(out) == 0 {
		return
	}
	for _, n := range l.byName() {
		l.emit(Tell{n.link, peer.Down{Epoch: l.epoch, Counts: out}})
	}
}
