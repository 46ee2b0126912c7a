package scenario

import (
	"encoding/json"
	"fmt"
	"strings"

	"swiftledge/internal/clock"
	"swiftledge/wire"
)

// userRetryDelay is how long a user waits before retrying a request.
const userRetryDelay = clock.Second

// nextJob returns a batch job with a new reference for a random world. Each task needs one CPU.
func (w *world) nextJob(class, team string, tasks int) wire.Job {
	w.users.randomJobs++
	return wire.Job{
		Ref:      fmt.Sprintf("j-%06d", w.users.randomJobs),
		Class:    class,
		Team:     team,
		Shape:    wire.ShapeBatch,
		Priority: wire.PriorityStandard,
		Tasks:    tasks,
		CPUs:     1,
		MemoryGB: 1,
		ImageGB:  1,
		Spot:     true,
	}
}

// randomJobTeam returns the team of a random job, by its number.
func randomJobTeam(i int) string { return []string{"red", "blue"}[i%2] }

// longImageRepeats makes the name of an image about a kilobyte long: an attempt record with the full name would not fit
// on a page at the lowest value size that controllers use.
const longImageRepeats = 200

// submitRandom submits a job as a user. The job's number decides its team, priority and image, whether it is a
// service, and whether it saves checkpoints. With rebalancing enabled, all batch jobs save checkpoints.
func (w *world) submitRandom(i, tasks, runSeconds int) {
	j := w.nextJob("l", randomJobTeam(i), tasks)
	j.Priority = []wire.Priority{wire.PriorityStandard, wire.PriorityHigh}[i/2%2]
	j.Image = fmt.Sprint("img", i%4)
	if i%9 == 2 {
		j.Image += strings.Repeat("-long", longImageRepeats)
	}
	j.EstimateS = float64(runSeconds)
	if i%5 == 4 {
		j.Shape, j.Priority, j.Tasks, j.EstimateS, j.Spot = wire.ShapeService, wire.PriorityProduction, 2+tasks%6, 0, false
	}
	if i%7 == 3 {
		j.CheckpointS, j.SaveS = 4, 2
	}
	if w.cfg.Tuning.Spread.Enabled && !j.IsService() {
		j.CheckpointS, j.SaveS = 2, 1
	}
	w.users.runSeconds[j.Ref] = float64(runSeconds)
	w.submitUntilAccepted(j, i)
}

// submitFaulty submits a job whose tasks fail on every machine, and returns the job's reference.
func (w *world) submitFaulty(i, tasks int) string {
	const runSeconds = 10
	j := w.nextJob("l", randomJobTeam(i), tasks)
	j.Image = "img9"
	j.EstimateS = runSeconds
	w.users.runSeconds[j.Ref], w.users.failEveryNth[j.Ref] = runSeconds, 1
	w.submitUntilAccepted(j, i)
	return j.Ref
}

// guestRunS is the run time of a guest's task in seconds. It is longer than the boot times that decide about preemption,
// and short enough for all tasks to complete in the recovery time after the faults.
const guestRunS = 16

// submitGuest submits a job of long tasks of low priority for a team without a guarantee and without a limit.
func (w *world) submitGuest(i, tasks int) {
	j := w.nextJob("g", "guest", tasks)
	j.Priority = wire.PriorityBestEffort
	j.Image = "img8"
	j.EstimateS, j.CheckpointS, j.SaveS = guestRunS, 5, 1
	w.users.runSeconds[j.Ref] = guestRunS
	w.submitUntilAccepted(j, i)
}

// submitUntilAccepted retries a submission at the controllers in turn until it is accepted.
func (w *world) submitUntilAccepted(j wire.Job, i int) {
	body, err := json.Marshal(j)
	must(err)
	w.users.submissions[j.Ref] = body
	c := w.controllers[i%len(w.controllers)]
	if c.isResponsive() && strings.HasPrefix(w.submit(c, body), "20") {
		return
	}
	w.after(userRetryDelay, func() { w.submitUntilAccepted(j, i+1) })
}

// cancelUntilAnswered retries a cancellation at the controllers in turn until a controller responds that the job
// is cancelled.
func (w *world) cancelUntilAnswered(ref string, i int) {
	c := w.controllers[i%len(w.controllers)]
	_, accepted := w.users.jobs[ref]
	if accepted && c.isResponsive() && w.cancel(c, ref) == string(wire.JobCancelled) {
		return
	}
	w.after(userRetryDelay, func() { w.cancelUntilAnswered(ref, i+1) })
}
