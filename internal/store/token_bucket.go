package store

import "time"

const (
	// slowDownFactor multiplies the rate after the state service answered that a rate limit was exceeded.
	slowDownFactor = 0.7
	// minBudgetFraction is the smallest fraction of the budget that is used.
	minBudgetFraction = 0.25
	// recoveryPerSecond is the fraction of the budget by which the rate recovers each second.
	recoveryPerSecond = 0.1
)

// tokenBucket holds the tokens for requests and writes that may be sent now. It refills at the rate of the budget and
// holds at most one second's worth of tokens.
type tokenBucket struct {
	budget           Budget
	budgetFraction   float64 // used fraction of the budget; less than 1 after a limit was exceeded
	requests, writes float64
	refilledAt       time.Time
}

// newTokenBucket returns a bucket that is half full.
func newTokenBucket(budget Budget, now time.Time) tokenBucket {
	return tokenBucket{
		budget: budget, budgetFraction: 1, refilledAt: now,
		requests: budget.RequestsPerSecond / 2, writes: budget.WritesPerSecond / 2,
	}
}

// rate returns the refill rate: the fraction of the budget that is used now.
func (b *tokenBucket) rate() Budget {
	return Budget{b.budget.RequestsPerSecond * b.budgetFraction, b.budget.WritesPerSecond * b.budgetFraction}
}

// slowDown reduces the rate and empties the bucket. It is called after the state service answered that a rate limit was
// exceeded.
func (b *tokenBucket) slowDown() {
	b.budgetFraction = max(minBudgetFraction, b.budgetFraction*slowDownFactor)
	b.requests, b.writes = 0, 0
}

// refill adds the tokens for the time since the last refill.
func (b *tokenBucket) refill(now time.Time) {
	elapsed := now.Sub(b.refilledAt).Seconds()
	b.refilledAt = now
	b.budgetFraction = min(1, b.budgetFraction+elapsed*recoveryPerSecond)
	rate := b.rate()
	b.requests = min(rate.RequestsPerSecond, b.requests+elapsed*rate.RequestsPerSecond)
	b.writes = min(max(rate.WritesPerSecond, 1), b.writes+elapsed*rate.WritesPerSecond)
}

// consume removes the tokens that a request needs.
func (b *tokenBucket) consume(r *pendingRequest) {
	b.requests--
	b.writes -= float64(r.writes)
}

// missingRequestTokens returns how many request tokens are missing for one request.
func (b *tokenBucket) missingRequestTokens() float64 { return 1 - b.requests }

// missingWriteTokens returns how many write tokens are missing for the request. A request that needs more tokens than
// the bucket can hold only has to wait until the bucket is full.
func (b *tokenBucket) missingWriteTokens(r *pendingRequest) float64 {
	return min(float64(r.writes), max(b.rate().WritesPerSecond, 1)) - b.writes
}
