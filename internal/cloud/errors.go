package cloud

import (
	"errors"
	"fmt"

	"github.com/goccy/go-json"
	"github.com/valyala/fasthttp"

	"swiftledge/wire"
)

// What became of a call that failed. Every error of this package is an *Error that wraps one of these.
var (
	// ErrNotExecuted means that the call was certainly not carried out.
	ErrNotExecuted = errors.New("not executed")
	// ErrOutcomeUnknown means that the call may have been carried out, or may be later.
	ErrOutcomeUnknown = errors.New("outcome unknown")
)

// ErrNoCapacity comes with ErrNotExecuted when no machines are available of the type, zone and kind asked for.
var ErrNoCapacity = errors.New("no capacity")

// Operation is a kind of call of the API.
type Operation string

// Operations of a Client.
const (
	OperationCatalog   Operation = "catalog"
	OperationProvision Operation = "provision"
	OperationDelete    Operation = "delete"
	OperationList      Operation = "list"
)

// Error is a call of the API that failed.
type Error struct {
	Operation Operation
	Subject   string // the request's name, the number of machines, or the name after which a list begins
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

// MayHaveExecuted says whether the call may have been carried out, or may be later.
func (e *Error) MayHaveExecuted() bool { return errors.Is(e.Outcome, ErrOutcomeUnknown) }

// failed is the error of a call with this outcome.
func (c call) failed(outcome, cause error) error {
	return &Error{Operation: c.operation, Subject: c.subject, Outcome: outcome, Cause: cause}
}

// refused is the error of a call whose answer has a status other than 200.
func (c call) refused(response *fasthttp.Response) error {
	status := response.StatusCode()
	cause := fmt.Errorf("status %d", status)
	switch status {
	case fasthttp.StatusServiceUnavailable:
		if isNoCapacity(response.Body()) {
			cause = ErrNoCapacity
		}
		return c.failed(ErrNotExecuted, cause)
	case fasthttp.StatusBadRequest, fasthttp.StatusTooManyRequests:
		return c.failed(ErrNotExecuted, cause)
	}
	return c.failed(ErrOutcomeUnknown, cause)
}

// isNoCapacity says whether the body of a refusal names the lack of capacity, not an outage.
func isNoCapacity(body []byte) bool {
	var refusal wire.ErrorResponse
	return json.Unmarshal(body, &refusal) == nil && refusal.Error == "no capacity"
}
