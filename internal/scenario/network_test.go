package scenario

import (
	"context"
	"errors"
	"slices"

	"swiftledge/internal/api"
	"swiftledge/internal/clock"
	"swiftledge/internal/cluster"
	"swiftledge/internal/election"
	"swiftledge/internal/fake"
	"swiftledge/internal/leader"
	"swiftledge/internal/peer"
	"swiftledge/internal/shard"
	"swiftledge/internal/store"
	"swiftledge/wire"
)

// apart says whether the cut zone lies between two places; "" is the region.
func (w *world) apart(a, b string) bool {
	return w.now < w.cutUntil && (a == w.cutZone) != (b == w.cutZone)
}

// held is a task on a machine.
type held struct {
	s *simWorker
	t *fake.Task
}

// simLink is a connection from a follower to the leader.
type simLink struct {
	epoch            cluster.Term
	follower, leader *simNode
	fgen, lgen       int
	broken           bool
	last             map[*simNode]clock.Micros // when the latest message to an end arrives
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
			w.after(1500*clock.Millisecond, n.still(func() { answer(store.ErrOutcomeUnknown) }))
		case !n.reaches():
			w.after(w.lat(), n.still(func() { answer(store.ErrNotExecuted) }))
		case n.loseAnswers > 0:
			n.loseAnswers--
			f()
			w.after(1500*clock.Millisecond, n.still(func() { answer(store.ErrOutcomeUnknown) }))
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

func (n *simNode) txn(t wire.Txn, answer func(store.TxnResult, error)) {
	n.sendsTxn(t)
	var o store.TxnResult
	var problem string
	if n.lost > 0 && n.reaches() && n.w.rng.Float64() < n.lost {
		n.w.store.Txn(t)
		n.w.after(1500*clock.Millisecond, n.still(func() { answer(o, store.ErrOutcomeUnknown) }))
		return
	}
	if n.delayed(t) {
		n.w.after(1500*clock.Millisecond, n.still(func() { answer(o, store.ErrOutcomeUnknown) }))
		return
	}
	n.ask(func() { o, problem = n.w.store.Txn(t) }, func(err error) {
		if err == nil && problem != "" {
			err = errors.New(problem)
			if o.Rejected = !o.LeaseExpired; o.Rejected {
				n.w.malformed++
				if !n.w.unannounced {
					n.w.breaks("malformed transaction: %s", problem)
				}
			}
		}
		if err != nil {
			answer(store.TxnResult{LeaseExpired: o.LeaseExpired, Rejected: o.Rejected}, err)
			return
		}
		answer(o, nil)
	})
}

func (n *simNode) commit(t wire.Txn, unsure bool, live func() bool, answer func(store.TxnResult, error)) {
	n.txn(t, func(o store.TxnResult, err error) {
		if !live() {
			return
		}
		if errors.Is(err, store.ErrOutcomeUnknown) || errors.Is(err, store.ErrNotExecuted) {
			again := unsure || errors.Is(err, store.ErrOutcomeUnknown)
			n.w.after(100*clock.Millisecond, n.still(func() { n.commit(t, again, live, answer) }))
			return
		}
		o.Ambiguous = unsure
		answer(o, err)
	})
}

// Get and Once serve the users' requests, which scenarios make outside of time.
func (n *simNode) Get(_ context.Context, _ store.Priority, key string) (wire.Item, error) {
	n.sendsRead(key)
	if !n.reaches() {
		return wire.Item{}, store.ErrNotExecuted
	}
	if it, ok := n.w.store.Get(key); ok {
		return it, nil
	}
	return wire.Item{}, store.ErrNotFound
}

func (n *simNode) TryCommit(_ context.Context, _ store.Priority, t wire.Txn) (store.TxnResult, error) {
	n.sendsTxn(t)
	if !n.reaches() {
		return store.TxnResult{}, store.ErrNotExecuted
	}
	if n.delayed(t) {
		return store.TxnResult{}, store.ErrOutcomeUnknown
	}
	o, problem := n.w.store.Txn(t)
	if problem != "" {
		return o, errors.New(problem)
	}
	if n.loseAnswers > 0 || n.lost > 0 && n.w.rng.Float64() < n.lost {
		n.loseAnswers = max(0, n.loseAnswers-1)
		return store.TxnResult{}, store.ErrOutcomeUnknown
	}
	return o, nil
}

func (n *simNode) look() {
	var it wire.Item
	var rev uint64
	n.sendsRead(leader.Key)
	n.ask(func() {
		it, _ = n.w.store.Get(leader.Key)
		_, rev = n.w.store.List("none")
	}, func(err error) {
		if err != nil {
			n.w.after(200*clock.Millisecond, n.still(n.look))
			return
		}
		seen, err := election.ObserveKey(it, rev)
		must(err)
		n.leaderRev = max(n.leaderRev, rev)
		n.electorStep(seen)
	})
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
							o.still(func() { o.report(r, func(shard.HeartbeatReply) {}) })()
						}
					})
				}
			}
		}
		s.kept = nil
	}
}

func (n *simNode) follow(epoch cluster.Term, name string) {
	w := n.w
	w.after(w.lat(), n.still(func() {
		if n.epoch != epoch {
			return
		}
		i := slices.IndexFunc(w.nodes, func(o *simNode) bool { return o.name == name })
		to := w.nodes[i]
		away := to.away(n)
		if to.alive && !away && to != n {
			n.directory.Post(api.PeerContacted{})
			to.directory.Post(api.PeerContacted{})
		}
		if !to.alive || to.elector.Term() != epoch || away {
			w.after(300*clock.Millisecond, n.still(func() { n.follow(epoch, name) }))
			return
		}
		if n.link != nil {
			n.link.end()
		}
		l := &simLink{epoch: epoch, follower: n, leader: to, fgen: n.gen, lgen: to.gen, last: map[*simNode]clock.Micros{}}
		n.link = l
		to.leaderStep(leader.PeerConnected{Controller: n.name, Incarnation: cluster.Incarnation(n.gen), Link: l})
		n.holderStep(shard.LeaderConnected{Term: epoch})
	}))
}

// Send is not reached: the simulation carries messages over a link itself.
func (*simLink) Send(*peer.FromLeader) { panic("a simulated link was sent over") }

// end breaks a link; both sides see it if they are still there.
func (l *simLink) end() {
	if l.broken {
		return
	}
	l.broken = true
	f, to := l.follower, l.leader
	to.awake(func() {
		if to.alive && to.gen == l.lgen {
			to.leaderStep(leader.PeerDisconnected{Controller: f.name, Link: l})
		}
	})
	f.awake(func() {
		if f.alive && f.gen == l.fgen && f.link == l {
			f.link = nil
			f.holderStep(shard.LeaderDisconnected{Term: l.epoch})
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
