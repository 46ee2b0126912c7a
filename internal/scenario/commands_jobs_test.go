package scenario

// Commands about jobs and their users.

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"swiftledge/internal/clock"
	"swiftledge/wire"
)

// submitCommand submits a job and returns the response.
func submitCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	ref := arg(t, d, "ref", "")
	return w.submit(w.controllerArg(t, d), w.submissionBody(t, d, ref))
}

// floodCommand submits jobs at a fixed rate for a duration. With cancel_each=N, every Nth job is cancelled a while
// later, at the controllers in turn.
func floodCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	every, end := duration(t, d, "every"), w.now+duration(t, d, "for")
	first := arg(t, d, "first", 0)
	for i := 0; w.now+clock.Micros(i)*every < end; i++ {
		ref := fmt.Sprintf("j-%06d", first+i)
		body := w.submissionBody(t, d, ref)
		w.after(clock.Micros(i)*every, func() { w.submit(w.controllerArg(t, d), body) })
		if nth := arg(t, d, "cancel_each", 0); nth > 0 && i%nth == 0 {
			w.after(clock.Micros(i)*every+duration(t, d, "cancel_after"), func() { w.cancel(w.controllers[i%len(w.controllers)], ref) })
		}
	}
	return ""
}

// rawCommand submits its input as the unchanged request body.
func rawCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	return w.submit(w.controllerArg(t, d), []byte(d.Input))
}

// statusCommand returns the state of a job, or the code of an error response.
func statusCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	ref := arg(t, d, "ref", "")
	r := w.checkReply(ref, w.controllerArg(t, d).lookUpJob(ref))
	if r.Code != 200 {
		return fmt.Sprint(r.Code)
	}
	return string(r.Status.State)
}

// countsCommand returns how many of a job's tasks run, and how many of them each controller tells.
func countsCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	ref := arg(t, d, "ref", "")
	told := fmt.Sprintf("running %d;", w.countActive(ref))
	for _, c := range w.controllers {
		if !c.isResponsive() {
			continue
		}
		r := w.checkReply(ref, c.lookUpJob(ref))
		told += fmt.Sprintf(" %s: %s %d", c.name, r.Status.State, r.Status.Running)
	}
	return told
}

// cancelCommand cancels a job and returns its state, or the code of an error response.
func cancelCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	ref := arg(t, d, "ref", "")
	return w.cancel(w.controllerArg(t, d), ref)
}

// cancelRepeatedlyCommand cancels a job as a user who retries the request at the controllers in turn, until a
// response reports a final state.
func cancelRepeatedlyCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	ref := arg(t, d, "ref", "")
	for i, end := 0, w.now+duration(t, d, "within"); w.now < end; i++ {
		if c := w.controllers[i%len(w.controllers)]; c.running {
			if state := w.cancel(c, ref); isFinal(wire.JobState(state)) {
				return state
			}
		}
		w.run(clock.Second)
	}
	return "no answer"
}

// lateLaunchCommand tells whether an agent executed a run command for a task of a job later than a time after the
// cancellation of the job was confirmed.
func lateLaunchCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	ref := arg(t, d, "ref", "")
	if late := w.rules.lateLaunch[ref]; late > duration(t, d, "within") {
		return fmt.Sprintf("%g s after the cancellation", late.Seconds())
	}
	return "none"
}

// awaitCommand runs the cluster until a job is in a state, or until a timeout.
func awaitCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	ref := arg(t, d, "ref", "")
	return w.awaitState(w.controllerArg(t, d), ref, arg(t, d, "state", string(wire.JobDone)), duration(t, d, "within"))
}

// queryOftenCommand makes users query unfinished jobs at every tick. They also query a job and submit it again at all
// controllers as soon as a controller first reports the job or its final state.
func queryOftenCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	w.users.queryOften = !d.HasArg("off")
	return ""
}

// startedCommand tells whether a job's first task started within a time after a controller accepted the job.
func startedCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	ref := arg(t, d, "ref", "")
	startedAt, ok := w.rules.firstStartAt[ref]
	if !ok {
		return "not begun"
	}
	if delay := startedAt - w.users.acceptedAt[ref]; delay > duration(t, d, "within") {
		return fmt.Sprintf("after %.0f s", delay.Seconds())
	}
	return "in time"
}

// completedJobsCommand tells whether at least a share of the accepted jobs of a class or team has completed.
func completedJobsCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	completed, total := 0, 0
	for _, r := range sortedKeys(w.users.jobs) {
		if j := w.users.jobs[r]; j.Class == arg(t, d, "class", j.Class) && j.Team == arg(t, d, "team", j.Team) {
			total++
			if s := w.controllerArg(t, d).lookUpJob(r); s.Code == 200 && s.Status.State == wire.JobDone {
				completed++
			}
		}
	}
	if minShare := arg(t, d, "least", 0.5); total == 0 || float64(completed) < minShare*float64(total) {
		return fmt.Sprintf("%d of %d", completed, total)
	}
	return "enough"
}

// completionsCommand counts a job's tasks that have completed once, and its tasks that have completed more often.
func completionsCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	ref := arg(t, d, "ref", "")
	once, repeated := 0, 0
	for i := range w.users.jobs[ref].Tasks {
		switch completions := w.rules.completions[fmt.Sprintf("%s/%d", ref, i)]; {
		case completions == 1:
			once++
		case completions > 1:
			repeated++
		}
	}
	return fmt.Sprintf("once %d, repeated %d", once, repeated)
}

// suspectsCommand lists the suspect jobs, whose tasks have failed on several machines, that the leader's status shows to
// operators.
func suspectsCommand(_ *testing.T, w *world, _ *datadriven.TestData) string {
	var refs []string
	for _, s := range w.leaderStatus().Suspects {
		refs = append(refs, s.Job)
	}
	if len(refs) == 0 {
		return "none"
	}
	return strings.Join(refs, " ")
}

// rulesCommand lists the violated rules.
func rulesCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	if len(w.rules.violations) == 0 {
		return "kept"
	}
	return strings.Join(w.rules.violations, "\n")
}
