package shard

import "testing"

// An attempt that was ordered under an earlier grant leaves a span, too: who took its block over tells how it ended.
func TestInheritedAttemptIsTraced(t *testing.T) {
	h := newTestHolder(t)
	h.params.TracingEnabled = true
	h.Step(now, heartbeat("m1", 1, 50, running(1)))
	for _, e := range h.Step(later(4), heartbeat("m1", 2, 50, exitedAs(1, "done"))) {
		if x, ok := e.(RecordSpan); ok && x.Span.Name == "run" {
			if x.Span.Begin != now || x.Span.End != later(4) || x.Span.Job != task.Job {
				t.Errorf("%+v", x.Span)
			}
			return
		}
	}
	t.Error("no span")
}
