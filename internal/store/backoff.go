package store

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	minBackoff = 50 * time.Millisecond
	// maxBackoffDoublings bounds the growth of the backoff.
	maxBackoffDoublings = 4
)

// Backoff waits, with jitter, after a try that failed; attempt counts them from 0. It returns false when ctx ends
// before that.
func Backoff(ctx context.Context, attempt int) bool {
	backoff := minBackoff << min(attempt, maxBackoffDoublings)
	timer := time.NewTimer(backoff/2 + rand.N(backoff))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
