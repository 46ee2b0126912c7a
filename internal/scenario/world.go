// Package scenario plays small clusters of our own actors against the stand-ins,
// in simulated time and always the same way, and watches the users' rules.
package scenario

import (
	"container/heap"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strings"

	"swiftledge/internal/api"
	"swiftledge/internal/block"
	"swiftledge/internal/clock"
	"swiftledge/internal/config"
	"swiftledge/internal/election"
	"swiftledge/internal/leader"
	"swiftledge/internal/standin"
	"swiftledge/internal/store"
	"swiftledge/wire"
)

type event struct {
	at  clock.Micros
	seq int
	f   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// world is a cluster with all that it talks to.
type world struct {
	now         clock.Micros
	seq         int
	events      events
	rng         *rand.Rand
	cfg         config.Config
	store       *standin.Store
	cloud       *standin.Cloud
	nodes       []*simNode
	workers     []*simWorker
	byName      map[string]*simWorker
	coming      []*standin.Rented // rented and not up yet
	rented      int               // how many of the cloud's machines were taken in
	holds       map[string][]held // by team: what was on machines when last looked at
	jobs        map[string]wire.Job
	runS        map[string]float64
	aborted     map[string]clock.Micros // when the user was told
	broken      []string
	malformed   int                     // transactions that the state service refused for their form
	unannounced bool                    // its limits fell below what the settings say
	ran         map[string]int          // completed runs by task
	next        *config.Next            // limits that the settings name for later
	sent        map[string]clock.Micros // when a job was accepted
	begun       map[string]clock.Micros // when its first task ran
	stop        context.CancelFunc
	ctx         context.Context
	// A zone that is cut off from everything; what is sent meanwhile comes at the end.
	cutZone  string
	cutUntil clock.Micros
	// The cloud answers 503 to everything.
	cloudDown bool
	told      map[string]string       // by job: the latest state that any node told
	fits      map[string]clock.Micros // by job: since when it waits beside room for it
	bodies    map[string][]byte       // submissions
	asked     int                     // requests of controllers to the state service
	said      int                     // messages between different controllers
	looks     bool                    // users ask everywhere, and submit again, as soon as something was told
}

// apart says whether the cut zone lies between two places; "" is the region.
func (w *world) apart(a, b string) bool {
	return w.now < w.cutUntil && (a == w.cutZone) != (b == w.cutZone)
}

// held is a task on a machine.
type held struct {
	s *simWorker
	t *standin.Task
}

type simNode struct {
	w           *world
	i           int
	name        string
	gen         int
	alive       bool
	refused     bool    // by the state service alone
	cut         bool    // from the other controllers
	blind       bool    // from the workers
	loseAnswers int     // of the state service, while the requests are carried out
	lost        float64 // share of its transactions that are carried out at once and get no answer
	late        float64 // share of its transactions that get no answer and are carried out seconds later
	stale       bool    // its watch of the jobs hangs, all else is served
	holdUntil   clock.Micros
	frozenUntil clock.Micros // it stands still while its clocks run on
	old         bool         // it goes by today's limits alone, as the version in production did
	cfg         config.Config
	elector     *election.Elector
	leader      *leader.Leader
	holder      *block.Holder
	desk        *api.Desk
	svc         *api.Service
	epoch       uint64 // that it follows
	link        *simLink
	leaderRev   uint64
	jobEpoch    uint64
	jobRev      uint64
}

// simLink is a connection from a follower to the leader.
type simLink struct {
	epoch            uint64
	follower, leader *simNode
	fgen, lgen       int
	broken           bool
	last             map[*simNode]clock.Micros // when the latest message to an end arrives
}

type simWorker struct {
	*standin.Worker
	rented *standin.Rented
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
	kept      []*wire.Report
	copies    clock.Micros // reports and commands come once more, up to this much later
}

func (w *world) after(d clock.Micros, f func()) {
	w.seq++
	heap.Push(&w.events, event{w.now + d, w.seq, f})
}

// lat is the delay of one message.
func (w *world) lat() clock.Micros { return clock.Millisecond + clock.Micros(w.rng.IntN(2000)) }

const step = 50 * clock.Millisecond

func newWorld(cfg config.Config, types []wire.MachineType, seed uint64) *world {
	ctx, stop := context.WithCancel(context.Background())
	w := &world{rng: rand.New(rand.NewPCG(seed, 1)), cfg: cfg, ctx: ctx, stop: stop,
		store:  standin.NewStore(cfg.Facts.State.ValueKB, cfg.Facts.State.TxnOps),
		cloud:  standin.NewCloud(types, clock.FromSeconds(cfg.Facts.Cloud.ListLagS)),
		byName: map[string]*simWorker{}, holds: map[string][]held{},
		jobs: map[string]wire.Job{}, runS: map[string]float64{}, aborted: map[string]clock.Micros{}, ran: map[string]int{}, next: cfg.Facts.State.Next, sent: map[string]clock.Micros{}, begun: map[string]clock.Micros{},
		told: map[string]string{}, fits: map[string]clock.Micros{}, bodies: map[string][]byte{}}
	for i := range cfg.Facts.InitialSize {
		n := &simNode{w: w, i: i, name: fmt.Sprintf("n%d", i), cfg: cfg}
		n.cfg.Name = n.name
		n.cfg.Zone = cfg.Facts.Zones[i%len(cfg.Facts.Zones)]
		for k := range cfg.Facts.InitialSize {
			if k != i {
				n.cfg.Peers = append(n.cfg.Peers, config.Peer{Name: fmt.Sprintf("n%d", k)})
			}
		}
		w.nodes = append(w.nodes, n)
		n.start()
	}
	w.after(step, w.tick)
	return w
}

func (w *world) run(d clock.Micros) {
	end := w.now + d
	for len(w.events) > 0 && w.events[0].at <= end {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.f()
	}
	w.now = end
}

func (w *world) tick() {
	w.store.Expire(w.now)
	for _, n := range w.nodes {
		n.tick()
	}
	w.coming = append(w.coming, w.cloud.Order[w.rented:]...)
	w.rented = len(w.cloud.Order)
	w.coming = slices.DeleteFunc(w.coming, func(m *standin.Rented) bool {
		up := !m.Gone && !m.Dead && !m.Never && w.now >= m.UpAt
		if up {
			w.boot(m)
		}
		return up || m.Gone
	})
	for _, s := range w.workers {
		s.tick(w)
	}
	for _, ref := range sortedKeys(w.aborted) {
		if w.now-w.aborted[ref] > clock.FromSeconds(w.cfg.Facts.Workers.CancelS) {
			for _, s := range w.workers {
				for _, t := range s.Tasks {
					if t.Job.Ref == ref && t.Holds() && !s.dead {
						w.breaks("ran_cancelled: %s on %s", t.Task, s.Name)
					}
				}
			}
		}
	}
	w.watchWaiting()
	if w.looks {
		for i, ref := range sortedKeys(w.jobs) {
			if n := w.nodes[(int(w.now/step)+i)%len(w.nodes)]; n.alive && n.frozenUntil <= w.now && w.told[ref] != wire.Done && w.told[ref] != wire.Cancelled {
				w.hear(ref, n.svc.Look(ref))
			}
		}
	}
	w.after(step, w.tick)
}

// troubled says whether anything is wrong that a scenario has brought about.
func (w *world) troubled() bool {
	return w.store.Down || w.cloudDown || w.now < w.cutUntil ||
		slices.ContainsFunc(w.nodes, func(n *simNode) bool {
			return !n.alive || n.refused || n.cut || n.blind || n.stale || n.late > 0 || n.lost > 0 || n.loseAnswers > 0 || n.holdUntil > w.now || n.frozenUntil > w.now
		}) ||
		slices.ContainsFunc(w.workers, func(s *simWorker) bool {
			return !s.rented.Gone && (s.dead || s.cut || s.deaf || s.mute || s.Sick || s.copies > 0 || s.keeps || s.holdUntil > w.now || s.hungUntil > w.now)
		})
}

// idleFor is how long a job may wait beside room for it once all troubles are over.
const idleFor = 90 * clock.Second

// watchWaiting judges, once a second, that no job is left waiting while a machine that fits
// has room and its team is under its limit.
func (w *world) watchWaiting() {
	if w.now%clock.Second >= step {
		return
	}
	if w.troubled() {
		clear(w.fits)
		return
	}
	use := map[string]float64{}
	on, at := map[string]int{}, map[string]int{}
	type room struct{ cpus, mem float64 }
	free := map[*simWorker]room{}
	for _, s := range w.workers {
		if s.dead || s.NoticeS != nil {
			continue
		}
		r := room{s.CPUs, s.Memory}
		for _, t := range s.Tasks {
			if t.State != wire.Exited {
				r.cpus -= t.Job.CPUs
				r.mem -= t.Job.MemoryGB
				use[t.Job.Team] += t.Job.CPUs
				on[t.Job.Ref]++
			}
		}
		free[s] = r
	}
	for t := range w.ran {
		ref, _, _ := strings.Cut(t, "/")
		at[ref]++
	}
	for ref, j := range w.jobs {
		team, _ := w.cfg.Team(j.Team)
		_, over := w.store.Get(leader.EndPrefix + ref)
		waits := !over && !j.Standing() && !j.OneZone && !j.Spread && at[ref]+on[ref] < j.Tasks && use[j.Team]+j.CPUs <= team.CPUsMax
		if waits {
			waits = false
			for s, r := range free {
				if s.allowed(&j) && r.cpus >= j.CPUs && r.mem >= j.MemoryGB {
					waits = true
					break
				}
			}
		}
		if !waits {
			delete(w.fits, ref)
			continue
		}
		if _, ok := w.fits[ref]; !ok {
			w.fits[ref] = w.now
		}
		if w.now-w.fits[ref] > idleFor {
			w.breaks("waits: %s beside room for it", ref)
		}
	}
}

// hear judges an answer to a user by what any node has told before: none may be older.
func (w *world) hear(ref string, r api.Result) api.Result {
	state := ""
	switch {
	case r.Code == 200 || r.Code == 201:
		state = r.Status.State
	case r.Code == 404:
		state = "unknown"
	}
	if _, submitted := w.runS[ref]; state == "" || state == "unknown" && (!submitted || w.told[ref] == "") {
		return r
	}
	before := w.told[ref]
	final := before == wire.Done || before == wire.Cancelled
	if state == "unknown" || final && state != before {
		w.breaks("went_back: %s is %s after %s", ref, state, before)
	}
	if !final {
		w.told[ref] = state
	}
	if w.looks && (before == "" || !final && w.told[ref] != before && (state == wire.Done || state == wire.Cancelled)) {
		w.lookClosely(ref)
	}
	return r
}

// lookClosely asks at all controllers within milliseconds, and submits again.
func (w *world) lookClosely(ref string) {
	for _, d := range []clock.Micros{0, clock.Millisecond, 5 * clock.Millisecond, 40 * clock.Millisecond} {
		for _, n := range w.nodes {
			w.after(d, func() {
				if !n.alive || n.frozenUntil > w.now {
					return
				}
				w.hear(ref, n.svc.Look(ref))
				r := n.svc.Submit(w.bodies[ref])
				if w.hear(ref, r); r.Code == 400 || r.Code == 422 {
					w.breaks("forgotten: %s is answered %d", ref, r.Code)
				}
			})
		}
	}
}

func sortedKeys[V any](m map[string]V) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

func (w *world) breaks(f string, args ...any) {
	s := fmt.Sprintf(f, args...)
	if !slices.Contains(w.broken, s) {
		w.broken = append(w.broken, s)
	}
}

func (w *world) worker(name string) *simWorker { return w.byName[name] }

func (w *world) boot(m *standin.Rented) {
	var t wire.MachineType
	for _, x := range w.cloud.Types {
		if x.Name == m.Type {
			t = x
		}
	}
	s := &simWorker{rented: m, Worker: &standin.Worker{Name: m.Name, Address: m.Address, Type: m.Type, Zone: m.Zone, Spot: m.Spot,
		Lease: w.cfg.LeaseTime(), CPUs: t.CPUs, Memory: t.MemoryGB, FetchS: 1,
		Find: func(ref string) (wire.Job, bool) { j, ok := w.jobs[ref]; return j, ok },
		RunS: func(j *wire.Job, i int) float64 { return w.runS[j.Ref] }}}
	s.Started = func(t *standin.Task) { w.started(s, t) }
	s.Ended = func(t *standin.Task) {
		if t.Cause == wire.CauseDone {
			w.ran[t.Task]++
		}
	}
	s.Boot(w.now)
	s.nextAt = w.now
	s.target = w.rng.IntN(len(w.nodes))
	w.workers = append(w.workers, s)
	w.byName[s.Name] = s
}

// allowed says whether a job's tasks may run on the machine, whatever room it has.
func (s *simWorker) allowed(j *wire.Job) bool {
	return (j.Spot || !s.Spot) && (len(j.Types) == 0 || slices.Contains(j.Types, s.Type)) && (j.Zone == "" || j.Zone == s.Zone)
}

// started judges the rules that can break when a task begins to run.
func (w *world) started(at *simWorker, t *standin.Task) {
	if _, ok := w.begun[t.Job.Ref]; !ok {
		w.begun[t.Job.Ref] = w.now
	}
	if told, ok := w.aborted[t.Job.Ref]; ok {
		if w.now-told > clock.FromSeconds(w.cfg.Facts.Workers.CancelS) {
			w.breaks("ran_cancelled: %s starts on %s", t.Task, at.Name)
		}
	}
	if !at.allowed(&t.Job) {
		w.breaks("wrong_place: %s on %s", t.Task, at.Name)
	}
	use := 0.0
	zones := map[string]int{}
	on := append(w.holds[t.Job.Team], held{at, t})
	on = slices.DeleteFunc(on, func(h held) bool { return h.s.dead || !h.t.Holds() })
	w.holds[t.Job.Team] = on
	for _, h := range on {
		if h.t.Task == t.Task && h.t != t {
			w.breaks("ran_twice: %s on %s and %s", t.Task, h.s.Name, at.Name)
		}
		use += h.t.Job.CPUs
		if h.t.Job.Ref == t.Job.Ref {
			zones[h.s.Zone]++
		}
	}
	if team, _ := w.cfg.Team(t.Job.Team); use > team.CPUsMax+1e-9 {
		w.breaks("quota: %s uses %.0f cpus", t.Job.Team, use)
	}
	if t.Job.OneZone && len(zones) > 1 {
		w.breaks("wrong_place: %s is in several zones", t.Job.Ref)
	}
	for z, k := range zones {
		if t.Job.Spread && k > (t.Job.Tasks+1)/2 {
			w.breaks("wrong_place: %s has %d tasks in %s", t.Job.Ref, k, z)
		}
	}
}

// Workers.

func (s *simWorker) tick(w *world) {
	if s.rented.Gone {
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
	r := s.Report()
	sent, session, n := w.now, s.Session, w.nodes[s.target]
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
			o.still(func() { o.holderStep(block.Report{R: r, Tag: func(block.Answer) {}}) })()
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
			n.holderStep(block.Report{R: r, Tag: func(a block.Answer) {
				s.deliver(w, n, func() {
					if settled || s.dead || s.deaf {
						return
					}
					switch {
					case a.Status == 200:
						settled, s.busy = true, false
						if s.Answered(w.now, sent, session, a.Body) {
							s.changed(w)
						}
					case a.Status == 421 && a.Redirect.ReportTo != "":
						for i, o := range w.nodes {
							if o.name == a.Redirect.ReportTo && i != s.target {
								next(i, 100*clock.Millisecond)
								return
							}
						}
						next((s.target+1)%len(w.nodes), clock.Second)
					default:
						next((s.target+1)%len(w.nodes), clock.Second)
					}
				})
			}})
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

// Controllers.

func (n *simNode) start() {
	n.gen++
	n.alive, n.frozenUntil = true, 0
	n.cfg.Facts.State.Next = n.w.next
	if n.old {
		n.cfg.Facts.State.Next = nil
	}
	n.epoch, n.link, n.leaderRev, n.jobEpoch = 0, nil, 0, 0
	ok := n.reaches
	n.elector = election.New(election.Record{Node: n.name, Run: uint64(n.gen)*100 + uint64(n.i)}, clock.FromSeconds(n.cfg.Tuning.Election.TTLS))
	n.leader = leader.New(&n.cfg, ok)
	n.holder = block.FromConfig(&n.cfg, ok)
	n.desk = api.NewDesk(&n.cfg, func() clock.Micros { return n.w.now })
	go n.desk.Run(n.w.ctx)
	n.svc = api.New(&n.cfg, n, func(_ context.Context, try int) bool { return try < 3 }, n.desk, ok, nil, func() clock.Micros { return n.w.now }, slog.New(slog.NewTextHandler(io.Discard, nil)))
	n.look()
}

func (n *simNode) crash() {
	n.alive = false
	n.gen++
	for _, o := range n.w.nodes {
		if o.link != nil && (o == n || o.link.leader == n) {
			l := o.link
			n.w.after(100*clock.Millisecond, l.end)
		}
	}
}

// still runs f only if the process that asked is still the same.
func (n *simNode) still(f func()) func() {
	gen := n.gen
	return func() {
		n.awake(func() {
			if n.alive && n.gen == gen {
				f()
			}
		})
	}
}

// awake runs f, or when the process goes on again if it stands still.
func (n *simNode) awake(f func()) {
	if n.frozenUntil > n.w.now {
		n.w.after(n.frozenUntil-n.w.now, func() { n.awake(f) })
		return
	}
	f()
}

// away says whether another controller's messages do not reach this one now.
func (n *simNode) away(from *simNode) bool {
	return n != from && (n.cut || from.cut || n.frozenUntil > n.w.now || n.w.apart(n.cfg.Zone, from.cfg.Zone))
}

func (n *simNode) tick() {
	if !n.alive || n.frozenUntil > n.w.now {
		return
	}
	if n.reaches() {
		if n.leaderRev > 0 {
			a := n.w.store.Since(leader.Key, n.leaderRev)
			n.leaderRev = max(n.leaderRev, a.Revision)
			for _, ev := range a.Events {
				seen, ok, err := election.SeenEvent(ev)
				must(err)
				if ok {
					n.electorStep(seen)
				}
			}
		}
		if n.jobEpoch > 0 && !n.w.store.Known(n.jobRev) {
			epoch := n.jobEpoch
			n.jobEpoch = 0
			n.electorStep(election.Resign{Epoch: epoch})
		}
		if n.jobEpoch > 0 && !n.stale {
			a := n.w.store.Since(leader.JobPrefix, n.jobRev)
			n.jobRev = max(n.jobRev, a.Revision)
			n.leaderStep(leader.Watched{Epoch: n.jobEpoch, Events: a.Events, Asked: n.w.now})
		}
	}
	n.electorStep(election.Tick{})
	n.leaderStep(leader.Tick{})
	n.holderStep(block.Tick{})
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

func (n *simNode) reaches() bool {
	return !n.refused && !n.w.store.Down && !n.w.apart(n.cfg.Zone, "")
}

// ask carries a request to the state service and its answer back.
func (n *simNode) ask(f func(), answer func(err error)) {
	w := n.w
	w.asked++
	w.after(w.lat(), func() {
		until := n.holdUntil
		if w.apart(n.cfg.Zone, "") {
			until = w.cutUntil
		}
		switch {
		case until > w.now:
			// Held on the way: carried out long after the sender gave up.
			w.after(until-w.now, func() {
				if !w.store.Down {
					f()
				}
			})
			w.after(1500*clock.Millisecond, n.still(func() { answer(store.ErrUnknown) }))
		case !n.reaches():
			w.after(w.lat(), n.still(func() { answer(store.ErrRefused) }))
		case n.loseAnswers > 0:
			n.loseAnswers--
			f()
			w.after(1500*clock.Millisecond, n.still(func() { answer(store.ErrUnknown) }))
		default:
			f()
			w.after(w.lat(), n.still(func() { answer(nil) }))
		}
	})
}

// delayed says whether a transaction gets no answer, and has it carried out after newer ones.
func (n *simNode) delayed(t wire.Txn) bool {
	w := n.w
	if n.late == 0 || !n.reaches() || w.rng.Float64() >= n.late {
		return false
	}
	w.after(2*clock.Second+clock.Micros(w.rng.Int64N(int64(10*clock.Second))), func() {
		if !w.store.Down {
			w.store.Txn(t)
		}
	})
	return true
}

func (n *simNode) txn(t wire.Txn, answer func(store.Outcome, error)) {
	var o store.Outcome
	var problem string
	if n.lost > 0 && n.reaches() && n.w.rng.Float64() < n.lost {
		n.w.store.Txn(t)
		n.w.after(1500*clock.Millisecond, n.still(func() { answer(o, store.ErrUnknown) }))
		return
	}
	if n.delayed(t) {
		n.w.after(1500*clock.Millisecond, n.still(func() { answer(o, store.ErrUnknown) }))
		return
	}
	n.ask(func() { o, problem = n.w.store.Txn(t) }, func(err error) {
		if err == nil && problem != "" {
			err = errors.New(problem)
			if o.Malformed = !o.NoLease; o.Malformed {
				n.w.malformed++
				if !n.w.unannounced {
					n.w.breaks("malformed transaction: %s", problem)
				}
			}
		}
		if err != nil {
			answer(store.Outcome{NoLease: o.NoLease, Malformed: o.Malformed}, err)
			return
		}
		answer(o, nil)
	})
}

func (n *simNode) commit(t wire.Txn, unsure bool, live func() bool, answer func(store.Outcome, error)) {
	n.txn(t, func(o store.Outcome, err error) {
		if !live() {
			return
		}
		if errors.Is(err, store.ErrUnknown) || errors.Is(err, store.ErrRefused) {
			again := unsure || errors.Is(err, store.ErrUnknown)
			n.w.after(100*clock.Millisecond, n.still(func() { n.commit(t, again, live, answer) }))
			return
		}
		o.Unsure = unsure
		answer(o, err)
	})
}

// Get and Once serve the users' requests, which scenarios make outside of time.
func (n *simNode) Get(_ context.Context, _ int, key string) (wire.Item, error) {
	if !n.reaches() {
		return wire.Item{}, store.ErrRefused
	}
	if it, ok := n.w.store.Get(key); ok {
		return it, nil
	}
	return wire.Item{}, store.ErrMissing
}

func (n *simNode) Once(_ context.Context, _ int, t wire.Txn) (store.Outcome, error) {
	if !n.reaches() {
		return store.Outcome{}, store.ErrRefused
	}
	if n.delayed(t) {
		return store.Outcome{}, store.ErrUnknown
	}
	o, problem := n.w.store.Txn(t)
	if problem != "" {
		return o, errors.New(problem)
	}
	if n.loseAnswers > 0 || n.lost > 0 && n.w.rng.Float64() < n.lost {
		n.loseAnswers = max(0, n.loseAnswers-1)
		return store.Outcome{}, store.ErrUnknown
	}
	return o, nil
}

func (n *simNode) electorStep(msg any) {
	for _, fx := range n.elector.Step(n.w.now, msg) {
		n.electorEffect(fx)
	}
}

func (n *simNode) look() {
	var it wire.Item
	var rev uint64
	n.ask(func() {
		it, _ = n.w.store.Get(leader.Key)
		_, rev = n.w.store.List("none")
	}, func(err error) {
		if err != nil {
			n.w.after(200*clock.Millisecond, n.still(n.look))
			return
		}
		seen, err := election.SeenKey(it, rev)
		must(err)
		n.leaderRev = max(n.leaderRev, rev)
		n.electorStep(seen)
	})
}

func (n *simNode) electorEffect(fx any) {
	w := n.w
	switch x := fx.(type) {
	case election.GetLease:
		sent := w.now
		var id uint64
		n.ask(func() { id = w.store.Grant(w.now, x.TTL) }, func(err error) {
			n.electorStep(election.Leased{Lease: id, Sent: sent, Err: err})
		})
	case election.Claim:
		t, err := x.Txn()
		must(err)
		n.txn(t, func(o store.Outcome, err error) {
			n.electorStep(election.Claimed{Lease: x.Lease, Outcome: o, Err: err})
		})
	case election.Renew:
		sent := w.now
		found := false
		n.ask(func() { found = w.store.Touch(w.now, x.Lease) }, func(err error) {
			if err == nil && !found {
				err = store.ErrMissing
			}
			n.electorStep(election.Renewed{Lease: x.Lease, Sent: sent, Err: err})
		})
	case election.Drop:
		n.ask(func() { w.store.End(x.Lease) }, func(error) {})
	case election.Look:
		n.look()
	case election.Lead:
		w.release()
		n.leaderStep(leader.Elected{Epoch: x.Epoch, Run: uint64(n.gen)})
		n.leaderStep(leader.Authority{Until: x.Until})
	case election.Extend:
		n.leaderStep(leader.Authority{Until: x.Until})
	case election.Depose:
		n.jobEpoch = 0
		n.leaderStep(leader.Deposed{})
	case election.Follow:
		n.desk.Post(api.Following{Epoch: x.Epoch, Node: x.Node})
		n.epoch = x.Epoch
		if x.Epoch > 0 {
			n.follow(x.Epoch, x.Node)
		}
	}
}

// release lets the reports that were kept for the next leader arrive at every controller, as
// it begins and again when it has acted.
func (w *world) release() {
	for _, s := range w.workers {
		for i, r := range s.kept {
			for _, o := range w.nodes {
				for _, d := range []clock.Micros{clock.Millisecond, 300 * clock.Millisecond, 2 * clock.Second, 6 * clock.Second} {
					w.after(d+clock.Micros(i), func() {
						if o.alive && !o.blind {
							o.still(func() { o.holderStep(block.Report{R: r, Tag: func(block.Answer) {}}) })()
						}
					})
				}
			}
		}
		s.kept = nil
	}
}

func (n *simNode) follow(epoch uint64, name string) {
	w := n.w
	w.after(w.lat(), n.still(func() {
		if n.epoch != epoch {
			return
		}
		i := slices.IndexFunc(w.nodes, func(o *simNode) bool { return o.name == name })
		to := w.nodes[i]
		away := to.away(n)
		if to.alive && !away && to != n {
			n.desk.Post(api.Met{})
			to.desk.Post(api.Met{})
		}
		if !to.alive || to.elector.Epoch() != epoch || away {
			w.after(300*clock.Millisecond, n.still(func() { n.follow(epoch, name) }))
			return
		}
		if n.link != nil {
			n.link.end()
		}
		l := &simLink{epoch: epoch, follower: n, leader: to, fgen: n.gen, lgen: to.gen, last: map[*simNode]clock.Micros{}}
		n.link = l
		to.leaderStep(leader.Joined{Node: n.name, Run: uint64(n.gen), Link: l})
		n.holderStep(block.Linked{Epoch: epoch})
	}))
}

// end breaks a link; both sides see it if they are still there.
func (l *simLink) end() {
	if l.broken {
		return
	}
	l.broken = true
	f, to := l.follower, l.leader
	to.awake(func() {
		if to.alive && to.gen == l.lgen {
			to.leaderStep(leader.Left{Node: f.name, Link: l})
		}
	})
	f.awake(func() {
		if f.alive && f.gen == l.fgen && f.link == l {
			f.link = nil
			f.holderStep(block.Unlinked{Epoch: l.epoch})
			if f.epoch == l.epoch {
				f.follow(l.epoch, to.name)
			}
		}
	})
}

// carry brings a message to one end of the link; a cut one breaks after a while, and so
// does one whose other end stands still.
func (l *simLink) carry(to *simNode, f func()) {
	w := l.follower.w
	from := l.follower
	if to == from {
		from = l.leader
	}
	if to.away(from) {
		w.after(4*clock.Second, l.end)
		return
	}
	if to != from {
		w.said++
	}
	// As over TCP, nothing overtakes.
	at := max(w.now+w.lat(), l.last[to])
	l.last[to] = at
	w.after(at-w.now, func() {
		to.awake(func() {
			if !l.broken && l.follower.alive && l.leader.alive && l.follower.gen == l.fgen && l.leader.gen == l.lgen {
				f()
			}
		})
	})
}

func (n *simNode) holderStep(msg any) {
	for _, fx := range n.holder.Step(n.w.now, msg) {
		n.holderEffect(fx)
	}
}

func (n *simNode) holderEffect(fx any) {
	switch x := fx.(type) {
	case block.Send:
		if l := n.link; l != nil {
			l.carry(l.leader, func() { l.leader.leaderStep(leader.Said{Node: n.name, Link: l, Up: &x.Up}) })
		}
	case block.Answer:
		x.Tag.(func(block.Answer))(x)
	case block.Orders:
		n.direct(x)
	case block.Inspect:
		n.inspect(x)
	case block.Record:
		n.keep(x.Txn, func(o store.Outcome) any { return x.Settled(o) })
	case block.Compact:
		n.keep(x.Txn, func(o store.Outcome) any { return x.Settled(o) })
	case block.Erase:
		n.txn(x.Txn(), func(store.Outcome, error) {})
	default:
		panic(fmt.Sprintf("unknown effect %T", fx))
	}
}

// keep writes start records and tells the holder what became of it.
func (n *simNode) keep(txn func() (wire.Txn, error), settled func(store.Outcome) any) {
	t, err := txn()
	must(err)
	for _, put := range t.Then {
		if put.Put != "" && !slices.ContainsFunc(t.If, func(g wire.Guard) bool { return g.Key == put.Put }) {
			n.w.breaks("unguarded: a late copy could put back %s", put.Put)
		}
	}
	n.commit(t, false, func() bool { return true }, func(o store.Outcome, _ error) { n.holderStep(settled(o)) })
}

func (n *simNode) inspect(x block.Inspect) {
	s := n.w.worker(x.Machine)
	if s == nil || s.dead || n.blind || s.cut {
		return
	}
	s.deliver(n.w, n, func() {
		if s.dead || s.deaf {
			return
		}
		r := s.Report()
		s.deliver(n.w, n, n.still(func() { n.holderStep(block.Inspected{Inspect: x, R: r}) }))
	})
}

func (n *simNode) direct(o block.Orders) {
	w := n.w
	s := w.worker(o.Machine)
	done := block.Ordered{Orders: o}
	if s == nil || s.dead || n.blind || (s.cut && s.holdUntil <= w.now) {
		done.Status = block.NotSent
		w.after(clock.Second, n.still(func() { n.holderStep(done) }))
		return
	}
	settled := false
	w.after(3*clock.Second, n.still(func() {
		if !settled {
			settled = true
			n.holderStep(done)
		}
	}))
	s.again(w, func() {
		if !s.dead && !s.deaf {
			s.Orders(w.now, o.Body)
		}
	})
	s.deliver(w, n, func() {
		if s.dead || s.deaf {
			return
		}
		status, r, changed := s.Orders(w.now, o.Body)
		if changed {
			s.changed(w)
		}
		s.deliver(w, n, n.still(func() {
			if !settled {
				settled = true
				done.Status, done.R = status, r
				n.holderStep(done)
			}
		}))
	})
}

func (n *simNode) leaderStep(msg any) {
	for _, fx := range n.leader.Step(n.w.now, msg) {
		n.leaderEffect(fx)
	}
}

var errTrouble = errors.New("trouble")

func (n *simNode) leaderEffect(fx any) {
	w := n.w
	during := func(epoch uint64) func() bool { return func() bool { return n.elector.Epoch() == epoch } }
	// The cloud answers within a quarter of a second, also a leader that is none any more.
	cloud := func(f, fails func()) {
		w.after(100*clock.Millisecond, func() {
			switch {
			case w.apart(n.cfg.Zone, ""):
			case w.cloudDown:
				n.still(fails)()
			default:
				n.still(f)()
			}
		})
	}
	unheard := func() {}
	switch x := fx.(type) {
	case leader.Tell:
		l := x.Link.(*simLink)
		l.carry(l.follower, func() {
			l.follower.desk.Post(api.Met{})
			l.leader.desk.Post(api.Met{})
			l.follower.desk.Post(&x.Down)
			l.follower.holderStep(&x.Down)
		})
	case leader.Load:
		n.load(x.Epoch)
	case leader.LoadRecords:
		n.loadRecords(x)
	case leader.Commit:
		if !slices.Contains(x.Txn.If, wire.Guard{Key: leader.Key, Version: x.Epoch}) {
			w.breaks("unguarded: a leader's write is not bound to its epoch")
		}
		n.commit(x.Txn, false, during(x.Epoch), func(o store.Outcome, err error) {
			n.leaderStep(leader.Committed{Epoch: x.Epoch, Tag: x.Tag, Outcome: o, Err: err})
		})
	case leader.ReadKey:
		n.readKey(x)
	case leader.Rent:
		cloud(func() {
			names, ok := w.cloud.Rent(w.now, x.Rental)
			m := leader.Rented{Epoch: x.Epoch, Request: x.Rental.Request, Machines: names, NoCapacity: !ok}
			if !ok {
				m.Err = errors.New("no capacity")
			}
			n.leaderStep(m)
		}, func() {
			n.leaderStep(leader.Rented{Epoch: x.Epoch, Request: x.Rental.Request, Err: errTrouble})
		})
	case leader.Delete:
		cloud(func() {
			w.cloud.Delete(x.Machines)
			n.leaderStep(leader.Deleted{Epoch: x.Epoch, Machines: x.Machines})
		}, func() {
			n.leaderStep(leader.Deleted{Epoch: x.Epoch, Machines: x.Machines, Err: errTrouble})
		})
	case leader.List:
		cloud(func() { n.leaderStep(leader.Listed{Machines: w.cloud.List(w.now)}) }, unheard)
	case leader.ReadCatalog:
		cloud(func() { n.leaderStep(leader.CatalogRead{Types: w.cloud.Types}) }, unheard)
	case leader.Resign:
		w.after(1, n.still(func() { n.electorStep(election.Resign{Epoch: n.elector.Epoch()}) }))
	case leader.Log:
	default:
		panic(fmt.Sprintf("unknown effect %T", fx))
	}
}

func (n *simNode) load(epoch uint64) {
	var items []wire.Item
	var rev uint64
	asked := n.w.now
	n.ask(func() {
		items = nil
		all, r := n.w.store.List("")
		rev = r
		for _, it := range all {
			if !strings.HasPrefix(it.Key, "run/") && !strings.HasPrefix(it.Key, leader.EndPrefix) {
				items = append(items, it)
			}
		}
	}, func(err error) {
		if n.elector.Epoch() != epoch {
			return
		}
		if err != nil {
			n.w.after(100*clock.Millisecond, n.still(func() { n.load(epoch) }))
			return
		}
		n.jobEpoch, n.jobRev = epoch, rev
		n.leaderStep(leader.Loaded{Epoch: epoch, Items: items, Revision: rev, Wall: n.w.now, Asked: asked})
	})
}

func (n *simNode) loadRecords(x leader.LoadRecords) {
	var items []wire.Item
	n.ask(func() { items, _ = n.w.store.List(block.RecordPrefix(x.Block)) }, func(err error) {
		if n.elector.Epoch() != x.Epoch {
			return
		}
		if err != nil {
			n.w.after(100*clock.Millisecond, n.still(func() { n.loadRecords(x) }))
			return
		}
		pages, err := block.Pages(items)
		must(err)
		n.leaderStep(leader.Records{Epoch: x.Epoch, Block: x.Block, Token: x.Token, Pages: pages})
	})
}

func (n *simNode) readKey(x leader.ReadKey) {
	var it wire.Item
	var ok bool
	n.ask(func() { it, ok = n.w.store.Get(x.Key) }, func(err error) {
		if n.elector.Epoch() != x.Epoch {
			return
		}
		if err != nil {
			n.w.after(100*clock.Millisecond, n.still(func() { n.readKey(x) }))
			return
		}
		it.Key = x.Key
		n.leaderStep(leader.Read{Epoch: x.Epoch, Tag: x.Tag, Item: it, Found: ok})
	})
}
