package store

import (
	"context"
	"errors"
	"math"
	"time"
)

// Budget is a controller's share of the state service's limits. Most of the time the controllers do not all need
// theirs at once, so the shares may add up to more than the whole: when the service answers that a limit is
// exceeded, the part of the share that is used shrinks, and then grows back.
type Budget struct{ RequestsPerSecond, WritesPerSecond float64 }

// Priority orders the requests that wait for the budget: the lowest goes first.
type Priority int

// Priorities of requests.
const (
	PriorityLeaseRenewal Priority = iota // renewal of the leader's lease
	PriorityUrgent                       // election, submissions and cancellations, watches
	PriorityAttempts                     // attempt records, final states
	PriorityStarvedReads                 // reads of a job's status that were refused for a while
	PriorityReads                        // reads of a job's status, inventory
	PriorityBackground                   // completed tasks, clean-up
)

const (
	arrivalBacklog = 256
	budgetBacklog  = 4
	limitedBacklog = 16
)

// errStopped means that the rate limiter no longer runs.
var errStopped = errors.New("client stopped")

// rateLimiter lets requests pass within the budget, the important ones first. The goroutine of run owns its state.
type rateLimiter struct {
	initial  Budget
	arrivals chan *pendingRequest
	budgets  chan Budget
	limited  chan struct{} // the state service answered that a limit is exceeded
	stopped  chan struct{} // closed when run returns
}

func newRateLimiter(initial Budget) *rateLimiter {
	return &rateLimiter{
		initial:  initial,
		arrivals: make(chan *pendingRequest, arrivalBacklog),
		budgets:  make(chan Budget, budgetBacklog),
		limited:  make(chan struct{}, limitedBacklog),
		stopped:  make(chan struct{}),
	}
}

// wait returns when the request may be sent, or with an error when ctx or the rate limiter ends before.
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

// reportLimited makes the rate limiter slow down. Of many reports at once some may be dropped.
func (l *rateLimiter) reportLimited() {
	select {
	case l.limited <- struct{}{}:
	default:
	}
}

// run admits requests until ctx ends.
func (l *rateLimiter) run(ctx context.Context) {
	defer close(l.stopped)
	bucket := newTokenBucket(l.initial, time.Now())
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
		case <-l.limited:
			bucket.slowDown()
		case <-timer.C:
		}
		bucket.fill(time.Now())
		queues.admit(&bucket)
		if wait := queues.wait(&bucket); !math.IsInf(wait, 1) {
			timer.Reset(time.Duration(wait*float64(time.Second)) + time.Millisecond)
		}
	}
}
