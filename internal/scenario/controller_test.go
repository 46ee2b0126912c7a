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

// simController is a simulated controller process: the program's real actors, with simulated I/O.
type simController struct {
	world       *world
	index       int
	name        string
	cfg         config.Config
	incarnation int
	running     bool
	faults      controllerFaults
	// runsOldVersion makes the controller behave like the version in production: it uses only the current store limits,
	// not the announced ones, and migrates no tasks.
	runsOldVersion bool

	elector  *election.Elector
	leader   *leader.Leader
	holder   *shard.Holder
	jobCache *api.JobCache
	service  *api.Service
	pauses   pausedetect.Recorder

	term              cluster.Term // term of the leader that the controller follows
	leaderLink        *simLink
	watchesLeaderKey  bool         // the leader's key was read since the start, so changes of it are watched
	leaderKeyRevision uint64       // revision up to which the watch has delivered changes of the leader's key
	loadedTerm        cluster.Term // term in which the leader has loaded its state; 0: none
	loadedRevision    uint64       // revision up to which the leader has seen the jobs
}

// controllerFaults holds the current faults of a controller.
type controllerFaults struct {
	storeUnreachable     bool         // this controller cannot reach the state service
	peersUnreachable     bool         // this controller and the other controllers cannot reach each other
	agentsUnreachable    bool         // this controller and the agents cannot reach each other
	watchHangs           bool         // its watch of the jobs gets no events; the state service serves all its other requests
	storeResponsesToLose int          // number of next responses of the state service to lose; the requests are executed
	lostResponseShare    float64      // share of its transactions that are executed at once and get no response
	lateTxnShare         float64      // share of its transactions that get no response and are executed seconds later
	requestsDelayedUntil clock.Micros // requests of its actors to the state service are executed only then and get no response
	pausedUntil          clock.Micros // the process does nothing until this time, while its clocks advance
}

// any reports whether any fault is active.
func (f *controllerFaults) any(now clock.Micros) bool {
	return f.storeUnreachable || f.peersUnreachable || f.agentsUnreachable || f.watchHangs ||
		f.storeResponsesToLose > 0 || f.lostResponseShare > 0 || f.lateTxnShare > 0 ||
		f.requestsDelayedUntil > now || f.pausedUntil > now
}

// newController creates a controller that does not run yet.
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

// start starts the controller's process. The new process keeps no state of an earlier process.
func (c *simController) start() {
	c.incarnation++
	c.running, c.faults.pausedUntil = true, 0
	c.cfg.Facts.State.Next, c.cfg.Tuning.Spread = c.world.nextLimits, c.world.cfg.Tuning.Spread
	if c.runsOldVersion {
		c.cfg.Facts.State.Next = nil
		c.cfg.Tuning.Spread.Enabled = false // the version in production has no rebalancing
	}
	c.term, c.leaderLink, c.loadedTerm = 0, nil, 0
	c.watchesLeaderKey, c.leaderKeyRevision = false, 0
	record := election.Record{Controller: c.name, Incarnation: c.uniqueIncarnation()}
	c.elector = election.New(record, clock.FromSeconds(c.cfg.Tuning.Election.TTLS))
	c.leader = leader.New(&c.cfg, c.reachesStore)
	c.holder = shard.FromConfig(&c.cfg, c.reachesStore)
	c.startService()
	c.observeLeaderKey()
}

// uniqueIncarnation returns an incarnation that no other controller uses.
func (c *simController) uniqueIncarnation() cluster.Incarnation {
	const maxControllers = 100
	return cluster.Incarnation(c.incarnation*maxControllers + c.index)
}

// startService starts the user service. Its job cache runs until the world is stopped.
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

// crash ends the controller's process at once. The links of the process break shortly afterwards.
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

// ifSameProcess returns a function that runs f at once, or when the process resumes if it is paused. The function does
// nothing if the process has crashed since this call, even if the controller was restarted.
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

// whenResumed runs f at once, or when the process resumes if it is paused.
func (c *simController) whenResumed(f func()) {
	if c.faults.pausedUntil > c.world.now {
		c.world.after(c.faults.pausedUntil-c.world.now, func() { c.whenResumed(f) })
		return
	}
	f()
}

// isResponsive reports whether the process runs and is not paused.
func (c *simController) isResponsive() bool { return c.running && c.faults.pausedUntil <= c.world.now }

// leads reports whether the controller considers itself leader.
func (c *simController) leads() bool { return c.running && c.elector.Term() > 0 }

// tick delivers the watched changes to the actors and ticks them.
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

// watchLeaderKey delivers changes of the leader's key to the elector.
func (c *simController) watchLeaderKey() {
	if !c.watchesLeaderKey {
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

// watchJobs delivers changes of the jobs to the leader. The leader resigns if the store has compacted changes that
// it has not seen.
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
