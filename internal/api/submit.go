package api

import (
	"context"
	"encoding/json"
	"net/http"

	"swiftledge/internal/leader"
	"swiftledge/internal/store"
	"swiftledge/wire"
)

// Submit accepts the job in a request's body unless it already exists, is invalid or can never run. A repeated
// submission gets the job's status.
func (s *Service) Submit(body []byte) Result {
	job, rejected := s.validator.decode(body)
	if rejected != nil {
		return s.existingStatusOr(rejected)
	}
	view := s.options.Jobs.Lookup(job.Ref)
	if view.FinalState != nil {
		return finalResult(job.Ref, *view.FinalState)
	}
	if rejected := s.checkFeasible(&job, view.Types); rejected != nil {
		return s.existingStatusOr(rejected)
	}
	record, rejected := s.encodeRecord(job)
	if rejected != nil {
		return s.existingStatusOr(rejected)
	}
	return s.commitJob(job.Ref, record)
}

// existingStatusOr returns the job's status if an earlier submission of the job was accepted, regardless of the content
// of the rejected one. It returns 503 if that cannot be determined, and otherwise the rejection.
func (s *Service) existingStatusOr(rejected *rejection) Result {
	if !s.validator.isJobRef(rejected.ref) {
		return rejected.result()
	}
	existing := s.Status(rejected.ref)
	switch existing.Code {
	case http.StatusOK, http.StatusServiceUnavailable:
		return existing
	}
	return rejected.result()
}

// encodeRecord encodes the record of a job for the store.
func (s *Service) encodeRecord(job wire.Job) (json.RawMessage, *rejection) {
	record, err := json.Marshal(leader.JobRecord{Spec: job, AcceptedAt: s.options.TimeOfDay()})
	if err != nil {
		return nil, &rejection{code: http.StatusBadRequest, reason: err.Error()}
	}
	if len(record) > s.options.Config.MaxValueBytes() {
		return nil, &rejection{job.Ref, http.StatusBadRequest, "the job is too large to store"}
	}
	return record, nil
}

// commitJob stores a job on condition that it neither exists nor has existed. Otherwise it returns the job's status.
func (s *Service) commitJob(ref string, record json.RawMessage) Result {
	ctx, cancel := context.WithTimeout(context.Background(), userWriteTimeout)
	defer cancel()
	txn := wire.Txn{
		Conditions: []wire.Condition{{Key: leader.JobPrefix + ref}, {Key: leader.FinalStatePrefix + ref}},
		Writes:     []wire.Write{{Put: leader.JobPrefix + ref, Value: record}},
	}
	result, err := s.withRetries(ctx, func() (Result, error) {
		outcome, err := s.options.Store.TryCommit(ctx, store.PriorityUrgent, txn)
		if err != nil {
			return Result{}, err
		}
		if outcome.Committed {
			return acceptedResult(ref), nil
		}
		return s.statusAfterConflict(ref), nil
	})
	if err != nil {
		return storeUnavailableResult()
	}
	return result
}

// statusAfterConflict returns the status of a job that could not be stored because it exists or has existed.
func (s *Service) statusAfterConflict(ref string) Result {
	result := s.Status(ref)
	if result.Code == http.StatusNotFound {
		return unavailableResult("the job's state changed meanwhile")
	}
	return result
}
