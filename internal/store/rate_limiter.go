package store

import (
	"context"
	"errors"
	"math"
	"time"
)

// Budget is a controller's share of the state service's rate limits. The controllers seldom use their shares fully at
// the same time, so the shares may add up to more than the limits. When the service answers that a limit is exceeded,
// the client reduces the fraction of its budget that it uses, and then lets that fraction recover over time.
type Budget struct{ RequestsPerSecond, WritesPerSecond float64 }

// Priority orders the requests that wait for the budget: the lowest value is sent first.
type Priority int

// Priorities of requests.
const (
	PriorityLeaseRenewal Priority = iota // renewal of the leader's lease
	PriorityUrgent                       // election, submissions and cancellations, watches
	PriorityAttempts                     // attempt records, final states
	PriorityStarvedReads                 // reads of a job's status that have failed for some time
	PriorityReads                        // reads of a job's status, inventory
	PriorityBackground                   // completed tasks, cleanup
)

const (
	arrivalBuffer       = 256
	budgetBuffer        = 4
	limitExceededBuffer = 16
)

// errStopped means that the rate limiter is no longer running.
var errStopped = errors.New("client stopped")

// rateLimiter admits requests within the budget, in order of priority. The goroutine of run owns the mutable state.
type rateLimiter struct {
	initialBudget Budget
	arrivals      chan *pendingRequest
	budgets       chan Budget
	limitExceeded chan struct{} // signals that the state service answered with a rate limit error
	stopped       chan struct{} // closed when run returns
}

func newRateLimiter(initial Budget) *rateLimiter {
	return &rateLimiter{
		initialBudget: initial,
		arrivals:      make(chan *pendingRequest, arrivalBuffer),
		budgets:       make(chan Budget, budgetBuffer),
		limitExceeded: make(chan struct{}, limitExceededBuffer),
		stopped:       make(chan struct{}),
	}
}

// wait blocks until the request may be sent. It returns an error if ctx ends or the rate limiter stops before that.
func (l *rateLimiter) wait(ctx context.Context, priority Priority, writes int) error {
	r := &pendingRequest{priority: priority, writes: writes, admitted: make(chan struct{}), abandoned: ctx.Done()}
	select {
	case l.arrivals <- r:
	case <-ctx.Done():
		return ctx.Err()
	case <-l.stopped:
		return errStopped
	}
	select {
	case <-r.admitted:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-l.stopped:
		return errStopped
	}
}

// setBudget replaces the budget.
func (l *rateLimiter) setBudget(budget Budget) {
	select {
	case l.budgets <- budget:
	case <-l.stopped:
	}
}

// reportLimitExceeded makes the rate limiter slow down. It drops the signal when the buffer is full.
func (l *rateLimiter) reportLimitExceeded() {
	select {
	case l.limitExceeded <- struct{}{}:
	default:
	}
}

// run admits waiting requests within the budget until ctx ends.
func (l *rateLimiter) run(ctx context.Context) {
	defer close(l.stopped)
	bucket := newTokenBucket(l.initialBudget, time.Now())
	var queues requestQueues
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-l.arrivals:
			queues.push(r)
		case bucket.budget = <-l.budgets:
		case <-l.limitExceeded:
			bucket.slowDown()
		case <-timer.C:
		}
		bucket.refill(time.Now())
		queues.admit(&bucket)
		if waitS := queues.waitSeconds(&bucket); !math.IsInf(waitS, 1) {
			timer.Reset(time.Duration(waitS*float64(time.Second)) + time.Millisecond)
		}
	}
}
