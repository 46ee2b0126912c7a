package store

import (
	"errors"
	"fmt"

	"github.com/valyala/fasthttp"
)

// What became of a request that failed. Every error of this package is an *Error that wraps one of these.
var (
	// ErrNotExecuted means that the request was certainly not carried out; it may be repeated.
	ErrNotExecuted = errors.New("not executed")
	// ErrOutcomeUnknown means that the request may have been carried out, or may be later.
	ErrOutcomeUnknown = errors.New("outcome unknown")
	// ErrMalformed means that the request was not carried out and would be refused whenever it is repeated.
	ErrMalformed = errors.New("malformed")
	// ErrNotFound means that the key or lease does not exist.
	ErrNotFound = errors.New("not found")
	// ErrCompacted means that the events after a watch's revision are no longer kept.
	ErrCompacted = errors.New("revision compacted")
)

// ErrRateLimited comes with ErrNotExecuted when only the limits were in the way: trying again soon is fine.
var ErrRateLimited = errors.New("rate limited")

// Operation is a kind of request to the state service.
type Operation string

// Operations of a Client.
const (
	OperationGet         Operation = "get"
	OperationList        Operation = "list"
	OperationCommit      Operation = "commit"
	OperationGrantLease  Operation = "grant lease"
	OperationRenewLease  Operation = "renew lease"
	OperationRevokeLease Operation = "revoke lease"
	OperationWatch       Operation = "watch"
)

// Error is a request to the state service that failed.
type Error struct {
	Operation Operation
	Key       string // key, prefix or lease that was asked for; of a transaction the first key that it writes
	Outcome   error  // ErrNotExecuted, ErrOutcomeUnknown, ErrMalformed, ErrNotFound or ErrCompacted
	Cause     error  // nil if the outcome says it all
}

// Error implements error.
func (e *Error) Error() string {
	text := "store: " + string(e.Operation)
	if e.Key != "" {
		text += " " + e.Key
	}
	text += ": " + e.Outcome.Error()
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap lets errors.Is and errors.As find the outcome and the cause.
func (e *Error) Unwrap() []error {
	if e.Cause == nil {
		return []error{e.Outcome}
	}
	return []error{e.Outcome, e.Cause}
}

// MayHaveExecuted says whether the request may have been carried out, or may be later.
func (e *Error) MayHaveExecuted() bool { return errors.Is(e.Outcome, ErrOutcomeUnknown) }

// failed is the error of a request with this outcome.
func (r request) failed(outcome, cause error) error {
	return &Error{Operation: r.operation, Key: r.key, Outcome: outcome, Cause: cause}
}

// refused is the error of an answer whose status says that the request was not carried out.
func (r request) refused(status int) error {
	if status == fasthttp.StatusTooManyRequests {
		return r.failed(ErrNotExecuted, ErrRateLimited)
	}
	return r.failed(ErrNotExecuted, fmt.Errorf("status %d", status))
}
