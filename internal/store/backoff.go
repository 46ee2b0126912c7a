package store

import (
	"context"
	"math/rand/v2"
	"time"

	"swiftledge/internal/clock"
)

const (
	minBackoff = 50 * time.Millisecond
	// maxBackoffDoublings limits the exponential growth of the backoff.
	maxBackoffDoublings = 4
)

// Backoff waits after a failed attempt, with exponential backoff and jitter. attempt counts the failed attempts from 0.
// Backoff returns false if ctx ends before the wait is over.
func Backoff(ctx context.Context, attempt int) bool {
	backoff := minBackoff << min(attempt, maxBackoffDoublings)
	return clock.Sleep(ctx, backoff/2+rand.N(backoff))
}
