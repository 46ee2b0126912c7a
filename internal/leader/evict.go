package leader

import (
	"cmp"
	"maps"
	"slices"

	"swiftledge/internal/clock"
	"swiftledge/internal/peer"
	"swiftledge/wire"
)

const (
	// evictEvery is the pause between two looks for room to make.
	evictEvery = 300 * clock.Millisecond
	// leavingFor is how long a task that was told to stop counts as room to come.
	leavingFor = 3 * clock.Second
	// mostEvicted bounds what one look stops.
	mostEvicted = 64
)

// victim is a task that may be stopped for a production job.
type victim struct {
	t    peer.Task
	h    *grantedTask
	mem  float64
	cost float64 // of the work that is lost; less for work of low priority
}

// space is what a machine has for production work, and could have.
type space struct {
	m         *machine
	cpus, mem float64 // free, and soon free
	victims   []victim
}

// evict makes room for production work that waits and finds none, by stopping less
// important tasks (PROTOCOL, "Preemption"): the others can wait for a machine to boot.
func (l *Leader) evict(now clock.Micros, teams []*teamQueue) {
	if now-l.lastEvict < evictEvery {
		return
	}
	var spaces []*space
	var leaving uses
	stopped := 0
	for _, t := range teams {
		for _, j := range t.urgent {
			if j.nWant == 0 {
				continue
			}
			if spaces == nil {
				l.lastEvict = now
				spaces, leaving = l.spaces(now)
			}
			if stopped += l.evictFor(now, t, j, spaces, leaving); stopped > mostEvicted {
				return
			}
		}
	}
}

// uses is what teams' tasks will give back, less what is to come.
type uses map[string]use

func (u uses) add(team string, cpus, gpus float64) {
	u[team] = use{u[team].cpus + cpus, u[team].gpus + gpus}
}

// spaces are the machines that could take production work, by name, and what each team's
// tasks give back that were told to stop.
func (l *Leader) spaces(now clock.Micros) ([]*space, uses) {
	on, leaving := map[string]*space{}, uses{}
	for _, m := range l.machines {
		if m.serves() {
			on[m.name] = &space{m: m, cpus: m.state.CPUs, mem: m.state.Memory}
		}
	}
	for _, b := range l.blocks {
		for t, h := range b.tasks {
			leaves := h.stopped != "" && now-h.stoppedAt < leavingFor
			if leaves {
				leaving.add(h.team, h.cpus, h.gpus)
			}
			at, j := on[h.machine], l.jobs[t.Job]
			if at == nil || j == nil {
				continue
			}
			mem := j.record.Spec.MemoryGB
			if leaves {
				at.cpus += h.cpus
				at.mem += mem
			}
			if h.stopped != "" {
				continue
			}
			rank := wire.Rank(j.record.Spec.Priority)
			if rank <= 0 {
				continue
			}
			ran := 0.0
			if h.running {
				ran = (now - h.since).Seconds()
			}
			at.victims = append(at.victims, victim{t, h, mem, h.cpus * (ran + 5) / float64(rank)})
		}
	}
	out := make([]*space, 0, len(on))
	for _, name := range slices.Sorted(maps.Keys(on)) {
		at := on[name]
		slices.SortFunc(at.victims, func(a, b victim) int {
			return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.t.Job, b.t.Job), cmp.Compare(a.t.Index, b.t.Index))
		})
		out = append(out, at)
	}
	return out, leaving
}

// evictFor makes room for the waiting tasks of one job, as far as it may run, and says how
// many tasks it stopped.
func (l *Leader) evictFor(now clock.Micros, t *teamQueue, j *job, spaces []*space, leaving uses) (stopped int) {
	s := &j.record.Spec
	zones := l.zones(j)
	standing := t.standing
	for n := j.nWant; n > 0; n-- {
		if !t.mayStand(s, standing, l.cfg.Tuning.Queues.LeastShare) {
			return stopped
		}
		// At its limit a team makes room for itself.
		u := use{t.u.cpus - leaving[s.Team].cpus, t.u.gpus - leaving[s.Team].gpus}
		own := !u.takes(s, t.team.CPULimit(), t.team.GPULimit())
		var best *space
		var leave []int
		cost := 0.0
		for _, at := range spaces {
			if !at.m.allowed(now, j) || !zones.allow(at.m.opt.Zone) || j.barred(now, at.m) || at.m.state.GPUs+1e-9 < s.GPUs {
				continue
			}
			if who, c, ok := at.makes(s, own); ok && (best == nil || c < cost) {
				best, leave, cost = at, who, c
			}
		}
		if best == nil {
			return stopped
		}
		for _, i := range slices.Backward(leave) {
			v := best.victims[i]
			best.victims = slices.Delete(best.victims, i, i+1)
			best.cpus += v.h.cpus
			best.mem += v.mem
			leaving.add(v.h.team, v.h.cpus, v.h.gpus)
			v.h.stopped, v.h.stoppedAt = "evicted", now
			best.m.block.orders.Stop = append(best.m.block.orders.Stop, peer.StopTask{Task: v.t})
			stopped++
		}
		best.cpus -= s.CPUs
		best.mem -= s.MemoryGB
		zones.add(best.m.opt.Zone)
		leaving.add(s.Team, -s.CPUs, -s.GPUs)
		standing += s.CPUs
	}
	return stopped
}

// makes says which victims must leave for one more task to fit, and at what cost; own: only
// those of its team, and of them as much as the task takes.
func (at *space) makes(s *wire.Job, own bool) (who []int, cost float64, ok bool) {
	cpus, mem, given := at.cpus, at.mem, 0.0
	for i := 0; ; i++ {
		if cpus+1e-9 >= s.CPUs && mem+1e-9 >= s.MemoryGB && (!own || given+1e-9 >= s.CPUs) {
			return who, cost, true
		}
		if i == len(at.victims) {
			return nil, 0, false
		}
		v := &at.victims[i]
		if own && v.h.team != s.Team {
			continue
		}
		cpus += v.h.cpus
		mem += v.mem
		given += v.h.cpus
		cost += v.cost
		who = append(who, i)
	}
}
