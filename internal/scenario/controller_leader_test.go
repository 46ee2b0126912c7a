package scenario

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"swiftledge/internal/api"
	"swiftledge/internal/clock"
	"swiftledge/internal/election"
	"swiftledge/internal/leader"
	"swiftledge/internal/shard"
	"swiftledge/internal/store"
	"swiftledge/wire"
)

const (
	// cloudLatency is the response time of the cloud.
	cloudLatency = 100 * clock.Millisecond
	// cloudTimeout is how long a leader waits for a response of the cloud.
	cloudTimeout = 5 * clock.Second
)

var (
	errCloudDown  = errors.New("the cloud is down")
	errNoCapacity = errors.New("no capacity")
)

func (c *simController) leaderStep(msg leader.Message) {
	for _, effect := range c.leader.Step(c.world.now, msg) {
		c.leaderEffect(effect)
	}
}

// leaderEffect executes an effect of the leader.
func (c *simController) leaderEffect(effect leader.Effect) {
	switch x := effect.(type) {
	case leader.SendToHolder:
		c.sendToHolder(x)
	case leader.LoadState:
		c.loadState(x)
	case leader.LoadAttempts:
		c.loadAttempts(x)
	case leader.CommitTxn:
		c.commitLeaderTxn(x)
	case leader.ReadKey:
		c.readKey(x)
	case leader.ProvisionMachines:
		c.provisionMachines(x)
	case leader.DeleteMachines:
		c.deleteMachines(x)
	case leader.ListMachines:
		c.recordSent(toCloud, "GET /hosts")
		c.callCloud(func() leader.Message {
			return leader.MachinesListed{Machines: c.world.cloud.List(c.world.now)}
		}, nil)
	case leader.LoadCatalog:
		c.recordSent(toCloud, "GET /catalog")
		c.callCloud(func() leader.Message { return leader.CatalogLoaded{Types: c.world.cloud.Types} }, nil)
	case leader.Resign:
		c.world.after(1, c.ifSameProcess(func() { c.electorStep(election.Resign{Term: c.elector.Term()}) }))
	case leader.PauseDetected:
		c.pauses.Add(x.Pause)
	case leader.Log, leader.RecordSpan:
	case leader.ReplyStatus:
		x.ReplyTo <- x.Status
	default:
		panic(fmt.Sprintf("unknown effect %T", effect))
	}
}

// sendToHolder sends a message over the link to a holder. The holder in the leader's own process has a link, too.
func (c *simController) sendToHolder(x leader.SendToHolder) {
	for _, grant := range x.Message.Grants {
		c.world.rules.history.checkGrant(grant)
	}
	link := x.Link.(*simLink)
	c.recordFrame(link.follower, &x.Message)
	link.send(link.follower, func() {
		link.follower.jobCache.Post(api.PeerContacted{})
		link.leader.jobCache.Post(api.PeerContacted{})
		link.follower.jobCache.Post(api.LeaderMessage{Message: &x.Message})
		link.follower.holderStep(shard.LeaderMessage{Message: &x.Message})
	})
}

// commitLeaderTxn commits a leader's transaction. It retries the transaction as long as the term lasts.
func (c *simController) commitLeaderTxn(x leader.CommitTxn) {
	if !slices.Contains(x.Txn.Conditions, wire.Condition{Key: leader.Key, Version: uint64(x.Term)}) {
		c.world.reportViolation("unguarded: a leader's transaction had no condition on the leader's term")
	}
	c.commit(commitCall{
		txn:      x.Txn,
		isNeeded: func() bool { return c.elector.Term() == x.Term },
		onResult: func(result store.TxnResult, err error) {
			c.leaderStep(leader.TxnCompleted{Term: x.Term, Tag: x.Tag, Result: result, Err: err})
		},
	})
}

func (c *simController) provisionMachines(x leader.ProvisionMachines) {
	c.recordJSON(toCloud, "POST /hosts", x.Request)
	response := leader.MachinesProvisioned{Term: x.Term, RequestID: x.Request.RequestID}
	failure := response
	failure.Err = errCloudDown
	c.callCloud(func() leader.Message {
		names, ok := c.world.cloud.Provision(c.world.now, x.Request)
		response.Machines, response.NoCapacity = names, !ok
		if !ok {
			response.Err = errNoCapacity
		}
		return response
	}, failure)
}

func (c *simController) deleteMachines(x leader.DeleteMachines) {
	c.recordJSON(toCloud, "POST /hosts/delete", wire.MachineNames{Names: x.Machines})
	c.callCloud(func() leader.Message {
		c.world.cloud.Delete(x.Machines)
		return leader.MachinesDeleted{Term: x.Term, Machines: x.Machines}
	}, leader.MachinesDeleted{Term: x.Term, Machines: x.Machines, Err: errCloudDown})
}

// callCloud sends a request to the cloud and passes the response to the leader, even if the leader has lost leadership
// meanwhile. With the fault of late requests, the cloud may execute the request late, after the leader stopped waiting.
// If the cloud is down or the request is late, the leader gets the message failure, unless that is nil. A request from
// a partitioned zone is lost without any message to the leader.
func (c *simController) callCloud(execute func() leader.Message, failure leader.Message) {
	w := c.world
	fail := func() {
		if failure != nil {
			c.leaderStep(failure)
		}
	}
	w.after(cloudLatency, func() {
		switch {
		case w.isPartitioned(c.cfg.Zone, ""):
		case w.faults.cloudDown:
			c.ifSameProcess(fail)()
		case w.faults.lateCloudRequestShare > 0 && w.rng.Float64() < w.faults.lateCloudRequestShare:
			w.after(w.extraDelay(extraDelayRange), func() { execute() })
			w.after(cloudTimeout, c.ifSameProcess(fail))
		default:
			c.ifSameProcess(func() { c.leaderStep(execute()) })()
		}
	})
}

// loadState reads the stored state that a new leader needs.
func (c *simController) loadState(x leader.LoadState) {
	var items []wire.Item
	var revision uint64
	requestedAt := c.world.now
	c.recordList("")
	c.callInTerm(termCall{
		term:    x.Term,
		execute: func() { items, revision = c.world.leaderState() },
		retry:   func() { c.loadState(x) },
		onSuccess: func() {
			c.loadedTerm, c.loadedRevision = x.Term, revision
			c.leaderStep(leader.StateLoaded{
				Term:        x.Term,
				Items:       items,
				Revision:    revision,
				TimeOfDay:   c.world.now,
				RequestedAt: requestedAt,
			})
		},
	})
}

// leaderState returns everything in the store except attempts and final states.
func (w *world) leaderState() ([]wire.Item, uint64) {
	items, revision := w.store.List("")
	items = slices.DeleteFunc(items, func(i wire.Item) bool {
		return strings.HasPrefix(i.Key, attemptPrefix) || strings.HasPrefix(i.Key, leader.FinalStatePrefix)
	})
	return items, revision
}

// loadAttempts reads the attempt pages of a shard.
func (c *simController) loadAttempts(x leader.LoadAttempts) {
	var items []wire.Item
	prefix := shard.AttemptPrefix(x.Shard)
	c.recordList(prefix)
	c.callInTerm(termCall{
		term:    x.Term,
		execute: func() { items, _ = c.world.store.List(prefix) },
		retry:   func() { c.loadAttempts(x) },
		onSuccess: func() {
			pages, err := shard.DecodeAttemptPages(items)
			must(err)
			c.leaderStep(leader.AttemptsLoaded{Term: x.Term, Shard: x.Shard, FencingToken: x.FencingToken, Pages: pages})
		},
	})
}

// readKey reads one key.
func (c *simController) readKey(x leader.ReadKey) {
	var item wire.Item
	var found bool
	c.recordRead(x.Key)
	c.callInTerm(termCall{
		term:    x.Term,
		execute: func() { item, found = c.world.store.Get(x.Key) },
		retry:   func() { c.readKey(x) },
		onSuccess: func() {
			item.Key = x.Key
			c.leaderStep(leader.KeyRead{Term: x.Term, Tag: x.Tag, Item: item, Found: found})
		},
	})
}
