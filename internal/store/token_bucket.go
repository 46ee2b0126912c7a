package store

import "time"

const (
	// slowDownFactor is what remains of the rate after an answer that a limit is exceeded.
	slowDownFactor = 0.7
	// minUsedPart is the least part of the budget that is used.
	minUsedPart = 0.25
	// recoveryPerSecond is the part of the budget by which its use grows back each second.
	recoveryPerSecond = 0.1
)

// tokenBucket holds the requests and writes that may be sent now: it fills at the rate of the budget, up to what
// comes in a second.
type tokenBucket struct {
	budget           Budget
	usedPart         float64 // of the budget; less than 1 after an answer that a limit is exceeded
	requests, writes float64
	filledAt         time.Time
}

// newTokenBucket makes a bucket that is half full.
func newTokenBucket(budget Budget, now time.Time) tokenBucket {
	return tokenBucket{
		budget: budget, usedPart: 1, filledAt: now,
		requests: budget.RequestsPerSecond / 2, writes: budget.WritesPerSecond / 2,
	}
}

// rate returns the part of the budget that is used now.
func (b *tokenBucket) rate() Budget {
	return Budget{b.budget.RequestsPerSecond * b.usedPart, b.budget.WritesPerSecond * b.usedPart}
}

// slowDown reduces the rate after an answer that a limit is exceeded.
func (b *tokenBucket) slowDown() {
	b.usedPart = max(minUsedPart, b.usedPart*slowDownFactor)
	b.requests, b.writes = 0, 0
}

// fill adds what has come since the bucket was last filled.
func (b *tokenBucket) fill(now time.Time) {
	elapsed := now.Sub(b.filledAt).Seconds()
	b.filledAt = now
	b.usedPart = min(1, b.usedPart+elapsed*recoveryPerSecond)
	rate := b.rate()
	b.requests = min(rate.RequestsPerSecond, b.requests+elapsed*rate.RequestsPerSecond)
	b.writes = min(max(rate.WritesPerSecond, 1), b.writes+elapsed*rate.WritesPerSecond)
}

// take removes what a request uses.
func (b *tokenBucket) take(r *pendingRequest) {
	b.requests--
	b.writes -= float64(r.writes)
}

// missingRequests returns how many requests have to come before one may be sent.
func (b *tokenBucket) missingRequests() float64 { return 1 - b.requests }

// missingWrites returns how many writes have to come before the request may be sent. One that is larger than the
// bucket is sent when the bucket is full.
func (b *tokenBucket) missingWrites(r *pendingRequest) float64 {
	return min(float64(r.writes), max(b.rate().WritesPerSecond, 1)) - b.writes
}
