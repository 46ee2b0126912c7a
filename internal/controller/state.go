package controller

import (
	"context"
	"errors"
	"sync"
	"time"

	"swiftledge/internal/clock"
	"swiftledge/internal/cluster"
	"swiftledge/internal/election"
	"swiftledge/internal/leader"
	"swiftledge/internal/leader/jobs"
	"swiftledge/internal/shard"
	"swiftledge/internal/store"
	"swiftledge/wire"
)

// load reads what an epoch starts from and then watches the jobs.
func (n *Controller) load(ctx context.Context, epoch cluster.Term) {
	for i := 0; ; i++ {
		asked := n.clock.Now()
		items, revision, err := n.readState(ctx)
		if err == nil {
			n.leader <- leader.StateLoaded{Term: epoch, Items: items, Revision: revision, TimeOfDay: clock.Wall(), RequestedAt: asked}
			n.watchJobs(ctx, epoch, revision)
			return
		}
		if !store.Backoff(ctx, i) {
			return
		}
	}
}

// readState lists all that a new leader reads, and gives the revision from which the jobs are
// to be watched. The lists are asked for at once: one after the other, a controller that is
// behind with its work would wait for each answer in turn, for longer than its lease lasts.
// Their order does not matter, as only users change jobs while this epoch lasts: all other
// keys are written under a guard on the leader key.
func (n *Controller) readState(ctx context.Context) ([]wire.Item, uint64, error) {
	prefixes := []string{leader.JobPrefix, leader.LayoutKey, leader.CatalogKey, shard.KeyPrefix, jobs.ProgressPrefix, leader.InstanceGroupPrefix}
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
			l.items, l.revision, l.err = n.store.List(ctx, store.PriorityUrgent, prefix)
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

func (n *Controller) watchJobs(ctx context.Context, epoch cluster.Term, rev uint64) {
	// Two answers, one behind the other, have to come within the time that a view may be old.
	wait := n.cfg.MaxViewAge() / 3
	for i := 0; ctx.Err() == nil; {
		asked := n.clock.Now()
		a, err := n.store.Watch(ctx, leader.JobPrefix, rev, wait)
		switch {
		case err == nil:
			i = 0
			rev = max(rev, a.Revision)
			if ctx.Err() == nil {
				n.leader <- leader.JobsChanged{Term: epoch, Events: a.Events, RequestedAt: asked}
			}
		case errors.Is(err, store.ErrCompacted):
			// Too far behind: a new epoch reads everything again.
			n.elector <- election.Resign{Term: epoch}
			return
		default:
			i++
			store.Backoff(ctx, i)
		}
	}
}

func (n *Controller) loadRecords(ctx context.Context, x leader.LoadAttempts) {
	logged := false
	for i := 0; ; i++ {
		items, _, err := n.store.List(ctx, store.PriorityUrgent, shard.AttemptPrefix(x.Shard))
		if err == nil {
			pages, err := shard.DecodeAttemptPages(items)
			if err != nil {
				// What may run is not known, so the block is not granted.
				if !logged {
					n.log.Error("start records", "block", x.Shard, "error", err)
				}
				logged = true
				time.Sleep(time.Second)
				continue
			}
			n.leader <- leader.AttemptsLoaded{Term: x.Term, Shard: x.Shard, FencingToken: x.FencingToken, Pages: pages}
			return
		}
		if !store.Backoff(ctx, i) {
			return
		}
	}
}
