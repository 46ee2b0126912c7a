package api

import (
	"context"
	"errors"
	"time"

	"swiftledge/internal/store"
)

// Timeouts of users' requests.
const (
	userWriteTimeout = 3500 * time.Millisecond // for a submission or a cancellation
	userReadTimeout  = 1500 * time.Millisecond // for a poll
)

// Maximum numbers of retries of a request to the store, by the cause of the failure.
const (
	maxRateLimitRetries      = 4
	maxConflictRetries       = 4
	maxUnknownOutcomeRetries = 1
)

// errJobChanged means that another writer changed a job between a read of the job and the transaction based on that
// read.
var errJobChanged = errors.New("the job changed meanwhile")

// shouldRetry reports whether a failed request should be retried while the user waits, given the number of retries so
// far. It allows several retries after a rate limit or a conflicting change, which pass soon, and one retry if there
// was no answer. After any other error the store counts as unavailable, and the user is asked at once to retry later.
func shouldRetry(err error, retries int) bool {
	switch {
	case errors.Is(err, errJobChanged):
		return retries < maxConflictRetries
	case errors.Is(err, store.ErrRateLimited):
		return retries < maxRateLimitRetries
	case errors.Is(err, store.ErrOutcomeUnknown):
		return retries < maxUnknownOutcomeRetries
	}
	return false
}

// withRetries calls request until it succeeds or should not be retried, and returns its last result and error.
func (s *Service) withRetries(ctx context.Context, request func() (Result, error)) (Result, error) {
	for retries := 0; ; retries++ {
		result, err := request()
		if err == nil || !shouldRetry(err, retries) || !s.options.Backoff(ctx, retries) {
			return result, err
		}
	}
}
