package scenario

import (
	"context"

	"swiftledge/internal/api"
	"swiftledge/internal/clock"
	"swiftledge/internal/cluster"
	"swiftledge/internal/config"
	"swiftledge/internal/election"
	"swiftledge/internal/leader"
	"swiftledge/internal/pausedetect"
	"swiftledge/internal/shard"
)

// simController is a controller: the actors of the program, with simulated surroundings.
type simController struct {
	world       *world
	index       int
	name        string
	cfg         config.Config
	incarnation int
	running     bool
	faults      controllerFaults
	// runsOldVersion has it go by today's limits alone and move nothing, as the version in production does.
	runsOldVersion bool

	elector  *election.Elector
	leader   *leader.Leader
	holder   *shard.Holder
	jobCache *api.JobCache
	service  *api.Service
	pauses   pausedetect.Recorder

	term              cluster.Term // that it follows
	leaderLink        *simLink
	leaderKeyRevision uint64       // up to which it has seen the leader's key; 0: not at all
	loadedTerm        cluster.Term // in which it has loaded the leader's state; 0: none
	loadedRevision    uint64       // up to which it has seen the jobs
}

// controllerFaults is what goes wrong with a controller.
type controllerFaults struct {
	storeUnreachable     bool    // by it alone
	peersUnreachable     bool    // the other controllers
	agentsUnreachable    bool    // the workers
	watchHangs           bool    // its watch of the jobs; all else is served
	storeResponsesToLose int     // while the requests are carried out
	lostResponseShare    float64 // of its transactions that are carried out at once and get no answer
	lateTxnShare         float64 // of its transactions that get no answer and are carried out seconds later
	requestsDelayedUntil clock.Micros
	pausedUntil          clock.Micros // the process does nothing while its clocks run on
}

// any says whether anything is wrong.
func (f *controllerFaults) any(now clock.Micros) bool {
	return f.storeUnreachable || f.peersUnreachable || f.agentsUnreachable || f.watchHangs ||
		f.storeResponsesToLose > 0 || f.lostResponseShare > 0 || f.lateTxnShare > 0 ||
		f.requestsDelayedUntil > now || f.pausedUntil > now
}

// newController describes a controller, which does not run yet.
func newController(w *world, index int) *simController {
	c := &simController{world: w, index: index, name: controllerName(index), cfg: w.cfg}
	c.cfg.Name = c.name
	c.cfg.Zone = w.cfg.Facts.Zones[index%len(w.cfg.Facts.Zones)]
	for other := range w.cfg.Facts.InitialSize {
		if other != index {
			c.cfg.Peers = append(c.cfg.Peers, config.Peer{Name: controllerName(other)})
		}
	}
	return c
}

// start starts the process. Of the one before it, nothing is left.
func (c *simController) start() {
	c.incarnation++
	c.running, c.faults.pausedUntil = true, 0
	c.cfg.Facts.State.Next, c.cfg.Tuning.Spread = c.world.nextLimits, c.world.cfg.Tuning.Spread
	if c.runsOldVersion {
		c.cfg.Facts.State.Next = nil
		c.cfg.Tuning.Spread.Enabled = false // which the version in production does not know
	}
	c.term, c.leaderLink, c.leaderKeyRevision, c.loadedTerm = 0, nil, 0, 0
	record := election.Record{Controller: c.name, Incarnation: c.uniqueIncarnation()}
	c.elector = election.New(record, clock.FromSeconds(c.cfg.Tuning.Election.TTLS))
	c.leader = leader.New(&c.cfg, c.reachesStore)
	c.holder = shard.FromConfig(&c.cfg, c.reachesStore)
	c.startService()
	c.readLeaderKey()
}

// uniqueIncarnation differs from those of all controllers.
func (c *simController) uniqueIncarnation() cluster.Incarnation {
	const maxControllers = 100
	return cluster.Incarnation(c.incarnation*maxControllers + c.index)
}

// startService starts what serves users. Its cache runs until the world is stopped.
func (c *simController) startService() {
	now := func() clock.Micros { return c.world.now }
	mayRetry := func(_ context.Context, attempt int) bool { return attempt < 3 }
	c.jobCache = api.NewJobCache(&c.cfg, now)
	cache := c.jobCache
	c.world.goroutines.Go(func() { cache.Run(c.world.ctx) })
	c.service = api.New(api.Options{
		Config:       &c.cfg,
		Store:        c,
		Backoff:      mayRetry,
		Jobs:         c.jobCache,
		StoreHealthy: c.reachesStore,
		TimeOfDay:    now,
	})
}

// crash ends the process at once.
func (c *simController) crash() {
	c.running = false
	c.incarnation++
	for _, other := range c.world.controllers {
		link := other.leaderLink
		if link != nil && (other == c || link.leader == c) {
			c.world.after(100*clock.Millisecond, link.disconnect)
		}
	}
}

// ifSameProcess runs f only if the process that asked is still the same.
func (c *simController) ifSameProcess(f func()) func() {
	incarnation := c.incarnation
	return func() {
		c.whenResumed(func() {
			if c.running && c.incarnation == incarnation {
				f()
			}
		})
	}
}

// whenResumed runs f, or when the process goes on again if it is paused.
func (c *simController) whenResumed(f func()) {
	if c.faults.pausedUntil > c.world.now {
		c.world.after(c.faults.pausedUntil-c.world.now, func() { c.whenResumed(f) })
		return
	}
	f()
}

// isResponsive says whether the process runs and is not paused.
func (c *simController) isResponsive() bool { return c.running && c.faults.pausedUntil <= c.world.now }

// leads says whether the controller is the leader, as far as it knows.
func (c *simController) leads() bool { return c.running && c.elector.Term() > 0 }

// tick is one step of the process: what its watches have seen, and the ticks of its actors.
func (c *simController) tick() {
	if !c.isResponsive() {
		return
	}
	if c.reachesStore() {
		c.watchLeaderKey()
		c.watchJobs()
	}
	c.electorStep(election.Tick{})
	c.leaderStep(leader.Tick{})
	c.holderStep(shard.Tick{})
}

// watchLeaderKey brings changes of the leader's key to the elector.
func (c *simController) watchLeaderKey() {
	if c.leaderKeyRevision == 0 {
		return
	}
	c.recordWatch(leader.Key, c.leaderKeyRevision)
	changes := c.world.store.ChangesSince(leader.Key, c.leaderKeyRevision)
	c.leaderKeyRevision = max(c.leaderKeyRevision, changes.Revision)
	for _, event := range changes.Events {
		seen, ok, err := election.DecodeEvent(event)
		must(err)
		if ok {
			c.electorStep(seen)
		}
	}
}

// watchJobs brings changes of the jobs to the leader. It resigns if the store has dropped some of them.
func (c *simController) watchJobs() {
	if c.loadedTerm > 0 && !c.world.store.HasChangesSince(c.loadedRevision) {
		term := c.loadedTerm
		c.loadedTerm = 0
		c.electorStep(election.Resign{Term: term})
	}
	if c.loadedTerm == 0 || c.faults.watchHangs {
		return
	}
	c.recordWatch(leader.JobPrefix, c.loadedRevision)
	changes := c.world.store.ChangesSince(leader.JobPrefix, c.loadedRevision)
	c.loadedRevision = max(c.loadedRevision, changes.Revision)
	c.leaderStep(leader.JobsChanged{Term: c.loadedTerm, Events: changes.Events, RequestedAt: c.world.now})
}
