package store

import (
	"context"
	"errors"
	"math"
	"testing"
	"time"
)

// queueWithOneRequest returns a queue with one request.
func queueWithOneRequest(priority Priority, writes int) requestQueue {
	return requestQueue{{priority: priority, writes: writes}}
}

// The bucket refills at the rate of its budget and holds at most one second's worth. When the state service reports an
// exceeded limit, the bucket is emptied and refills more slowly until its rate has recovered.
func TestTokenBucketRateAndRecovery(t *testing.T) {
	start := time.Now()
	bucket := tokenBucket{budget: Budget{RequestsPerSecond: 10, WritesPerSecond: 4}, budgetFraction: 1, refilledAt: start}
	bucket.refill(start.Add(500 * time.Millisecond))
	if bucket.requests != 5 || bucket.writes != 2 {
		t.Errorf("bucket has %g requests and %g writes after half a second, want 5 and 2", bucket.requests, bucket.writes)
	}
	bucket.refill(start.Add(time.Minute))
	if bucket.requests != 10 || bucket.writes != 4 {
		t.Errorf("bucket has %g requests and %g writes after a minute, want 10 and 4 as the maximum", bucket.requests, bucket.writes)
	}
	for range 20 {
		bucket.slowDown()
	}
	if bucket.requests != 0 || bucket.budgetFraction != minBudgetFraction {
		t.Errorf("%g requests at %g of the budget after repeated slowdowns, want 0 at the minimum", bucket.requests, bucket.budgetFraction)
	}
	bucket.refill(start.Add(2 * time.Minute))
	if bucket.budgetFraction != 1 {
		t.Errorf("%g of the budget used a minute later, want all of it", bucket.budgetFraction)
	}
}

// Reads are sent while writes wait for the write limit. A transaction larger than the bucket is sent when the bucket is
// full. The request with the higher priority is sent first.
func TestNextRequest(t *testing.T) {
	for _, c := range []struct {
		name             string
		requests, writes float64
		queues           requestQueues
		read, write      bool // whether a read or a write is expected to be sent next
		waitS            float64
	}{
		{"empty queues", 5, 4, requestQueues{}, false, false, math.Inf(1)},
		{"a read", 1, 0, requestQueues{reads: queueWithOneRequest(PriorityReads, 0)}, true, false, 0},
		{"a write over the limit", 5, 1, requestQueues{writes: queueWithOneRequest(PriorityUrgent, 3)}, false, false, 0.5},
		{"a read and a write over the limit", 5, 1,
			requestQueues{reads: queueWithOneRequest(PriorityBackground, 0), writes: queueWithOneRequest(PriorityUrgent, 3)}, true, false, -0.4},
		{"a write larger than the bucket", 5, 4, requestQueues{writes: queueWithOneRequest(PriorityReads, 9)}, false, true, 0},
		{"the higher priority of both", 5, 4,
			requestQueues{reads: queueWithOneRequest(PriorityBackground, 0), writes: queueWithOneRequest(PriorityUrgent, 1)}, false, true, -0.75},
		{"empty bucket", 0, 4,
			requestQueues{reads: queueWithOneRequest(PriorityReads, 0), writes: queueWithOneRequest(PriorityUrgent, 1)}, false, false, 0.1},
	} {
		t.Run(c.name, func(t *testing.T) {
			budget := Budget{RequestsPerSecond: 10, WritesPerSecond: 4}
			bucket := tokenBucket{budget: budget, budgetFraction: 1, requests: c.requests, writes: c.writes}
			next := c.queues.nextQueue(&bucket)
			if (next == &c.queues.reads) != c.read || (next == &c.queues.writes) != c.write {
				t.Errorf("next request came from queue %v, want another queue or none", next)
			}
			if waitS := c.queues.waitSeconds(&bucket); next == nil && math.Abs(waitS-c.waitS) > 1e-9 && waitS != c.waitS {
				t.Errorf("wait of %g s, want %g s", waitS, c.waitS)
			}
		})
	}
}

// When the rate limiter stops, wait returns an error to waiting requests and to later ones, and setBudget does not block.
func TestWaitFailsAfterRateLimiterStops(t *testing.T) {
	limiter := newRateLimiter(Budget{})
	ctx, stop := context.WithCancel(t.Context())
	go limiter.run(ctx)
	waitResult := make(chan error, 1)
	go func() { waitResult <- limiter.wait(t.Context(), PriorityReads, 0) }()
	stop()
	<-limiter.stopped
	if err := <-waitResult; !errors.Is(err, errStopped) {
		t.Errorf("waiting request: error %v, want errStopped", err)
	}
	if err := limiter.wait(t.Context(), PriorityReads, 0); !errors.Is(err, errStopped) {
		t.Errorf("later request: error %v, want errStopped", err)
	}
	for range budgetBuffer + 1 {
		limiter.setBudget(Budget{})
	}
}

// A request whose sender no longer waits consumes nothing of the budget.
func TestAbandonedRequestIsDropped(t *testing.T) {
	ctx, abandon := context.WithCancel(t.Context())
	abandon()
	var queues requestQueues
	abandoned := &pendingRequest{admitted: make(chan struct{}), abandoned: ctx.Done()}
	waiting := &pendingRequest{admitted: make(chan struct{})}
	queues.push(abandoned)
	queues.push(waiting)
	bucket := tokenBucket{budget: Budget{RequestsPerSecond: 1, WritesPerSecond: 1}, budgetFraction: 1, requests: 1}
	queues.admit(&bucket)
	select {
	case <-waiting.admitted:
	default:
		t.Error("the request behind an abandoned one was not admitted")
	}
	if bucket.requests != 0 {
		t.Errorf("bucket has %g requests left, want 0", bucket.requests)
	}
}
