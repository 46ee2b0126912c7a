package scenario

import (
	"slices"

	"swiftledge/internal/clock"
	"swiftledge/internal/fake"
	"swiftledge/internal/shard"
	"swiftledge/wire"
)

type simWorker struct {
	*fake.Worker
	rented *fake.Instance
	target int
	nextAt clock.Micros
	lastAt clock.Micros
	busy   bool
	cut    bool
	// hold delivers what is sent to or from the machine late.
	holdUntil clock.Micros
	dead      bool
	deaf      bool         // what it says arrives, what it is told does not
	mute      bool         // its reports reach nobody, while commands reach it
	hungUntil clock.Micros // it does nothing until then, and goes on
	keeps     bool         // copies of its reports are kept for the next leader
	kept      []*wire.Heartbeat
	copies    clock.Micros // reports and commands come once more, up to this much later
}

func (w *world) worker(name string) *simWorker { return w.byName[name] }

func (w *world) boot(m *fake.Instance) {
	var t wire.MachineType
	for _, x := range w.cloud.Types {
		if x.Name == m.Type {
			t = x
		}
	}
	s := &simWorker{rented: m, Worker: &fake.Worker{
		Identity:  fake.Identity{Name: m.Name, Address: m.Address, Type: m.Type, Zone: m.Zone, Spot: m.Spot},
		Resources: fake.Resources{CPUs: t.CPUs, Memory: t.MemoryGB, FetchSeconds: 1},
		LeaseTime: w.cfg.AgentLeaseTime(),
		Workload:  workload{w},
		Observer:  observer{w},
		Outputs:   w.outputs,
	}}
	s.Boot(w.now)
	s.nextAt = w.now
	s.target = w.rng.IntN(len(w.nodes))
	w.workers = append(w.workers, s)
	w.byName[s.Name] = s
}

// workload tells the fake workers what the users know of their jobs.
type workload struct{ w *world }

// Job implements fake.Workload.
func (l workload) Job(ref string) (wire.Job, bool) {
	job, ok := l.w.jobs[ref]
	return job, ok
}

// RunSeconds implements fake.Workload.
func (l workload) RunSeconds(job *wire.Job, _ int) float64 { return l.w.runS[job.Ref] }

// Fails implements fake.Workload.
func (l workload) Fails(job *wire.Job, index int) bool {
	each := l.w.mistaken[job.Ref]
	return each > 0 && index%each == 0
}

// observer tells the rules what becomes of tasks.
type observer struct{ w *world }

// TaskOrdered implements fake.Observer.
func (o observer) TaskOrdered(on *fake.Worker, t *fake.Task) { o.w.history.order(on.Name, t) }

// TaskStarted implements fake.Observer.
func (o observer) TaskStarted(on *fake.Worker, t *fake.Task) { o.w.started(o.w.worker(on.Name), t) }

// TaskRestarted implements fake.Observer.
func (o observer) TaskRestarted(_ *fake.Worker, t *fake.Task) { o.w.history.restart(t) }

// TaskEnded implements fake.Observer.
func (o observer) TaskEnded(_ *fake.Worker, t *fake.Task) {
	if t.Cause == wire.ExitDone {
		o.w.ran[t.Task]++
		o.w.history.complete(t)
	}
}

// leaseRanOut says whether a machine hangs for longer than its lease: it may go on within its lease
// only, so what it held is gone.
func (s *simWorker) leaseRanOut(now clock.Micros) bool {
	return s.hungUntil > now && now > s.LeaseRenewedAt()+s.LeaseTime
}

// allowed says whether a job's tasks may run on the machine, whatever room it has.
func (s *simWorker) allowed(j *wire.Job) bool {
	return (j.Spot || !s.Spot) && (len(j.Types) == 0 || slices.Contains(j.Types, s.Type)) && (j.Zone == "" || j.Zone == s.Zone)
}

// Workers.

func (s *simWorker) tick(w *world) {
	if s.rented.Deleted {
		s.dead = true
	}
	if s.dead {
		return
	}
	if s.hungUntil > w.now {
		return
	}
	if s.Advance(w.now) {
		s.changed(w)
	}
	if s.busy || w.now < s.nextAt {
		return
	}
	s.busy = true
	s.lastAt = w.now
	every := clock.FromSeconds(w.cfg.Facts.Workers.ReportS)
	s.nextAt = w.now + every*3/4 + clock.Micros(w.rng.Int64N(int64(every/2)))
	r := s.Heartbeat()
	sent, session, n := w.now, s.AgentEpoch, w.nodes[s.target]
	settled := false
	next := func(to int, wait clock.Micros) {
		if settled {
			return
		}
		settled = true
		w.after(wait, func() { s.busy, s.target, s.nextAt = false, to, w.now })
	}
	w.after(4*clock.Second, func() { next((s.target+1)%len(w.nodes), clock.Second) })
	if s.keeps {
		s.kept = append(s.kept, r)
	}
	if s.mute {
		return
	}
	s.again(w, func() {
		// Whichever controller it reaches, nobody waits for the answer.
		if o := w.nodes[w.rng.IntN(len(w.nodes))]; o.alive && !o.blind && !w.apart(s.Zone, o.cfg.Zone) {
			o.still(func() { o.report(r, func(shard.HeartbeatReply) {}) })()
		}
	})
	s.deliver(w, n, func() {
		if !n.alive {
			next((s.target+1)%len(w.nodes), clock.Second)
			return
		}
		if n.blind {
			return
		}
		n.still(func() {
			n.report(r, func(a shard.HeartbeatReply) {
				s.deliver(w, n, func() {
					if settled || s.dead || s.deaf {
						return
					}
					switch {
					case a.Status == 200:
						settled, s.busy = true, false
						if s.HandleResponse(w.now, sent, session, a.Body) {
							s.changed(w)
						}
					case a.Status == 421 && a.Redirect.Controller != "":
						for i, o := range w.nodes {
							if o.name == a.Redirect.Controller && i != s.target {
								next(i, 100*clock.Millisecond)
								return
							}
						}
						next((s.target+1)%len(w.nodes), clock.Second)
					default:
						next((s.target+1)%len(w.nodes), clock.Second)
					}
				})
			})
		})()
	})
}

// deliver carries a message to or from the machine: never while it is cut, late while it is held.
func (s *simWorker) deliver(w *world, n *simNode, f func()) {
	d := w.lat()
	switch {
	case w.apart(s.Zone, n.cfg.Zone):
		d += w.cutUntil - w.now
	case s.holdUntil > w.now:
		d += s.holdUntil - w.now
	case s.hungUntil > w.now:
		d += s.hungUntil - w.now
	case s.cut:
		return
	}
	w.after(d, f)
}

// again lets a copy come late.
func (s *simWorker) again(w *world, f func()) {
	if s.copies > 0 {
		w.after(clock.Second+clock.Micros(w.rng.Int64N(int64(s.copies))), f)
	}
}

func (s *simWorker) changed(w *world) {
	s.nextAt = min(s.nextAt, max(w.now, s.lastAt+clock.Second/2))
}
