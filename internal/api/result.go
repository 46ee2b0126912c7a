package api

import (
	"net/http"

	"swiftledge/internal/leader"
	"swiftledge/wire"
)

// Result is the outcome of a user's request: an HTTP status code, and with 200 and 201 the job's status, else
// the reason.
type Result struct {
	Code   int
	Status wire.JobStatus
	Reason string
}

// statusResult tells the status of a job that exists.
func statusResult(status wire.JobStatus) Result { return Result{Code: http.StatusOK, Status: status} }

// finalResult tells the status of a job that is over.
func finalResult(ref string, final leader.FinalStateRecord) Result {
	status := wire.JobStatus{Ref: ref, State: final.State}
	if final.State == wire.JobDone {
		status.Done = final.Tasks
	}
	return statusResult(status)
}

// acceptedResult tells that a job was stored.
func acceptedResult(ref string) Result {
	return Result{Code: http.StatusCreated, Status: wire.JobStatus{Ref: ref, State: wire.JobQueued}}
}

// notFound tells that no such job was ever accepted.
func notFound() Result { return Result{Code: http.StatusNotFound, Reason: "no such job"} }

// unavailable tells a user to come back soon.
func unavailable(reason string) Result {
	return Result{Code: http.StatusServiceUnavailable, Reason: reason}
}

// storeUnavailable is the result when the store answers no request.
func storeUnavailable() Result { return unavailable("the state service is away") }

// rejection says why a submission is not accepted. It counts only for a job that does not exist yet: see
// Service.existingOr.
type rejection struct {
	ref    string // the job that the submission names, as far as that could be read
	code   int
	reason string
}

func (r *rejection) result() Result { return Result{Code: r.code, Reason: r.reason} }
