package leader

import (
	"cmp"
	"maps"
	"slices"

	"swiftledge/internal/clock"
	"swiftledge/internal/peer"
	"swiftledge/wire"
)

// making is room that less important tasks were told to leave, until it is free or
// was taken back.
type making struct {
	until     clock.Micros
	cpus, mem float64
}

const (
	// makingFor is how long told room is waited for before more is made.
	makingFor = 3 * clock.Second
	// evictEvery is the pause between two looks for room to make.
	evictEvery = 300 * clock.Millisecond
	// mostEvicted bounds what one look stops.
	mostEvicted = 64
)

// victim is a task that may be stopped for a production job.
type victim struct {
	t    peer.Task
	h    *held
	job  *job
	cost float64 // of the work that is lost, less for work of low priority
}

// evict makes room for production work that waits and finds none, by stopping less
// important tasks (PROTOCOL, "Preemption"): the others can wait for a machine to boot.
func (l *Leader) evict(now clock.Micros) {
	if now-l.lastEvict < evictEvery {
		return
	}
	var js []*job
	for _, ref := range slices.Sorted(maps.Keys(l.jobs)) {
		if j := l.jobs[ref]; j.nWant > 0 && wire.Rank(j.rec.Spec.Priority) == 0 && now >= j.notBefore {
			js = append(js, j)
		}
	}
	if len(js) == 0 {
		return
	}
	l.lastEvict = now
	on := l.victims(now)
	left := mostEvicted
	for _, j := range js {
		if left -= l.evictFor(now, j, on, left); left <= 0 {
			return
		}
	}
}

// victims are the tasks that production work may take the place of, by machine.
func (l *Leader) victims(now clock.Micros) map[*machine][]victim {
	on := map[*machine][]victim{}
	for _, b := range l.blocks {
		if b.state != granted {
			continue
		}
		for t, h := range b.tasks {
			m, j := l.machines[h.machine], l.jobs[t.Job]
			if m == nil || j == nil || h.stopped != "" || m.drain || m.deleting || !m.state.Fit {
				continue
			}
			rank := wire.Rank(j.rec.Spec.Priority)
			if rank <= 0 {
				continue
			}
			ran := 0.0
			if h.running {
				ran = (now - h.since).Seconds()
			}
			on[m] = append(on[m], victim{t, h, j, h.cpus * (ran + 5) / float64(rank)})
		}
	}
	for _, vs := range on {
		slices.SortFunc(vs, func(a, b victim) int {
			return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.t.Job, b.t.Job), cmp.Compare(a.t.Index, b.t.Index))
		})
	}
	return on
}

// evictFor makes room for the waiting tasks of one job, as far as it may run; it says how
// many tasks it stopped.
func (l *Leader) evictFor(now clock.Micros, j *job, on map[*machine][]victim, most int) (stopped int) {
	s := &j.rec.Spec
	team := l.teams[s.Team]
	u := *l.use(s.Team)
	zones := l.zones(j)
	var ms []*machine
	for _, name := range slices.Sorted(maps.Keys(l.machines)) {
		if m := l.machines[name]; m.state.Fit && !m.drain && !m.shun && !m.deleting && m.allowed(s) && m.block.state == granted {
			ms = append(ms, m)
		}
	}
	for n := j.nWant; n > 0 && stopped < most; n-- {
		if !u.takes(s, team.CPUsMax, team.GPUsMax) {
			break
		}
		var best *machine
		bestN, bestCost := 0, 0.0
		for _, m := range ms {
			if !zones.allow(m.opt.Zone) {
				continue
			}
			k, cost, ok := m.makes(now, s, on[m])
			if ok && (best == nil || cost < bestCost) {
				best, bestN, bestCost = m, k, cost
			}
		}
		if best == nil {
			break
		}
		if best.making.until <= now {
			best.making = making{}
		}
		for _, v := range on[best][:bestN] {
			best.making.cpus += v.h.cpus
			best.making.mem += v.job.rec.Spec.MemoryGB
			l.stopTask(best.block, v, "evicted")
			stopped++
		}
		if bestN > 0 {
			best.making.until = now + makingFor
		}
		on[best] = on[best][bestN:]
		best.making.cpus -= s.CPUs
		best.making.mem -= s.MemoryGB
		best.making.until = max(best.making.until, now+makingFor/3)
		zones.add(best.opt.Zone)
		u.cpus += s.CPUs
		u.gpus += s.GPUs
	}
	return stopped
}

func (l *Leader) stopTask(b *lblock, v victim, why string) {
	v.h.stopped = why
	b.orders.Stop = append(b.orders.Stop, peer.StopTask{Task: v.t})
}

// makes says how many of the victims must end for one more task to fit, and at what cost.
func (m *machine) makes(now clock.Micros, s *wire.Job, vs []victim) (n int, cost float64, ok bool) {
	cpus, mem := m.state.CPUs, m.state.Memory
	if m.making.until > now {
		cpus += m.making.cpus
		mem += m.making.mem
	}
	for ; ; n++ {
		if cpus+1e-9 >= s.CPUs && mem+1e-9 >= s.MemoryGB && m.state.GPUs+1e-9 >= s.GPUs {
			return n, cost, true
		}
		if n == len(vs) {
			return 0, 0, false
		}
		cpus += vs[n].h.cpus
		mem += vs[n].job.rec.Spec.MemoryGB
		cost += vs[n].cost
	}
}
