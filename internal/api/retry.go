package api

import (
	"context"
	"errors"
	"time"

	"swiftledge/internal/store"
)

// How long a user waits at most.
const (
	userWriteTimeout = 3500 * time.Millisecond // for a submission or a cancellation
	userReadTimeout  = 1500 * time.Millisecond // for a poll
)

// How often a request to the store is repeated.
const (
	maxRateLimitRetries      = 4
	maxConflictRetries       = 4
	maxUnknownOutcomeRetries = 1
)

// errJobChanged says that a job was changed by someone else between a read and the transaction based on it.
var errJobChanged = errors.New("the job changed meanwhile")

// isWorthRetrying reports whether a request that has failed, after as many retries, is worth the user's wait
// once more: after a moment when only a limit or a conflicting change was in the way, once when no answer
// came. Else the store is away, and the user is told at once when to come back.
func isWorthRetrying(err error, retries int) bool {
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

// withRetries calls request until it succeeds or is not worth retrying, and returns its last error.
func (s *Service) withRetries(ctx context.Context, request func() (Result, error)) (Result, error) {
	for retries := 0; ; retries++ {
		result, err := request()
		if err == nil || !isWorthRetrying(err, retries) || !s.options.Backoff(ctx, retries) {
			return result, err
		}
	}
}
