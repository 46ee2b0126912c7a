package api

import (
	"context"
	"encoding/json"
	"errors"

	"swiftledge/internal/leader"
	"swiftledge/internal/store"
	"swiftledge/wire"
)

// Cancel ends a job unless it is over; the store decides between done and cancelled.
func (s *Service) Cancel(ref string) Result {
	if !s.validator.isJobRef(ref) {
		return notFound()
	}
	ctx, cancel := context.WithTimeout(context.Background(), userWriteTimeout)
	defer cancel()
	result, err := s.withRetries(ctx, func() (Result, error) { return s.tryCancel(ctx, ref) })
	if err != nil {
		return storeUnavailable()
	}
	return result
}

// tryCancel cancels a job in the state in which it is read; it returns errJobChanged if that is no longer its
// state.
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

// endTxn replaces the record of a job, in its given version, by its final state.
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
