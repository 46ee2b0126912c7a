package scenario

import (
	"container/heap"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"

	"swiftledge/internal/clock"
	"swiftledge/internal/config"
	"swiftledge/internal/fake"
	"swiftledge/wire"
)

// world is a cluster with all that it talks to.
type world struct {
	transcript  *transcript // nil: nothing is recorded
	now         clock.Micros
	seq         int
	events      events
	rng         *rand.Rand
	cfg         config.Config
	store       *fake.Store
	cloud       *fake.Cloud
	nodes       []*simNode
	workers     []*simWorker
	byName      map[string]*simWorker
	coming      []*fake.Instance  // rented and not up yet
	rented      int               // how many of the cloud's machines were taken in
	holds       map[string][]held // by team: what was on machines when last looked at
	jobs        map[string]wire.Job
	runS        map[string]float64
	aborted     map[string]clock.Micros // when the user was told
	broken      []string
	malformed   int            // transactions that the state service refused for their form
	unannounced bool           // its limits fell below what the settings say
	ran         map[string]int // completed runs by task
	outputs     *fake.Outputs
	history     *history
	next        *config.Next            // limits that the settings name for later
	sent        map[string]clock.Micros // when a job was accepted
	begun       map[string]clock.Micros // when its first task ran
	stop        context.CancelFunc
	ctx         context.Context
	// A zone that is cut off from everything; what is sent meanwhile comes at the end.
	cutZone  string
	cutUntil clock.Micros
	// The cloud answers 503 to everything.
	cloudDown    bool
	cloudLate    float64                  // share of its requests that get no answer and are carried out seconds later
	commandsLate float64                  // the same of the direct commands
	submitted    int                      // jobs that random worlds have submitted
	told         map[string]wire.JobState // by job: the latest state that any node told
	fits         map[string]clock.Micros  // by job: since when it waits beside room for it
	bodies       map[string][]byte        // submissions
	mistaken     map[string]int           // by job: each how many-eth task fails wherever it runs
	tried        map[string]clock.Micros  // by job: when a task of it last began to run
	asked        int                      // requests of controllers to the state service
	said         int                      // messages between different controllers
	looks        bool                     // users ask everywhere, and submit again, as soon as something was told
}

const step = 50 * clock.Millisecond

// newWorld makes a cluster; its transcript has the name.
func newWorld(name string, cfg config.Config, types []wire.MachineType, seed uint64) *world {
	ctx, stop := context.WithCancel(context.Background())
	w := &world{transcript: transcripts.open(name), rng: rand.New(rand.NewPCG(seed, 1)), cfg: cfg, ctx: ctx, stop: stop,
		store:  fake.NewStore(cfg.Facts.State.ValueKB, cfg.Facts.State.TxnOps),
		cloud:  fake.NewCloud(types, clock.FromSeconds(cfg.Facts.Cloud.ListLagS)),
		byName: map[string]*simWorker{}, holds: map[string][]held{},
		jobs: map[string]wire.Job{}, runS: map[string]float64{}, aborted: map[string]clock.Micros{}, ran: map[string]int{}, next: cfg.Facts.State.Next, sent: map[string]clock.Micros{}, begun: map[string]clock.Micros{},
		told: map[string]wire.JobState{}, fits: map[string]clock.Micros{}, bodies: map[string][]byte{}, mistaken: map[string]int{}, tried: map[string]clock.Micros{}}
	w.outputs, w.history = fake.NewOutputs(), newHistory(w)
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
	w.store.ExpireLeases(w.now)
	for _, n := range w.nodes {
		n.tick()
	}
	w.coming = append(w.coming, w.cloud.Created[w.rented:]...)
	w.rented = len(w.cloud.Created)
	w.coming = slices.DeleteFunc(w.coming, func(m *fake.Instance) bool {
		up := !m.Deleted && !m.Failed && !m.NeverBoots && !m.NeverReports && w.now >= m.BootedAt
		if up {
			w.boot(m)
		}
		return up || m.Deleted
	})
	for _, s := range w.workers {
		s.tick(w)
	}
	for _, ref := range sortedKeys(w.aborted) {
		if w.now-w.aborted[ref] > clock.FromSeconds(w.cfg.Facts.Workers.CancelS) {
			for _, s := range w.workers {
				for _, t := range s.Tasks {
					if t.Job.Ref == ref && t.IsActive() && !s.dead {
						w.breaks("ran_cancelled: %s on %s", t.Task, s.Name)
					}
				}
			}
		}
	}
	w.watchWaiting()
	if w.looks {
		for i, ref := range sortedKeys(w.jobs) {
			if n := w.nodes[(int(w.now/step)+i)%len(w.nodes)]; n.alive && n.frozenUntil <= w.now && w.told[ref] != wire.JobDone && w.told[ref] != wire.JobCancelled {
				w.hear(ref, n.lookUp(ref))
			}
		}
	}
	w.after(step, w.tick)
}

func sortedKeys[V any](m map[string]V) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}
