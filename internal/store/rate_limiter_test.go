package store

import (
	"context"
	"errors"
	"math"
	"testing"
	"time"
)

// queueOf returns a queue that holds one request.
func queueOf(priority Priority, writes int) requestQueue {
	return requestQueue{{priority: priority, writes: writes}}
}

// A bucket fills at the rate of its budget, up to what comes in a second. After the state service answered that a
// limit is exceeded it is empty, fills more slowly, and recovers its rate in time.
func TestTokenBucketFollowsTheBudget(t *testing.T) {
	begin := time.Now()
	bucket := tokenBucket{budget: Budget{RequestsPerSecond: 10, WritesPerSecond: 4}, usedPart: 1, filledAt: begin}
	bucket.fill(begin.Add(500 * time.Millisecond))
	if bucket.requests != 5 || bucket.writes != 2 {
		t.Errorf("%g requests and %g writes after half a second, want 5 and 2", bucket.requests, bucket.writes)
	}
	bucket.fill(begin.Add(time.Minute))
	if bucket.requests != 10 || bucket.writes != 4 {
		t.Errorf("%g requests and %g writes at most, want 10 and 4", bucket.requests, bucket.writes)
	}
	for range 20 {
		bucket.slowDown()
	}
	if bucket.requests != 0 || bucket.usedPart != minUsedPart {
		t.Errorf("%g requests after refusals, at %g of the budget", bucket.requests, bucket.usedPart)
	}
	bucket.fill(begin.Add(2 * time.Minute))
	if bucket.usedPart != 1 {
		t.Errorf("%g of the budget a minute later", bucket.usedPart)
	}
}

// Reads are sent while writes wait for the write limit, a transaction larger than the bucket is sent when the
// bucket is full, and the more important request goes first.
func TestNextRequest(t *testing.T) {
	for _, c := range []struct {
		name             string
		requests, writes float64
		queues           requestQueues
		read, write      bool // is sent next
		wait             float64
	}{
		{"nothing waits", 5, 4, requestQueues{}, false, false, math.Inf(1)},
		{"a read", 1, 0, requestQueues{reads: queueOf(PriorityReads, 0)}, true, false, 0},
		{"a write beyond the limit", 5, 1, requestQueues{writes: queueOf(PriorityUrgent, 3)}, false, false, 0.5},
		{"a read beside a write beyond the limit", 5, 1,
			requestQueues{reads: queueOf(PriorityBackground, 0), writes: queueOf(PriorityUrgent, 3)}, true, false, -0.4},
		{"a write larger than the bucket", 5, 4, requestQueues{writes: queueOf(PriorityReads, 9)}, false, true, 0},
		{"the more important of both", 5, 4,
			requestQueues{reads: queueOf(PriorityBackground, 0), writes: queueOf(PriorityUrgent, 1)}, false, true, -0.75},
		{"no request left", 0, 4,
			requestQueues{reads: queueOf(PriorityReads, 0), writes: queueOf(PriorityUrgent, 1)}, false, false, 0.1},
	} {
		t.Run(c.name, func(t *testing.T) {
			budget := Budget{RequestsPerSecond: 10, WritesPerSecond: 4}
			bucket := tokenBucket{budget: budget, usedPart: 1, requests: c.requests, writes: c.writes}
			next := c.queues.next(&bucket)
			if (next == &c.queues.reads) != c.read || (next == &c.queues.writes) != c.write {
				t.Errorf("%v is sent next", next)
			}
			if wait := c.queues.wait(&bucket); next == nil && math.Abs(wait-c.wait) > 1e-9 && wait != c.wait {
				t.Errorf("%g s to wait, want %g", wait, c.wait)
			}
		})
	}
}

// Requests that wait when the rate limiter ends, and those that come later, are told so.
func TestRateLimiterEnds(t *testing.T) {
	limiter := newRateLimiter(Budget{})
	ctx, stop := context.WithCancel(t.Context())
	go limiter.run(ctx)
	waited := make(chan error, 1)
	go func() { waited <- limiter.wait(t.Context(), PriorityReads, 0) }()
	stop()
	<-limiter.stopped
	if err := <-waited; !errors.Is(err, errStopped) {
		t.Errorf("a request that waited: %v", err)
	}
	if err := limiter.wait(t.Context(), PriorityReads, 0); !errors.Is(err, errStopped) {
		t.Errorf("a request afterwards: %v", err)
	}
	for range budgetBacklog + 1 {
		limiter.setBudget(Budget{})
	}
}

// A request that its sender gave up uses nothing of the budget.
func TestAbandonedRequestIsDropped(t *testing.T) {
	ctx, abandon := context.WithCancel(t.Context())
	abandon()
	var queues requestQueues
	abandoned := &pendingRequest{admitted: make(chan struct{}), abandoned: ctx.Done()}
	waiting := &pendingRequest{admitted: make(chan struct{})}
	queues.push(abandoned)
	queues.push(waiting)
	bucket := tokenBucket{budget: Budget{RequestsPerSecond: 1, WritesPerSecond: 1}, usedPart: 1, requests: 1}
	queues.admit(&bucket)
	select {
	case <-waiting.admitted:
	default:
		t.Error("the request behind an abandoned one was not admitted")
	}
	if bucket.requests != 0 {
		t.Errorf("%g requests left, want 0", bucket.requests)
	}
}
