package leader

import (
	"strconv"

	"swiftledge/internal/clock"
	"swiftledge/internal/leader/jobs"
	"swiftledge/internal/peer"
	"swiftledge/internal/rebalancer"
	"swiftledge/internal/shard"
	"swiftledge/internal/trace"
	"swiftledge/wire"
)

// span has a span written, if anything is traced.
func (l *Leader) span(s trace.Span) {
	if l.cfg.Tuning.Trace.File != "" {
		l.emit(RecordSpan{s})
	}
}

// submitted is when a job was accepted, in steady time.
func (l *Leader) submitted(j *jobs.Job) clock.Micros { return j.AcceptedAt - l.wallOffset }

// traceQueued tells how long a job waited until its first task was handed out.
func (l *Leader) traceQueued(now clock.Micros, j *jobs.Job) {
	s := &j.Spec
	l.span(trace.Span{Job: s.Ref, Name: "queue", Begin: l.submitted(j), End: now,
		Attributes: []trace.Attribute{{Key: "team", Value: s.Team}, {Key: "tasks", Value: strconv.Itoa(s.Tasks)}}})
}

// traceStarted tells how long a task took from its machine's choice to its run.
func (l *Leader) traceStarted(now clock.Micros, t peer.Task, h *grantedTask) {
	if h.givenAt > 0 {
		l.span(trace.Span{Job: t.Job, Task: shard.TaskName(t), Name: "start", Begin: h.givenAt, End: now, Attributes: []trace.Attribute{{Key: "machine", Value: h.machine}}})
	}
}

// traceJob tells of a job from its acceptance to its end.
func (l *Leader) traceJob(now clock.Micros, j *jobs.Job, state wire.JobState) {
	l.span(trace.Span{Job: j.Spec.Ref, Name: "job", Begin: l.submitted(j), End: now, Attributes: []trace.Attribute{{Key: "state", Value: string(state)}}})
}

// traceMove tells of a move that has ended: the decision, the stop up to the proof, and the start.
func (l *Leader) traceMove(now clock.Micros, m rebalancer.Migration, outcome string) {
	seconds := func(s float64) string { return strconv.FormatFloat(s, 'f', 1, 64) }
	span := trace.Span{Job: m.Task.Job, Task: m.Task.String(), Name: "move", Begin: m.Since, End: now, Attributes: []trace.Attribute{
		{Key: "from", Value: m.From}, {Key: "to", Value: m.To}, {Key: "at", Value: m.At}, {Key: "outcome", Value: outcome},
		{Key: "gain_s", Value: seconds(m.GainS)}, {Key: "cost_s", Value: seconds(m.CostS)}}}
	l.span(span)
	if m.GoneAt == 0 {
		return
	}
	l.span(trace.Span{Job: m.Task.Job, Task: m.Task.String(), Name: "move: stop and proof", Begin: m.Since, End: m.GoneAt, Attributes: []trace.Attribute{{Key: "from", Value: m.From}}})
	l.span(trace.Span{Job: m.Task.Job, Task: m.Task.String(), Name: "move: start", Begin: m.GoneAt, End: now, Attributes: []trace.Attribute{{Key: "at", Value: m.At}}})
}
