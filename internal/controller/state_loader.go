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

// attemptDecodeRetry is the delay before attempt records that cannot be decoded are read again.
const attemptDecodeRetry = time.Second

// stateLoader reads the persisted state from the store for the leader. Its methods retry until they succeed or until
// the context ends, which happens at the end of the leader's term.
type stateLoader struct {
	store  *store.Client
	clock  clock.Steady
	log    *slog.Logger
	leader mailbox[leader.Message]
	// resign resigns leadership of a term.
	resign func(cluster.Term)
	// watchTime is how long the store holds a watch of the jobs open.
	watchTime clock.Micros
}

// loadState reads the state that a new term starts with, sends it to the leader, and then watches the jobs.
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

// readState reads all keys that a new leader needs. It returns the revision from which to watch the jobs. The lists are
// requested concurrently: an overloaded controller that requested the lists in sequence would wait for each answer in
// turn, in total longer than the leader's lease lasts. The order of the lists does not matter, because during the term
// only users change jobs, and transactions on all other keys have a condition on the leader key.
func (l *stateLoader) readState(ctx context.Context) ([]wire.Item, uint64, error) {
	prefixes := []string{
		leader.JobPrefix, leader.LayoutKey, leader.CatalogKey,
		shard.KeyPrefix, jobs.ProgressPrefix, leader.InstanceGroupPrefix,
	}
	type listResult struct {
		items    []wire.Item
		revision uint64
		err      error
	}
	results := make([]listResult, len(prefixes))
	var requests sync.WaitGroup
	for i, prefix := range prefixes {
		requests.Go(func() {
			var list listResult
			list.items, list.revision, list.err = l.store.List(ctx, store.PriorityUrgent, prefix)
			results[i] = list
		})
	}
	requests.Wait()
	var all []wire.Item
	for _, list := range results {
		if list.err != nil {
			return nil, 0, list.err
		}
		all = append(all, list.items...)
	}
	return all, results[0].revision, nil
}

// watchJobs reports every change of the jobs after a revision to the leader.
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
			l.resign(term) // the watch is too far behind: a new term reads the complete state again
			return
		default:
			failures++
			store.Backoff(ctx, failures)
		}
	}
}

// loadAttempts reads the attempt records of a shard. It retries for as long as records cannot be decoded: without these
// records the running tasks are unknown, so the shard must not be granted.
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
		if !clock.Sleep(ctx, attemptDecodeRetry) {
			return
		}
	}
}

// readKey reads one key of the store for the leader.
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
