// Package node wires the actors of one controller: it carries out their effects
// and brings the results back to them as messages.
package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/goccy/go-json"
	"github.com/valyala/fasthttp"

	"swiftledge/internal/api"
	"swiftledge/internal/block"
	"swiftledge/internal/clock"
	"swiftledge/internal/cloud"
	"swiftledge/internal/config"
	"swiftledge/internal/election"
	"swiftledge/internal/leader"
	"swiftledge/internal/netio"
	"swiftledge/internal/peer"
	"swiftledge/internal/store"
	"swiftledge/wire"
)

// mailbox is how an actor is spoken to.
type mailbox chan any

const mailboxSize = 4096

// localLink stands for the way from the leader to the holder of the same process.
type localLink struct{ epoch uint64 }

// holderUp and holderDown change who the holder speaks to: a *peer.Link or a localLink.
type (
	holderUp struct {
		epoch uint64
		link  any
	}
	holderDown struct {
		epoch uint64
		link  any
	}
	askEpoch struct{ answer chan uint64 }
)

// Node is one controller.
type Node struct {
	cfg     *config.Config
	log     *slog.Logger
	clock   clock.Steady
	run     uint64
	store   *store.Client
	health  *health
	cloud   *cloud.Client
	workers *fasthttp.Client
	dialled dialled
	desk    *api.Desk
	office  *peer.Office

	elector, leader, holder mailbox
	cloudWork               chan func()
	directs                 chan struct{}
}

// New makes a node; Serve runs it.
func New(cfg *config.Config, log *slog.Logger) *Node {
	n := &Node{cfg: cfg, log: log, clock: clock.NewSteady(), run: rand.Uint64() >> 1,
		elector: make(mailbox, mailboxSize), leader: make(mailbox, mailboxSize), holder: make(mailbox, mailboxSize),
		cloudWork: make(chan func(), 64), directs: make(chan struct{}, 64)}
	n.health = newHealth()
	n.store = store.New(cfg.Endpoints.State, n.share(false), n.health.note)
	n.cloud = cloud.New(cfg.Endpoints.Cloud, cfg.Facts.Cloud.RPS)
	n.workers = &fasthttp.Client{MaxConnsPerHost: 3, MaxIdemponentCallAttempts: 1, MaxIdleConnDuration: 40 * time.Second,
		RetryIfErr:               func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		NoDefaultUserAgentHeader: true, ReadBufferSize: 2048, WriteBufferSize: 2048,
		Dial: n.dialled.dial}
	n.desk = api.NewDesk(cfg, n.clock.Now)
	n.office = peer.NewOffice(cfg.Name, n.store, cfg.ValueBytes(), peer.LetterGap)
	return n
}

// share is this node's part of the store's budget: the leader writes most. The
// parts add up to more than the whole, since bursts seldom meet; see store.Budget.
func (n *Node) share(leads bool) store.Budget {
	part := 0.35
	switch {
	case len(n.cfg.Peers) == 0:
		part = 0.95
	case leads:
		part = 0.5
	}
	s := n.cfg.Facts.State
	return store.Budget{RPS: s.RPS * part, Puts: s.WriteRPS * part}
}

// Serve runs the node until ctx ends or a listener fails.
func (n *Node) Serve(ctx context.Context) error {
	back, err := netio.Listen(n.cfg.Back)
	if err != nil {
		return fmt.Errorf("listen for controllers: %w", err)
	}
	front, err := netio.Listen(n.cfg.ServeOn)
	if err != nil {
		return fmt.Errorf("listen for users and workers: %w", err)
	}
	go n.tick(ctx)
	go n.runElector(ctx)
	go n.runLeader(ctx)
	go n.runHolder(ctx)
	for range cloudCalls {
		go n.runCloud(ctx)
	}
	go n.watchLeader(ctx)
	go n.acceptPeers(back)
	go n.office.Run(ctx, func(c net.Conn) { go n.acceptPeer(c, true) })
	go n.desk.Run(ctx)
	svc := api.New(n.cfg, n.store, store.Pause, n.desk, n.health.ok, n.report, clock.Wall, n.log)
	n.log.Info("serving", "node", n.cfg.Name, "on", n.cfg.ServeOn)
	return svc.Serve(front)
}

// report hands a worker's report to the holder and waits for its answer.
func (n *Node) report(r *wire.Report) block.Answer {
	ch := make(chan block.Answer, 1)
	n.holder <- block.Report{Tag: ch, R: r}
	return <-ch
}

// tickEvery is how often time passes for the actors, for all of them at once: on a
// small machine each wake-up costs more than what is then done.
const tickEvery = 250 * time.Millisecond

func (n *Node) tick(ctx context.Context) {
	t := time.NewTicker(tickEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		for _, to := range []struct {
			box mailbox
			msg any
		}{{n.elector, election.Tick{}}, {n.leader, leader.Tick{}}, {n.holder, block.Tick{}}} {
			select {
			case to.box <- to.msg:
			default:
			}
		}
	}
}

func (n *Node) runElector(ctx context.Context) {
	e := election.New(election.Record{Node: n.cfg.Name, Run: n.run}, clock.FromSeconds(n.cfg.Tuning.Election.TTLS))
	for msg := range n.elector {
		if q, ok := msg.(askEpoch); ok {
			q.answer <- e.Epoch()
			continue
		}
		for _, fx := range e.Step(n.clock.Now(), msg) {
			n.electorEffect(ctx, fx)
		}
	}
}

func (n *Node) electorEffect(ctx context.Context, fx any) {
	switch x := fx.(type) {
	case election.GetLease:
		go func() {
			sent := n.clock.Now()
			id, err := n.store.Grant(short(ctx), x.TTL)
			n.elector <- election.Leased{Lease: id, Sent: sent, Err: err}
		}()
	case election.Claim:
		go func() {
			t, err := x.Txn()
			if err != nil {
				n.log.Error("claim", "error", err)
				return
			}
			o, err := n.store.Once(short(ctx), store.Urgent, t)
			n.elector <- election.Claimed{Lease: x.Lease, Outcome: o, Err: err}
		}()
	case election.Renew:
		go func() {
			sent := n.clock.Now()
			err := n.store.Touch(short(ctx), x.Lease)
			n.elector <- election.Renewed{Lease: x.Lease, Sent: sent, Err: err}
		}()
	case election.Drop:
		go n.store.Drop(short(ctx), x.Lease)
	case election.Look:
		go n.look(ctx)
	case election.Lead:
		n.store.SetBudget(n.share(true))
		n.leader <- leader.Elected{Epoch: x.Epoch, Run: n.run}
		n.leader <- leader.Authority{Until: x.Until}
	case election.Extend:
		n.leader <- leader.Authority{Until: x.Until}
	case election.Depose:
		n.log.Info("no longer leading", "epoch", x.Epoch)
		n.store.SetBudget(n.share(false))
		n.leader <- leader.Deposed{}
	case election.Follow:
		n.log.Info("following", "leader", x.Node, "epoch", x.Epoch)
		n.desk.Post(api.Following{Epoch: x.Epoch, Node: x.Node})
		if x.Epoch > 0 {
			go n.follow(ctx, x.Epoch, x.Node)
		}
	}
}

// short bounds a call that the next tick would repeat anyway.
func short(ctx context.Context) context.Context {
	c, cancel := context.WithTimeout(ctx, 2*time.Second)
	context.AfterFunc(c, cancel)
	return c
}

func (n *Node) look(ctx context.Context) (uint64, bool) {
	items, rev, err := n.store.List(short(ctx), store.Urgent, leader.Key)
	if err != nil {
		time.Sleep(200 * time.Millisecond)
		n.log.Debug("cannot read the leader key", "error", err)
		return 0, false
	}
	var key wire.Item
	for _, it := range items {
		if it.Key == leader.Key {
			key = it
		}
	}
	seen, err := election.SeenKey(key, rev)
	if err != nil {
		n.log.Error("look for the leader", "error", err)
	}
	n.elector <- seen
	return rev, true
}

// watchLeader tells the elector of every change of the leader key.
func (n *Node) watchLeader(ctx context.Context) {
	for ctx.Err() == nil {
		rev, ok := n.look(ctx)
		for ok && ctx.Err() == nil {
			a, err := n.store.Watch(ctx, leader.Key, rev, 10*clock.Second)
			if err != nil {
				time.Sleep(100*time.Millisecond + rand.N(200*time.Millisecond))
				break
			}
			rev = max(rev, a.Revision)
			for _, ev := range a.Events {
				seen, ok, err := election.SeenEvent(ev)
				if err != nil {
					n.log.Error("watch the leader", "error", err)
				} else if ok {
					n.elector <- seen
				}
			}
		}
	}
}

// follow keeps a link to the leader of an epoch until another epoch begins.
func (n *Node) follow(ctx context.Context, epoch uint64, name string) {
	if name == n.cfg.Name {
		l := localLink{epoch}
		n.leader <- leader.Joined{Node: n.cfg.Name, Run: n.run, Link: l}
		n.holder <- holderUp{epoch, l}
		return
	}
	addr := ""
	for _, p := range n.cfg.Peers {
		if p.Name == name {
			addr = p.Address
		}
	}
	if addr == "" {
		n.log.Error("leader is not among the known controllers", "leader", name)
		return
	}
	for fails := 0; ctx.Err() == nil && n.desk.Epoch() == epoch; {
		l, err := peer.Dial(addr, peer.Hello{Node: n.cfg.Name, Run: n.run, Epoch: epoch})
		switch {
		case err == nil:
			fails = 0
			n.desk.Post(api.Met{})
			n.linked(epoch, l)
			continue
		case errors.Is(err, peer.ErrNotLeading):
			n.desk.Post(api.Met{})
		default:
			fails++
		}
		n.log.Debug("cannot reach the leader", "error", err)
		if fails >= usual {
			fails = 0
			n.letters(ctx, epoch, name, addr)
			continue
		}
		time.Sleep(200*time.Millisecond + rand.N(100*time.Millisecond))
	}
}

// usual is how often in a row the leader may be out of reach before letters are tried.
const usual = 4

// letters speaks to the leader through the state service until it can be reached again.
func (n *Node) letters(ctx context.Context, epoch uint64, name, addr string) {
	l, err := n.office.Dial(ctx, name, peer.Hello{Node: n.cfg.Name, Run: n.run, Epoch: epoch})
	if err != nil {
		n.log.Debug("no answer to letters", "leader", name, "error", err)
		return
	}
	n.log.Info("linked through the state service", "leader", name)
	over := make(chan struct{})
	go func() {
		for {
			select {
			case <-over:
				return
			case <-time.After(3 * time.Second):
			}
			if c, err := netio.Dial(addr, time.Second); err == nil {
				c.Close()
				l.Close()
				return
			}
		}
	}()
	n.linked(epoch, l)
	close(over)
}

// linked serves a link to the leader until it ends.
func (n *Node) linked(epoch uint64, l *peer.Link) {
	n.holder <- holderUp{epoch, l}
	l.Follow(func(d *peer.Down) {
		n.desk.Post(api.Met{})
		n.desk.Post(d)
		n.holder <- d
	})
	n.holder <- holderDown{epoch, l}
}

func (n *Node) acceptPeers(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			n.log.Error("accept controller", "error", err)
			time.Sleep(100 * time.Millisecond)
			continue
		}
		go n.acceptPeer(c, false)
	}
}

func (n *Node) acceptPeer(c net.Conn, slow bool) {
	peer.Accept(c, slow, peer.Hello{Node: n.cfg.Name, Run: n.run}, func(h peer.Hello) bool {
		n.desk.Post(api.Met{})
		q := askEpoch{make(chan uint64, 1)}
		n.elector <- q
		epoch := <-q.answer
		return epoch > 0 && epoch == h.Epoch
	}, func(l *peer.Link) {
		n.leader <- leader.Joined{Node: l.Peer.Node, Run: l.Peer.Run, Link: l, Slow: slow}
	}, func(l *peer.Link, u *peer.Up) {
		n.desk.Post(api.Met{})
		n.leader <- leader.Said{Node: l.Peer.Node, Link: l, Up: u}
	}, func(l *peer.Link) {
		n.leader <- leader.Left{Node: l.Peer.Node, Link: l}
	})
}

func (n *Node) runHolder(ctx context.Context) {
	h := block.FromConfig(n.cfg, n.health.ok)
	var link any
	for msg := range n.holder {
		switch m := msg.(type) {
		case holderUp:
			if l, ok := link.(*peer.Link); ok && l != m.link {
				l.Close()
			}
			link = m.link
			slow := false
			if l, ok := m.link.(*peer.Link); ok {
				slow = l.Slow()
			}
			msg = block.Linked{Epoch: m.epoch, Slow: slow}
		case holderDown:
			if link != m.link {
				continue
			}
			link = nil
			msg = block.Unlinked{Epoch: m.epoch}
		}
		for _, fx := range h.Step(n.clock.Now(), msg) {
			n.holderEffect(ctx, link, fx)
		}
	}
}

func (n *Node) holderEffect(ctx context.Context, link, fx any) {
	switch x := fx.(type) {
	case block.Send:
		switch l := link.(type) {
		case *peer.Link:
			l.Send(&x.Up)
		case localLink:
			n.leader <- leader.Said{Node: n.cfg.Name, Link: l, Up: &x.Up}
		}
	case block.Answer:
		x.Tag.(chan block.Answer) <- x
	case block.Orders:
		go n.direct(x)
	case block.Inspect:
		go n.inspect(x)
	case block.Record:
		// No task of it is ordered before the store has said yes.
		go n.keep(ctx, store.Starts, x.Txn, func(o store.Outcome) any { return x.Settled(o) })
	case block.Compact:
		go n.keep(ctx, store.Lazy, x.Txn, func(o store.Outcome) any { return x.Settled(o) })
	case block.Erase:
		go func() {
			if _, err := n.store.Once(ctx, store.Lazy, x.Txn()); err != nil {
				// They stay as upper bounds until the block's next grant.
				n.log.Debug("start records not erased", "error", err)
			}
		}()
	}
}

// direct sends a command to a worker and brings back what became of it.
func (n *Node) direct(o block.Orders) {
	n.directs <- struct{}{}
	defer func() { <-n.directs }()
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	done := block.Ordered{Orders: o}
	raw, err := json.Marshal(o.Body)
	if err != nil {
		n.log.Error("encode orders", "error", err)
		return
	}
	req.Header.SetMethod("POST")
	req.Header.SetContentType("application/json")
	req.SetRequestURI("http://" + o.Address + "/orders")
	req.SetBodyRaw(raw)
	if n.dialled.count() > n.cfg.CommandSockets() {
		req.SetConnectionClose()
	}
	switch err := n.workers.DoTimeout(req, res, 3*time.Second); {
	case errors.Is(err, errDial):
		done.Status = block.NotSent
	case err == nil:
		done.Status = res.StatusCode()
		var r wire.Report
		if (done.Status == 200 || done.Status == 409) && json.Unmarshal(res.Body(), &r) == nil && r.Machine == o.Machine {
			done.R = &r
		}
	}
	n.holder <- done
}

// inspect asks a worker for its report.
func (n *Node) inspect(x block.Inspect) {
	n.directs <- struct{}{}
	defer func() { <-n.directs }()
	done := block.Inspected{Inspect: x}
	status, body, err := n.workers.GetTimeout(nil, "http://"+x.Address+"/inspect", 2*time.Second)
	var r wire.Report
	if err == nil && status == 200 && json.Unmarshal(body, &r) == nil && r.Machine == x.Machine {
		done.R = &r
	}
	n.holder <- done
}

// keep writes start records and tells the holder what became of it.
func (n *Node) keep(ctx context.Context, prio int, txn func() (wire.Txn, error), settled func(store.Outcome) any) {
	ctx, cancel := context.WithTimeout(ctx, 8*time.Second)
	defer cancel()
	t, err := txn()
	if err != nil {
		n.log.Error("start records", "error", err)
		return
	}
	o, err := n.store.Commit(ctx, prio, t)
	if err != nil {
		n.log.Debug("start records not written", "error", err)
	}
	n.holder <- settled(o)
}

type epoch struct {
	ctx context.Context
	end context.CancelFunc
}

func newEpoch(ctx context.Context) epoch {
	c, end := context.WithCancel(ctx)
	return epoch{c, end}
}

func (n *Node) runLeader(ctx context.Context) {
	l := leader.New(n.cfg, n.health.ok)
	// What an epoch has under way ends with it.
	ep := newEpoch(ctx)
	for msg := range n.leader {
		switch msg.(type) {
		case leader.Elected, leader.Deposed:
			ep.end()
			ep = newEpoch(ctx)
		}
		for _, fx := range l.Step(n.clock.Now(), msg) {
			n.leaderEffect(ep.ctx, fx)
		}
	}
}

func (n *Node) leaderEffect(ctx context.Context, fx any) {
	switch x := fx.(type) {
	case leader.Tell:
		switch l := x.Link.(type) {
		case *peer.Link:
			l.Send(&x.Down)
		case localLink:
			n.desk.Post(&x.Down)
			n.holder <- &x.Down
		}
	case leader.Load:
		go n.load(ctx, x.Epoch)
	case leader.LoadRecords:
		go n.loadRecords(ctx, x)
	case leader.Commit:
		go func() {
			o, err := n.store.Commit(ctx, x.Prio, x.Txn)
			if ctx.Err() != nil {
				return
			}
			if err != nil {
				n.log.Error("transaction failed", "error", err)
			}
			n.leader <- leader.Committed{Epoch: x.Epoch, Tag: x.Tag, Outcome: o, Err: err}
		}()
	case leader.ReadKey:
		go func() {
			for i := 0; ; i++ {
				it, err := n.store.Get(ctx, store.Starts, x.Key)
				if err == nil || errors.Is(err, store.ErrMissing) {
					it.Key = x.Key
					n.leader <- leader.Read{Epoch: x.Epoch, Tag: x.Tag, Item: it, Found: err == nil}
					return
				}
				if !store.Pause(ctx, i) {
					return
				}
			}
		}()
	case leader.Rent:
		n.toCloud(func() {
			names, err := n.cloud.Rent(x.Rental)
			n.leader <- leader.Rented{Epoch: x.Epoch, Request: x.Rental.Request, Machines: names,
				NoCapacity: errors.Is(err, cloud.ErrNoCapacity), Err: err}
		})
	case leader.Delete:
		n.toCloud(func() {
			n.leader <- leader.Deleted{Epoch: x.Epoch, Machines: x.Machines, Err: n.cloud.Delete(x.Machines)}
		})
	case leader.List:
		n.toCloud(n.list)
	case leader.ReadCatalog:
		n.toCloud(func() {
			if c, err := n.cloud.Catalog(); err != nil {
				n.log.Debug("catalog", "error", err)
			} else {
				n.leader <- leader.CatalogRead{Types: c.Types}
			}
		})
	case leader.Resign:
		n.log.Info("resigning", "why", x.Why)
		go func() {
			q := askEpoch{make(chan uint64, 1)}
			n.elector <- q
			if e := <-q.answer; e > 0 {
				n.elector <- election.Resign{Epoch: e}
			}
		}()
	case leader.Log:
		if x.Debug {
			n.log.Debug(x.Text, x.Args...)
		} else {
			n.log.Info(x.Text, x.Args...)
		}
	}
}

// load reads what an epoch starts from and then watches the jobs.
func (n *Node) load(ctx context.Context, epoch uint64) {
	for i := 0; ; i++ {
		asked := n.clock.Now()
		items, revision, err := n.readState(ctx)
		if err == nil {
			n.leader <- leader.Loaded{Epoch: epoch, Items: items, Revision: revision, Wall: clock.Wall(), Asked: asked}
			n.watchJobs(ctx, epoch, revision)
			return
		}
		if !store.Pause(ctx, i) {
			return
		}
	}
}

// readState lists all that a new leader reads, and gives the revision from which the jobs are
// to be watched. The lists are asked for at once: one after the other, a controller that is
// behind with its work would wait for each answer in turn, for longer than its lease lasts.
// Their order does not matter, as only users change jobs while this epoch lasts: all other
// keys are written under a guard on the leader key.
func (n *Node) readState(ctx context.Context) ([]wire.Item, uint64, error) {
	prefixes := []string{leader.JobPrefix, leader.LayoutKey, leader.CatalogKey, block.KeyPrefix, leader.ProgPrefix, leader.FleetPrefix}
	type listing struct {
		items    []wire.Item
		revision uint64
		err      error
	}
	listings := make([]listing, len(prefixes))
	var wait sync.WaitGroup
	for i, prefix := range prefixes {
		wait.Go(func() {
			l := &listings[i]
			l.items, l.revision, l.err = n.store.List(ctx, store.Urgent, prefix)
		})
	}
	wait.Wait()
	var all []wire.Item
	for _, l := range listings {
		if l.err != nil {
			return nil, 0, l.err
		}
		all = append(all, l.items...)
	}
	return all, listings[0].revision, nil
}

func (n *Node) watchJobs(ctx context.Context, epoch, rev uint64) {
	// Two answers, one behind the other, have to come within the time that a view may be old.
	wait := n.cfg.ViewTime() / 3
	for i := 0; ctx.Err() == nil; {
		asked := n.clock.Now()
		a, err := n.store.Watch(ctx, leader.JobPrefix, rev, wait)
		switch {
		case err == nil:
			i = 0
			rev = max(rev, a.Revision)
			if ctx.Err() == nil {
				n.leader <- leader.Watched{Epoch: epoch, Events: a.Events, Asked: asked}
			}
		case errors.Is(err, store.ErrGone):
			// Too far behind: a new epoch reads everything again.
			n.elector <- election.Resign{Epoch: epoch}
			return
		default:
			i++
			store.Pause(ctx, i)
		}
	}
}

func (n *Node) loadRecords(ctx context.Context, x leader.LoadRecords) {
	for i := 0; ; i++ {
		items, _, err := n.store.List(ctx, store.Urgent, block.RecordPrefix(x.Block))
		if err == nil {
			pages, err := block.Pages(items)
			if err != nil {
				// What may run is not known, so the block is not granted.
				n.log.Error("start records", "block", x.Block, "error", err)
				time.Sleep(time.Second)
				continue
			}
			n.leader <- leader.Records{Epoch: x.Epoch, Block: x.Block, Token: x.Token, Pages: pages}
			return
		}
		if !store.Pause(ctx, i) {
			return
		}
	}
}

func (n *Node) toCloud(f func()) {
	select {
	case n.cloudWork <- f:
	default:
		n.log.Debug("cloud calls pile up, one is left out")
	}
}

// cloudCalls is how many cloud calls may be under way at once: one that is slow or
// refused must not hold up the others.
const cloudCalls = 4

func (n *Node) runCloud(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-n.cloudWork:
			f()
		}
	}
}

func (n *Node) list() {
	var all []wire.Machine
	after := ""
	for {
		l, err := n.cloud.List(after)
		if err != nil {
			n.log.Debug("machine list", "error", err)
			return
		}
		all = append(all, l.Machines...)
		if !l.More || len(l.Machines) == 0 {
			n.leader <- leader.Listed{Machines: all}
			return
		}
		after = l.Machines[len(l.Machines)-1].Name
	}
}
