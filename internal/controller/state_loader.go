package controller

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"swiftledge/internal/clock"
	"swiftledge/internal/cluster"
	"swiftledge/internal/leader"
	"swiftledge/internal/leader/jobs"
	"swiftledge/internal/shard"
	"swiftledge/internal/store"
	"swiftledge/wire"
)

// attemptDecodeRetry is how long to wait before attempt records that could not be decoded are read again.
const attemptDecodeRetry = time.Second

// stateLoader reads for the leader what the store holds. Each of its methods tries until it succeeds or the
// context, which ends with the leader's term, does.
type stateLoader struct {
	store  *store.Client
	clock  clock.Steady
	log    *slog.Logger
	leader mailbox[leader.Message]
	// resign gives up leadership of a term.
	resign func(cluster.Term)
	// watchTime is how long the store holds a watch of the jobs open.
	watchTime clock.Micros
}

// loadState reads what a term starts from and then watches the jobs.
func (l *stateLoader) loadState(ctx context.Context, term cluster.Term) {
	for try := 0; ; try++ {
		requested := l.clock.Now()
		items, revision, err := l.readState(ctx)
		if err == nil {
			l.leader.send(leader.StateLoaded{
				Term:        term,
				Items:       items,
				Revision:    revision,
				TimeOfDay:   clock.Wall(),
				RequestedAt: requested,
			})
			l.watchJobs(ctx, term, revision)
			return
		}
		if !store.Backoff(ctx, try) {
			return
		}
	}
}

// readState lists all that a new leader reads. It returns the revision from which the jobs are to be watched.
// The lists are requested at once: one after the other, a controller that is behind with its work would wait for
// each answer in turn, for longer than its lease lasts. Their order does not matter, as only users change jobs
// while the term lasts: all other keys are written on condition of the leader key.
func (l *stateLoader) readState(ctx context.Context) ([]wire.Item, uint64, error) {
	prefixes := []string{
		leader.JobPrefix, leader.LayoutKey, leader.CatalogKey,
		shard.KeyPrefix, jobs.ProgressPrefix, leader.InstanceGroupPrefix,
	}
	type listing struct {
		items    []wire.Item
		revision uint64
		err      error
	}
	listings := make([]listing, len(prefixes))
	var requests sync.WaitGroup
	for i, prefix := range prefixes {
		requests.Go(func() {
			var list listing
			list.items, list.revision, list.err = l.store.List(ctx, store.PriorityUrgent, prefix)
			listings[i] = list
		})
	}
	requests.Wait()
	var all []wire.Item
	for _, list := range listings {
		if list.err != nil {
			return nil, 0, list.err
		}
		all = append(all, list.items...)
	}
	return all, listings[0].revision, nil
}

// watchJobs tells the leader of every change of the jobs after a revision.
func (l *stateLoader) watchJobs(ctx context.Context, term cluster.Term, revision uint64) {
	for failures := 0; ctx.Err() == nil; {
		requested := l.clock.Now()
		response, err := l.store.Watch(ctx, leader.JobPrefix, revision, l.watchTime)
		switch {
		case err == nil:
			failures = 0
			revision = max(revision, response.Revision)
			if ctx.Err() == nil {
				l.leader.send(leader.JobsChanged{Term: term, Events: response.Events, RequestedAt: requested})
			}
		case errors.Is(err, store.ErrCompacted):
			l.resign(term) // too far behind: a new term reads everything again
			return
		default:
			failures++
			store.Backoff(ctx, failures)
		}
	}
}

// loadAttempts reads the attempt records of a shard. Those that cannot be decoded are read again and again: as it
// is not known what may run, the shard is not granted.
func (l *stateLoader) loadAttempts(ctx context.Context, request leader.LoadAttempts) {
	logged := false
	for try := 0; ; try++ {
		items, _, err := l.store.List(ctx, store.PriorityUrgent, shard.AttemptPrefix(request.Shard))
		if err != nil {
			if !store.Backoff(ctx, try) {
				return
			}
			continue
		}
		pages, err := shard.DecodeAttemptPages(items)
		if err == nil {
			l.leader.send(leader.AttemptsLoaded{
				Term:         request.Term,
				Shard:        request.Shard,
				FencingToken: request.FencingToken,
				Pages:        pages,
			})
			return
		}
		if !logged {
			l.log.Error("cannot decode attempt records", "shard", request.Shard, "error", err)
		}
		logged = true
		if !sleep(ctx, attemptDecodeRetry) {
			return
		}
	}
}

// readKey reads one key.
func (l *stateLoader) readKey(ctx context.Context, request leader.ReadKey) {
	for try := 0; ; try++ {
		item, err := l.store.Get(ctx, store.PriorityAttempts, request.Key)
		if err == nil || errors.Is(err, store.ErrNotFound) {
			item.Key = request.Key
			l.leader.send(leader.KeyRead{Term: request.Term, Tag: request.Tag, Item: item, Found: err == nil})
			return
		}
		if !store.Backoff(ctx, try) {
			return
		}
	}
}
