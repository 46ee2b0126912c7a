package api

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"swiftledge/internal/store"
)

// The number of attempts of a request depends on the cause of its failures.
func TestRetriesByCause(t *testing.T) {
	for _, c := range []struct {
		name     string
		err      error
		attempts int
	}{
		{"rate limited", fmt.Errorf("%w: %w", store.ErrNotExecuted, store.ErrRateLimited), 5},
		{"conflict", errJobChanged, 5},
		{"unknown outcome", fmt.Errorf("write: %w", store.ErrOutcomeUnknown), 2},
		{"not executed", store.ErrNotExecuted, 1},
		{"other error", errors.New("decode"), 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newService(t, newHookedStore())
			attempts := 0
			_, err := s.withRetries(t.Context(), func() (Result, error) {
				attempts++
				return Result{}, c.err
			})
			if !errors.Is(err, c.err) || attempts != c.attempts {
				t.Errorf("%d attempts, error %v; want %d attempts, error %v", attempts, err, c.attempts, c.err)
			}
		})
	}
}

// A request is not retried if the user's timeout ends during the backoff.
func TestNoRetryWhenBackoffIsCancelled(t *testing.T) {
	s := newService(t, newHookedStore())
	s.options.Backoff = func(context.Context, int) bool { return false }
	attempts := 0
	_, err := s.withRetries(t.Context(), func() (Result, error) {
		attempts++
		return Result{}, errJobChanged
	})
	if !errors.Is(err, errJobChanged) || attempts != 1 {
		t.Errorf("%d attempts, error %v; want 1 attempt, error errJobChanged", attempts, err)
	}
}
