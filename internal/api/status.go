package api

import (
	"context"
	"errors"

	"swiftledge/internal/clock"
	"swiftledge/internal/exactjson"
	"swiftledge/internal/leader"
	"swiftledge/internal/store"
	"swiftledge/wire"
)

// starvationThreshold is how long polls for a job may fail before the next poll gets a higher priority.
const starvationThreshold = 15 * clock.Second

// Status returns the result of a status poll: 200 with the job's status, 404 only if the reference is malformed or the
// store has answered that the job does not exist, or 503.
func (s *Service) Status(ref string) Result {
	if !s.validator.isJobRef(ref) {
		return notFoundResult()
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
		return storeUnavailableResult()
	}
	if view.UnansweredFor > 0 {
		s.options.Jobs.Post(pollAnswered{ref})
	}
	return result
}

// readStatus reads a job's state from the store. The task counts come from the view.
func (s *Service) readStatus(ctx context.Context, ref string, view View) (Result, error) {
	priority := readPriority(view)
	// A single transaction replaces a job's record with its final state. Reading the job's record first and the final
	// state second cannot miss both.
	_, err := s.options.Store.Get(ctx, priority, leader.JobPrefix+ref)
	if err == nil {
		return statusResult(unfinishedStatus(ref, view)), nil
	}
	if !errors.Is(err, store.ErrNotFound) {
		return Result{}, err
	}
	item, err := s.options.Store.Get(ctx, priority, leader.FinalStatePrefix+ref)
	if errors.Is(err, store.ErrNotFound) {
		return notFoundResult(), nil
	}
	if err != nil {
		return Result{}, err
	}
	var final leader.FinalStateRecord
	if err := exactjson.Unmarshal(item.Value, &final); err != nil {
		return Result{}, err
	}
	s.options.Jobs.Post(jobEnded{ref, final})
	return finalResult(ref, final), nil
}

// readPriority returns the priority of a status poll. With more polls than the store's limit allows, some jobs would
// by chance get no answer for minutes. A job's poll gets a higher priority when its polls have failed for long.
func readPriority(view View) store.Priority {
	if view.UnansweredFor > starvationThreshold {
		return store.PriorityStarvedReads
	}
	return store.PriorityReads
}

// unfinishedStatus returns the status of a job that has no final state yet.
func unfinishedStatus(ref string, view View) wire.JobStatus {
	status := wire.JobStatus{Ref: ref, State: wire.JobQueued, Done: view.Count.Done, Running: view.Count.Running}
	if status.Running > 0 {
		status.State = wire.JobRunning
	}
	return status
}
