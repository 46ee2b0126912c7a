package store

import (
	"errors"
	"fmt"

	"github.com/valyala/fasthttp"
)

// Outcomes of failed requests. Every error of this package is an *Error that wraps one of these.
var (
	// ErrNotExecuted means that the request was certainly not executed. The request may be retried.
	ErrNotExecuted = errors.New("not executed")
	// ErrOutcomeUnknown means that the request may have been executed, or may still be executed later.
	ErrOutcomeUnknown = errors.New("outcome unknown")
	// ErrMalformed means that the request was not executed and that every retry would be rejected, too.
	ErrMalformed = errors.New("malformed")
	// ErrNotFound means that the key or lease does not exist.
	ErrNotFound = errors.New("not found")
	// ErrCompacted means that the service no longer keeps the events after a watch's revision.
	ErrCompacted = errors.New("revision compacted")
)

// ErrRateLimited accompanies ErrNotExecuted when the request only exceeded a rate limit. The request may be retried
// soon.
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

// Error describes a failed request to the state service.
type Error struct {
	Operation Operation
	Key       string // requested key, prefix or lease; for a transaction the first key that it writes
	Outcome   error  // ErrNotExecuted, ErrOutcomeUnknown, ErrMalformed, ErrNotFound or ErrCompacted
	Cause     error  // nil if the outcome is a sufficient description
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

// MayHaveExecuted reports whether the request may have been executed, or may still be executed later.
func (e *Error) MayHaveExecuted() bool { return errors.Is(e.Outcome, ErrOutcomeUnknown) }

// newError returns the error of a request with the given outcome and cause.
func (r request) newError(outcome, cause error) error {
	return &Error{Operation: r.operation, Key: r.key, Outcome: outcome, Cause: cause}
}

// statusError returns the error for an HTTP status which says that the request was not executed.
func (r request) statusError(status int) error {
	if status == fasthttp.StatusTooManyRequests {
		return r.newError(ErrNotExecuted, ErrRateLimited)
	}
	return r.newError(ErrNotExecuted, fmt.Errorf("status %d", status))
}
