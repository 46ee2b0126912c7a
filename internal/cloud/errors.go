package cloud

import (
	"errors"
	"fmt"

	"github.com/valyala/fasthttp"

	"swiftledge/internal/exactjson"
	"swiftledge/wire"
)

// Outcomes of failed calls. Every error of this package is an *Error that wraps one of these.
var (
	// ErrNotExecuted means that the call was certainly not executed.
	ErrNotExecuted = errors.New("not executed")
	// ErrOutcomeUnknown means that the call may have been executed, or may still be executed later.
	ErrOutcomeUnknown = errors.New("outcome unknown")
)

// ErrNoCapacity accompanies ErrNotExecuted when no machine of the requested type, zone and kind (spot or on-demand) is
// available.
var ErrNoCapacity = errors.New("no capacity")

// Operation is a kind of API call.
type Operation string

// Operations of a Client.
const (
	OperationCatalog   Operation = "catalog"
	OperationProvision Operation = "provision"
	OperationDelete    Operation = "delete"
	OperationList      Operation = "list"
)

// Error describes a failed API call.
type Error struct {
	Operation Operation
	Subject   string // the ID of the request, the number of machines, or the name after which a list begins
	Outcome   error  // ErrNotExecuted or ErrOutcomeUnknown
	Cause     error
}

// Error implements error.
func (e *Error) Error() string {
	text := "cloud: " + string(e.Operation)
	if e.Subject != "" {
		text += " " + e.Subject
	}
	return text + ": " + e.Outcome.Error() + ": " + e.Cause.Error()
}

// Unwrap lets errors.Is and errors.As find the outcome and the cause.
func (e *Error) Unwrap() []error { return []error{e.Outcome, e.Cause} }

// MayHaveExecuted reports whether the call may have been executed, or may still be executed later.
func (e *Error) MayHaveExecuted() bool { return errors.Is(e.Outcome, ErrOutcomeUnknown) }

// newError returns the error of a call with the given outcome and cause.
func (c call) newError(outcome, cause error) error {
	return &Error{Operation: c.operation, Subject: c.subject, Outcome: outcome, Cause: cause}
}

// statusError returns the error of a call whose answer has a status other than 200.
func (c call) statusError(response *fasthttp.Response) error {
	status := response.StatusCode()
	cause := fmt.Errorf("status %d", status)
	switch status {
	case fasthttp.StatusServiceUnavailable:
		if isNoCapacity(response.Body()) {
			cause = ErrNoCapacity
		}
		return c.newError(ErrNotExecuted, cause)
	case fasthttp.StatusBadRequest, fasthttp.StatusTooManyRequests:
		return c.newError(ErrNotExecuted, cause)
	}
	return c.newError(ErrOutcomeUnknown, cause)
}

// isNoCapacity reports whether the body of an error response says that capacity is lacking, as opposed to an outage.
func isNoCapacity(body []byte) bool {
	var response wire.ErrorResponse
	return exactjson.Unmarshal(body, &response) == nil && response.Error == "no capacity"
}
