package shard

import (
	"strconv"

	"swiftledge/internal/clock"
	"swiftledge/internal/trace"
	"swiftledge/wire"
)

// recordSpans records the spans of an exited attempt as this controller observed the attempt. The spans begin at the
// launch of the attempt or, if it was launched under an earlier lease, when this controller first saw it run.
func (h *Holder) recordSpans(now clock.Micros, a *taskAttempt, t *wire.TaskStatus) {
	if !h.params.TracingEnabled {
		return
	}
	record := func(name string, begin, end clock.Micros, attributes ...trace.Attribute) {
		attributes = append([]trace.Attribute{{Key: "machine", Value: a.machine.name}}, attributes...)
		h.emit(RecordSpan{trace.Span{
			Job: a.task.Job, Task: t.Task, Name: name, Begin: begin, End: end, Attributes: attributes}})
	}
	runStart := now
	switch {
	case a.startedAt > 0:
		runStart = a.startedAt
		if a.launch.launchedAt > 0 {
			record("fetch", a.launch.launchedAt, runStart, trace.Attribute{Key: "image", Value: a.group.Image})
		}
	case a.launch.launchedAt > 0:
		runStart = a.launch.launchedAt
	}
	record("run", runStart, now,
		trace.Attribute{Key: "cause", Value: string(t.Cause)},
		trace.Attribute{Key: "attempt", Value: strconv.FormatUint(uint64(a.id), 10)},
		trace.Attribute{Key: "inherited", Value: strconv.FormatBool(a.inherited)})
}
