package api

import (
	"context"
	"encoding/json"
	"errors"

	"swiftledge/internal/leader"
	"swiftledge/internal/store"
	"swiftledge/wire"
)

// Cancel cancels a job unless it is already in a final state. A transaction in the store decides whether a job that
// ends at the same time is done or cancelled.
func (s *Service) Cancel(ref string) Result {
	if !s.validator.isJobRef(ref) {
		return notFoundResult()
	}
	ctx, cancel := context.WithTimeout(context.Background(), userWriteTimeout)
	defer cancel()
	result, err := s.withRetries(ctx, func() (Result, error) { return s.tryCancel(ctx, ref) })
	if err != nil {
		return storeUnavailableResult()
	}
	return result
}

// tryCancel reads a job and cancels it on condition that it has not changed since. It returns errJobChanged if the job
// has changed.
func (s *Service) tryCancel(ctx context.Context, ref string) (Result, error) {
	item, err := s.options.Store.Get(ctx, store.PriorityUrgent, leader.JobPrefix+ref)
	if errors.Is(err, store.ErrNotFound) {
		return s.readStatus(ctx, ref, View{})
	}
	if err != nil {
		return Result{}, err
	}
	final := leader.FinalStateRecord{State: wire.JobCancelled}
	txn, err := endTxn(item.Version, ref, final)
	if err != nil {
		return Result{}, err
	}
	outcome, err := s.options.Store.TryCommit(ctx, store.PriorityUrgent, txn)
	if err != nil {
		return Result{}, err
	}
	if !outcome.Committed {
		return Result{}, errJobChanged
	}
	s.options.Jobs.Post(jobEnded{ref, final})
	return finalResult(ref, final), nil
}

// endTxn returns the transaction that replaces a job's record with its final state, on condition that the record still
// has the given version.
func endTxn(version uint64, ref string, final leader.FinalStateRecord) (wire.Txn, error) {
	record, err := json.Marshal(final)
	if err != nil {
		return wire.Txn{}, err
	}
	return wire.Txn{
		Conditions: []wire.Condition{{Key: leader.JobPrefix + ref, Version: version}},
		Writes: []wire.Write{
			{Put: leader.FinalStatePrefix + ref, Value: record},
			{Delete: leader.JobPrefix + ref},
		},
	}, nil
}
