package scenario

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"swiftledge/internal/api"
	"swiftledge/internal/clock"
	"swiftledge/internal/cluster"
	"swiftledge/internal/config"
	"swiftledge/internal/election"
	"swiftledge/internal/leader"
	"swiftledge/internal/pausedetect"
	"swiftledge/internal/shard"
	"swiftledge/internal/store"
	"swiftledge/wire"
)

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
	old         bool         // it goes by today's limits alone and spreads nothing, as the version in production does
	cfg         config.Config
	elector     *election.Elector
	leader      *leader.Leader
	holder      *shard.Holder
	directory   *api.JobCache
	svc         *api.Service
	epoch       cluster.Term // that it follows
	link        *simLink
	leaderRev   uint64
	jobEpoch    cluster.Term
	jobRev      uint64
	pauses      pausedetect.Recorder
}

// Controllers.

func (n *simNode) start() {
	n.gen++
	n.alive, n.frozenUntil = true, 0
	n.cfg.Facts.State.Next, n.cfg.Tuning.Spread = n.w.next, n.w.cfg.Tuning.Spread
	if n.old {
		n.cfg.Facts.State.Next = nil
		n.cfg.Tuning.Spread.Enabled = false // which the version in production does not know
	}
	n.epoch, n.link, n.leaderRev, n.jobEpoch = 0, nil, 0, 0
	ok := n.reaches
	n.elector = election.New(election.Record{Controller: n.name, Incarnation: cluster.Incarnation(n.gen)*100 + cluster.Incarnation(n.i)}, clock.FromSeconds(n.cfg.Tuning.Election.TTLS))
	n.leader = leader.New(&n.cfg, ok)
	n.holder = shard.FromConfig(&n.cfg, ok)
	now := func() clock.Micros { return n.w.now }
	backoff := func(_ context.Context, attempt int) bool { return attempt < 3 }
	n.directory = api.NewJobCache(&n.cfg, now)
	go n.directory.Run(n.w.ctx)
	n.svc = api.New(api.Options{Config: &n.cfg, Store: n, Backoff: backoff, Jobs: n.directory, StoreHealthy: ok, TimeOfDay: now})
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
			n.sendsWatch(leader.Key, n.leaderRev)
			a := n.w.store.ChangesSince(leader.Key, n.leaderRev)
			n.leaderRev = max(n.leaderRev, a.Revision)
			for _, ev := range a.Events {
				seen, ok, err := election.ObserveEvent(ev)
				must(err)
				if ok {
					n.electorStep(seen)
				}
			}
		}
		if n.jobEpoch > 0 && !n.w.store.HasChangesSince(n.jobRev) {
			epoch := n.jobEpoch
			n.jobEpoch = 0
			n.electorStep(election.Resign{Term: epoch})
		}
		if n.jobEpoch > 0 && !n.stale {
			n.sendsWatch(leader.JobPrefix, n.jobRev)
			a := n.w.store.ChangesSince(leader.JobPrefix, n.jobRev)
			n.jobRev = max(n.jobRev, a.Revision)
			n.leaderStep(leader.JobsChanged{Term: n.jobEpoch, Events: a.Events, RequestedAt: n.w.now})
		}
	}
	n.electorStep(election.Tick{})
	n.leaderStep(leader.Tick{})
	n.holderStep(shard.Tick{})
}

func (n *simNode) electorStep(msg election.Message) {
	for _, fx := range n.elector.Step(n.w.now, msg) {
		n.electorEffect(fx)
	}
}

func (n *simNode) electorEffect(fx election.Effect) {
	w := n.w
	switch x := fx.(type) {
	case election.RequestLease:
		sent := w.now
		var id uint64
		n.sendsGrant(x.TTL)
		n.ask(func() { id = w.store.GrantLease(w.now, x.TTL) }, func(err error) {
			n.electorStep(election.LeaseGranted{Lease: id, Sent: sent, Err: err})
		})
	case election.Campaign:
		t, err := x.Txn()
		must(err)
		n.txn(t, func(o store.TxnResult, err error) {
			n.electorStep(election.CampaignResult{Lease: x.Lease, Result: o, Err: err})
		})
	case election.RenewLease:
		sent := w.now
		found := false
		n.sendsTouch(x.Lease)
		n.ask(func() { found = w.store.RenewLease(w.now, x.Lease) }, func(err error) {
			if err == nil && !found {
				err = store.ErrNotFound
			}
			n.electorStep(election.LeaseRenewed{Lease: x.Lease, Sent: sent, Err: err})
		})
	case election.RevokeLease:
		n.sendsDrop(x.Lease)
		n.ask(func() { w.store.RevokeLease(x.Lease) }, func(error) {})
	case election.ReadLeaderKey:
		n.look()
	case election.AcquireLeadership:
		w.release()
		n.leaderStep(leader.LeadershipAcquired{Term: x.Term, Incarnation: cluster.Incarnation(n.gen)})
		n.leaderStep(leader.LeadershipExtended{Until: x.Until})
	case election.ExtendLeadership:
		n.leaderStep(leader.LeadershipExtended{Until: x.Until})
	case election.LoseLeadership:
		n.jobEpoch = 0
		n.leaderStep(leader.LeadershipLost{})
	case election.FollowLeader:
		n.directory.Post(api.LeaderChanged{Term: x.Term, Controller: x.Controller})
		n.epoch = x.Term
		if x.Term > 0 {
			n.follow(x.Term, x.Controller)
		}
	}
}

func (n *simNode) holderStep(msg shard.Message) {
	for _, fx := range n.holder.Step(n.w.now, msg) {
		n.holderEffect(fx)
	}
}

func (n *simNode) holderEffect(fx shard.Effect) {
	switch x := fx.(type) {
	case shard.SendToLeader:
		if l := n.link; l != nil {
			n.sendsFrame(l.leader, &x.Message)
			l.carry(l.leader, func() { l.leader.leaderStep(leader.HolderMessage{Controller: n.name, Link: l, Message: &x.Message}) })
		}
	case shard.HeartbeatReply:
		x.ReplyTo.Respond(x)
	case shard.RecordSpan:
	case shard.PauseDetected:
		n.pauses.Add(x.Pause)
	case shard.Log:
		n.w.breaks("%s: %v", x.Message, x.Attributes) // the stand-ins never contradict themselves
	case shard.SendCommands:
		n.direct(x)
	case shard.InspectAgent:
		n.inspect(x)
	case shard.WriteAttempts:
		n.keep(x.Txn, func(o store.TxnResult) shard.Message { return x.Result(o) })
	case shard.CompactPages:
		n.keep(x.Txn, func(o store.TxnResult) shard.Message { return x.Result(o) })
	case shard.DeletePages:
		n.txn(x.Txn(), func(store.TxnResult, error) {})
	default:
		panic(fmt.Sprintf("unknown effect %T", fx))
	}
}

// keep writes start records and tells the holder what became of it.
func (n *simNode) keep(txn func() (wire.Txn, error), settled func(store.TxnResult) shard.Message) {
	t, err := txn()
	must(err)
	for _, put := range t.Writes {
		if put.Put != "" && !slices.ContainsFunc(t.Conditions, func(g wire.Condition) bool { return g.Key == put.Put }) {
			n.w.breaks("unguarded: a late copy could put back %s", put.Put)
		}
	}
	n.commit(t, false, func() bool { return true }, func(o store.TxnResult, _ error) { n.holderStep(settled(o)) })
}

func (n *simNode) inspect(x shard.InspectAgent) {
	n.sends(toWorker(x.Machine), "GET /inspect")
	s := n.w.worker(x.Machine)
	settled := false
	settle := func(r *wire.Heartbeat) {
		if !settled {
			settled = true
			n.holderStep(shard.InspectionAnswered{Request: x, Status: r})
		}
	}
	n.w.after(2*clock.Second, n.still(func() { settle(nil) }))
	if s == nil || s.dead || n.blind || s.cut {
		return
	}
	s.deliver(n.w, n, func() {
		if s.dead || s.deaf {
			return
		}
		r := s.Heartbeat()
		s.deliver(n.w, n, n.still(func() { settle(r) }))
	})
}

func (n *simNode) direct(o shard.SendCommands) {
	n.sendsJSON(toWorker(o.Machine), "POST /orders", &o.Body)
	w := n.w
	s := w.worker(o.Machine)
	done := shard.CommandsAnswered{Request: o}
	if s == nil || s.dead || n.blind || (s.cut && s.holdUntil <= w.now) {
		done.Code = shard.NotSent
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
	carryOut := func() {
		if !s.dead && !s.deaf {
			s.HandleCommands(w.now, o.Body)
		}
	}
	if w.commandsLate > 0 && w.rng.Float64() < w.commandsLate {
		w.after(2*clock.Second+clock.Micros(w.rng.Int64N(int64(14*clock.Second))), carryOut)
		return
	}
	s.again(w, carryOut)
	s.deliver(w, n, func() {
		if s.dead || s.deaf {
			return
		}
		result := s.HandleCommands(w.now, o.Body)
		if result.Changed {
			s.changed(w)
		}
		s.deliver(w, n, n.still(func() {
			if !settled {
				settled = true
				done.Code, done.Status = result.Status, result.Heartbeat
				n.holderStep(done)
			}
		}))
	})
}

// report brings a worker's report to the controller.
func (n *simNode) report(r *wire.Heartbeat, answer func(shard.HeartbeatReply)) {
	n.holderStep(shard.HeartbeatReceived{Heartbeat: r, ReplyTo: replyFunc(func(a shard.HeartbeatReply) {
		n.answersReport(r.Machine, a)
		answer(a)
	})})
}

// submit has a user submit a job.
func (n *simNode) submit(body []byte) api.Result {
	return n.answersUser("POST /api/jobs", n.svc.Submit(body))
}

// lookUp has a user ask for a job.
func (n *simNode) lookUp(ref string) api.Result {
	return n.answersUser("GET /api/jobs/"+ref, n.svc.Status(ref))
}

// cancel has a user cancel a job.
func (n *simNode) cancel(ref string) api.Result {
	return n.answersUser("POST /api/jobs/"+ref+"/abort", n.svc.Cancel(ref))
}

// ready says whether the load balancer may send users.
func (n *simNode) ready() bool {
	ready := n.svc.Ready()
	n.sends(toUser, "GET /ready: "+strconv.FormatBool(ready))
	return ready
}

func (n *simNode) leaderStep(msg leader.Message) {
	for _, fx := range n.leader.Step(n.w.now, msg) {
		n.leaderEffect(fx)
	}
}

var errTrouble = errors.New("trouble")

func (n *simNode) leaderEffect(fx leader.Effect) {
	w := n.w
	during := func(epoch cluster.Term) func() bool { return func() bool { return n.elector.Term() == epoch } }
	// The cloud answers within a quarter of a second, also a leader that is none any more; or a
	// request is carried out late, when nobody waits for it any more.
	cloud := func(f func() leader.Message, failed leader.Message) {
		step := func(msg leader.Message) {
			if msg != nil {
				n.leaderStep(msg)
			}
		}
		w.after(100*clock.Millisecond, func() {
			switch {
			case w.apart(n.cfg.Zone, ""):
			case w.cloudDown:
				n.still(func() { step(failed) })()
			case w.cloudLate > 0 && w.rng.Float64() < w.cloudLate:
				w.after(2*clock.Second+clock.Micros(w.rng.Int64N(int64(10*clock.Second))), func() { f() })
				w.after(5*clock.Second, n.still(func() { step(failed) }))
			default:
				n.still(func() { step(f()) })()
			}
		})
	}
	switch x := fx.(type) {
	case leader.SendToHolder:
		for _, g := range x.Message.Grants {
			w.history.grant(g)
		}
		l := x.Link.(*simLink)
		n.sendsFrame(l.follower, &x.Message)
		l.carry(l.follower, func() {
			l.follower.directory.Post(api.PeerContacted{})
			l.leader.directory.Post(api.PeerContacted{})
			l.follower.directory.Post(api.LeaderMessage{Message: &x.Message})
			l.follower.holderStep(shard.LeaderMessage{Message: &x.Message})
		})
	case leader.LoadState:
		n.load(x.Term)
	case leader.LoadAttempts:
		n.loadRecords(x)
	case leader.CommitTxn:
		if !slices.Contains(x.Txn.Conditions, wire.Condition{Key: leader.Key, Version: uint64(x.Term)}) {
			w.breaks("unguarded: a leader's write is not bound to its epoch")
		}
		n.commit(x.Txn, false, during(x.Term), func(o store.TxnResult, err error) {
			n.leaderStep(leader.TxnCompleted{Term: x.Term, Tag: x.Tag, Result: o, Err: err})
		})
	case leader.ReadKey:
		n.readKey(x)
	case leader.ProvisionMachines:
		n.sendsJSON(toCloud, "POST /hosts", x.Request)
		cloud(func() leader.Message {
			names, ok := w.cloud.Provision(w.now, x.Request)
			m := leader.MachinesProvisioned{Term: x.Term, RequestID: x.Request.RequestID, Machines: names, NoCapacity: !ok}
			if !ok {
				m.Err = errors.New("no capacity")
			}
			return m
		}, leader.MachinesProvisioned{Term: x.Term, RequestID: x.Request.RequestID, Err: errTrouble})
	case leader.DeleteMachines:
		n.sendsJSON(toCloud, "POST /hosts/delete", wire.MachineNames{Names: x.Machines})
		cloud(func() leader.Message {
			w.cloud.Delete(x.Machines)
			return leader.MachinesDeleted{Term: x.Term, Machines: x.Machines}
		}, leader.MachinesDeleted{Term: x.Term, Machines: x.Machines, Err: errTrouble})
	case leader.ListMachines:
		n.sends(toCloud, "GET /hosts")
		cloud(func() leader.Message { return leader.MachinesListed{Machines: w.cloud.List(w.now)} }, nil)
	case leader.LoadCatalog:
		n.sends(toCloud, "GET /catalog")
		cloud(func() leader.Message { return leader.CatalogLoaded{Types: w.cloud.Types} }, nil)
	case leader.Resign:
		w.after(1, n.still(func() { n.electorStep(election.Resign{Term: n.elector.Term()}) }))
	case leader.PauseDetected:
		n.pauses.Add(x.Pause)
	case leader.Log, leader.RecordSpan:
	case leader.ReplyStatus:
		x.ReplyTo <- x.Status
	default:
		panic(fmt.Sprintf("unknown effect %T", fx))
	}
}

func (n *simNode) load(epoch cluster.Term) {
	var items []wire.Item
	var rev uint64
	asked := n.w.now
	n.sendsList("")
	n.ask(func() {
		items = nil
		all, r := n.w.store.List("")
		rev = r
		for _, it := range all {
			if !strings.HasPrefix(it.Key, "run/") && !strings.HasPrefix(it.Key, leader.FinalStatePrefix) {
				items = append(items, it)
			}
		}
	}, func(err error) {
		if n.elector.Term() != epoch {
			return
		}
		if err != nil {
			n.w.after(100*clock.Millisecond, n.still(func() { n.load(epoch) }))
			return
		}
		n.jobEpoch, n.jobRev = epoch, rev
		n.leaderStep(leader.StateLoaded{Term: epoch, Items: items, Revision: rev, TimeOfDay: n.w.now, RequestedAt: asked})
	})
}

func (n *simNode) loadRecords(x leader.LoadAttempts) {
	var items []wire.Item
	n.sendsList(shard.AttemptPrefix(x.Shard))
	n.ask(func() { items, _ = n.w.store.List(shard.AttemptPrefix(x.Shard)) }, func(err error) {
		if n.elector.Term() != x.Term {
			return
		}
		if err != nil {
			n.w.after(100*clock.Millisecond, n.still(func() { n.loadRecords(x) }))
			return
		}
		pages, err := shard.DecodeAttemptPages(items)
		must(err)
		n.leaderStep(leader.AttemptsLoaded{Term: x.Term, Shard: x.Shard, FencingToken: x.FencingToken, Pages: pages})
	})
}

func (n *simNode) readKey(x leader.ReadKey) {
	var it wire.Item
	var ok bool
	n.sendsRead(x.Key)
	n.ask(func() { it, ok = n.w.store.Get(x.Key) }, func(err error) {
		if n.elector.Term() != x.Term {
			return
		}
		if err != nil {
			n.w.after(100*clock.Millisecond, n.still(func() { n.readKey(x) }))
			return
		}
		it.Key = x.Key
		n.leaderStep(leader.KeyRead{Term: x.Term, Tag: x.Tag, Item: it, Found: ok})
	})
}
