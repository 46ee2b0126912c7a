package scenario

import (
	"fmt"

	"swiftledge/internal/api"
	"swiftledge/internal/clock"
	"swiftledge/internal/exactjson"
	"swiftledge/wire"
)

// users is the state of a cluster's users: their jobs, how these jobs really behave, and the responses so far. All maps
// are by job reference.
type users struct {
	submissions   map[string][]byte   // request bodies
	jobs          map[string]wire.Job // accepted jobs
	runSeconds    map[string]float64  // real run time of each task; 0 for a service that does not end
	failEveryNth  map[string]int      // N if every Nth task fails on every machine; 0 if no task fails
	acceptedAt    map[string]clock.Micros
	cancelledAt   map[string]clock.Micros  // when the user got the response that the job is cancelled
	reportedState map[string]wire.JobState // latest state that any controller reported
	randomJobs    int                      // number of jobs that random worlds have submitted
	// queryOften makes users query unfinished jobs at every tick, and query and resubmit a job at all controllers when
	// its first or its final state is reported.
	queryOften bool
}

func newUsers() users {
	return users{
		submissions:   map[string][]byte{},
		jobs:          map[string]wire.Job{},
		runSeconds:    map[string]float64{},
		failEveryNth:  map[string]int{},
		acceptedAt:    map[string]clock.Micros{},
		cancelledAt:   map[string]clock.Micros{},
		reportedState: map[string]wire.JobState{},
	}
}

// stateUnknown stands for the state of a job that a controller does not know.
const stateUnknown wire.JobState = "unknown"

// isFinal reports whether a job in this state does not change any more.
func isFinal(s wire.JobState) bool { return s == wire.JobDone || s == wire.JobCancelled }

// submit submits a job as a user. It returns the code of the response, followed by the job's state or by the reason of
// the error.
func (w *world) submit(c *simController, body []byte) string {
	r := c.submitJob(body)
	var j wire.Job
	if exactjson.Unmarshal(body, &j) == nil {
		w.checkReply(j.Ref, r)
	}
	if r.Code >= 400 {
		return fmt.Sprintf("%d %s", r.Code, r.Reason)
	}
	must(exactjson.Unmarshal(body, &j))
	w.users.jobs[j.Ref] = j
	if _, ok := w.users.acceptedAt[j.Ref]; !ok {
		w.users.acceptedAt[j.Ref] = w.now
	}
	return fmt.Sprintf("%d %s", r.Code, r.Status.State)
}

// cancel cancels a job as a user. It returns the job's state, or the code of an error response.
func (w *world) cancel(c *simController, ref string) string {
	r := w.checkReply(ref, c.cancelJob(ref))
	if r.Code != 200 {
		return fmt.Sprint(r.Code)
	}
	if _, ok := w.users.cancelledAt[ref]; !ok && r.Status.State == wire.JobCancelled {
		w.users.cancelledAt[ref] = w.now
	}
	return string(r.Status.State)
}

// awaitState runs the cluster until the controller reports that a job is in a state, or until the timeout. The state
// "off" means that the job has no active tasks.
func (w *world) awaitState(c *simController, ref, state string, timeout clock.Micros) string {
	for end := w.now + timeout; w.now < end; {
		if state == "off" { // checked at every tick, to return at the tick at which the last task ends
			if w.run(tickInterval); w.countActive(ref) == 0 {
				return state
			}
			continue
		}
		w.run(clock.Second / 4)
		if r := w.checkReply(ref, c.lookUpJob(ref)); r.Code == 200 && string(r.Status.State) == state {
			return state
		}
	}
	return "not in time"
}

// checkReply checks that a response to a user is not older than any earlier response of any controller: an accepted job
// must not become unknown, and a final state must not change.
func (w *world) checkReply(ref string, r api.Result) api.Result {
	state := wire.JobState("")
	switch {
	case r.Code == 200 || r.Code == 201:
		state = r.Status.State
	case r.Code == 404:
		state = stateUnknown
	}
	previous := w.users.reportedState[ref]
	_, submitted := w.users.runSeconds[ref]
	if state == "" || state == stateUnknown && (!submitted || previous == "") {
		return r
	}
	if state == stateUnknown || isFinal(previous) && state != previous {
		w.reportViolation("went_back: job %s was reported as %s after it had been reported as %s", ref, state, previous)
	}
	if !isFinal(previous) {
		w.users.reportedState[ref] = state
	}
	ended := !isFinal(previous) && state != previous && isFinal(state)
	if w.users.queryOften && (previous == "" || ended) {
		w.queryAllControllers(ref)
	}
	return r
}

// queryAllControllers queries a job at all controllers several times within milliseconds, and resubmits it each time.
func (w *world) queryAllControllers(ref string) {
	for _, delay := range []clock.Micros{0, clock.Millisecond, 5 * clock.Millisecond, 40 * clock.Millisecond} {
		for _, c := range w.controllers {
			w.after(delay, func() {
				if !c.isResponsive() {
					return
				}
				w.checkReply(ref, c.lookUpJob(ref))
				r := c.submitJob(w.users.submissions[ref])
				if w.checkReply(ref, r); r.Code == 400 || r.Code == 422 {
					w.reportViolation("forgotten: resubmission of %s got response %d, want it accepted", ref, r.Code)
				}
			})
		}
	}
}

// queryUnfinishedJobs queries each job without a final state, at the controllers in turn.
func (w *world) queryUnfinishedJobs() {
	for i, ref := range sortedKeys(w.users.jobs) {
		c := w.controllers[(int(w.now/tickInterval)+i)%len(w.controllers)]
		if c.isResponsive() && !isFinal(w.users.reportedState[ref]) {
			w.checkReply(ref, c.lookUpJob(ref))
		}
	}
}
