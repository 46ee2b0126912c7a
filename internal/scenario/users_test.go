package scenario

import (
	"encoding/json"
	"fmt"

	"swiftledge/internal/api"
	"swiftledge/internal/clock"
	"swiftledge/wire"
)

// users is what the users of a cluster know: their jobs, what these really do, and what they were answered.
type users struct {
	submissions   map[string][]byte // bodies by job
	jobs          map[string]wire.Job
	runSeconds    map[string]float64
	failEveryNth  map[string]int // by job: each how many-eth task fails wherever it runs; 0: none
	acceptedAt    map[string]clock.Micros
	cancelledAt   map[string]clock.Micros  // when the user was answered
	reportedState map[string]wire.JobState // by job: the latest state that any controller answered
	randomJobs    int                      // jobs that random worlds have submitted
	queryOften    bool                     // users ask everywhere, and submit again, as soon as something was answered
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

// stateUnknown is what a job is that a controller does not know.
const stateUnknown wire.JobState = "unknown"

// isFinal says whether a job in this state does not change any more.
func isFinal(s wire.JobState) bool { return s == wire.JobDone || s == wire.JobCancelled }

// submit has a user submit a job, and gives the code of the answer and the job's state or what is wrong.
func (w *world) submit(c *simController, body []byte) string {
	r := c.submitJob(body)
	var j wire.Job
	if json.Unmarshal(body, &j) == nil {
		w.checkReply(j.Ref, r)
	}
	if r.Code >= 400 {
		return fmt.Sprintf("%d %s", r.Code, r.Reason)
	}
	must(json.Unmarshal(body, &j))
	w.users.jobs[j.Ref] = j
	if _, ok := w.users.acceptedAt[j.Ref]; !ok {
		w.users.acceptedAt[j.Ref] = w.now
	}
	return fmt.Sprintf("%d %s", r.Code, r.Status.State)
}

// cancel cancels a job and gives its state, or the code of the answer.
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

// awaitState lets time pass until a job is in a state, or "off": none of its tasks is on a machine.
func (w *world) awaitState(c *simController, ref, state string, timeout clock.Micros) string {
	for end := w.now + timeout; w.now < end; {
		if state == "off" { // the last task has ended, at this very step
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

// checkReply judges an answer to a user by what any controller has answered before: none may be older.
func (w *world) checkReply(ref string, r api.Result) api.Result {
	state := wire.JobState("")
	switch {
	case r.Code == 200 || r.Code == 201:
		state = r.Status.State
	case r.Code == 404:
		state = stateUnknown
	}
	before := w.users.reportedState[ref]
	_, submitted := w.users.runSeconds[ref]
	if state == "" || state == stateUnknown && (!submitted || before == "") {
		return r
	}
	if state == stateUnknown || isFinal(before) && state != before {
		w.reportViolation("went_back: %s is %s after %s", ref, state, before)
	}
	if !isFinal(before) {
		w.users.reportedState[ref] = state
	}
	ended := !isFinal(before) && state != before && isFinal(state)
	if w.users.queryOften && (before == "" || ended) {
		w.queryAllControllers(ref)
	}
	return r
}

// queryAllControllers asks at all controllers within milliseconds, and submits again.
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
					w.reportViolation("forgotten: %s is answered %d", ref, r.Code)
				}
			})
		}
	}
}

// queryUnfinishedJobs asks for each job that may still change, at one controller after the other.
func (w *world) queryUnfinishedJobs() {
	for i, ref := range sortedKeys(w.users.jobs) {
		c := w.controllers[(int(w.now/tickInterval)+i)%len(w.controllers)]
		if c.isResponsive() && !isFinal(w.users.reportedState[ref]) {
			w.checkReply(ref, c.lookUpJob(ref))
		}
	}
}
