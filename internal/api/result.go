package api

import (
	"net/http"

	"swiftledge/internal/leader"
	"swiftledge/wire"
)

// Result is the outcome of a user's request: an HTTP status code, and either the job's status (with 200 and 201) or
// the reason.
type Result struct {
	Code   int
	Status wire.JobStatus
	Reason string
}

// statusResult returns the result with the status of an existing job.
func statusResult(status wire.JobStatus) Result { return Result{Code: http.StatusOK, Status: status} }

// finalResult returns the result with the status of a job in its final state.
func finalResult(ref string, final leader.FinalStateRecord) Result {
	status := wire.JobStatus{Ref: ref, State: final.State}
	if final.State == wire.JobDone {
		status.Done = final.Tasks
	}
	return statusResult(status)
}

// acceptedResult returns the result for a job that was accepted and stored.
func acceptedResult(ref string) Result {
	return Result{Code: http.StatusCreated, Status: wire.JobStatus{Ref: ref, State: wire.JobQueued}}
}

// notFoundResult returns the result for a job that was never accepted.
func notFoundResult() Result { return Result{Code: http.StatusNotFound, Reason: "no such job"} }

// unavailableResult returns the result that asks a user to retry soon.
func unavailableResult(reason string) Result {
	return Result{Code: http.StatusServiceUnavailable, Reason: reason}
}

// storeUnavailableResult returns the result for a request that failed because the store did not serve its reads or
// writes.
func storeUnavailableResult() Result { return unavailableResult("the state service is away") }

// rejection is the reason why a submission is not accepted. It applies only to a job that does not exist yet: see
// Service.existingStatusOr.
type rejection struct {
	ref    string // the job named by the submission; empty if that could not be read
	code   int
	reason string
}

func (r *rejection) result() Result { return Result{Code: r.code, Reason: r.reason} }
