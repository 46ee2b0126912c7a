package shard

import (
	"testing"

	"swiftledge/wire"
)

// An attempt launched under an earlier lease also gets a span. The controller that took over the shard records how the
// attempt ended.
func TestInheritedAttemptIsTraced(t *testing.T) {
	h := newTestHolder(t)
	h.params.TracingEnabled = true
	h.Step(now, heartbeat("m1", 1, testToken, running(1)))
	for _, e := range effectsOf[RecordSpan](h.Step(afterUpdateIntervals(4), heartbeat("m1", 2, testToken, exitedWith(1, wire.ExitDone)))) {
		if e.Span.Name != "run" {
			continue
		}
		if e.Span.Begin != now || e.Span.End != afterUpdateIntervals(4) || e.Span.Job != task.Job {
			t.Errorf("run span %+v, want one of the task's job from the first status to the exit", e.Span)
		}
		return
	}
	t.Error("no run span recorded for the inherited attempt")
}
