package shard

import (
	"strconv"

	"swiftledge/internal/clock"
	"swiftledge/internal/trace"
	"swiftledge/wire"
)

// recordSpans records spans of an attempt that has exited, as this controller has seen it: from its launch on, or from
// when it was first seen to run, if it was launched under an earlier lease.
func (h *Holder) recordSpans(now clock.Micros, a *taskAttempt, t *wire.TaskStatus) {
	if !h.params.TracingEnabled {
		return
	}
	record := func(name string, begin, end clock.Micros, attributes ...trace.Attribute) {
		attributes = append([]trace.Attribute{{Key: "machine", Value: a.machine.name}}, attributes...)
		h.emit(RecordSpan{trace.Span{
			Job: a.task.Job, Task: t.Task, Name: name, Begin: begin, End: end, Attributes: attributes}})
	}
	runBegan := now
	switch {
	case a.startedAt > 0:
		runBegan = a.startedAt
		if a.launch.at > 0 {
			record("fetch", a.launch.at, runBegan, trace.Attribute{Key: "image", Value: a.group.Image})
		}
	case a.launch.at > 0:
		runBegan = a.launch.at
	}
	record("run", runBegan, now,
		trace.Attribute{Key: "cause", Value: string(t.Cause)},
		trace.Attribute{Key: "attempt", Value: strconv.FormatUint(uint64(a.id), 10)},
		trace.Attribute{Key: "inherited", Value: strconv.FormatBool(a.inherited)})
}
