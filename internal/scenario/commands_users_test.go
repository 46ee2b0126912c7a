package scenario

// What users do in scenarios.

import (
	"fmt"
	"testing"

	"github.com/cockroachdb/datadriven"

	"swiftledge/internal/clock"
	"swiftledge/wire"
)

// submitCommand submits one job.
func submitCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	ref := arg(t, d, "ref", "")
	return w.submit(w.nodeOf(t, d), w.body(t, d, ref))
}

// floodCommand submits one job after the other, until a time; some of them are called off a while later, at whichever controller.
func floodCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	every, end := span(t, d, "every"), w.now+span(t, d, "for")
	first := arg(t, d, "first", 0)
	for i := 0; w.now+clock.Micros(i)*every < end; i++ {
		ref := fmt.Sprintf("j-%06d", first+i)
		body := w.body(t, d, ref)
		w.after(clock.Micros(i)*every, func() { w.submit(w.nodeOf(t, d), body) })
		// Some of them are called off, a while later, at whichever controller.
		if off := arg(t, d, "off", 0); off > 0 && i%off == 0 {
			w.after(clock.Micros(i)*every+span(t, d, "after"), func() { w.callOff(w.nodes[i%len(w.nodes)], ref) })
		}
	}
	return ""
}

// rawCommand submits its input as it is.
func rawCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	return w.submit(w.nodeOf(t, d), []byte(d.Input))
}

// statusCommand asks for a job.
func statusCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	ref := arg(t, d, "ref", "")
	r := w.hear(ref, w.nodeOf(t, d).lookUp(ref))
	if r.Code != 200 {
		return fmt.Sprint(r.Code)
	}
	return string(r.Status.State)
}

// abortCommand cancels a job.
func abortCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	ref := arg(t, d, "ref", "")
	return w.callOff(w.nodeOf(t, d), ref)
}

// callOffCommand cancels as a user does that repeats the request, at one controller after the other, until it is answered.
func callOffCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	ref := arg(t, d, "ref", "")
	for i, end := 0, w.now+span(t, d, "within"); w.now < end; i++ {
		if n := w.nodes[i%len(w.nodes)]; n.alive {
			if state := w.callOff(n, ref); state == string(wire.JobCancelled) || state == string(wire.JobDone) {
				return state
			}
		}
		w.run(clock.Second)
	}
	return "no answer"
}

// awaitCommand waits for a job to come to a state.
func awaitCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	ref := arg(t, d, "ref", "")
	return w.await(w.nodeOf(t, d), ref, arg(t, d, "state", string(wire.JobDone)), span(t, d, "within"))
}

// looksCommand has users ask everywhere as soon as something was told.
func looksCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	w.looks = !d.HasArg("over")
	return ""
}
