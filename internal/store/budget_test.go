package store

import (
	"math"
	"testing"
	"time"
)

// request waits for its turn in a queue of its own.
func request(prio, puts int) *requestQueue {
	return &requestQueue{{priority: prio, writes: puts, ctx: nil}}
}

// What is left of a budget fills at its rate, up to a second's worth. After a 429 it is empty, fills more
// slowly, and comes back to its rate in time.
func TestBucketFollowsTheBudget(t *testing.T) {
	begin := time.Now()
	b := bucket{full: Budget{RequestsPerSecond: 10, WritesPerSecond: 4}, use: 1, filled: begin}
	b.fill(begin.Add(500 * time.Millisecond))
	if b.requests != 5 || b.puts != 2 {
		t.Errorf("%g requests and %g puts after half a second, want 5 and 2", b.requests, b.puts)
	}
	b.fill(begin.Add(time.Minute))
	if b.requests != 10 || b.puts != 4 {
		t.Errorf("%g requests and %g puts at most, want 10 and 4", b.requests, b.puts)
	}
	for range 20 {
		b.over()
	}
	if b.requests != 0 || b.use != leastUse {
		t.Errorf("%g requests after refusals, at %g of the budget", b.requests, b.use)
	}
	b.fill(begin.Add(2 * time.Minute))
	if b.use != 1 {
		t.Errorf("%g of the budget a minute later", b.use)
	}
}

// Reads go while writes wait for puts, a transaction larger than the bucket goes when that is full, and
// the more important goes first.
func TestBucketSaysWhoGoesNext(t *testing.T) {
	none := &requestQueue{}
	for _, c := range []struct {
		name           string
		requests, puts float64
		reads, writes  *requestQueue
		read, write    bool // goes next
		wait           float64
	}{
		{"nothing waits", 5, 4, none, none, false, false, math.Inf(1)},
		{"a read", 1, 0, request(PriorityReads, 0), none, true, false, 0},
		{"a write without puts", 5, 1, none, request(PriorityUrgent, 3), false, false, 0.5},
		{"a read beside a write without puts", 5, 1, request(PriorityBackground, 0), request(PriorityUrgent, 3), true, false, -0.4},
		{"a write larger than the bucket", 5, 4, none, request(PriorityReads, 9), false, true, 0},
		{"the more important of both", 5, 4, request(PriorityBackground, 0), request(PriorityUrgent, 1), false, true, -0.75},
		{"no request left", 0, 4, request(PriorityReads, 0), request(PriorityUrgent, 1), false, false, 0.1},
	} {
		b := bucket{full: Budget{RequestsPerSecond: 10, WritesPerSecond: 4}, use: 1, requests: c.requests, puts: c.puts}
		next := b.next(c.reads, c.writes)
		if (next == c.reads && next != nil) != c.read || (next == c.writes && next != nil) != c.write {
			t.Errorf("%s: %v goes next", c.name, next)
		}
		if wait := b.wait(c.reads, c.writes); next == nil && math.Abs(wait-c.wait) > 1e-9 && wait != c.wait {
			t.Errorf("%s: %g s to wait, want %g", c.name, wait, c.wait)
		}
	}
}
