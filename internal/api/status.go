package api

import (
	"context"
	"encoding/json"
	"errors"

	"swiftledge/internal/clock"
	"swiftledge/internal/leader"
	"swiftledge/internal/store"
	"swiftledge/wire"
)

// starvedAfter is for how long polls for a job may fail before the next goes first.
const starvedAfter = 15 * clock.Second

// Status reads a job's state: 200, 404 once the store has said so, or 503.
func (s *Service) Status(ref string) Result {
	if !s.validator.isJobRef(ref) {
		return notFound()
	}
	view := s.options.Jobs.Lookup(ref)
	if view.FinalState != nil {
		return finalResult(ref, *view.FinalState)
	}
	ctx, cancel := context.WithTimeout(context.Background(), userReadTimeout)
	defer cancel()
	result, err := s.withRetries(ctx, func() (Result, error) { return s.readStatus(ctx, ref, view) })
	if err != nil {
		s.options.Jobs.Post(pollFailed{ref})
		return storeUnavailable()
	}
	if view.UnansweredFor > 0 {
		s.options.Jobs.Post(pollAnswered{ref})
	}
	return result
}

// readStatus reads a job's state from the store. Counts of tasks come from the view.
func (s *Service) readStatus(ctx context.Context, ref string, view View) (Result, error) {
	priority := readPriority(view)
	// One transaction replaces the job's record by its final state, so this order never misses both.
	_, err := s.options.Store.Get(ctx, priority, leader.JobPrefix+ref)
	if err == nil {
		return statusResult(unfinishedStatus(ref, view)), nil
	}
	if !errors.Is(err, store.ErrNotFound) {
		return Result{}, err
	}
	item, err := s.options.Store.Get(ctx, priority, leader.FinalStatePrefix+ref)
	if errors.Is(err, store.ErrNotFound) {
		return notFound(), nil
	}
	if err != nil {
		return Result{}, err
	}
	var final leader.FinalStateRecord
	if err := json.Unmarshal(item.Value, &final); err != nil {
		return Result{}, err
	}
	s.options.Jobs.Post(jobEnded{ref, final})
	return finalResult(ref, final), nil
}

// readPriority is that of a poll. With more polls than the store takes, chance would leave some jobs without
// an answer for minutes: those that have waited go first.
func readPriority(view View) store.Priority {
	if view.UnansweredFor > starvedAfter {
		return store.PriorityStarvedReads
	}
	return store.PriorityReads
}

// unfinishedStatus is the status of a job that is not over.
func unfinishedStatus(ref string, view View) wire.JobStatus {
	status := wire.JobStatus{Ref: ref, State: wire.JobQueued, Done: view.Count.Done, Running: view.Count.Running}
	if status.Running > 0 {
		status.State = wire.JobRunning
	}
	return status
}
